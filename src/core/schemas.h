#pragma once
// JSON schemas of the documents that operators and clients send, and the validation that reports
// the invalid field.
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "wire/json_fields.h"

namespace peppergate {

enum class SchemaName : std::uint8_t { kChange, kStream, kEngineList, kPlacement };

/// The path of an invalid field and what is wrong with it.
struct FieldFault {
  std::string field;
  std::string detail;
};

/// Maximum nesting depth; documents nested more deeply are rejected.
inline constexpr std::size_t kMaxDocumentDepth = 128;

/// Parses an untrusted document. Returns a discarded value if it is not JSON or nested too deeply.
Json parseDocument(std::string_view text);

/// The string fields at the top level of an object, for callers that forward the object unparsed.
struct TopLevelStrings {
  bool valid = false;  // a complete JSON object within the nesting limit
  std::map<std::string, std::string, std::less<>> values;
};
/// Reads the top-level string fields in one pass, without building a document tree.
TopLevelStrings readTopLevelStrings(std::string_view text);

/// Validates a document against a schema. Returns the most deeply nested violation, if any.
std::optional<FieldFault> checkSchema(SchemaName schema, const Json& document);
/// The schema's JSON text, as `peppergate setup schema` prints it.
std::string_view schemaText(SchemaName schema);

}  // namespace peppergate
