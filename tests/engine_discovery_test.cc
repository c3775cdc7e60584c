// Engine discovery in a small simulated fleet: staleness, cost and failover of the polling node.
#include "engines/engine_discovery.h"

#include <algorithm>
#include <functional>
#include <memory>

#include "engines/engine_registry.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

Engine engineNamed(const std::string& id, const std::string& address) {
  Engine engine;
  engine.id = {id};
  engine.service = {"s"};
  engine.address = {address};
  engine.zone = {"z1"};
  engine.models[{"m"}] = {1};
  return engine;
}

/// One daemon with its engine discovery and its engine registry.
struct Daemon {
  Daemon(const Options& options, MemberRecord record, std::uint64_t seed)
      : random(seed),
        membership(options, std::move(record), {}, random),
        book(options),
        lister(options, membership, random) {}
  Random random;
  Membership membership;
  EngineRegistry book;
  EngineDiscovery lister;
  Outbox outbox;
  ListVersion appliedVersion;
  bool isPoller = false, partitioned = false, platformUnreachable = false;
  Epoch term{1};
};

struct Fleet {
  Fleet(std::size_t cores, std::size_t fronts, Options with = {}) : options(with) {
    for (std::size_t index = 0; index < cores + fronts; ++index) {
      MemberRecord record;
      record.member = {index + 1};
      record.address = {"d" + std::to_string(index)};
      record.role = index < cores ? Role::kCore : Role::kRouter;
      records.push_back(record);
      daemons.push_back(std::make_unique<Daemon>(options, record, index + 1));
    }
    for (auto& daemon : daemons)
      for (const auto& record : records) {
        Shuffle shuffle;
        shuffle.sender = record;
        daemon->membership.handle(shuffle, now, daemon->outbox);
        daemon->outbox.takeCommands();
      }
    for (int index = 0; index < 6; ++index)
      platform.push_back(engineNamed("e" + std::to_string(index), "a" + std::to_string(index)));
    setLeader(0, 1);
  }
  void setLeader(std::size_t core, std::uint64_t term) {
    for (auto& daemon : daemons) daemon->isPoller = false;
    daemons[core]->isPoller = true;
    daemons[core]->term = {term};
  }
  void call(std::size_t caller, const ListEngines& command) {
    ++calls;
    recentCalls.push_back(now);
    std::erase_if(recentCalls, [&](MonotonicTime time) { return now - time > seconds(1); });
    maxCallsInASecond = std::max(maxCallsInASecond, recentCalls.size());
    EnginesListed page{command.ticket, 200, {}, {}};
    if (daemons[caller]->platformUnreachable || platformDown) page.status = 0;
    else if (static_cast<double>(recentCalls.size()) > options.listRate) page.status = 429;
    Duration wait = page.status == 0 ? command.timeout : milliseconds(10);
    if (page.status == 200) {
      std::size_t from = command.page.empty() ? 0 : std::stoul(command.page);
      std::size_t to = std::min(platform.size(), from + pageSize);
      page.engines.assign(platform.begin() + static_cast<std::ptrdiff_t>(from),
                          platform.begin() + static_cast<std::ptrdiff_t>(to));
      if (to < platform.size()) page.nextPage = std::to_string(to);
    }
    if (page.status == 429) ++rateLimited;
    scheduled.push_back({now + wait, [this, caller, page] {
                           daemons[caller]->lister.handlePage(page, now, daemons[caller]->outbox);
                         }});
  }
  void send(std::size_t from, const Send& send) {
    std::size_t to = std::stoul(send.to.value.substr(1));
    if (daemons[from]->partitioned || daemons[to]->partitioned) return;
    if (random.fraction() < loss) return;
    Address sender = records[from].address;
    Duration delay = milliseconds(1 + static_cast<std::int64_t>(random.below(20)));
    if (auto* news = std::get_if<DiscoveredEnginesUpdate>(&send.message)) {
      ++stateUpdatesSent;
      bytes += news->list.size() + 30;
      scheduled.push_back({now + delay, [this, to, sender, news = *news] {
                             daemons[to]->lister.handle(sender, news, now, daemons[to]->outbox);
                           }});
    }
    if (auto* ask = std::get_if<DiscoveredEnginesRequest>(&send.message))
      scheduled.push_back({now + delay, [this, to, sender, ask = *ask] {
                             daemons[to]->lister.handle(sender, ask, now, daemons[to]->outbox);
                           }});
  }
  void run(double until) {
    while (now < at(until)) {
      std::vector<std::function<void()>> due;
      std::erase_if(scheduled, [&](const auto& entry) {
        if (entry.first > now) return false;
        due.push_back(entry.second);
        return true;
      });
      for (const auto& event : due) event();
      for (std::size_t index = 0; index < daemons.size(); ++index) {
        Daemon& daemon = *daemons[index];
        daemon.lister.tick(daemon.isPoller, daemon.term, now, daemon.outbox);
        daemon.book.tick(now);
        if (daemon.lister.version() != daemon.appliedVersion) {
          daemon.appliedVersion = daemon.lister.version();
          daemon.book.update(daemon.lister.engines(), daemon.appliedVersion, now);
          daemon.book.setLoading(daemon.lister.loadingEngines(), now);
        }
        for (const auto& command : daemon.outbox.takeCommands()) {
          if (auto* list = std::get_if<ListEngines>(&command)) call(index, *list);
          if (auto* one = std::get_if<Send>(&command)) send(index, *one);
          if (auto* all = std::get_if<Broadcast>(&command))
            for (const auto& to : all->to) send(index, Send{to, *all->message});
        }
      }
      now = now + milliseconds(10);
    }
  }
  /// Whether any router would still send requests to an engine.
  bool anyRouterUses(const std::string& id) const {
    return std::ranges::any_of(daemons, [&](const auto& daemon) {
      if (daemon->membership.self().role != Role::kRouter) return false;
      const EngineState* engine = daemon->book.find({id});
      return engine && daemon->book.usable(*engine, now);
    });
  }
  bool allListCount(std::size_t count) const {
    return std::ranges::all_of(
        daemons, [&](const auto& daemon) { return daemon->lister.engines().size() == count; });
  }

