#include "model/search.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

#include "model/state_set.h"

namespace peppergate::model {
namespace {

using Clock = std::chrono::steady_clock;

double secondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// One level of the search: all schedules with up to this many departures, spread over threads.
class Level {
 public:
  Level(const ModelOptions& options, const SearchBounds& bounds, int departures, StateSet& states,
        Clock::time_point start)
      : options_(options),
        bounds_(bounds),
        departures_(departures),
        states_(states),
        start_(start) {}

  /// Runs the level; returns whether all of it was covered.
  bool run(const ModelWorld& settled) {
    std::vector<Departure> path;
    explore(settled, path, departures_, departures_ > 0);
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < std::max(1U, bounds_.threads); ++index)
      threads.emplace_back([this] { work(); });
    for (auto& thread : threads) thread.join();
    return !outOfBounds_;
  }
  void addTo(SearchReport& report) const {
    report.transitions += transitions_;
    report.schedules += schedules_;
    report.depth = std::max(report.depth, depth_.load());
  }
  bool failed() const { return failing_.has_value(); }
  const std::vector<Departure>& failing() const { return *failing_; }
  const std::string& violation() const { return violation_; }

 private:
  void work() {
    // Each thread bootstraps its own fleet, so that threads share no nodes.
    auto settled = ModelWorld::founded(options_);
    if (!settled.ok()) return;
    while (true) {
      std::size_t index = nextTask_++;
      if (index >= tasks_.size() || stops()) return;
      std::vector<Departure> path{tasks_[index]};
      explore(after(*settled, tasks_[index]), path, departures_ - 1, false);
    }
  }

  static ModelWorld after(const ModelWorld& settled, const Departure& departure) {
    ModelWorld world = settled;
    while (world.position() < departure.position) world.apply({});
    world.apply(departure.action);
    return world;
  }

  bool stops() {
    if (found_) return true;
    bool spent =
        secondsSince(start_) > inSeconds(bounds_.time) || states_.size() >= bounds_.mostStates;
    if (spent) outOfBounds_ = true;
    return spent;
  }

  /// Follows the default order from a world. At each choice point, each departure is explored as a
  /// branch, or queued as a task for the threads.
  void explore(ModelWorld world, std::vector<Departure>& path, int left, bool spread) {
    while (!world.ended()) {
      if (!states_.enter(world.fingerprint(), left)) return;
      if (stops()) return;
      branch(world, path, left, spread);
      world.apply({});
      ++transitions_;
    }
    world.finish();
    ended(world, path);
  }

  void branch(const ModelWorld& world, std::vector<Departure>& path, int left, bool spread) {
    for (const Action& action : world.choices()) {
      int cost = action.kind == ActionKind::kRelease ? 0 : 1;
      if (cost > left) continue;
      ++transitions_;
      if (spread) {
        tasks_.push_back({world.position(), action});
        continue;
      }
      path.push_back({world.position(), action});
      ModelWorld other = world;
      other.apply(action);
      explore(std::move(other), path, left - cost, false);
      path.pop_back();
    }
  }

  void ended(const ModelWorld& world, const std::vector<Departure>& path) {
    ++schedules_;
    int depth = depth_;
    while (world.position() > depth && !depth_.compare_exchange_weak(depth, world.position())) {
    }
    if (world.judge().violation().empty()) return;
    std::lock_guard lock(mutex_);
    if (failing_) return;
    failing_ = path;
    violation_ = world.judge().violation();
    found_ = true;
  }

  const ModelOptions& options_;
  const SearchBounds& bounds_;
  int departures_;
  StateSet& states_;
  Clock::time_point start_;
  std::vector<Departure> tasks_;
  std::atomic<std::size_t> nextTask_{0};
  std::atomic<std::uint64_t> transitions_{0}, schedules_{0};
  std::atomic<int> depth_{0};
  std::atomic<bool> found_{false}, outOfBounds_{false};
  std::mutex mutex_;
  std::optional<std::vector<Departure>> failing_;
  std::string violation_;
};

}  // namespace

absl::StatusOr<SearchReport> search(const ModelOptions& options, const SearchBounds& bounds) {
  auto settled = ModelWorld::founded(options);
  if (!settled.ok()) return settled.status();
  auto start = Clock::now();
  SearchReport report;
  StateSet states;
  for (int departures = 0; departures <= bounds.departures; ++departures) {
    Level level(options, bounds, departures, states, start);
    bool whole = level.run(*settled);
    level.addTo(report);
    report.finished = whole && !level.failed();
    if (report.finished) report.departures = departures;
    if (level.failed()) {
      report.violation = level.violation();
      report.failing = Schedule{options, shortened(*settled, level.failing(), level.violation())};
    }
    if (!report.finished) break;
  }
  report.states = states.size();
  report.seconds = secondsSince(start);
  return report;
}

