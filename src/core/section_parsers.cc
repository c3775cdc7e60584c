// Parses the sections of the control state into the types that daemons use.
#include "core/control_state.h"

namespace peppergate {

absl::StatusOr<Setup> readSetup(const std::string& text) {
  Setup setup;
  Json document = Json::parse(text, nullptr, false);
  if (document.is_discarded()) return absl::DataLossError("setup section is not JSON");
  try {
    for (const auto& rung : document.at("rungs"))
      setup.rungs.push_back({rung.at("name"), rung.at("rate")});
    for (const auto& [name, entry] : document.at("classes").items())
      setup.classes[name] = {entry.at("a"), entry.at("b"), entry.at("c"), entry.at("floor")};
    setup.partBytesPerCharacter = document.value("partBytesPerCharacter", 1000.0);
    for (const auto& [id, entry] : document.at("tenants").items()) {
      const Json& tenantTemplate =
          document.at("templates").at(entry.at("template").get<std::string>());
      Json parameters = tenantTemplate.value("defaults", Json::object());
      parameters.update(entry.at("parameters"));
      Tenant tenant;
      tenant.templateName = entry.at("template");
      tenant.className = tenantTemplate.at("class");
      tenant.rank = parameters.at("rank");
      tenant.cacheDomain = {parameters.at("wall").get<std::string>()};
      tenant.minWeightsVersion = {parameters.value("weights", std::uint64_t{0})};
      tenant.topRung =
          parameters.value("topRung", static_cast<std::int64_t>(setup.rungs.size()) - 1);
      tenant.maxStreamsPerRouter = parameters.value("share", std::int64_t{0});
      setup.tenants[{id}] = tenant;
    }
    if (auto fleet = document.find("fleet"); fleet != document.end()) {
      auto config = readFleetConfig(*fleet);
      if (!config.ok()) return config.status();
      setup.fleetConfig = std::move(*config);
      setup.fleetConfig.cacheGeneration = {document.value("cacheGeneration", std::uint64_t{0})};
    }
  } catch (const Json::exception& error) {
    return absl::DataLossError(error.what());
  }
  return setup;
}

absl::StatusOr<Keys> readKeys(const std::string& text) {
  Keys keys;
  Json document = Json::parse(text, nullptr, false);
  if (document.is_discarded()) return absl::DataLossError("keys section is not JSON");
  try {
    for (const auto& [digest, tenant] : document.at("live").items())
      keys.live[{digest}] = {tenant.get<std::string>()};
    for (const auto& [digest, unused] : document.at("withdrawn").items())
      keys.withdrawn.insert({digest});
  } catch (const Json::exception& error) {
    return absl::DataLossError(error.what());
  }
  return keys;
}

absl::StatusOr<Weights> readWeights(const std::string& text) {
  Json document = Json::parse(text, nullptr, false);
  if (document.is_discarded()) return absl::DataLossError("weights section is not JSON");
  Weights weights;
  try {
    weights.version = {document.at("version").get<std::uint64_t>()};
    weights.label = document.at("label");
    if (auto models = document.find("models"); models != document.end())
      for (const auto& [model, version] : models->items())
        weights.models[{model}] = {version.get<std::uint64_t>()};
  } catch (const Json::exception& error) {
    return absl::DataLossError(error.what());
  }
  return weights;
}

}  // namespace peppergate
