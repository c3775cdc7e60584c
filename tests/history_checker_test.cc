// The history checker on hand-written histories, linearizable and not.
#include "history/check_history.h"

#include <algorithm>

#include "tests/testing.h"

namespace peppergate::history {
namespace {

/// A history under construction; times are in milliseconds.
class HistoryBuilder {
 public:
  HistoryBuilder& change(const std::string& changeKey, std::uint64_t base, std::uint64_t version,
                         int start, int end, CallOutcome outcome = CallOutcome::kDone) {
    return changeWithContents(changeKey, base, version, "contents-" + changeKey, start, end,
                              outcome);
  }
  HistoryBuilder& changeWithContents(const std::string& changeKey, std::uint64_t base,
                                     std::uint64_t version, const std::string& digest, int start,
                                     int end, CallOutcome outcome) {
    OperatorCall call;
    call.registerName = "configuration";
    call.operatorName = "operator1";
    call.changeKey = changeKey;
    call.base = Version{0, base};
    call.version = Version{0, version};
    call.digest = digest;
    addCall(call, start, end, outcome);
    return *this;
  }
  HistoryBuilder& read(std::uint64_t version, const std::string& digest, int start, int end) {
    OperatorCall call;
    call.registerName = "configuration";
    call.operatorName = "operator2";
    call.kind = CallKind::kRead;
    call.version = Version{0, version};
    call.digest = digest;
    addCall(call, start, end, CallOutcome::kDone);
    return *this;
  }
  HistoryBuilder& markFinalRead() {
    calls_.back().finalRead = true;
    return *this;
  }
  HistoryBuilder& invalid() {
    calls_.back().valid = false;
    return *this;
  }
  std::vector<ViolationKind> violationKinds() const {
    std::vector<ViolationKind> kinds;
    for (const auto& violation : checkHistory(calls_)) kinds.push_back(violation.kind);
    return kinds;
  }
  bool linearizable() const { return violationKinds().empty(); }
  bool hasViolation(ViolationKind kind) const {
    const auto found = violationKinds();
    return std::ranges::find(found, kind) != found.end();
  }

 private:
  void addCall(OperatorCall& call, int start, int end, CallOutcome outcome) {
    call.outcome = outcome;
    call.start = start * 1000;
    call.end = outcome == CallOutcome::kUnknown ? kNoEnd : end * 1000;
    calls_.push_back(call);
  }
  std::vector<OperatorCall> calls_;
};

constexpr int kNoAnswer = 0;  // ignored: a call without an answer has no end

}  // namespace

TEST_GROUP(HistoryChecker){};

TEST(HistoryChecker, AcceptsChangesAndReadsInOrder) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).read(3, "contents-a", 11, 12);
  history.change("b", 3, 5, 20, 30).read(5, "contents-b", 31, 32).markFinalRead();
  CHECK(history.linearizable());
}

TEST(HistoryChecker, AcceptsAReadOfEitherVersionDuringAChange) {
  HistoryBuilder older, newer;
  older.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, 30).read(3, "contents-a", 22, 25);
  newer.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, 30).read(5, "contents-b", 22, 25);
  CHECK(older.linearizable());
  CHECK(newer.linearizable());
}

TEST(HistoryChecker, RejectsReadsThatGoBackDuringAChange) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, 90);
  history.read(5, "contents-b", 22, 25).read(3, "contents-a", 30, 35);
  CHECK(history.hasViolation(ViolationKind::kStaleRead));
}

TEST(HistoryChecker, RejectsAStaleRead) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, 30).read(3, "contents-a", 31, 40);
  CHECK(history.hasViolation(ViolationKind::kStaleRead));
}

TEST(HistoryChecker, RejectsAReadOfNothingAfterTheFirstChange) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).read(0, "", 11, 12);
  CHECK(history.hasViolation(ViolationKind::kStaleRead));
}

TEST(HistoryChecker, AllowsEitherOutcomeOfAnUnansweredChange) {
  HistoryBuilder lost, taken;
  lost.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, kNoAnswer, CallOutcome::kUnknown);
  lost.change("c", 3, 6, 40, 50).read(6, "contents-c", 60, 61).markFinalRead();
  taken.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, kNoAnswer, CallOutcome::kUnknown);
  taken.change("c", 5, 6, 40, 50).read(6, "contents-c", 60, 61).markFinalRead();
  CHECK(lost.linearizable());
  CHECK(taken.linearizable());
}

TEST(HistoryChecker, AllowsAnUnansweredChangeToTakeEffectLate) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, kNoAnswer, CallOutcome::kUnknown);
  history.read(3, "contents-a", 500, 501).read(5, "contents-b", 600, 601);
  CHECK(history.linearizable());
}

TEST(HistoryChecker, RejectsAReadBeforeItsChangeBegan) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).read(5, "contents-b", 12, 15);
  history.change("b", 3, 5, 20, 30);
  CHECK(history.hasViolation(ViolationKind::kNotLinearizable));
}