namespace {

constexpr double kShareWhileChanging = 0.2;  // at least, in steered walks

/// The relative probability of an action's kind in a steered walk.
std::uint64_t weightOf(ActionKind kind) {
  using enum ActionKind;
  switch (kind) {
    case kJoin:
    case kLeave:
    case kReplace:
    case kWipe:
      return 12;
    case kCutOff:
    case kReconnect:
    case kCrash:
    case kRestart:
    case kFailSync:
      return 6;
    default:
      return 2;
  }
}

/// Picks one of the possible actions: a kind by weight, then one of its targets uniformly.
Action steeredChoice(const std::vector<Action>& choices, Random& random) {
  std::map<ActionKind, std::vector<Action>> kinds;
  for (const Action& action : choices) kinds[action.kind].push_back(action);
  std::uint64_t sum = 0;
  for (const auto& [kind, actions] : kinds) sum += weightOf(kind);
  std::uint64_t drawn = random.below(sum);
  for (const auto& [kind, actions] : kinds) {
    if (drawn < weightOf(kind)) return actions[random.below(actions.size())];
    drawn -= weightOf(kind);
  }
  return {};
}

/// The next action of a random schedule.
Action randomAction(const ModelWorld& world, const WalkBounds& bounds, Random& random) {
  bool steered = bounds.steering == Steering::kReplacements;
  double share = bounds.departureShare;
  if (steered && world.changesView()) share = std::max(share, kShareWhileChanging);
  if (random.fraction() >= share) return {};
  auto choices = world.choices();
  if (choices.empty()) return {};
  return steered ? steeredChoice(choices, random) : choices[random.below(choices.size())];
}

/// Runs one random schedule; appends its departures to `path`.
ModelWorld randomRun(const ModelWorld& settled, const WalkBounds& bounds, Random& random,
                     std::vector<Departure>& path, StateSet& states) {
  ModelWorld world = settled;
  while (!world.ended()) {
    states.enter(world.fingerprint(), 0);
    Action action = randomAction(world, bounds, random);
    if (action.kind != ActionKind::kContinue) path.push_back({world.position(), action});
    world.apply(action);
  }
  return world;
}

/// The name of the broken rule, without the details of the schedule.
std::string ruleOf(const std::string& violation) {
  std::string rule = violation.substr(0, violation.find(':'));
  std::erase_if(rule, [](char letter) { return letter >= '0' && letter <= '9'; });
  return rule;
}

/// Random schedules, run by several threads into one shared report.
struct Walks {
  const ModelOptions& options;
  const WalkBounds& bounds;
  Clock::time_point start = Clock::now();
  StateSet states{};
  std::atomic<std::uint64_t> nextSeed;
  std::mutex mutex{};
  WalkReport report{};

  void work() {
    while (secondsSince(start) < inSeconds(bounds.time)) {
      std::uint64_t seed = nextSeed++;
      if (seed > bounds.lastSeed) return;
      one(seed);
    }
  }

  void one(std::uint64_t seed) {
    ModelOptions own = options;
    own.seed = seed;
    auto settled = ModelWorld::founded(own);
    std::vector<Departure> path;
    if (!settled.ok()) {
      add(0, std::string(settled.status().message()), Schedule{own, {}});
      return;
    }
    Random random(seed);
    ModelWorld world = randomRun(*settled, bounds, random, path, states);
    world.finish();
    std::string violation = world.judge().violation();
    if (!violation.empty()) path = shortened(*settled, path, violation);
    add(world.position(), violation, Schedule{own, path});
  }

  void add(int depth, const std::string& violation, Schedule schedule) {
    std::lock_guard lock(mutex);
    ++report.walks;
    report.transitions += static_cast<std::uint64_t>(depth);
    report.depth = std::max(report.depth, depth);
    if (violation.empty()) return;
    ++report.failed;
    ++report.violations[ruleOf(violation)];
    bool longer = report.failing && report.failing->departures.size() <= schedule.departures.size();
    if (longer) return;
    report.failing = std::move(schedule);
    report.violation = violation;
  }
};

}  // namespace

absl::StatusOr<WalkReport> walk(const ModelOptions& options, const WalkBounds& bounds) {
  if (auto status = checkOptions(options); !status.ok()) return status;
  Walks walks{.options = options, .bounds = bounds, .nextSeed = bounds.firstSeed};
  std::vector<std::thread> threads;
  for (unsigned index = 0; index < std::max(1U, bounds.threads); ++index)
    threads.emplace_back([&] { walks.work(); });
  for (auto& thread : threads) thread.join();
  WalkReport& report = walks.report;
  report.states = walks.states.size();
  report.seconds = secondsSince(walks.start);
  return report;
}

}  // namespace peppergate::model
