// The prefix block index (gaps, epochs, evictions, lookups) and the watcher that feeds it.
#include "prompts/prefix_block_index.h"

#include "core/engine_list.h"
#include "core/random.h"
#include "prompts/prefix_cache_watcher.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

const std::string kSalt = "/llm.1";
const EngineId kEngineOne{"e1"}, kEngineTwo{"e2"};

struct CachedTokens {
  std::string part;
  std::int64_t tokens = 0;
};

PrefixBlockUpdate makeUpdate(const EngineId& engine, std::uint64_t epoch, std::uint64_t from,
                             std::uint64_t next, std::vector<CachedTokens> cached,
                             bool whole = false) {
  PrefixBlockUpdate update{engine, epoch, from, next, whole, {}, {}, {}};
  for (const auto& one : cached) {
    update.salts.push_back(update.salts.empty() ? kSalt : "");
    update.blocks.push_back(one.part);
    update.tokens.push_back(one.tokens);
  }
  return update;
}

const std::vector<PromptBlock> kPrompt{{"a", 800}, {"b", 400}, {"c", 300}};

}  // namespace

TEST_GROUP(PrefixBlockIndex){};

TEST(PrefixBlockIndex, CachedTokensAreCompleteBlocksAndPartOfTheNext) {
  PrefixBlockIndex index;
  CHECK(index.apply(makeUpdate(kEngineOne, 7, 0, 3, {{"a", 800}, {"b", 128}, {"c", 300}})));
  LONGS_EQUAL(928,
              index.cachedTokens(kEngineOne, kSalt, kPrompt));  // c is cached, but b is incomplete
  LONGS_EQUAL(0, index.cachedTokens(kEngineTwo, kSalt, kPrompt));
  LONGS_EQUAL(0, index.cachedTokens(kEngineOne, "/llm.2", kPrompt));
  CHECK(index.apply(makeUpdate(kEngineTwo, 9, 0, 2, {{"b", 400}, {"c", 300}})));
  LONGS_EQUAL(0,
              index.cachedTokens(kEngineTwo, kSalt, kPrompt));  // a, which precedes b, isn't cached
  auto holdings = index.cachedPrefixes(kSalt, kPrompt);
  LONGS_EQUAL(1, holdings.size());
  LONGS_EQUAL(928, holdings[0].tokens);
  LONGS_EQUAL(1, index.enginesWithBlock(kSalt, "a").size());
  LONGS_EQUAL(2, index.engineCount(kSalt, "b"));
}

TEST(PrefixBlockIndex, ABlockWithoutItsLastTokensIsComplete) {
  PrefixBlockIndex index;
  index.apply(makeUpdate(kEngineOne, 7, 0, 2, {{"a", 790}, {"b", 400}}));
  LONGS_EQUAL(1190, index.cachedTokens(kEngineOne, kSalt, kPrompt));
}

TEST(PrefixBlockIndex, AGapIsReportedOnceAndItsUpdateStillApplies) {
  PrefixBlockIndex index;
  CHECK(index.apply(makeUpdate(kEngineOne, 7, 0, 3, {{"a", 800}})));
  CHECK_FALSE(index.apply(makeUpdate(kEngineOne, 7, 5, 6, {{"b", 400}})));
  LONGS_EQUAL(1200, index.cachedTokens(kEngineOne, kSalt, kPrompt));
  CHECK(index.apply(makeUpdate(kEngineOne, 7, 6, 8, {{"a", 0}})));
  LONGS_EQUAL(0, index.cachedTokens(kEngineOne, kSalt, kPrompt));
  CHECK(index.apply(makeUpdate(kEngineOne, 7, 0, 3, {{"a", 800}})));  // outdated: changes nothing
  LONGS_EQUAL(0, index.cachedTokens(kEngineOne, kSalt, kPrompt));
  CHECK(index.apply(makeUpdate(kEngineOne, 7, 9, 9, {{"a", 800}}, true)));
  LONGS_EQUAL(1, index.size());  // a complete update: b is removed
}

