#include "sim/scenario_words.h"

#include <algorithm>
#include <array>
#include <vector>

namespace peppergate {
namespace {

constexpr std::size_t kAnyNumber = 60;

constexpr auto kMachineVerbs = std::to_array<VerbRow>({
    {"power", Verb::kPower, 1, 2, "cfpa"},    {"retire", Verb::kRetire, 1, 2, "cp"},
    {"hup", Verb::kReload, 1, 2, "cfpa"},     {"wipe", Verb::kWipe, 1, 2, "cp"},
    {"replace", Verb::kReplace, 1, 2, "cp"},  {"freeze", Verb::kFreeze, 1, 2, "cfpa"},
    {"thaw", Verb::kThaw, 1, 2, "cfpa"},      {"throttle", Verb::kThrottle, 2, 3, "cfpa"},
    {"leap", Verb::kLeap, 2, 3, "cfpa"},      {"disk", Verb::kDisk, 2, 4, "cpa"},
    {"seeds", Verb::kSeeds, 1, 3, ""},        {"cut", Verb::kCut, 1, kAnyNumber, ""},
    {"part", Verb::kPart, 2, kAnyNumber, ""}, {"oneway", Verb::kOneWay, 3, kAnyNumber, ""},
    {"hang", Verb::kHang, 1, kAnyNumber, ""}, {"heal", Verb::kHeal, 0, 0, ""},
    {"drop", Verb::kDrop, 1, 2, "cfpa"},      {"loss", Verb::kLoss, 1, 1, ""},
    {"late", Verb::kLate, 1, 1, ""},          {"traffic", Verb::kTraffic, 1, 1, ""},
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

constexpr auto kStreamsWanted = std::to_array<WantedRow>({
    {"clean", Wanted::kClean, false},
    {"served", Wanted::kServed, true},
    {"served-at-most", Wanted::kServedAtMost, true},
    {"done", Wanted::kDone, true},
    {"declined", Wanted::kDeclined, true},
    {"fetched", Wanted::kFetched, true},
    {"first-event", Wanted::kFirstEvent, true},
    {"primary", Wanted::kPrimary, false},
    {"no-primary", Wanted::kNoPrimary, false},
    {"second-share", Wanted::kShare, true},
    {"rung-changes", Wanted::kRungPace, true},
    {"heal-bytes", Wanted::kBytes, true},
    {"overshoot", Wanted::kOvershoot, true},
    {"ranks", Wanted::kRanks, true},
    {"others", Wanted::kOthers, true},
    {"goodput", Wanted::kGoodput, true},
    {"each-front", Wanted::kEachFront, true},
    {"vouched", Wanted::kVouched, false},
    {"not-vouched", Wanted::kNotVouched, false},
    {"declined-as", Wanted::kDeclinedAs, true},
    {"level-spread", Wanted::kLevelSpread, true},
    {"yes-within", Wanted::kYes, true},
    {"cut-streams", Wanted::kCut, true},
    {"acknowledged-within", Wanted::kAcknowledged, true},
    {"led-within", Wanted::kLed, true},
});

constexpr auto kRouterWanted = std::to_array<WantedRow>({
    {"clean", Wanted::kClean, false},
    {"served", Wanted::kServed, true},
    {"served-at-most", Wanted::kServedAtMost, true},
    {"acknowledged", Wanted::kTaken, true},
    {"versions", Wanted::kVersions, true},
    {"kept", Wanted::kKept, true},
});

}  // namespace

std::span<const VerbRow> verbsOf(Interface interface) {
  static const auto kAll = [](std::span<const VerbRow> own) {
    std::vector<VerbRow> rows(own.begin(), own.end());
    rows.insert(rows.end(), kMachineVerbs.begin(), kMachineVerbs.end());
    return rows;
  };
  static const std::vector<VerbRow> kStreams = kAll(kStreamsVerbs), kRouters = kAll(kRouterVerbs);
  return interface == Interface::kStreams ? kStreams : kRouters;
}

std::span<const WantedRow> wantedOf(Interface interface) {
  if (interface == Interface::kStreams) return kStreamsWanted;
  return kRouterWanted;
}

std::string_view wordOf(Verb verb, Interface interface) {
  auto rows = verbsOf(interface);
  auto row = std::ranges::find(rows, verb, &VerbRow::verb);
  return row == rows.end() ? "" : row->word;
}

std::string_view wordOf(Wanted wanted, Interface interface) {
  auto rows = wantedOf(interface);
  auto row = std::ranges::find(rows, wanted, &WantedRow::wanted);
  return row == rows.end() ? "" : row->word;
}

}  // namespace peppergate