  static Options withHighListRate() {
    Options options;
    options.listRate = 47;
    return options;
  }
  Options options;
  Random random{99};
  std::vector<MemberRecord> records;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<Engine> platform;
  std::vector<std::pair<MonotonicTime, std::function<void()>>> scheduled;
  std::vector<MonotonicTime> recentCalls;
  MonotonicTime now = at(0);
  std::size_t calls = 0, maxCallsInASecond = 0, rateLimited = 0, stateUpdatesSent = 0, bytes = 0,
              pageSize = 4;
  double loss = 0;
  bool platformDown = false;
};

}  // namespace

TEST_GROUP(EnginesLister){};

TEST(EnginesLister, DrainsReachAllRoutersWithinThreeSeconds) {
  struct Row {
    const char* name;
    void (*trouble)(Fleet&);
    double within;
  };
  constexpr std::array<Row, 7> kRows{{
      {"no fault", [](Fleet&) {}, 0.7},
      {"a fifth of the messages lost", [](Fleet& fleet) { fleet.loss = 0.2; }, 2.2},
      {"polling node partitioned", [](Fleet& fleet) { fleet.daemons[0]->partitioned = true; }, 2.7},
      {"no polling node", [](Fleet& fleet) { fleet.daemons[0]->isPoller = false; }, 2.7},
      {"polling node without the platform",
       [](Fleet& fleet) { fleet.daemons[0]->platformUnreachable = true; }, 2.7},
      {"one router partitioned", [](Fleet& fleet) { fleet.daemons[5]->partitioned = true; }, 2.7},
      {"change of leader", [](Fleet& fleet) { fleet.setLeader(1, 2); }, 0.7},
  }};
  for (const auto& row : kRows) {
    for (int shift = 0; shift < 10; ++shift) {  // any time between two polls
      Fleet fleet(3, 9, Fleet::withHighListRate());
      fleet.run(4 + 0.05 * shift);
      CHECK_TEXT(fleet.allListCount(6), row.name);
      CHECK(fleet.anyRouterUses("e3"));
      row.trouble(fleet);
      fleet.platform[3].draining = true;
      double shown = 4 + 0.05 * shift;
      while (fleet.anyRouterUses("e3") && fleet.now < at(shown + 5))
        fleet.run(inSeconds(fleet.now - at(0)) + 0.01);
      double took = inSeconds(fleet.now - at(shown));
      CHECK_TEXT(took < row.within, (std::string(row.name) + ": " + std::to_string(took)).c_str());
    }
  }
}

