// The prefix block index (gaps, epochs, evictions, lookups) and the watcher that feeds it.
#include "prompts/part_index.h"

#include "core/engine_list.h"
#include "core/random.h"
#include "prompts/part_watch.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

const std::string kSalt = "/llm.1";
const EngineId kOne{"e1"}, kTwo{"e2"};

struct Told {
  std::string part;
  std::int64_t tokens = 0;
};

PrefixBlockUpdate news(const EngineId& engine, std::uint64_t epoch, std::uint64_t from,
                       std::uint64_t next, std::vector<Told> told, bool whole = false) {
  PrefixBlockUpdate made{engine, epoch, from, next, whole, {}, {}, {}};
  for (const auto& one : told) {
    made.salts.push_back(made.salts.empty() ? kSalt : "");
    made.parts.push_back(one.part);
    made.tokens.push_back(one.tokens);
  }
  return made;
}

const std::vector<PartSize> kPrompt{{"a", 800}, {"b", 400}, {"c", 300}};

}  // namespace

TEST_GROUP(PartIndex){};

TEST(PartIndex, CachedTokensAreCompleteBlocksAndPartOfTheNext) {
  PartIndex index;
  CHECK(index.hear(news(kOne, 7, 0, 3, {{"a", 800}, {"b", 128}, {"c", 300}})));
  LONGS_EQUAL(928, index.keptTokens(kOne, kSalt, kPrompt));  // c is cached, but b is incomplete
  LONGS_EQUAL(0, index.keptTokens(kTwo, kSalt, kPrompt));
  LONGS_EQUAL(0, index.keptTokens(kOne, "/llm.2", kPrompt));
  CHECK(index.hear(news(kTwo, 9, 0, 2, {{"b", 400}, {"c", 300}})));
  LONGS_EQUAL(0, index.keptTokens(kTwo, kSalt, kPrompt));  // a, which precedes b, isn't cached
  auto holdings = index.holdings(kSalt, kPrompt);
  LONGS_EQUAL(1, holdings.size());
  LONGS_EQUAL(928, holdings[0].tokens);
  LONGS_EQUAL(1, index.holders(kSalt, "a").size());
  LONGS_EQUAL(2, index.holderCount(kSalt, "b"));
}

TEST(PartIndex, ABlockWithoutItsLastTokensIsComplete) {
  PartIndex index;
  index.hear(news(kOne, 7, 0, 2, {{"a", 790}, {"b", 400}}));
  LONGS_EQUAL(1190, index.keptTokens(kOne, kSalt, kPrompt));
}

TEST(PartIndex, AGapIsReportedOnceAndItsUpdateStillApplies) {
  PartIndex index;
  CHECK(index.hear(news(kOne, 7, 0, 3, {{"a", 800}})));
  CHECK_FALSE(index.hear(news(kOne, 7, 5, 6, {{"b", 400}})));
  LONGS_EQUAL(1200, index.keptTokens(kOne, kSalt, kPrompt));
  CHECK(index.hear(news(kOne, 7, 6, 8, {{"a", 0}})));
  LONGS_EQUAL(0, index.keptTokens(kOne, kSalt, kPrompt));
  CHECK(index.hear(news(kOne, 7, 0, 3, {{"a", 800}})));  // outdated: changes nothing
  LONGS_EQUAL(0, index.keptTokens(kOne, kSalt, kPrompt));
  CHECK(index.hear(news(kOne, 7, 9, 9, {{"a", 800}}, true)));
  LONGS_EQUAL(1, index.size());  // a complete update: b is removed
}

TEST(PartIndex, ANewEpochClearsTheEntries) {
  PartIndex index;
  index.hear(news(kOne, 7, 0, 3, {{"a", 800}, {"b", 400}}));
  index.expect(kOne, kSalt, kPrompt);
  LONGS_EQUAL(1500, index.keptTokens(kOne, kSalt, kPrompt));
  CHECK(index.hear(news(kOne, 8, 0, 1, {{"a", 800}})));
  LONGS_EQUAL(800, index.keptTokens(kOne, kSalt, kPrompt));
  CHECK_EQUAL(8, index.known(kOne)->epoch);
  index.forget(kOne);
  LONGS_EQUAL(0, index.size());
  CHECK_FALSE(index.known(kOne).has_value());
}

TEST(PartIndex, CompleteUpdatesRebuildTheSameEntries) {
  PartIndex index, copy;
  index.hear(news(kOne, 7, 0, 4, {{"a", 800}, {"b", 400}}));
  index.expect(kOne, "4:desk/llm.1", kPrompt);
  CHECK(copy.hear(index.whole(kOne)));
  CHECK_EQUAL(index.size(), copy.size());
  LONGS_EQUAL(1200, copy.keptTokens(kOne, kSalt, kPrompt));
  LONGS_EQUAL(1500, copy.keptTokens(kOne, "4:desk/llm.1", kPrompt));
  CHECK_EQUAL(4, copy.known(kOne)->next);
}

