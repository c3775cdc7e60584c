#pragma once
// JSON schemas of what operators send, and the check that names the wrong field.
#include <optional>
#include <string>
#include <string_view>

#include "wire/json_fields.h"

namespace peppergate {

enum class SchemaName : std::uint8_t { kChange, kStream, kEngineList, kPlacement };

/// Which field is wrong and how.
struct FieldFault {
  std::string field;
  std::string detail;
};

/// Checks a document; the first fault with its field, if any.
/// Example: `checkSchema(SchemaName::kChange, Json::parse(body))`.
std::optional<FieldFault> checkSchema(SchemaName schema, const Json& document);
/// The schema's own text, as `peppergate setup schema` prints it. Example: `schemaFor(...)`.
std::string_view schemaFor(SchemaName schema);

}  // namespace peppergate
