#pragma once
// JSON schemas of what operators send, and the check that names the wrong field.
#include <map>
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

/// How deep a document may be nested; deeper ones count as unreadable.
inline constexpr std::size_t kDeepestDocument = 128;

/// Reads a document from outside; what is no JSON or nested too deep comes back discarded.
/// Example: `if (parseDocument(body).is_discarded()) decline();`
Json parseDocument(std::string_view text);

/// The texts at the top of an object, for whoever passes the object on without building it.
struct DocumentHead {
  bool readable = false;  // a whole JSON object, not nested too deep
  std::map<std::string, std::string, std::less<>> texts;
};
/// Reads a document's top texts, one pass and no tree. Example: `readHead(body).texts["kind"]`.
DocumentHead readHead(std::string_view text);

/// Checks a document; the first fault with its field, if any.
/// Example: `checkSchema(SchemaName::kChange, Json::parse(body))`.
std::optional<FieldFault> checkSchema(SchemaName schema, const Json& document);
/// The schema's own text, as `peppergate setup schema` prints it. Example: `schemaFor(...)`.
std::string_view schemaFor(SchemaName schema);

}  // namespace peppergate