TEST(PartIndex, RandomChangesAgreeWithAPlainMap) {
  Random random(5);
  PartIndex index;
  std::map<std::pair<std::uint64_t, std::string>, std::int64_t> plain;
  std::map<std::uint64_t, std::uint64_t> next;
  for (int step = 0; step < 20000; ++step) {
    std::uint64_t engine = random.below(6);
    EngineId id{"e" + std::to_string(engine)};
    if (random.below(500) == 0) {
      index.forget(id);
      next[engine] = 0;
      std::erase_if(plain, [&](const auto& entry) { return entry.first.first == engine; });
      continue;
    }
    std::string part = "p" + std::to_string(random.below(40));
    std::int64_t tokens =
        random.below(3) == 0 ? 0 : static_cast<std::int64_t>(1 + random.below(900));
    CHECK(index.hear(news(id, 1, next[engine], next[engine] + 1, {{part, tokens}})));
    ++next[engine];
    if (tokens == 0) plain.erase({engine, part});
    else plain[{engine, part}] = tokens;
    if (step % 100 != 0) continue;
    CHECK_EQUAL(plain.size(), index.size());
    for (const auto& [key, kept] : plain) {
      std::vector<PartSize> one{{key.second, 10000}};
      CHECK_EQUAL(kept, index.keptTokens({"e" + std::to_string(key.first)}, kSalt, one));
    }
  }
}

// ---- the watcher ----
namespace {

struct Front {
  Options options;
  Random random;
  Membership membership;
  PartIndex index;
  PartWatch watch;
  Outbox outbox;
  explicit Front(std::uint64_t id)
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
  void meets(std::uint64_t id) {
    Shuffle shuffle;
    shuffle.sender = record(id);
    membership.hear(shuffle, at(0), outbox);
  }
};

const std::vector<std::pair<EngineId, Address>> kKeepers{
    {kOne, {"10.1.0.1:80"}}, {kTwo, {"10.1.0.2:80"}}, {storeId(), {"10.1.0.3:80"}}};

PartsPolled answerTo(const PollParts& poll, std::uint64_t epoch, std::uint64_t next,
                     std::vector<PartChange> changes, bool lost = false) {
  return {poll.ticket, 200, epoch, next, lost, std::move(changes)};
}

const PollParts* pollOf(const std::vector<PollParts>& polls, const char* address) {
  for (const auto& poll : polls)
    if (poll.address.value == address) return &poll;
  return nullptr;
}

}  // namespace

TEST_GROUP(PartWatch){};

TEST(PartWatch, EachEngineHasOneWatcherAndOneOpenPoll) {
  Front one(1), two(2);
  one.meets(2);
  two.meets(1);
  std::size_t polls = 0;
  for (Front* front : {&one, &two}) {
    front->outbox.take();
    for (int turn = 0; turn < 20; ++turn)
      front->watch.tick(kKeepers, at(1 + 0.05 * turn), front->outbox);
    polls += taken<PollParts>(front->outbox.take()).size();
  }
  LONGS_EQUAL(3, polls);
  for (const auto& [engine, address] : kKeepers)
    CHECK(one.watch.mine(engine) != two.watch.mine(engine));
}

TEST(PartWatch, AnswersReachTheOtherRoutersInOneBatch) {
  Front one(1), two(2);
  one.meets(2);
  one.outbox.take();
  two.meets(1);
  for (double time : {1.0, 1.5}) one.watch.tick(kKeepers, at(time), one.outbox);
  auto polls = taken<PollParts>(one.outbox.take());
  CHECK(!polls.empty());
  EngineId engine = polls[0].address.value == "10.1.0.1:80"   ? kOne
                    : polls[0].address.value == "10.1.0.2:80" ? kTwo
                                                              : storeId();
  CHECK(one.watch.polled(
      answerTo(polls[0], 7, 2, {{1, true, kSalt, "a", 800, {}}, {2, true, kSalt, "b", 400, {}}}),
      at(1.6), one.outbox));
  CHECK_FALSE(one.watch.polled(answerTo(polls[0], 7, 2, {}), at(1.6), one.outbox));
  one.watch.tick(kKeepers, at(1.65), one.outbox);
  LONGS_EQUAL(0, messages<PrefixBlockUpdate>(one.outbox.take()).size());
  one.watch.tick(kKeepers, at(1.71), one.outbox);
  auto commands = one.outbox.take();
  auto told = messages<PrefixBlockUpdate>(commands);
  LONGS_EQUAL(1, told.size());
  two.watch.hear({"10.0.0.1:1"}, told[0], at(1.72), two.outbox);
  LONGS_EQUAL(1200, two.index.keptTokens(engine, kSalt, kPrompt));
  // The next poll continues from there; a lost update makes the other router request the changes.
  auto later = taken<PollParts>(commands);
  const PollParts* next = pollOf(later, polls[0].address.value.c_str());
  CHECK(next != nullptr);
  CHECK_EQUAL(2, next->since);
  two.outbox.take();
  two.watch.hear({"10.0.0.1:1"}, news(engine, 7, 4, 5, {{"c", 300}}), at(2), two.outbox);
  auto asks = messages<PrefixBlockRequest>(two.outbox.take());
  LONGS_EQUAL(1, asks.size());
  one.outbox.take();
  one.watch.polled(
      answerTo(*next, 7, 5, {{3, false, kSalt, "b", 0, {}}, {5, true, kSalt, "c", 300, {}}}), at(2),
      one.outbox);
  one.watch.hear({"10.0.0.2:1"}, asks[0], at(2.1), one.outbox);
  auto whole = messages<PrefixBlockUpdate>(one.outbox.take());
  LONGS_EQUAL(1, whole.size());
  CHECK(whole[0].whole);
  two.watch.hear({"10.0.0.1:1"}, whole[0], at(2.2), two.outbox);
  LONGS_EQUAL(800, two.index.keptTokens(engine, kSalt, kPrompt));
}

