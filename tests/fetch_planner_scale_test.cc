// The processor time of a rerun of the fetch plan, by the number of routers that report link use.
#include <time.h>

#include <algorithm>
#include <string>

#include "core/fetch_planner.h"
#include "core/random.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

constexpr std::size_t kEngines = 140;
constexpr std::size_t kKindsPerRouter = 30;  // paths that a router used in the last seconds
constexpr int kRounds = 5;

double threadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

LinkId linkOf(std::size_t engine) {
  return FetchPlanner::linkOf({"i-" + std::to_string(1000000 + engine)});
}

/// One router's usage notification: transfers between engines drawn at random.
LinkUsageNotification notificationOf(std::uint64_t router, Random& random) {
  LinkUsageNotification note;
  note.router = {router};
  std::map<LinkId, LinkUsage> links;
  for (std::size_t index = 0; index < kKindsPerRouter; ++index) {
    StreamMix mix;
    mix.className = "normal";
    mix.topRung = 3;
    mix.path = {linkOf(random.below(kEngines)), linkOf(random.below(kEngines))};
    mix.count = 0.1;
    for (const auto& link : mix.path) links[link].usableFraction = 0.75;
    note.streamMixes.push_back(std::move(mix));
  }
  for (auto& [link, usage] : links) {
    usage.link = link;
    note.links.push_back(usage);
  }
  return note;
}

/// Processor seconds of one round: every router's notification is recorded, and the plan is rerun.
/// The minimum of several rounds, so that other load on the machine has little effect.
double secondsPerRound(std::uint64_t routers) {
  Options options;
  Outbox outbox;
  Random random(routers);
  FetchPlanner planner(options);
  std::map<LinkId, LinkConfig> configured;
  for (std::size_t engine = 0; engine < kEngines; ++engine)
    configured[linkOf(engine)] = {46000, {}};
  planner.updateLinks(configured);
  Setup setup;
  setup.rungs = {{"least", 1000}, {"some", 4000}, {"more", 16000}, {"most", 46000}};
  setup.classes["normal"] = {};
  std::vector<LinkUsageNotification> notes;
  for (std::uint64_t router = 1; router <= routers; ++router)
    notes.push_back(notificationOf(router, random));
  double fastest = 1e9;
  MonotonicTime now = at(100);
  for (int round = 0; round < kRounds; ++round, now = now + seconds(1)) {
    double startedAt = threadSeconds();
    for (const auto& note : notes) planner.record(note, now);
    planner.tick(setup, now, outbox);
    fastest = std::min(fastest, threadSeconds() - startedAt);
  }
  CHECK_EQUAL(kRounds, outbox.counters().at("fetch.reruns"));
  return fastest;
}

}  // namespace

TEST_GROUP(FetchDeskScale){};

TEST(FetchDeskScale, RerunTimeIsProportionalToTheNumberOfRouters) {
  // Four times the routers send four times the notifications; lookups in larger tables add to that.
  constexpr double kMaxGrowth = 7;
  double few = secondsPerRound(20), many = secondsPerRound(80);
  std::printf("\nrerun: %.2f ms with 20 routers, %.2f ms with 80\n", few * 1e3, many * 1e3);
  CHECK(many < few * kMaxGrowth);
}