TEST(HistoryChecker, AcceptsTheRefusalOfAConcurrentChange) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10);
  history.change("b", 3, 5, 20, 30).change("c", 3, 6, 20, 29, CallOutcome::kRefused);
  CHECK(history.linearizable());
}

TEST(HistoryChecker, RejectsTwoAcknowledgedChangesOnOneBase) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, 30).change("c", 3, 6, 20, 40);
  CHECK(history.hasViolation(ViolationKind::kTwoChangesOnOneBase));
}

TEST(HistoryChecker, RejectsOneVersionAcknowledgedWithTwoContents) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, 30).change("c", 3, 5, 20, 40);
  CHECK(history.hasViolation(ViolationKind::kTwoContents));
}

TEST(HistoryChecker, RejectsAReadOfOtherContentsThanWereSent) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).read(3, "contents-z", 11, 12);
  CHECK(history.hasViolation(ViolationKind::kTwoContents));
}

TEST(HistoryChecker, RejectsAReadOfContentsThatNobodySent) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).read(9, "contents-z", 11, 12);
  CHECK(history.hasViolation(ViolationKind::kUnknownContents));
}

TEST(HistoryChecker, AcceptsTheRepeatOfAnAppliedChange) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, kNoAnswer, CallOutcome::kUnknown).change("b", 3, 5, 20, 30);
  history.change("a", 0, 3, 40, 50);
  CHECK(history.linearizable());
}

TEST(HistoryChecker, RejectsTheRefusedRepeatOfAnAppliedChange) {
  HistoryBuilder acknowledged, readBack;
  acknowledged.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, 30);
  acknowledged.change("a", 0, 3, 40, 50, CallOutcome::kRefused);
  CHECK(acknowledged.hasViolation(ViolationKind::kRefusedAfterApplied));
  readBack.change("a", 0, 3, 0, kNoAnswer, CallOutcome::kUnknown).read(3, "contents-a", 10, 11);
  readBack.change("a", 0, 3, 20, 30, CallOutcome::kRefused);
  CHECK(readBack.hasViolation(ViolationKind::kRefusedAfterApplied));
}

TEST(HistoryChecker, RejectsARefusalThatOnlyTheSameChangeExplains) {
  // "b" is based on "a", so "a" took effect; no other change can have caused its refusal.
  HistoryBuilder history;
  history.change("a", 0, 3, 0, kNoAnswer, CallOutcome::kUnknown);
  history.change("a", 0, 3, 20, 30, CallOutcome::kRefused).change("b", 3, 5, 40, 50);
  CHECK_FALSE(history.linearizable());
}

TEST(HistoryChecker, RejectsTheRefusalOfAChangeOnTheNewestVersion) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, 30, CallOutcome::kRefused);
  CHECK(history.hasViolation(ViolationKind::kRefusedOnNewest));
}

TEST(HistoryChecker, AcceptsTheRefusalOfAnInvalidChange) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, 30, CallOutcome::kRefused).invalid();
  history.change("c", 3, 2, 40, 50, CallOutcome::kRefused);  // its version is not above its base
  CHECK(history.linearizable());
}

TEST(HistoryChecker, RejectsAnAcknowledgedInvalidChange) {
  HistoryBuilder invalid, low;
  invalid.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, 30).invalid();
  CHECK(invalid.hasViolation(ViolationKind::kInvalidAcknowledged));
  low.change("a", 0, 3, 0, 10).change("b", 3, 3, 20, 30);
  CHECK(low.hasViolation(ViolationKind::kInvalidAcknowledged));
}

TEST(HistoryChecker, RejectsALostAcknowledgedChange) {
  HistoryBuilder atEnd, builtOver;
  atEnd.change("a", 0, 3, 0, 10)
      .change("b", 3, 5, 20, 30)
      .read(3, "contents-a", 90, 91)
      .markFinalRead();
  CHECK(atEnd.hasViolation(ViolationKind::kLostChange));
  builtOver.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, 30).change("c", 3, 7, 40, 50);
  CHECK(builtOver.hasViolation(ViolationKind::kTwoChangesOnOneBase));
}

TEST(HistoryChecker, RejectsAReadOfARefusedChange) {
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10).change("b", 3, 5, 20, 30);
  history.change("c", 3, 6, 20, 30, CallOutcome::kRefused).read(6, "contents-c", 40, 41);
  CHECK(history.hasViolation(ViolationKind::kRefusedContents));
}

TEST(HistoryChecker, AcceptsTheSameContentsFromTwoOperators) {
  // Both send identical contents with the same version, so the two changes are indistinguishable.
  HistoryBuilder history;
  history.change("a", 0, 3, 0, 10);
  history.changeWithContents("b", 3, 5, "same", 20, 30, CallOutcome::kDone);
  history.changeWithContents("c", 3, 5, "same", 20, 40, CallOutcome::kDone);
  CHECK(history.linearizable());
}

