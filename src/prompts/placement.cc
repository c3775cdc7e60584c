#include "prompts/placement.h"

#include <algorithm>

#include "prompts/survey.h"

namespace peppergate {
namespace {

// Fetches get no rate beyond the one that takes this fraction of the target time.
constexpr double kMoveOfTarget = 1.0 / 8;
constexpr int kNamingsKept = 4;  // multiple of the grace time, which pauses may extend

}  // namespace

Placement::Placement(const Options& options, EngineBook& book, PartIndex& index, FetchDesk& fetches,
                     Random& random)
    : options_(options),
      book_(book),
      index_(index),
      fetches_(fetches),
      random_(random),
      namings_(options.weightsWithin * kNamingsKept) {}

void Placement::take(const Setup& setup) {
  operators_.rungs = setup.rungs;
  operators_.classes = setup.classes;
  linked_ = false;
}

void Placement::links(const FleetConfig& config) {
  std::map<LinkId, LinkTold> told;
  std::set<EngineId> engines;
  store_.reset();
  for (const auto& [name, service] : config.services) {
    if (service.store) store_ = service.store;
    if (service.store && service.store->linkMbps > 0)
      told[FetchDesk::linkOf(storeId())] = {megabytesOf(service.store->linkMbps),
                                            service.store->zone};
    for (const EngineState* engine : book_.of(name)) {
      engines.insert(engine->listed.id);
      if (service.engine && service.engine->linkMbps > 0)
        told[FetchDesk::linkOf(engine->listed.id)] = {megabytesOf(service.engine->linkMbps),
                                                      engine->listed.zone};
    }
  }
  plan_ = fetchSetup(operators_, config);
  fetches_.links(told);
  speed_.keepOnly(engines);
  std::erase_if(services_,
                [&](const auto& entry) { return !config.services.contains(entry.first); });
  configVersion_ = config.version;
  listVersion_ = book_.version();
  linked_ = true;
}

void Placement::tick(const FleetConfig& config, MonotonicTime now, Outbox& outbox) {
  if (!linked_ || configVersion_ != config.version || listVersion_ != book_.version())
    links(config);
  fetches_.tick(plan_, now, outbox);
}

void Placement::named(const Weights& weights, MonotonicTime since, MonotonicTime now) {
  namings_.note(weights.models, since, now);
}

std::int64_t Placement::toRead(const PlacementAsk& ask, std::int64_t kept) {
  std::int64_t tokens = ask.tokensIn;
  if (tokens <= 0)
    for (const auto& part : ask.parts) tokens += part.tokens;
  return std::max<std::int64_t>(0, tokens - kept);
}

std::variant<Placed, PlaceRefusal> Placement::place(const PlacementAsk& ask,
                                                    const FleetConfig& config,
                                                    const Weights& weights, MonotonicTime now,
                                                    Outbox& outbox) {
  if (!linked_ || configVersion_ != config.version || listVersion_ != book_.version())
    links(config);
  dropped(ask.request);
  Survey survey{ask, config, now, nullptr, book_.of(ask.service), service(ask.service)};
  auto found = config.services.find(ask.service);
  if (found != config.services.end() && found->second.engine && !ask.model.value.empty())
    survey.shape = &*found->second.engine;
  if (auto name = weights.models.find(ask.model); name != weights.models.end())
    survey.named = std::max(survey.named, name->second);
  survey.wall = wallOf(ask.tenant, ask.isolated && options_.guards(Guard::kWall));
  survey.tokens = toRead(ask, 0);
  for (std::size_t index = 0; index + 1 < ask.parts.size(); ++index)
    survey.shared += ask.parts[index].tokens;
  if (survey.shape && survey.shape->kvTokens > 0 &&
      survey.tokens + ask.tokensOut > survey.shape->kvTokens) {
    outbox.count("place.tooLarge");
    return PlaceRefusal{PlaceFault::kNoEngine, ask.timeLeft};  // it doesn't fit into any engine
  }
  this->survey(survey);
  rate(survey, true);
  const Choice* choice = best(survey);
  if (choice == nullptr) return refusal(survey, outbox);
  Placed placed;
  if (choice->cost.moved > 0 && !planMove(survey, *choice, placed, outbox)) {
    rate(survey, false);  // no link capacity: use an engine that caches it, or compute it
    choice = best(survey);
  }
  return settled(survey, *choice, std::move(placed), outbox);
}

const Placement::Choice* Placement::best(const Survey& survey) const {
  auto least = std::ranges::min_element(survey.choices, {},
                                        [](const Choice& choice) { return choice.cost.total; });
  return least == survey.choices.end() ? nullptr : &*least;
}

PlaceRefusal Placement::refusal(const Survey& survey, Outbox& outbox) {
  outbox.count(survey.usable > 0 ? "place.full" : "place.noEngine");
  if (survey.usable > 0) return {PlaceFault::kFull, seconds(survey.forecastMs / 1000)};
  return {PlaceFault::kNoEngine, seconds(0.3 + 0.3 * random_.fraction())};
}

bool Placement::planMove(Survey& survey, const Choice& choice, Placed& placed, Outbox& outbox) {
  const Prompt& prompt = survey.prompts[choice.prompt];
  const EngineId& engine = choice.engine->listed.id;
  auto source = fetches_.roomiest(prompt.sources, engine);
  if (!source || plan_.rungs.empty()) return false;
  auto address = addressOf(*source);
  if (!address) return false;
  int urgency = survey.ask.route ? survey.ask.route->urgency : 5;
  Fetch fetch;
  fetch.want.stream = {survey.ask.request.value};
  fetch.want.links = {FetchDesk::linkOf(*source), FetchDesk::linkOf(engine)};
  fetch.className = className(urgency);
  if (auto found = plan_.classes.find(fetch.className); found != plan_.classes.end())
    fetch.want.tenantClass = found->second;
  fetch.want.floorRung = fetch.want.tenantClass.floor;
  fetch.tenant = survey.ask.tenant;
  fetch.source = *source;
  fetch.megabytes = choice.cost.moved * choice.numbers.tokenMegabytes;
  double target = survey.ask.route ? inSeconds(survey.ask.route->target) : 0.5;
  auto last = static_cast<std::int64_t>(plan_.rungs.size()) - 1;
  while (fetch.want.topRung < last &&
         plan_.rungs[static_cast<std::size_t>(fetch.want.topRung)].rate * target * kMoveOfTarget <
             fetch.megabytes)
    ++fetch.want.topRung;
  if (!fetches_.join(std::move(fetch), plan_, survey.now, outbox)) return false;
  placed.collectFrom = std::move(address);
  return true;
}

Placed Placement::settled(Survey& survey, const Choice& choice, Placed placed, Outbox& outbox) {
  placed.engine = choice.engine->listed.id;
  placed.address = choice.engine->listed.address;
  placed.toRead = static_cast<std::int64_t>(choice.cost.toRead);
  placed.forecast = seconds(choice.cost.firstEventMs / 1000);
  Pending pending{placed.engine,
                  survey.ask.service,
                  choice.cost.waitMs,
                  choice.cost.toRead / choice.numbers.speed,
                  choice.cost.toRead + choice.numbers.queueTokens,
                  placed.collectFrom.has_value()};
  if (survey.shape) {
    const Prompt& prompt = survey.prompts[choice.prompt];
    placed.version = prompt.version;
    placed.salt = prompt.salt;
    double begin = choice.numbers.kept + choice.cost.moved;
    // Newly computed blocks are deposited in the store, so that they are computed only once.
    if (begin < choice.numbers.shared) {
      auto kept = std::ranges::find(prompt.holdings, storeId(), &Holding::engine);
      bool there = kept != prompt.holdings.end() && kept->tokens >= survey.shared;
      if (store_ && !there) placed.depositAt = store_->address;
      outbox.count(prompt.reach > choice.kept ? "parts.readAgain" : "parts.readFirst");
    } else {
      outbox.count(placed.collectFrom ? "parts.collected" : "parts.kept");
      // Blocks that the index lists as cached may have been evicted: the engine then fetches them
      // from the store instead of computing them. An engine that still caches all fetches nothing.
      auto stored = std::ranges::find(prompt.holdings, storeId(), &Holding::engine);
      if (!placed.collectFrom && store_ && stored != prompt.holdings.end() &&
          sourceUsable(storeId(), survey.now)) {
        placed.collectFrom = store_->address;
        outbox.count("parts.insured");
      }
    }
  }
  outbox.count("place.placed");
  pending_.insert_or_assign(survey.ask.request.value, std::move(pending));
  return placed;
}

void Placement::firstEvent(RequestId request, Duration took, MonotonicTime now, Outbox& outbox) {
  auto found = pending_.find(request.value);
  if (found == pending_.end()) return;
  const Pending& pending = found->second;
  if (pending.collects) {
    // Queue times are estimates: only a large excess is attributed to a slow link.
    double base = 3 * (pending.waitMs + pending.readMs) + 300;
    fetches_.firstEvent({request.value}, seconds(base / 1000), now, outbox);
  } else {
    speed_.seen(pending.engine, pending.service, pending.tokens, took);
  }
  pending_.erase(found);
}

void Placement::dropped(RequestId request) {
  auto found = pending_.find(request.value);
  if (found == pending_.end()) return;
  if (found->second.collects) fetches_.drop({request.value});
  pending_.erase(found);
}

}  // namespace peppergate
