// The part of Placement that selects candidate engines and computes their costs.
#include "prompts/survey.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr std::size_t kAllUpTo = 64;     // service size up to which all engines are candidates
constexpr std::size_t kMostHolders = 8;  // otherwise, the number of engines that cache a block
constexpr std::size_t kHomeWindow = 8;   // and the number of engines near the home position
constexpr std::int64_t kTinyPart = 128;  // blocks with fewer tokens have no home
constexpr Duration kStartsWithin = seconds(1);  // within which a sent request has started, and
constexpr double kQueueMargin = 2;              // a safety factor on the delay by its queue

constexpr double kKeptForUrgent = 1.0 / 16;  // of the slots, denied to the least urgent requests
constexpr int kLeastUrgent = 9;

/// The share of an engine's slots that a request of this urgency may use. The last slots are
/// reserved for more urgent requests, so that these are never rejected more often.
double slotShareOf(int urgency) {
  return 1 - kKeptForUrgent * std::clamp(urgency, 0, kLeastUrgent) / kLeastUrgent;
}

std::uint64_t hashOf(std::string_view text, std::uint64_t seed) {
  std::uint64_t hash = 1469598103934665603ULL ^ seed;
  for (char letter : text) hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
  return hash;
}
std::uint64_t mixed(std::uint64_t value) { return Random(value).next(); }

}  // namespace

double slotsOf(const EngineState& engine) {
  bool told = engine.told && engine.told->slots > 0;
  return static_cast<double>(told ? engine.told->slots
                                  : std::max<std::int64_t>(1, engine.listed.slots));
}

const Placement::Service& Placement::service(const ServiceName& name) {
  Service& service = services_[name];
  const auto& engines = book_.of(name);
  if (service.version == book_.version() && service.points.size() == engines.size()) return service;
  service.version = book_.version();
  service.points.clear();
  service.byPoint.clear();
  for (const EngineState* engine : engines) {
    service.byPoint.push_back(static_cast<std::uint32_t>(service.points.size()));
    service.points.push_back(mixed(hashOf(engine->listed.id.value, 0)));
  }
  std::ranges::sort(service.byPoint, {},
                    [&](std::uint32_t place) { return service.points[place]; });
  return service;
}

bool Placement::sourceUsable(const EngineId& source, MonotonicTime now) const {
  if (source == storeId()) return store_.has_value();
  const EngineState* engine = std::as_const(book_).find(source);
  return engine != nullptr && !engine->loading && engine->restUntil <= now;
}

std::optional<Address> Placement::addressOf(const EngineId& source) const {
  if (source == storeId()) return store_ ? std::optional(store_->address) : std::nullopt;
  const EngineState* engine = std::as_const(book_).find(source);
  return engine ? std::optional(engine->listed.address) : std::nullopt;
}

Zone Placement::zoneOf(const EngineId& source) const {
  if (source == storeId()) return store_ ? store_->zone : Zone{};
  const EngineState* engine = std::as_const(book_).find(source);
  return engine ? engine->listed.zone : Zone{};
}

Placement::Prompt& Placement::promptOf(Survey& survey, WeightsVersion version) {
  auto found = std::ranges::find(survey.prompts, version, &Prompt::version);
  if (found != survey.prompts.end()) return *found;
  Prompt& prompt = survey.prompts.emplace_back();
  prompt.version = version;
  prompt.salt = saltOf(survey.wall, survey.ask.model, version);
  prompt.holdings = index_.holdings(prompt.salt, survey.ask.parts);
  for (const auto& holding : prompt.holdings) {
    if (holding.tokens < prompt.reach || !sourceUsable(holding.engine, survey.now)) continue;
    if (holding.tokens > prompt.reach) prompt.sources.clear();
    prompt.reach = holding.tokens;
    prompt.sources.push_back(holding.engine);
  }
  return prompt;
}

bool Placement::mayServe(const Survey& survey, WeightsVersion version,
                         Duration beginsWithin) const {
  if (version >= survey.named || !options_.guards(Guard::kOldWeights)) return true;
  MonotonicTime since = namings_.outdatedSince(survey.ask.model, version);
  if (since == kForever) return false;  // there is a newer target, set at an unknown time
  return survey.now - since < options_.weightsWithin - beginsWithin;
}

