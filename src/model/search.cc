#include "model/search.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

#include "model/visited_states.h"

namespace peppergate::model {
namespace {

using Clock = std::chrono::steady_clock;

double secondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// One level of the search: all schedules with up to this many departures, spread over threads.
class SearchLevel {
 public:
  SearchLevel(const ModelOptions& options, const SearchBounds& bounds, int departures,
              VisitedStates& states, Clock::time_point start)
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
      threads.emplace_back([this] { runTasks(); });
    for (auto& thread : threads) thread.join();
    return !limitReached_;
  }
  void addTo(SearchReport& report) const {
    report.transitions += transitions_;
    report.schedules += schedules_;
    report.depth = std::max(report.depth, depth_.load());
  }
  bool failed() const { return failingDepartures_.has_value(); }
  const std::vector<Departure>& failingDepartures() const { return *failingDepartures_; }
  const std::string& violation() const { return violation_; }

 private:
  void runTasks() {
    // Each thread bootstraps its own fleet, so that threads share no nodes.
    auto settled = ModelWorld::createSettled(options_);
    if (!settled.ok()) return;
    while (true) {
      std::size_t index = nextTask_++;
      if (index >= tasks_.size() || shouldStop()) return;
      std::vector<Departure> path{tasks_[index]};
      explore(worldAfter(*settled, tasks_[index]), path, departures_ - 1, false);
    }
  }

  static ModelWorld worldAfter(const ModelWorld& settled, const Departure& departure) {
    ModelWorld world = settled;
    while (world.position() < departure.position) world.apply({});
    world.apply(departure.action);
    return world;
  }

  bool shouldStop() {
    if (violationFound_) return true;
    bool limitReached =
        secondsSince(start_) > inSeconds(bounds_.timeLimit) || states_.size() >= bounds_.maxStates;
    if (limitReached) limitReached_ = true;
    return limitReached;
  }

  /// Follows the default order from a world. At each choice point, each departure is explored as a
  /// branch, or queued as a task for the threads.
  void explore(ModelWorld world, std::vector<Departure>& path, int departuresLeft, bool asTasks) {
    while (!world.hasEnded()) {
      if (!states_.visit(world.fingerprint(), departuresLeft)) return;
      if (shouldStop()) return;
      branch(world, path, departuresLeft, asTasks);
      world.apply({});
      ++transitions_;
    }
    world.finish();
    recordEnd(world, path);
  }

  void branch(const ModelWorld& world, std::vector<Departure>& path, int departuresLeft,
              bool asTasks) {
    for (const Action& action : world.choices()) {
      int cost = action.kind == ActionKind::kRelease ? 0 : 1;
      if (cost > departuresLeft) continue;
      ++transitions_;
      if (asTasks) {
        tasks_.push_back({world.position(), action});
        continue;
      }
      path.push_back({world.position(), action});
      ModelWorld branched = world;
      branched.apply(action);
      explore(std::move(branched), path, departuresLeft - cost, false);
      path.pop_back();
    }
  }

  void recordEnd(const ModelWorld& world, const std::vector<Departure>& path) {
    ++schedules_;
    int depth = depth_;
    while (world.position() > depth && !depth_.compare_exchange_weak(depth, world.position())) {
    }
    if (world.checker().violation().empty()) return;
    std::lock_guard lock(mutex_);
    if (failingDepartures_) return;
    failingDepartures_ = path;
    violation_ = world.checker().violation();
    violationFound_ = true;
  }

  const ModelOptions& options_;
  const SearchBounds& bounds_;
  int departures_;
  VisitedStates& states_;
  Clock::time_point start_;
  std::vector<Departure> tasks_;
  std::atomic<std::size_t> nextTask_{0};
  std::atomic<std::uint64_t> transitions_{0}, schedules_{0};
  std::atomic<int> depth_{0};
  std::atomic<bool> violationFound_{false}, limitReached_{false};
  std::mutex mutex_;
  std::optional<std::vector<Departure>> failingDepartures_;
  std::string violation_;
};

}  // namespace

absl::StatusOr<SearchReport> search(const ModelOptions& options, const SearchBounds& bounds) {
  auto settled = ModelWorld::createSettled(options);
  if (!settled.ok()) return settled.status();
  auto start = Clock::now();
  SearchReport report;
  VisitedStates states;
  for (int departures = 0; departures <= bounds.departures; ++departures) {
    SearchLevel level(options, bounds, departures, states, start);
    bool covered = level.run(*settled);
    level.addTo(report);
    report.finished = covered && !level.failed();
    if (report.finished) report.departures = departures;
    if (level.failed()) {
      report.violation = level.violation();
      report.failingSchedule = Schedule{
          options, minimizeDepartures(*settled, level.failingDepartures(), level.violation())};
    }
    if (!report.finished) break;
  }
  report.states = states.size();
  report.seconds = secondsSince(start);
  return report;
}