TEST(PrefixBlockIndex, ANewEpochClearsTheEntries) {
  PrefixBlockIndex index;
  index.apply(makeUpdate(kEngineOne, 7, 0, 3, {{"a", 800}, {"b", 400}}));
  index.recordExpected(kEngineOne, kSalt, kPrompt);
  LONGS_EQUAL(1500, index.cachedTokens(kEngineOne, kSalt, kPrompt));
  CHECK(index.apply(makeUpdate(kEngineOne, 8, 0, 1, {{"a", 800}})));
  LONGS_EQUAL(800, index.cachedTokens(kEngineOne, kSalt, kPrompt));
  CHECK_EQUAL(8, index.knownPosition(kEngineOne)->epoch);
  index.removeEngine(kEngineOne);
  LONGS_EQUAL(0, index.size());
  CHECK_FALSE(index.knownPosition(kEngineOne).has_value());
}

TEST(PrefixBlockIndex, CompleteUpdatesRebuildTheSameEntries) {
  PrefixBlockIndex index, copy;
  index.apply(makeUpdate(kEngineOne, 7, 0, 4, {{"a", 800}, {"b", 400}}));
  index.recordExpected(kEngineOne, "4:desk/llm.1", kPrompt);
  CHECK(copy.apply(index.completeUpdate(kEngineOne)));
  CHECK_EQUAL(index.size(), copy.size());
  LONGS_EQUAL(1200, copy.cachedTokens(kEngineOne, kSalt, kPrompt));
  LONGS_EQUAL(1500, copy.cachedTokens(kEngineOne, "4:desk/llm.1", kPrompt));
  CHECK_EQUAL(4, copy.knownPosition(kEngineOne)->next);
}

TEST(PrefixBlockIndex, RandomChangesAgreeWithAPlainMap) {
  Random random(5);
  PrefixBlockIndex index;
  std::map<std::pair<std::uint64_t, std::string>, std::int64_t> plain;
  std::map<std::uint64_t, std::uint64_t> next;
  for (int step = 0; step < 20000; ++step) {
    std::uint64_t engine = random.below(6);
    EngineId id{"e" + std::to_string(engine)};
    if (random.below(500) == 0) {
      index.removeEngine(id);
      next[engine] = 0;
      std::erase_if(plain, [&](const auto& entry) { return entry.first.first == engine; });
      continue;
    }
    std::string part = "p" + std::to_string(random.below(40));
    std::int64_t tokens =
        random.below(3) == 0 ? 0 : static_cast<std::int64_t>(1 + random.below(900));
    CHECK(index.apply(makeUpdate(id, 1, next[engine], next[engine] + 1, {{part, tokens}})));
    ++next[engine];
    if (tokens == 0) plain.erase({engine, part});
    else plain[{engine, part}] = tokens;
    if (step % 100 != 0) continue;
    CHECK_EQUAL(plain.size(), index.size());
    for (const auto& [key, kept] : plain) {
      std::vector<PromptBlock> one{{key.second, 10000}};
      CHECK_EQUAL(kept, index.cachedTokens({"e" + std::to_string(key.first)}, kSalt, one));
    }
  }
}

// ---- the watcher ----
namespace {

struct TestRouter {
  Options options;
  Random random;
  Membership membership;
  PrefixBlockIndex index;
  PrefixCacheWatcher watch;
  Outbox outbox;
  explicit TestRouter(std::uint64_t id)
      : random(id),
        membership(options, record(id), {}, random),
        watch(options, membership, index) {}
  static MemberRecord record(std::uint64_t id) {
    MemberRecord made;
    made.member = {id};
    made.address = {"10.0.0." + std::to_string(id) + ":1"};
    made.heartbeat = 1;
    return made;
  }
  void discovers(std::uint64_t id) {
    Shuffle shuffle;
    shuffle.sender = record(id);
    membership.handle(shuffle, at(0), outbox);
  }
};

const std::vector<std::pair<EngineId, Address>> kCaches{
    {kEngineOne, {"10.1.0.1:80"}}, {kEngineTwo, {"10.1.0.2:80"}}, {storeId(), {"10.1.0.3:80"}}};

PrefixBlocksPolled answerTo(const PollPrefixBlocks& poll, std::uint64_t epoch, std::uint64_t next,
                            std::vector<PrefixBlockChange> changes, bool lost = false) {
  return {poll.ticket, 200, epoch, next, lost, std::move(changes)};
}

const PollPrefixBlocks* pollOf(const std::vector<PollPrefixBlocks>& polls, const char* address) {
  for (const auto& poll : polls)
    if (poll.address.value == address) return &poll;
  return nullptr;
}

}  // namespace

TEST_GROUP(PrefixCacheWatcher){};

