#include "core/engine_list.h"

#include "core/schemas.h"

namespace peppergate {

absl::StatusOr<EngineList> parseEngineList(const std::string& text) {
  Json document = Json::parse(text, nullptr, false);
  if (document.is_discarded()) return absl::InvalidArgumentError("engine list is not valid JSON");
  if (auto schemaError = checkSchema(SchemaName::kEngineList, document))
    return absl::InvalidArgumentError("engine list: " + schemaError->field + ": " +
                                      schemaError->detail);
  EngineList list;
  list.version = {document["version"].get<std::uint64_t>()};
  list.text = text;
  for (const auto& entry : document["engines"]) {
    EngineEntry engine;
    engine.id = {entry["id"].get<std::string>()};
    engine.address = {entry["address"].get<std::string>()};
    engine.service = entry["service"] == "desk" ? Service::kDesk : Service::kModel;
    engine.rack = entry.value("rack", "");
    engine.zone = {entry.value("district", "")};
    engine.linkCapacity = entry.value("link", 100.0);
    engine.draining = entry.value("draining", false);
    list.engines[engine.id] = engine;
  }
  for (const auto& rack : document.value("racks", Json::array()))
    list.racks[rack["id"].get<std::string>()] = rack["uplink"].get<double>();
  if (document.contains("store")) {
    EngineEntry store;
    store.id = storeId();
    store.address = {document["store"]["address"].get<std::string>()};
    store.service = Service::kStore;
    store.linkCapacity = document["store"]["link"];
    list.engines[store.id] = store;
  }
  return list;
}

}  // namespace peppergate