TEST(EnginesLister, CallsStayBelowAThirdOfTheRateLimit) {
  struct Row {
    std::size_t fronts, pageSize;
    double rate;
    bool lister;
  };
  constexpr std::array<Row, 6> kRows{{{9, 50, 47, true},
                                      {9, 2, 47, true},
                                      {9, 1, 10, true},
                                      {9, 50, 47, false},
                                      {9, 50, 10, false},
                                      {40, 2, 47, false}}};
  for (const auto& row : kRows) {
    Options options;
    options.listRate = row.rate;
    Fleet fleet(3, row.fronts, options);
    fleet.pageSize = row.pageSize;
    fleet.run(6);
    if (!row.lister) fleet.daemons[0]->isPoller = false;
    fleet.run(12);  // after the first polls by the routers themselves
    std::size_t before = fleet.calls;
    fleet.run(32);
    double each = static_cast<double>(fleet.calls - before) / 20;
    CHECK_TEXT(each <= row.rate / 3 * 1.05, std::to_string(each).c_str());
    CHECK(each > 0.2);
  }
}

TEST(EnginesLister, RateLimitRejectionsCauseABackoff) {
  Options options;
  options.listRate = 47;
  Fleet fleet(3, 2, options);
  fleet.run(2);
  fleet.options.listRate = 0;  // the platform rejects all calls
  std::size_t before = fleet.calls;
  fleet.daemons[1]->partitioned = fleet.daemons[2]->partitioned = true;
  fleet.run(22);
  CHECK(fleet.calls - before < 3 * 20 / 3);
  fleet.options.listRate = 47;
  fleet.platform.pop_back();
  fleet.run(29);
  CHECK(fleet.daemons[3]->lister.engines().size() == 5);
}

TEST(EnginesLister, AnUnchangedListCausesOnlyConfirmations) {
  Fleet fleet(3, 9, Fleet::withHighListRate());
  fleet.run(5);
  ListVersion version = fleet.daemons[4]->lister.version();
  std::size_t bytes = fleet.bytes, news = fleet.stateUpdatesSent;
  fleet.platform[0].warmupLeft = milliseconds(0);
  fleet.run(15);
  CHECK(fleet.daemons[4]->lister.version() == version);
  CHECK(fleet.bytes - bytes == (fleet.stateUpdatesSent - news) * 30);  // none contains a list
  CHECK(fleet.stateUpdatesSent - news <= 11 * 2 * 10 + 22);
  CHECK(fleet.now - fleet.daemons[4]->lister.confirmedAt() < seconds(0.7));
}

TEST(EnginesLister, AWarmUpCountdownIsNoChangeButItsEndIs) {
  Fleet fleet(1, 1, Fleet::withHighListRate());
  fleet.platform[0].warmupLeft = seconds(3);
  fleet.run(2);
  ListVersion version = fleet.daemons[1]->lister.version();
  fleet.platform[0].warmupLeft = seconds(1);
  fleet.run(4);
  CHECK(fleet.daemons[1]->lister.version() == version);
  fleet.platform[0].warmupLeft = {};
  fleet.run(6);
  CHECK(fleet.daemons[1]->lister.version() != version);
}

