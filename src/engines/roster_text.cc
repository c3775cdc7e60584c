#include "engines/roster_text.h"

#include <algorithm>

#include "wire/json_fields.h"

namespace peppergate {
namespace {

Json entryJson(const Engine& engine) {
  Json models = Json::object();
  for (const auto& [model, version] : engine.models) models[model.value] = version.value;
  Json entry{{"id", engine.id.value},           {"service", engine.service.value},
             {"address", engine.address.value}, {"zone", engine.zone.value},
             {"slots", engine.slots},           {"models", std::move(models)}};
  if (engine.draining) entry["draining"] = true;
  if (engine.warmupLeft.microseconds > 0) entry["warmup"] = engine.warmupLeft.microseconds;
  return entry;
}

Engine readEntry(const Json& entry) {
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

Json idsJson(const std::vector<EngineId>& ids) {
  Json array = Json::array();
  for (const auto& id : ids) array.push_back(id.value);
  return array;
}

}  // namespace

void orderById(std::vector<Engine>& engines) {
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

std::string wholeText(const Roster& roster) {
  Json engines = Json::array();
  for (const auto& engine : roster.engines) engines.push_back(entryJson(engine));
  return Json{{"engines", std::move(engines)}, {"loading", idsJson(roster.loading)}}.dump();
}

std::string changeText(ListVersion base, const Roster& before, const Roster& after) {
  Json engines = Json::array(), gone = Json::array();
  auto old = before.engines.begin();
  for (const auto& engine : after.engines) {
    for (; old != before.engines.end() && old->id < engine.id; ++old) gone.push_back(old->id.value);
    bool listed = old != before.engines.end() && old->id == engine.id;
    if (!listed || !sameEntry(*old, engine)) engines.push_back(entryJson(engine));
    if (listed) ++old;
  }
  for (; old != before.engines.end(); ++old) gone.push_back(old->id.value);
  return Json{{"base", base.value},
              {"engines", std::move(engines)},
              {"gone", std::move(gone)},
              {"loading", idsJson(after.loading)}}
      .dump();
}

RosterRead readRoster(std::string_view text, ListVersion have, Roster& roster) {
  Json document = Json::parse(text, nullptr, false);
  if (!document.is_object()) return RosterRead::kUnreadable;
  try {
    Roster read;
    if (auto base = document.find("base"); base != document.end()) {
      if (base->get<std::uint64_t>() != have.value) return RosterRead::kOtherBase;
      read.engines = roster.engines;
      std::vector<EngineId> gone;
      for (const auto& id : document.at("gone")) gone.push_back({id.get<std::string>()});
      std::erase_if(read.engines, [&](const Engine& engine) {
        return std::ranges::find(gone, engine.id) != gone.end();
      });
    }
    for (const auto& entry : document.at("engines")) read.engines.push_back(readEntry(entry));
    for (const auto& id : document.at("loading")) read.loading.push_back({id.get<std::string>()});
    orderById(read.engines);
    roster = std::move(read);
  } catch (const Json::exception&) {
    return RosterRead::kUnreadable;
  }
  return RosterRead::kTaken;
}

}  // namespace peppergate