namespace {

constexpr double kDepartureProbabilityInViewChange = 0.2;  // at least, in steered walks

/// The relative probability of an action's kind in a steered walk.
std::uint64_t actionWeight(ActionKind kind) {
  using enum ActionKind;
  switch (kind) {
    case kJoin:
    case kLeave:
    case kReplace:
    case kWipe:
      return 12;
    case kPartition:
    case kHealPartition:
    case kCrash:
    case kRestart:
    case kFailSync:
      return 6;
    default:
      return 2;
  }
}

/// Picks one of the possible actions: a kind by weight, then one of its targets uniformly.
Action weightedChoice(const std::vector<Action>& choices, Random& random) {
  std::map<ActionKind, std::vector<Action>> actionsByKind;
  for (const Action& action : choices) actionsByKind[action.kind].push_back(action);
  std::uint64_t totalWeight = 0;
  for (const auto& [kind, actions] : actionsByKind) totalWeight += actionWeight(kind);
  std::uint64_t remainingWeight = random.below(totalWeight);
  for (const auto& [kind, actions] : actionsByKind) {
    if (remainingWeight < actionWeight(kind)) return actions[random.below(actions.size())];
    remainingWeight -= actionWeight(kind);
  }
  return {};
}

/// The next action of a random schedule.
Action randomAction(const ModelWorld& world, const WalkBounds& bounds, Random& random) {
  bool steered = bounds.steering == Steering::kReplacements;
  double probability = bounds.departureProbability;
  if (steered && world.isChangingView())
    probability = std::max(probability, kDepartureProbabilityInViewChange);
  if (random.fraction() >= probability) return {};
  auto choices = world.choices();
  if (choices.empty()) return {};
  return steered ? weightedChoice(choices, random) : choices[random.below(choices.size())];
}

/// Runs one random schedule; appends its departures to `path`.
ModelWorld runRandomSchedule(const ModelWorld& settled, const WalkBounds& bounds, Random& random,
                             std::vector<Departure>& path, VisitedStates& states) {
  ModelWorld world = settled;
  while (!world.hasEnded()) {
    states.visit(world.fingerprint(), 0);
    Action action = randomAction(world, bounds, random);
    if (action.kind != ActionKind::kContinue) path.push_back({world.position(), action});
    world.apply(action);
  }
  return world;
}

/// The name of the broken rule, without the details of the schedule.
std::string brokenRule(const std::string& violation) {
  std::string rule = violation.substr(0, violation.find(':'));
  std::erase_if(rule, [](char letter) { return letter >= '0' && letter <= '9'; });
  return rule;
}

/// Random schedules, run by several threads into one shared report.
struct WalkRunner {
  const ModelOptions& options;
  const WalkBounds& bounds;
  Clock::time_point start = Clock::now();
  VisitedStates states{};
  std::atomic<std::uint64_t> nextSeed;
  std::mutex mutex{};
  WalkReport report{};

  void run() {
    while (secondsSince(start) < inSeconds(bounds.timeLimit)) {
      std::uint64_t seed = nextSeed++;
      if (seed > bounds.lastSeed) return;
      runWalk(seed);
    }
  }

  void runWalk(std::uint64_t seed) {
    ModelOptions walkOptions = options;
    walkOptions.seed = seed;
    auto settled = ModelWorld::createSettled(walkOptions);
    std::vector<Departure> path;
    if (!settled.ok()) {
      record(0, std::string(settled.status().message()), Schedule{walkOptions, {}});
      return;
    }
    Random random(seed);
    ModelWorld world = runRandomSchedule(*settled, bounds, random, path, states);
    world.finish();
    std::string violation = world.checker().violation();
    if (!violation.empty()) path = minimizeDepartures(*settled, path, violation);
    record(world.position(), violation, Schedule{walkOptions, path});
  }

  void record(int depth, const std::string& violation, Schedule schedule) {
    std::lock_guard lock(mutex);
    ++report.walks;
    report.transitions += static_cast<std::uint64_t>(depth);
    report.depth = std::max(report.depth, depth);
    if (violation.empty()) return;
    ++report.failed;
    ++report.walksByRule[brokenRule(violation)];
    bool keepsPrevious = report.failingSchedule &&
                         report.failingSchedule->departures.size() <= schedule.departures.size();
    if (keepsPrevious) return;
    report.failingSchedule = std::move(schedule);
    report.violation = violation;
  }
};

}  // namespace

absl::StatusOr<WalkReport> runWalks(const ModelOptions& options, const WalkBounds& bounds) {
  if (auto status = checkOptions(options); !status.ok()) return status;
  WalkRunner runner{.options = options, .bounds = bounds, .nextSeed = bounds.firstSeed};
  std::vector<std::thread> threads;
  for (unsigned index = 0; index < std::max(1U, bounds.threads); ++index)
    threads.emplace_back([&] { runner.run(); });
  for (auto& thread : threads) thread.join();
  WalkReport& report = runner.report;
  report.states = runner.states.size();
  report.seconds = secondsSince(runner.start);
  return report;
}

}  // namespace peppergate::model
