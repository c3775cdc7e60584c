#include "core/schemas.h"

#include <array>
#include <memory>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace peppergate {
namespace {

constexpr std::string_view kChangeSchema = R"json({
  "type": "object",
  "required": ["kind"],
  "properties": {
    "kind": {"enum": ["apply", "stamp", "remove", "weights", "key-add", "key-withdraw",
                      "template", "parameters", "revert", "replace", "amend",
                      "model-version"]},
    "changeId": {"type": "string"},
    "basedOnVersion": {"type": "integer", "minimum": 0},
    "config": {"type": "object"},
    "amendment": {"type": "object"},
    "model": {"type": "string", "minLength": 1},
    "version": {"type": "integer", "minimum": 1},
    "basedOn": {"type": "string", "pattern": "^[0-9]+\\.[0-9]+$"},
    "setup": {"$ref": "#/definitions/setup"},
    "dryRun": {"type": "boolean"},
    "to": {"type": "string", "pattern": "^[0-9]+\\.[0-9]+$"},
    "made": {"$ref": "#/definitions/made"},
    "template": {"type": "string", "minLength": 1, "maxLength": 64},
    "tenant": {"type": "string", "minLength": 1, "maxLength": 64},
    "parameters": {"$ref": "#/definitions/parameters"},
    "label": {"type": "string", "minLength": 1, "maxLength": 64},
    "digest": {"type": "string", "pattern": "^[0-9a-f]{32}$"}
  },
  "additionalProperties": false,
  "definitions": {
    "made": {
      "type": "object", "required": ["class"],
      "properties": {"class": {"type": "string"},
                     "defaults": {"$ref": "#/definitions/parameters"}},
      "additionalProperties": false
    },
    "parameters": {
      "type": "object",
      "properties": {
        "rank": {"type": "integer", "minimum": 0, "maximum": 3},
        "wall": {"type": "string", "minLength": 1, "maxLength": 64},
        "keys": {"type": "array", "maxItems": 64,
                 "items": {"type": "string", "pattern": "^[0-9a-f]{32}$"}},
        "weights": {"type": "integer", "minimum": 0},
        "topRung": {"type": "integer", "minimum": 0, "maximum": 15},
        "share": {"type": "integer", "minimum": 0}
      },
      "additionalProperties": false
    },
    "setup": {
      "type": "object",
      "required": ["rungs", "classes", "templates"],
      "properties": {
        "rungs": {"type": "array", "minItems": 1, "maxItems": 16, "items": {
          "type": "object", "required": ["name", "rate"],
          "properties": {"name": {"type": "string"},
                         "rate": {"type": "number", "minimum": 0.001}},
          "additionalProperties": false}},
        "classes": {"type": "object", "additionalProperties": {
          "type": "object", "required": ["a", "b", "c", "floor"],
          "properties": {"a": {"type": "number"}, "b": {"type": "number"},
                         "c": {"type": "number"}, "floor": {"type": "integer", "minimum": 0}},
          "additionalProperties": false}},
        "templates": {"type": "object",
                      "additionalProperties": {"$ref": "#/definitions/made"}},
        "tenants": {"type": "object", "additionalProperties": {
          "type": "object", "required": ["template", "parameters"],
          "properties": {"template": {"type": "string"},
                         "parameters": {"$ref": "#/definitions/parameters"}},
          "additionalProperties": false}},
        "partBytesPerCharacter": {"type": "number", "minimum": 1, "maximum": 1000000}
      },
      "additionalProperties": false
    }
  }
})json";

constexpr std::string_view kStreamSchema = R"json({
  "type": "object",
  "required": ["parts"],
  "properties": {
    "parts": {"type": "array", "minItems": 1, "maxItems": 32, "items": {
      "type": "object", "required": ["text"],
      "properties": {"text": {"type": "string", "minLength": 1},
                     "shared": {"type": "boolean"}},
      "additionalProperties": false}},
    "pieces": {"type": "integer", "minimum": 1, "maximum": 4096},
    "resumable": {"type": "boolean"},
    "resumeFrom": {"type": "integer", "minimum": 0},
    "resumeWeights": {"type": "integer", "minimum": 1},
    "topRung": {"type": "integer", "minimum": 0, "maximum": 15}
  },
  "additionalProperties": false
})json";