TEST(PartWatch, LostChangesCauseAtMostOneListingInTenSeconds) {
  Front one(1);
  std::vector<std::pair<EngineId, Address>> only{kKeepers[0]};
  one.watch.tick(only, at(1), one.outbox);
  auto polls = taken<PollParts>(one.outbox.take());
  LONGS_EQUAL(1, polls.size());
  LONGS_EQUAL(1000, inMilliseconds(polls[0].wait));
  one.watch.polled(answerTo(polls[0], 7, 90, {{90, true, kSalt, "a", 800, {}}}, true), at(1.1),
                   one.outbox);
  one.watch.tick(only, at(1.15), one.outbox);
  auto lists = taken<ListParts>(one.outbox.take());
  LONGS_EQUAL(1, lists.size());
  one.watch.listed({lists[0].ticket, 200, 7, 95, {{0, true, kSalt, "b", 400, {}}}}, at(1.2),
                   one.outbox);
  LONGS_EQUAL(1, one.index.size());
  one.watch.tick(only, at(1.25), one.outbox);
  polls = taken<PollParts>(one.outbox.take());
  CHECK_EQUAL(95, polls[0].since);
  one.watch.polled(answerTo(polls[0], 7, 200, {{200, true, kSalt, "c", 300, {}}}, true), at(3),
                   one.outbox);
  for (double time : {3.0, 3.1, 3.2}) one.watch.tick(only, at(time), one.outbox);
  auto commands = one.outbox.take();
  LONGS_EQUAL(0, taken<ListParts>(commands).size());  // the gap is tolerated
  LONGS_EQUAL(1, taken<PollParts>(commands).size());
}

TEST(PartWatch, ARestartedEngineIsPolledFromItsStart) {
  Front one(1);
  std::vector<std::pair<EngineId, Address>> only{kKeepers[0]};
  one.watch.tick(only, at(1), one.outbox);
  auto poll = taken<PollParts>(one.outbox.take())[0];
  one.watch.polled(answerTo(poll, 7, 9, {{9, true, kSalt, "a", 800, {}}}), at(1.1), one.outbox);
  one.watch.tick(only, at(1.3), one.outbox);
  poll = taken<PollParts>(one.outbox.take())[0];
  one.watch.polled(answerTo(poll, 8, 12, {{12, true, kSalt, "b", 400, {}}}), at(1.4), one.outbox);
  LONGS_EQUAL(0, one.index.size());
  one.watch.tick(only, at(1.4), one.outbox);
  poll = taken<PollParts>(one.outbox.take())[0];
  CHECK_EQUAL(0, poll.since);
  one.watch.polled(
      answerTo(poll, 8, 12, {{11, true, kSalt, "a", 800, {}}, {12, true, kSalt, "b", 400, {}}}),
      at(1.5), one.outbox);
  LONGS_EQUAL(1200, one.index.keptTokens(kOne, kSalt, kPrompt));
}

TEST(PartWatch, AnUnresponsiveStoreLosesItsEntries) {
  Front one(1);
  std::vector<std::pair<EngineId, Address>> only{kKeepers[2]};
  one.watch.tick(only, at(1), one.outbox);
  auto poll = taken<PollParts>(one.outbox.take())[0];
  one.watch.polled(answerTo(poll, 7, 9, {{9, true, kSalt, "a", 800, {}}}), at(1.1), one.outbox);
  double time = 1.3;
  for (int failure = 0; failure < 2; ++failure, time += 1) {
    one.watch.tick(only, at(time), one.outbox);
    auto polls = taken<PollParts>(one.outbox.take());
    LONGS_EQUAL(1, polls.size());
    one.watch.polled({polls[0].ticket, 0, 0, 0, false, {}}, at(time), one.outbox);
    one.watch.tick(only, at(time + 0.4), one.outbox);
    LONGS_EQUAL(0, taken<PollParts>(one.outbox.take()).size());  // retried after half a second
  }
  LONGS_EQUAL(0, one.index.size());
  one.watch.tick(only, at(time + 1), one.outbox);
  auto back = taken<PollParts>(one.outbox.take());
  LONGS_EQUAL(1, back.size());
  CHECK_EQUAL(0, back[0].since);
  one.watch.polled(answerTo(back[0], 7, 9, {{9, true, kSalt, "a", 800, {}}}), at(time + 1),
                   one.outbox);
  LONGS_EQUAL(800, one.index.keptTokens(storeId(), kSalt, kPrompt));
}
