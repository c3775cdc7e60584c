#include "sim/scenario_vocabulary.h"

#include <algorithm>
#include <array>
#include <vector>

namespace peppergate {
namespace {

constexpr std::size_t kMaxWords = 60;

constexpr auto kMachineVerbs = std::to_array<VerbRow>({
    {"power", Verb::kPower, 1, 2, "cfpa"},   {"retire", Verb::kRetire, 1, 2, "cp"},
    {"hup", Verb::kReload, 1, 2, "cfpa"},    {"wipe", Verb::kWipe, 1, 2, "cp"},
    {"replace", Verb::kReplace, 1, 2, "cp"}, {"freeze", Verb::kFreeze, 1, 2, "cfpa"},
    {"thaw", Verb::kThaw, 1, 2, "cfpa"},     {"throttle", Verb::kThrottle, 2, 3, "cfpa"},
    {"leap", Verb::kLeap, 2, 3, "cfpa"},     {"disk", Verb::kDisk, 2, 4, "cpa"},
    {"seeds", Verb::kSeeds, 1, 3, ""},       {"cut", Verb::kCut, 1, kMaxWords, ""},
    {"part", Verb::kPart, 2, kMaxWords, ""}, {"oneway", Verb::kOneWay, 3, kMaxWords, ""},
    {"hang", Verb::kHang, 1, kMaxWords, ""}, {"heal", Verb::kHeal, 0, 0, ""},
    {"drop", Verb::kDrop, 1, 2, "cfpa"},     {"loss", Verb::kLoss, 1, 1, ""},
    {"late", Verb::kLate, 1, 1, ""},         {"traffic", Verb::kTraffic, 1, 1, ""},
    {"storm", Verb::kStorm, 1, 1, ""},
});

constexpr auto kStreamsVerbs = std::to_array<VerbRow>({
    {"kill", Verb::kKill, 1, 2, "cfespa"},   {"start", Verb::kStart, 1, 2, "cfespa"},
    {"leave", Verb::kStop, 1, 2, "cp"},      {"drain", Verb::kDrain, 2, 2, "e"},
    {"undrain", Verb::kUndrain, 2, 2, "e"},  {"gone", Verb::kGone, 2, 2, "e"},
    {"return", Verb::kReturn, 2, 2, "e"},    {"weights", Verb::kWeights, 1, 1, ""},
    {"withdraw", Verb::kWithdraw, 1, 1, ""}, {"stamp", Verb::kStamp, 0, 0, ""},
    {"race", Verb::kRace, 0, 0, ""},         {"large", Verb::kLarge, 1, 1, ""},
    {"flood", Verb::kFlood, 2, 2, ""},       {"link", Verb::kEngineLink, 3, 3, "e"},
    {"reports", Verb::kReports, 3, 3, "e"},  {"restart", Verb::kRestart, 2, 3, "e"},
    {"reset", Verb::kReset, 2, 2, "e"},      {"newwall", Verb::kNewWall, 1, 1, ""},
    {"garble", Verb::kGarble, 3, 3, "e"},
});

constexpr auto kRouterVerbs = std::to_array<VerbRow>({
    {"kill", Verb::kKill, 1, 2, "cfpa"},     {"start", Verb::kStart, 1, 2, "cfpa"},
    {"stop", Verb::kStop, 1, 2, "cfpa"},     {"crash", Verb::kCrash, 1, 2, ""},
    {"dark", Verb::kDark, 2, 2, ""},         {"light", Verb::kLight, 1, 1, ""},
    {"release", Verb::kRelease, 1, 1, ""},   {"leave", Verb::kReleaseOne, 1, 1, ""},
    {"garble", Verb::kGarble, 2, 2, ""},     {"slow", Verb::kSlow, 2, 2, ""},
    {"link", Verb::kLinks, 1, 1, ""},        {"events", Verb::kEvents, 1, 1, ""},
    {"store", Verb::kStore, 1, 1, ""},       {"amend", Verb::kAmend, 0, 0, ""},
    {"swap", Verb::kSwap, 0, 0, ""},         {"race", Verb::kRace, 0, 0, ""},
    {"invalid", Verb::kInvalid, 0, 0, ""},   {"version", Verb::kVersion, 1, 1, ""},
    {"withdraw", Verb::kWithdraw, 1, 1, ""}, {"list", Verb::kList, 1, 1, ""},
});

constexpr auto kStreamsExpectations = std::to_array<ExpectationRow>({
    {"clean", ExpectationKind::kClean, false},
    {"served", ExpectationKind::kServed, true},
    {"served-at-most", ExpectationKind::kServedAtMost, true},
    {"done", ExpectationKind::kDone, true},
    {"declined", ExpectationKind::kDeclined, true},
    {"fetched", ExpectationKind::kFetched, true},
    {"first-event", ExpectationKind::kFirstEvent, true},
    {"primary", ExpectationKind::kPrimary, false},
    {"no-primary", ExpectationKind::kNoPrimary, false},
    {"second-share", ExpectationKind::kSecondShare, true},
    {"rung-changes", ExpectationKind::kRungChanges, true},
    {"heal-bytes", ExpectationKind::kHealBytes, true},
    {"overshoot", ExpectationKind::kOvershoot, true},
    {"ranks", ExpectationKind::kRanks, true},
    {"others", ExpectationKind::kOtherTenantsServed, true},
    {"goodput", ExpectationKind::kGoodput, true},
    {"each-front", ExpectationKind::kEachFrontServed, true},
    {"vouched", ExpectationKind::kVouched, false},
    {"not-vouched", ExpectationKind::kNotVouched, false},
    {"declined-as", ExpectationKind::kDeclinedAs, true},
    {"level-spread", ExpectationKind::kLevelSpread, true},
    {"yes-within", ExpectationKind::kMedianAcknowledgement, true},
    {"cut-streams", ExpectationKind::kStaleStreams, true},
    {"acknowledged-within", ExpectationKind::kAcknowledgedWithin, true},
    {"led-within", ExpectationKind::kLedWithin, true},
});

constexpr auto kRouterExpectations = std::to_array<ExpectationRow>({
    {"clean", ExpectationKind::kClean, false},
    {"served", ExpectationKind::kServed, true},
    {"served-at-most", ExpectationKind::kServedAtMost, true},
    {"acknowledged", ExpectationKind::kAcknowledgedCount, true},
    {"versions", ExpectationKind::kLoadOrders, true},
    {"kept", ExpectationKind::kComputedTokensPerRun, true},
});

}  // namespace

std::span<const VerbRow> verbsOf(Interface interface) {
  static const auto withMachineVerbs = [](std::span<const VerbRow> own) {
    std::vector<VerbRow> rows(own.begin(), own.end());
    rows.insert(rows.end(), kMachineVerbs.begin(), kMachineVerbs.end());
    return rows;
  };
  static const std::vector<VerbRow> kStreams = withMachineVerbs(kStreamsVerbs),
                                    kRouters = withMachineVerbs(kRouterVerbs);
  return interface == Interface::kStreams ? kStreams : kRouters;
}

std::span<const ExpectationRow> expectationsOf(Interface interface) {
  if (interface == Interface::kStreams) return kStreamsExpectations;
  return kRouterExpectations;
}

std::string_view wordOf(Verb verb, Interface interface) {
  auto rows = verbsOf(interface);
  auto row = std::ranges::find(rows, verb, &VerbRow::verb);
  return row == rows.end() ? "" : row->word;
}

std::string_view wordOf(ExpectationKind kind, Interface interface) {
  auto rows = expectationsOf(interface);
  auto row = std::ranges::find(rows, kind, &ExpectationRow::kind);
  return row == rows.end() ? "" : row->word;
}

}  // namespace peppergate