TEST(EnginesLister, RoutersReturnToTheDistributedList) {
  Fleet fleet(3, 4, Fleet::withHighListRate());
  fleet.run(4);
  fleet.daemons[0]->isPoller = false;
  fleet.platform.pop_back();
  fleet.run(8);
  Daemon& front = *fleet.daemons[5];
  CHECK(front.lister.isSelfPolling(fleet.now));
  LONGS_EQUAL(5, front.lister.engines().size());
  LONGS_EQUAL(6, fleet.daemons[1]->lister.engines().size());  // own lists aren't distributed
  fleet.setLeader(2, 2);
  fleet.platform.pop_back();
  fleet.run(11);
  CHECK(!front.lister.isSelfPolling(fleet.now));
  CHECK(fleet.allListCount(4));
  for (const auto& daemon : fleet.daemons)
    CHECK(daemon->lister.version() == fleet.daemons[2]->lister.version());
}

TEST(EnginesLister, TwoPollingNodesOfOneTermConverge) {
  Fleet fleet(3, 4, Fleet::withHighListRate());
  fleet.run(3);
  for (std::size_t index : {0U, 3U, 4U}) fleet.daemons[index]->partitioned = true;
  fleet.daemons[1]->isPoller = true;  // read-only leader of the other partition, in the same view
  fleet.platform[0].draining = true;
  fleet.run(5);
  fleet.platform[1].draining = true;
  fleet.run(7);
  fleet.daemons[1]->isPoller = false;
  for (auto& daemon : fleet.daemons) daemon->partitioned = false;
  fleet.run(10);
  for (const auto& daemon : fleet.daemons)
    CHECK(daemon->lister.version() == fleet.daemons[0]->lister.version());
  CHECK(!fleet.anyRouterUses("e0") && !fleet.anyRouterUses("e1") && fleet.anyRouterUses("e2"));
}

TEST(EnginesLister, UpdatesOfAnOlderTermAreIgnored) {
  Fleet fleet(3, 3, Fleet::withHighListRate());
  fleet.run(3);
  Daemon& front = *fleet.daemons[4];
  ListVersion old = fleet.daemons[0]->lister.version();
  std::string oldList = encodeList({fleet.daemons[0]->lister.engines(), {}});
  fleet.setLeader(1, 2);
  fleet.platform[2].draining = true;
  fleet.run(5);
  ListVersion version = front.lister.version();
  CHECK(!front.lister.handle({"d0"}, {old, {}, oldList}, fleet.now, front.outbox));
  CHECK(!front.lister.handle({"d0"}, {old, {}, {}}, fleet.now, front.outbox));
  CHECK(front.lister.version() == version);
  CHECK(!fleet.anyRouterUses("e2"));
}

TEST(EnginesLister, LoadingEnginesAreSentAtOnceAndExpireWithoutTheirLeader) {
  Fleet fleet(2, 3, Fleet::withHighListRate());
  fleet.run(3.2);
  Daemon& primary = *fleet.daemons[0];
  primary.lister.setLoading({{"e4"}, {"e1"}}, fleet.now, primary.outbox);
  fleet.run(3.25);
  CHECK(!fleet.anyRouterUses("e1") && !fleet.anyRouterUses("e4") && fleet.anyRouterUses("e2"));
  fleet.run(4);
  fleet.setLeader(1, 2);  // the new leader doesn't repeat them
  fleet.run(6);
  CHECK(!fleet.anyRouterUses("e1"));
  fleet.run(12);
  CHECK(fleet.anyRouterUses("e1") && fleet.anyRouterUses("e4"));
}

TEST(EnginesLister, LoadingEnginesExpireAtRoutersWithoutUpdates) {
  Fleet fleet(2, 3, Fleet::withHighListRate());
  fleet.run(3.2);
  Daemon& primary = *fleet.daemons[0];
  primary.lister.setLoading({{"e1"}}, fleet.now, primary.outbox);
  fleet.run(3.4);
  CHECK(!fleet.anyRouterUses("e1"));
  primary.isPoller = false;
  fleet.run(7);
  CHECK(!fleet.anyRouterUses("e1"));
  fleet.run(9);
  CHECK(fleet.anyRouterUses("e1"));
}