TEST(PrefixCacheWatcher, EachEngineHasOneWatcherAndOneOpenPoll) {
  TestRouter one(1), two(2);
  one.discovers(2);
  two.discovers(1);
  std::size_t polls = 0;
  for (TestRouter* front : {&one, &two}) {
    front->outbox.takeCommands();
    for (int turn = 0; turn < 20; ++turn)
      front->watch.tick(kCaches, at(1 + 0.05 * turn), front->outbox);
    polls += commandsOf<PollPrefixBlocks>(front->outbox.takeCommands()).size();
  }
  LONGS_EQUAL(3, polls);
  for (const auto& [engine, address] : kCaches)
    CHECK(one.watch.watches(engine) != two.watch.watches(engine));
}

TEST(PrefixCacheWatcher, AnswersReachTheOtherRoutersInOneBatch) {
  TestRouter one(1), two(2);
  one.discovers(2);
  one.outbox.takeCommands();
  two.discovers(1);
  for (double time : {1.0, 1.5}) one.watch.tick(kCaches, at(time), one.outbox);
  auto polls = commandsOf<PollPrefixBlocks>(one.outbox.takeCommands());
  CHECK(!polls.empty());
  EngineId engine = polls[0].address.value == "10.1.0.1:80"   ? kEngineOne
                    : polls[0].address.value == "10.1.0.2:80" ? kEngineTwo
                                                              : storeId();
  CHECK(one.watch.handlePoll(
      answerTo(polls[0], 7, 2, {{1, true, kSalt, "a", 800, {}}, {2, true, kSalt, "b", 400, {}}}),
      at(1.6), one.outbox));
  CHECK_FALSE(one.watch.handlePoll(answerTo(polls[0], 7, 2, {}), at(1.6), one.outbox));
  one.watch.tick(kCaches, at(1.65), one.outbox);
  LONGS_EQUAL(0, messagesOf<PrefixBlockUpdate>(one.outbox.takeCommands()).size());
  one.watch.tick(kCaches, at(1.71), one.outbox);
  auto commands = one.outbox.takeCommands();
  auto told = messagesOf<PrefixBlockUpdate>(commands);
  LONGS_EQUAL(1, told.size());
  two.watch.handle({"10.0.0.1:1"}, told[0], at(1.72), two.outbox);
  LONGS_EQUAL(1200, two.index.cachedTokens(engine, kSalt, kPrompt));
  // The next poll continues from there; a lost update makes the other router request the changes.
  auto later = commandsOf<PollPrefixBlocks>(commands);
  const PollPrefixBlocks* next = pollOf(later, polls[0].address.value.c_str());
  CHECK(next != nullptr);
  CHECK_EQUAL(2, next->since);
  two.outbox.takeCommands();
  two.watch.handle({"10.0.0.1:1"}, makeUpdate(engine, 7, 4, 5, {{"c", 300}}), at(2), two.outbox);
  auto asks = messagesOf<PrefixBlockRequest>(two.outbox.takeCommands());
  LONGS_EQUAL(1, asks.size());
  one.outbox.takeCommands();
  one.watch.handlePoll(
      answerTo(*next, 7, 5, {{3, false, kSalt, "b", 0, {}}, {5, true, kSalt, "c", 300, {}}}), at(2),
      one.outbox);
  one.watch.handle({"10.0.0.2:1"}, asks[0], at(2.1), one.outbox);
  auto whole = messagesOf<PrefixBlockUpdate>(one.outbox.takeCommands());
  LONGS_EQUAL(1, whole.size());
  CHECK(whole[0].isComplete);
  two.watch.handle({"10.0.0.1:1"}, whole[0], at(2.2), two.outbox);
  LONGS_EQUAL(800, two.index.cachedTokens(engine, kSalt, kPrompt));
}