void Placement::consider(Survey& survey, std::size_t place) {
  const EngineState& engine = *survey.engines[place];
  const auto& tried = survey.ask.tried;
  if (!book_.usable(engine, survey.now) ||
      std::ranges::find(tried, engine.listed.id) != tried.end() ||
      std::ranges::find(survey.choices, place, &Choice::place) != survey.choices.end())
    return;
  Choice choice;
  if (survey.shape) {
    auto model = engine.models.find(survey.ask.model);
    auto version = model == engine.models.end() ? WeightsVersion{1} : model->second;
    if (!mayServe(survey, version, kStartsWithin)) return;
    choice.prompt = static_cast<std::size_t>(&promptOf(survey, version) - survey.prompts.data());
    choice.numbers.olderWeights = version < survey.named;
  }
  ++survey.usable;
  CandidateNumbers& is = choice.numbers;
  is.running = book_.running(engine, survey.now);
  is.slots = slotsOf(engine);
  if (is.running >= is.slots * slotShareOf(survey.ask.urgency)) {
    double waiting = engine.told ? static_cast<double>(engine.told->waiting) : 0;
    survey.forecastMs = std::min(survey.forecastMs, roomForecastMs(is.running, is.slots, waiting));
    return;
  }
  is.queueTokens = book_.queueTokens(engine, survey.now);
  is.speed = speed_.of(engine.listed.id, survey.ask.service);
  if (is.olderWeights) {  // it starts after the queued prefill
    Duration queue = seconds(is.queueTokens / is.speed / 1000);
    WeightsVersion version = survey.prompts[choice.prompt].version;
    if (!mayServe(survey, version, kStartsWithin + queue * kQueueMargin)) return;
  }
  is.otherZone = !zone_.value.empty() && engine.listed.zone != zone_;
  choice.engine = &engine;
  choice.place = place;
  survey.choices.push_back(std::move(choice));
}

void Placement::surveyAll(Survey& survey) {
  for (std::size_t place = 0; place < survey.engines.size(); ++place) consider(survey, place);
}

void Placement::surveySome(Survey& survey) {
  // Large services: the engines that cache the most, those near the home, and some random ones.
  if (survey.shape) {
    Prompt& prompt = promptOf(survey, survey.named);
    auto holdings = prompt.holdings;
    std::size_t most = std::min(holdings.size(), kMostHolders);
    std::ranges::partial_sort(holdings, holdings.begin() + static_cast<std::ptrdiff_t>(most),
                              std::greater{}, &Holding::tokens);
    for (std::size_t index = 0; index < most; ++index) {
      auto found = std::ranges::lower_bound(survey.engines, holdings[index].engine, {},
                                            [](const EngineState* one) { return one->listed.id; });
      if (found != survey.engines.end() && (*found)->listed.id == holdings[index].engine)
        consider(survey, static_cast<std::size_t>(found - survey.engines.begin()));
    }
  }
  for (auto& choice : survey.choices) choice.near = false;
  const auto& order = survey.service.byPoint;
  std::uint64_t key = homeKey(survey);
  auto near = std::ranges::lower_bound(
      order, mixed(key), {}, [&](std::uint32_t place) { return survey.service.points[place]; });
  std::size_t start = static_cast<std::size_t>(near - order.begin());
  for (std::size_t step = 0; key != 0 && step < kHomeWindow; ++step) {
    std::size_t place = order[(start + step) % order.size()];
    consider(survey, place);
    auto choice = std::ranges::find(survey.choices, place, &Choice::place);
    if (choice != survey.choices.end()) choice->near = true;
  }
  std::size_t found = survey.choices.size();
  for (std::size_t tries = 0; tries < 32 && survey.choices.size() < found + 8; ++tries)
    consider(survey, random_.below(survey.engines.size()));
  for (; found < survey.choices.size(); ++found) survey.choices[found].near = false;
}

void Placement::survey(Survey& survey) {
  if (survey.engines.size() <= kAllUpTo) surveyAll(survey);
  else surveySome(survey);
}