TEST(HistoryChecker, ChoosesAmongUnansweredChangesByLaterAnswers) {
  HistoryBuilder history;
  history.change("a", 0, 1, 0, 10);
  // One change of each pair must be in the chain; only the last read determines which.
  const int kPairs = 200;
  std::uint64_t base = 1;
  for (int pair = 0; pair < kPairs; ++pair) {
    const std::uint64_t version = base + 1;
    const std::string name = std::to_string(pair);
    history.change("left" + name, base, version, 20 + pair, kNoAnswer, CallOutcome::kUnknown);
    history.change("right" + name, base, version, 20 + pair, kNoAnswer, CallOutcome::kUnknown);
    base = version;
  }
  HistoryBuilder linearizable = history;
  linearizable.read(base, "contents-right199", 900, 901);
  CHECK(linearizable.linearizable());
  HistoryBuilder bad = history;
  bad.read(base, "contents-right199", 900, 901).read(base - 1, "contents-left198", 902, 903);
  CHECK(bad.hasViolation(ViolationKind::kStaleRead));
}

TEST(HistoryChecker, ChecksEachRegisterSeparately) {
  HistoryBuilder one;
  one.change("a", 0, 3, 0, 10);
  OperatorCall other;
  other.registerName = "setup";
  other.operatorName = "operator1";
  other.changeKey = "a";
  other.versionIsAssigned = true;
  other.outcome = CallOutcome::kDone;
  other.start = 20;
  other.end = 30;
  other.version = Version{1, 3};
  std::vector<OperatorCall> calls{other};
  CHECK(checkHistory(calls).empty());
  other.start = 40;
  other.end = 50;
  other.changeKey = "b";
  other.version = Version{1, 2};  // later in time, but a lower version
  calls.push_back(other);
  const Violations violations = checkHistory(calls);
  LONGS_EQUAL(1, violations.size());
  CHECK(violations[0].kind == ViolationKind::kVersionOrder);
  STRCMP_EQUAL("setup", violations[0].registerName.c_str());
}

TEST_GROUP(HistoryFile){
    static ReadError errorOf(const std::string& text){const ReadResult read = readHistory(text);
const auto* error = std::get_if<ReadError>(&read);
return error == nullptr ? ReadError{} : *error;
}  // namespace peppergate::history
}
;

TEST(HistoryFile, ReadsWhatItWrote) {
  OperatorCall call;
  call.registerName = "configuration";
  call.operatorName = "operator1";
  call.machine = "core2";
  call.changeKey = "order-1";
  call.outcome = CallOutcome::kDone;
  call.start = 5;
  call.end = 9;
  call.base = Version{0, 3};
  call.version = Version{0, 7};
  call.digest = "abc";
  const std::string line = writeCall(call);
  const ReadResult read = readHistory(line + "\n\n" + line);
  const auto* calls = std::get_if<std::vector<OperatorCall>>(&read);
  CHECK(calls != nullptr);
  LONGS_EQUAL(2, calls->size());
  STRCMP_EQUAL(line.c_str(), writeCall(calls->at(1)).c_str());
}

TEST(HistoryFile, ReportsTheLineAndTheInvalidField) {
  const std::string good =
      R"({"register":"r","operator":"o","call":"read","outcome":"unknown","start":1})";
  LONGS_EQUAL(0, errorOf(good).line);
  LONGS_EQUAL(2, errorOf(good + "\nnothing").line);
  STRCMP_EQUAL("<root>", errorOf("[]").field.c_str());
  STRCMP_EQUAL("register", errorOf(R"({"operator":"o"})").field.c_str());
  struct Row {
    const char* fields;
    const char* wrong;
  };
  const Row rows[] = {
      {R"("call":"write","outcome":"done","start":1)", "call"},
      {R"("call":"read","outcome":"perhaps","start":1)", "outcome"},
      {R"("call":"read","outcome":"unknown")", "start"},
      {R"("call":"read","outcome":"unknown","start":1.5)", "start"},
      {R"("call":"read","outcome":"done","start":1,"version":1)", "end"},
      {R"("call":"read","outcome":"done","start":5,"end":1,"version":1)", "end"},
      {R"("call":"read","outcome":"done","start":1,"end":2)", "version"},
      {R"("call":"read","outcome":"refused","start":1,"end":2)", "outcome"},
      {R"("call":"change","outcome":"done","start":1,"end":2)", "order"},
      {R"("call":"change","order":"a","outcome":"done","start":1,"end":2)", "base"},
      {R"("call":"change","order":"a","outcome":"done","start":1,"end":2,"base":-1)", "base"},
      {R"("call":"change","order":"a","outcome":"done","start":1,"end":2,"base":0)", "version"},
      {R"("call":"change","order":"a","outcome":"done","start":1,"end":2,"assigned":true)",
       "version"},
      {R"("call":"change","order":"a","outcome":"done","start":1,"end":2,"proper":1)", "proper"},
  };
  for (const auto& row : rows) {
    const std::string line = std::string(R"({"register":"r","operator":"o",)") + row.fields + "}";
    STRCMP_EQUAL(row.wrong, errorOf(line).field.c_str());
  }
}

}  // namespace peppergate::history