TEST(PrefixCacheWatcher, LostChangesCauseAtMostOneListingInTenSeconds) {
  TestRouter one(1);
  std::vector<std::pair<EngineId, Address>> only{kCaches[0]};
  one.watch.tick(only, at(1), one.outbox);
  auto polls = commandsOf<PollPrefixBlocks>(one.outbox.takeCommands());
  LONGS_EQUAL(1, polls.size());
  LONGS_EQUAL(1000, inMilliseconds(polls[0].wait));
  one.watch.handlePoll(answerTo(polls[0], 7, 90, {{90, true, kSalt, "a", 800, {}}}, true), at(1.1),
                       one.outbox);
  one.watch.tick(only, at(1.15), one.outbox);
  auto lists = commandsOf<ListPrefixBlocks>(one.outbox.takeCommands());
  LONGS_EQUAL(1, lists.size());
  one.watch.handleListing({lists[0].ticket, 200, 7, 95, {{0, true, kSalt, "b", 400, {}}}}, at(1.2),
                          one.outbox);
  LONGS_EQUAL(1, one.index.size());
  one.watch.tick(only, at(1.25), one.outbox);
  polls = commandsOf<PollPrefixBlocks>(one.outbox.takeCommands());
  CHECK_EQUAL(95, polls[0].since);
  one.watch.handlePoll(answerTo(polls[0], 7, 200, {{200, true, kSalt, "c", 300, {}}}, true), at(3),
                       one.outbox);
  for (double time : {3.0, 3.1, 3.2}) one.watch.tick(only, at(time), one.outbox);
  auto commands = one.outbox.takeCommands();
  LONGS_EQUAL(0, commandsOf<ListPrefixBlocks>(commands).size());  // the gap is tolerated
  LONGS_EQUAL(1, commandsOf<PollPrefixBlocks>(commands).size());
}

TEST(PrefixCacheWatcher, ARestartedEngineIsPolledFromItsStart) {
  TestRouter one(1);
  std::vector<std::pair<EngineId, Address>> only{kCaches[0]};
  one.watch.tick(only, at(1), one.outbox);
  auto poll = commandsOf<PollPrefixBlocks>(one.outbox.takeCommands())[0];
  one.watch.handlePoll(answerTo(poll, 7, 9, {{9, true, kSalt, "a", 800, {}}}), at(1.1), one.outbox);
  one.watch.tick(only, at(1.3), one.outbox);
  poll = commandsOf<PollPrefixBlocks>(one.outbox.takeCommands())[0];
  one.watch.handlePoll(answerTo(poll, 8, 12, {{12, true, kSalt, "b", 400, {}}}), at(1.4),
                       one.outbox);
  LONGS_EQUAL(0, one.index.size());
  one.watch.tick(only, at(1.4), one.outbox);
  poll = commandsOf<PollPrefixBlocks>(one.outbox.takeCommands())[0];
  CHECK_EQUAL(0, poll.since);
  one.watch.handlePoll(
      answerTo(poll, 8, 12, {{11, true, kSalt, "a", 800, {}}, {12, true, kSalt, "b", 400, {}}}),
      at(1.5), one.outbox);
  LONGS_EQUAL(1200, one.index.cachedTokens(kEngineOne, kSalt, kPrompt));
}

TEST(PrefixCacheWatcher, AnUnresponsiveStoreLosesItsEntries) {
  TestRouter one(1);
  std::vector<std::pair<EngineId, Address>> only{kCaches[2]};
  one.watch.tick(only, at(1), one.outbox);
  auto poll = commandsOf<PollPrefixBlocks>(one.outbox.takeCommands())[0];
  one.watch.handlePoll(answerTo(poll, 7, 9, {{9, true, kSalt, "a", 800, {}}}), at(1.1), one.outbox);
  double time = 1.3;
  for (int failure = 0; failure < 2; ++failure, time += 1) {
    one.watch.tick(only, at(time), one.outbox);
    auto polls = commandsOf<PollPrefixBlocks>(one.outbox.takeCommands());
    LONGS_EQUAL(1, polls.size());
    one.watch.handlePoll({polls[0].ticket, 0, 0, 0, false, {}}, at(time), one.outbox);
    one.watch.tick(only, at(time + 0.4), one.outbox);
    LONGS_EQUAL(0, commandsOf<PollPrefixBlocks>(one.outbox.takeCommands())
                       .size());  // retried after half a second
  }
  LONGS_EQUAL(0, one.index.size());
  one.watch.tick(only, at(time + 1), one.outbox);
  auto back = commandsOf<PollPrefixBlocks>(one.outbox.takeCommands());
  LONGS_EQUAL(1, back.size());
  CHECK_EQUAL(0, back[0].since);
  one.watch.handlePoll(answerTo(back[0], 7, 9, {{9, true, kSalt, "a", 800, {}}}), at(time + 1),
                       one.outbox);
  LONGS_EQUAL(800, one.index.cachedTokens(storeId(), kSalt, kPrompt));
}