std::uint64_t Placement::homeKey(const Survey& survey) const {
  // The largest shared block best characterizes what a prompt has in common with others. A block
  // that most engines cache needs no home. The key doesn't contain the weights version, so a home
  // stays the same across versions.
  if (!survey.shape || survey.ask.parts.size() < 2) return 0;
  std::string salt = saltOf(survey.wall, survey.ask.model, survey.named);
  const PartSize* chosen = nullptr;
  for (const auto& part : survey.ask.parts.first(survey.ask.parts.size() - 1)) {
    if (part.tokens < kTinyPart || (chosen && part.tokens <= chosen->tokens)) continue;
    if (index_.holderCount(salt, part.id) * 2 > survey.engines.size() + 1) continue;
    chosen = &part;
  }
  if (!chosen) return 0;
  return hashOf(chosen->id, hashOf(survey.wall.value, hashOf(survey.ask.model.value, 0))) | 1;
}

void Placement::rate(Survey& survey, bool mayCollect) {
  std::uint64_t key = homeKey(survey);
  std::size_t home = survey.choices.size(), second = home;
  std::uint64_t most = 0, next = 0;
  for (std::size_t index = 0; key != 0 && index < survey.choices.size(); ++index) {
    if (!survey.choices[index].near) continue;
    std::uint64_t rank = mixed(key ^ survey.service.points[survey.choices[index].place]);
    if (rank > most) {
      second = home, next = most;
      home = index, most = rank;
    } else if (rank > next) {
      second = index, next = rank;
    }
  }
  CostWeights weights;
  if (survey.ask.route && survey.ask.route->target > Duration{})
    weights.targetMs = inSeconds(survey.ask.route->target) * 1000;
  for (std::size_t index = 0; index < survey.choices.size(); ++index) {
    Choice& choice = survey.choices[index];
    CandidateNumbers& is = choice.numbers;
    if (key != 0) is.away = index == home ? 0 : index == second ? 0.5 : 1;
    if (survey.shape) priceParts(survey, choice, mayCollect);
    choice.cost = costOf(is, weights);
    // Engines without a cache differ in speed too; ties are broken randomly.
    if (!survey.shape)
      choice.cost.total += choice.engine->firstEventMs * (1 + is.running / is.slots);
    choice.cost.total += random_.fraction() * 2;
  }
}

void Placement::priceParts(Survey& survey, Choice& choice, bool mayCollect) {
  const Prompt& prompt = survey.prompts[choice.prompt];
  const EngineShape& shape = *survey.shape;
  CandidateNumbers& is = choice.numbers;
  auto holding = std::ranges::find(prompt.holdings, choice.engine->listed.id, &Holding::engine);
  choice.kept = holding == prompt.holdings.end() ? 0 : std::min(holding->tokens, survey.tokens);
  is.prompt = static_cast<double>(survey.tokens);
  is.shared = static_cast<double>(survey.shared);
  is.kept = static_cast<double>(choice.kept);
  is.reach = static_cast<double>(std::min(prompt.reach, survey.tokens));
  is.answerOut = static_cast<double>(survey.ask.tokensOut);
  is.room = static_cast<double>(shape.kvTokens);
  is.used = is.running * static_cast<double>(survey.tokens - survey.shared + survey.ask.tokensOut);
  is.tokenMegabytes = static_cast<double>(shape.kvTokenBytes) / 1e6;
  is.linkMegabytes = megabytesOf(shape.linkMbps);
  is.collects = false;
  if (!mayCollect || prompt.sources.empty() || is.reach <= is.kept) return;
  // Assumes the nearest of the best sources; the final choice depends on the links' free capacity.
  is.collects = true;
  is.crossing = 10;
  double wait = 1e9;
  std::size_t looked = std::min(prompt.sources.size(), kMostHolders);
  for (const auto& source : std::span(prompt.sources).first(looked)) {
    int crossing = fetches_.crossing(zoneOf(source), choice.engine->listed.zone);
    is.crossing = std::min(is.crossing, crossing);
    wait = std::min(wait, fetches_.waitAt(source));
    if (looked == 1 && source == storeId() && store_ && store_->linkMbps > 0)
      is.linkMegabytes = std::min(is.linkMegabytes, megabytesOf(store_->linkMbps));
  }
  is.linkWait = 1000 * std::max(wait, fetches_.waitAt(choice.engine->listed.id));
}

}  // namespace peppergate
