#include "engines/engine_list_codec.h"

#include <algorithm>

#include "wire/json_fields.h"

namespace peppergate {
namespace {

Json encodeEntry(const Engine& engine) {
  Json models = Json::object();
  for (const auto& [model, version] : engine.models) models[model.value] = version.value;
  Json entry{{"id", engine.id.value},           {"service", engine.service.value},
             {"address", engine.address.value}, {"zone", engine.zone.value},
             {"slots", engine.slots},           {"models", std::move(models)}};
  if (engine.draining) entry["draining"] = true;
  if (engine.warmupLeft.microseconds > 0) entry["warmup"] = engine.warmupLeft.microseconds;
  return entry;
}

Engine decodeEntry(const Json& entry) {
  Engine engine;
  engine.id = {entry.at("id").get<std::string>()};
  engine.service = {entry.at("service").get<std::string>()};
  engine.address = {entry.at("address").get<std::string>()};
  engine.zone = {entry.at("zone").get<std::string>()};
  engine.slots = entry.at("slots").get<std::int64_t>();
  engine.draining = entry.value("draining", false);
  engine.warmupLeft = {entry.value("warmup", std::int64_t{0})};
  for (const auto& [model, version] : entry.at("models").items())
    engine.models[{model}] = {version.get<std::uint64_t>()};
  return engine;
}

Json encodeIds(const std::vector<EngineId>& ids) {
  Json array = Json::array();
  for (const auto& id : ids) array.push_back(id.value);
  return array;
}

}  // namespace

void sortById(std::vector<Engine>& engines) {
  std::ranges::reverse(engines);  // so that the later of two comes first
  std::ranges::stable_sort(engines, {}, &Engine::id);
  auto sameId = [](const Engine& one, const Engine& other) { return one.id == other.id; };
  engines.erase(std::unique(engines.begin(), engines.end(), sameId), engines.end());
}

bool sameEntry(const Engine& before, const Engine& after) {
  Engine compared = before;
  bool stillWarming = (before.warmupLeft > Duration{}) == (after.warmupLeft > Duration{}) &&
                      after.warmupLeft <= before.warmupLeft;
  if (stillWarming) compared.warmupLeft = after.warmupLeft;
  return compared == after;
}

bool sameEngines(const std::vector<Engine>& before, const std::vector<Engine>& after) {
  return std::ranges::equal(before, after, sameEntry);
}

std::string encodeList(const DiscoveredEngines& list) {
  Json engines = Json::array();
  for (const auto& engine : list.engines) engines.push_back(encodeEntry(engine));
  return Json{{"engines", std::move(engines)}, {"loading", encodeIds(list.loading)}}.dump();
}

std::string encodeListDelta(ListVersion base, const DiscoveredEngines& before,
                            const DiscoveredEngines& after) {
  Json engines = Json::array(), removed = Json::array();
  auto previous = before.engines.begin();
  for (const auto& engine : after.engines) {
    for (; previous != before.engines.end() && previous->id < engine.id; ++previous)
      removed.push_back(previous->id.value);
    bool listed = previous != before.engines.end() && previous->id == engine.id;
    if (!listed || !sameEntry(*previous, engine)) engines.push_back(encodeEntry(engine));
    if (listed) ++previous;
  }
  for (; previous != before.engines.end(); ++previous) removed.push_back(previous->id.value);
  return Json{{"base", base.value},
              {"engines", std::move(engines)},
              {"gone", std::move(removed)},
              {"loading", encodeIds(after.loading)}}
      .dump();
}

ListDecodeResult decodeList(std::string_view text, ListVersion heldVersion,
                            DiscoveredEngines& list) {
  Json document = Json::parse(text, nullptr, false);
  if (!document.is_object()) return ListDecodeResult::kMalformed;
  try {
    DiscoveredEngines decoded;
    if (auto base = document.find("base"); base != document.end()) {
      if (base->get<std::uint64_t>() != heldVersion.value) return ListDecodeResult::kBaseMismatch;
      decoded.engines = list.engines;
      std::vector<EngineId> removed;
      for (const auto& id : document.at("gone")) removed.push_back({id.get<std::string>()});
      std::erase_if(decoded.engines, [&](const Engine& engine) {
        return std::ranges::find(removed, engine.id) != removed.end();
      });
    }
    for (const auto& entry : document.at("engines")) decoded.engines.push_back(decodeEntry(entry));
    for (const auto& id : document.at("loading"))
      decoded.loading.push_back({id.get<std::string>()});
    sortById(decoded.engines);
    list = std::move(decoded);
  } catch (const Json::exception&) {
    return ListDecodeResult::kMalformed;
  }
  return ListDecodeResult::kApplied;
}

}  // namespace peppergate