constexpr std::string_view kEngineListSchema = R"json({
  "type": "object",
  "required": ["version", "engines"],
  "properties": {
    "version": {"type": "integer", "minimum": 1},
    "engines": {"type": "array", "maxItems": 4096, "items": {
      "type": "object", "required": ["id", "address", "service"],
      "properties": {
        "id": {"type": "string", "minLength": 1, "maxLength": 64},
        "address": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
        "service": {"enum": ["model", "desk"]},
        "rack": {"type": "string"}, "district": {"type": "string"},
        "link": {"type": "number", "minimum": 0},
        "draining": {"type": "boolean"}}}},
    "racks": {"type": "array", "items": {
      "type": "object", "required": ["id", "uplink"],
      "properties": {"id": {"type": "string"}, "uplink": {"type": "number", "minimum": 0}}}},
    "store": {"type": "object", "required": ["address", "link"],
      "properties": {"address": {"type": "string"}, "link": {"type": "number", "minimum": 0}}}
  }
})json";

constexpr std::string_view kPlacementSchema = R"json({
  "type": "object",
  "required": ["districts", "engines"],
  "properties": {
    "districts": {"type": "array", "minItems": 1, "maxItems": 64, "uniqueItems": true,
                  "items": {"type": "string", "minLength": 1}},
    "engines": {"type": "array", "maxItems": 512, "items": {
      "type": "object", "required": ["id"],
      "properties": {"id": {"type": "string", "minLength": 1},
                     "places": {"type": "integer", "minimum": 0}},
      "additionalProperties": false}},
    "tenants": {"type": "array", "maxItems": 512, "items": {
      "type": "object", "required": ["id"],
      "properties": {"id": {"type": "string", "minLength": 1},
                     "usage": {"type": "integer", "minimum": 0}},
      "additionalProperties": false}},
    "constraints": {"type": "array", "maxItems": 512, "items": {
      "type": "object", "required": ["name", "kind", "of"],
      "properties": {
        "name": {"type": "string", "minLength": 1},
        "kind": {"enum": ["in", "not-in", "apart", "together", "at-most", "at-least"]},
        "of": {"type": "array", "minItems": 1, "items": {"type": "string"}},
        "district": {"type": "string"},
        "count": {"type": "integer", "minimum": 0}},
      "additionalProperties": false}}
  },
  "additionalProperties": false
})json";

struct CompiledSchema {
  valijson::Schema schema;
  explicit CompiledSchema(std::string_view text) {
    Json document = Json::parse(text);
    valijson::SchemaParser parser;
    valijson::adapters::NlohmannJsonAdapter adapter(document);
    parser.populateSchema(adapter, schema);
  }
};

const valijson::Schema& compiledSchema(SchemaName name) {
  static const CompiledSchema kChange(kChangeSchema);
  static const CompiledSchema kStream(kStreamSchema);
  static const CompiledSchema kEngineList(kEngineListSchema);
  static const CompiledSchema kPlacement(kPlacementSchema);
  static const std::array kAll{&kChange, &kStream, &kEngineList, &kPlacement};
  return kAll[static_cast<std::size_t>(name)]->schema;
}

}  // namespace

std::string_view schemaText(SchemaName schema) {
  static constexpr std::array kTexts{kChangeSchema, kStreamSchema, kEngineListSchema,
                                     kPlacementSchema};
  return kTexts[static_cast<std::size_t>(schema)];
}

std::optional<FieldFault> checkSchema(SchemaName schema, const Json& document) {
  valijson::Validator validator;
  valijson::adapters::NlohmannJsonAdapter target(document);
  valijson::ValidationResults results;
  if (validator.validate(compiledSchema(schema), target, &results)) return std::nullopt;
  FieldFault fault{"<root>", "does not match the schema"};
  // The most deeply nested of the reported violations identifies the field best.
  valijson::ValidationResults::Error error;
  std::size_t deepest = 0;
  while (results.popError(error)) {
    std::string path;
    for (const auto& step : error.context) path += step;
    if (error.context.size() < deepest) continue;
    deepest = error.context.size();
    fault = {path, error.description};
  }
  return fault;
}

}  // namespace peppergate