TEST(EnginesLister, TheNewerOfTwoListsApplies) {
  Fleet fleet(1, 1, Fleet::withHighListRate());
  fleet.run(3);
  fleet.daemons[0]->isPoller = false;
  fleet.platform[0].draining = true;
  fleet.run(6);
  Daemon& front = *fleet.daemons[1];
  CHECK(!fleet.anyRouterUses("e0"));
  // A list polled before this router's own doesn't revert the drain.
  auto old = fleet.platform;
  old[0].draining = false;
  DiscoveredEnginesUpdate news{{2ULL << 32 | 256}, seconds(3), encodeList({old, {}})};
  CHECK(!front.lister.handle({"d0"}, news, fleet.now, front.outbox));
  CHECK(front.lister.engines()[0].draining);
  news.age = {};
  CHECK(front.lister.handle({"d0"}, news, fleet.now, front.outbox));
  CHECK(!front.lister.engines()[0].draining);
}

TEST(EnginesLister, AnOwnListOlderThanAnUpdateIsDropped) {
  Fleet fleet(1, 1, Fleet::withHighListRate());
  fleet.run(3);
  Daemon& front = *fleet.daemons[1];
  fleet.daemons[0]->isPoller = false;
  front.platformUnreachable = true;
  while (!front.lister.isSelfPolling(fleet.now)) fleet.run(inSeconds(fleet.now - at(0)) + 0.01);
  std::optional<ListEngines> asked;
  while (!asked) {
    fleet.now = fleet.now + milliseconds(10);
    front.lister.tick(false, {}, fleet.now, front.outbox);
    for (const auto& list : commandsOf<ListEngines>(front.outbox.takeCommands())) asked = list;
  }
  auto newer = fleet.platform;
  newer[0].draining = true;
  MonotonicTime later = fleet.now + milliseconds(100);
  DiscoveredEnginesUpdate news{{2ULL << 32 | 256}, {}, encodeList({newer, {}})};
  CHECK(front.lister.handle({"d0"}, news, later, front.outbox));
  CHECK(front.lister.handlePage({asked->ticket, 200, fleet.platform, {}}, later, front.outbox));
  CHECK(front.lister.engines()[0].draining);
  CHECK(front.lister.version() == news.version);
}

TEST(EnginesLister, ARestartedEngineReplacesItsPredecessorAtTheAddress) {
  Fleet fleet(1, 2, Fleet::withHighListRate());
  fleet.run(3);
  fleet.platform[2] = engineNamed("e9", "a2");
  fleet.run(4);
  CHECK(!fleet.anyRouterUses("e2") && fleet.anyRouterUses("e9"));
}

TEST(EnginesLister, EncodingsRoundTripAndInvalidOnesAreRejected) {
  DiscoveredEngines before{{engineNamed("a", "1"), engineNamed("b", "2"), engineNamed("c", "3")},
                           {{"b"}}};
  DiscoveredEngines after = before;
  after.engines.erase(after.engines.begin());
  after.engines[0].draining = true;
  after.engines.push_back(engineNamed("d", "4"));
  after.engines.back().warmupLeft = seconds(2);
  after.loading = {{"d"}};
  DiscoveredEngines read = before;
  CHECK(decodeList(encodeListDelta({7}, before, after), {7}, read) == ListDecodeResult::kApplied);
  CHECK(read.engines == after.engines && read.loading == after.loading);
  DiscoveredEngines whole;
  CHECK(decodeList(encodeList(after), {}, whole) == ListDecodeResult::kApplied);
  CHECK(whole.engines == after.engines && whole.loading == after.loading);
  CHECK(decodeList(encodeListDelta({7}, before, after), {8}, read) ==
        ListDecodeResult::kBaseMismatch);
  for (const auto* bad : {"", "[]", "{", "{\"engines\":[{}],\"loading\":[]}", "{\"engines\":7}",
                          "{\"base\":8,\"engines\":[],\"gone\":[7],\"loading\":[]}"})
    CHECK_TEXT(decodeList(bad, {8}, read) == ListDecodeResult::kMalformed, bad);
  CHECK(read.engines == after.engines);
}
