#include "core/props.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <variant>

namespace peppergate {
namespace {

using Slot = std::variant<Duration Props::*, double Props::*, std::int64_t Props::*>;
struct PropRow {
  std::string_view name;
  Slot slot;
  bool reload;
};

#define ROW(name, reload) PropRow{#name, &Props::name, reload}
constexpr std::array kRows{
    ROW(hold, false), ROW(holdRenewal, false), ROW(holdStop, false), ROW(caretakerAfter, false),
    ROW(caretakerLook, false), ROW(caretakerYield, false), ROW(liveLimit, false),
    ROW(yesWait, false), ROW(copyTimeout, true),
    ROW(syncTimeout, true), ROW(seatAfter, true), ROW(backups, false), ROW(voterSeats, false),
    ROW(applyWithin, false), ROW(withdrawWithin, false), ROW(largestSetup, true),
    ROW(rememberedChanges, true), ROW(shuffleEvery, true), ROW(suspectAfter, true),
    ROW(deadAfter, true), ROW(viewSize, true), ROW(newsWait, true), ROW(newsTimeout, true),
    ROW(proofLimit, false), ROW(engineHold, false), ROW(engineHoldStop, false),
    ROW(engineHoldGap, false), ROW(engineHoldRenewal, false), ROW(probeEvery, true),
    ROW(probeTimeout, true), ROW(pictureLimit, true), ROW(orderTimeout, true),
    ROW(listEvery, true), ROW(listRate, true), ROW(listLag, true), ROW(drainWithin, true),
    ROW(loadsAtOnce, true), ROW(weightsWithin, true), ROW(leaseLength, false),
    ROW(sweepEvery, true), ROW(oldWeightsLimit, true), ROW(waveShare, true),
    ROW(secondShotShare, true), ROW(budgetWindow, true), ROW(budgetShare, true),
    ROW(budgetSlack, true), ROW(connectTimeout, true), ROW(graceTime, true),
    ROW(drainLimit, true),
    ROW(largestDeadline, true), ROW(firstPieceTimeout, true), ROW(streamsLimit, true),
    ROW(engineStreams, true), ROW(largestBody, true), ROW(levelTolerance, true),
    ROW(rateUnit, true), ROW(levelRounds, true), ROW(capacityStart, true), ROW(capacityTop, true),
    ROW(capacityRise, true), ROW(cutEase, true), ROW(planEvery, true), ROW(rungPace, true), ROW(mixSmoothing, true),
    ROW(planMode, true)};
#undef ROW

struct SlotSetter {
  Props& props;
  double number;
  void operator()(Duration Props::*slot) const { props.*slot = seconds(number); }
  void operator()(double Props::*slot) const { props.*slot = number; }
  void operator()(std::int64_t Props::*slot) const {
    props.*slot = static_cast<std::int64_t>(number);
  }
};

struct SlotCopier {
  Props& to;
  const Props& from;
  template <class T>
  void operator()(T Props::*slot) const {
    to.*slot = from.*slot;
  }
};

struct Inequality {
  std::string_view text;
  bool (*holds)(const Props&);
};

constexpr std::array<Inequality, 19> kInequalities{{
    {"holdStop < hold", [](const Props& p) { return p.holdStop < p.hold; }},
    {"2 * holdRenewal < holdStop",
     [](const Props& p) { return p.holdRenewal * 2 < p.holdStop; }},
    {"newsWait + holdStop < proofLimit",
     [](const Props& p) { return p.newsWait + p.holdStop < p.proofLimit; }},
    {"proofLimit < 4 s", [](const Props& p) { return p.proofLimit < seconds(4); }},
    {"proofLimit < liveLimit < withdrawWithin",
     [](const Props& p) { return p.proofLimit < p.liveLimit && p.liveLimit < p.withdrawWithin; }},
    {"hold < caretakerAfter < proofLimit",
     [](const Props& p) { return p.hold < p.caretakerAfter && p.caretakerAfter < p.proofLimit; }},
    {"hold + caretakerLook <= caretakerAfter",
     [](const Props& p) { return p.hold + p.caretakerLook <= p.caretakerAfter; }},
    {"proofLimit <= yesWait + applyWithin",
     [](const Props& p) { return p.proofLimit <= p.yesWait + p.applyWithin; }},
    {"holdStop < seatAfter", [](const Props& p) { return p.holdStop < p.seatAfter; }},
    {"1 <= backups, 2 * backups + 1 <= voterSeats",
     [](const Props& p) { return p.backups >= 1 && 2 * p.backups + 1 <= p.voterSeats; }},
    {"newsWait < newsTimeout", [](const Props& p) { return p.newsWait < p.newsTimeout; }},
    {"engineHoldStop < engineHold",
     [](const Props& p) { return p.engineHoldStop < p.engineHold; }},
    {"engineHoldGap >= leaseLength",
     [](const Props& p) { return p.engineHoldGap >= p.leaseLength; }},
    {"0 < listRate, 1 <= loadsAtOnce",
     [](const Props& p) { return p.listRate > 0 && p.loadsAtOnce >= 1; }},
    {"leaseLength < weightsWithin",
     [](const Props& p) { return p.leaseLength < p.weightsWithin; }},
    {"suspectAfter < deadAfter",
     [](const Props& p) { return p.suspectAfter < p.deadAfter; }},
    {"0 <= secondShotShare < 0.2",
     [](const Props& p) { return p.secondShotShare >= 0 && p.secondShotShare < 0.2; }},
    {"0 <= budgetShare < 1",
     [](const Props& p) { return p.budgetShare >= 0 && p.budgetShare < 1; }},
    {"0 < capacityStart <= capacityTop <= 1",
     [](const Props& p) {
       return p.capacityStart > 0 && p.capacityStart <= p.capacityTop && p.capacityTop <= 1;
     }},
}};

}  // namespace

absl::Status setProp(Props& props, std::string_view name, std::string_view value) {
  auto row = std::ranges::find(kRows, name, &PropRow::name);
  if (row == kRows.end())
    return absl::NotFoundError("unknown prop '" + std::string(name) + "'");
  double number = 0;
  auto [end, fault] = std::from_chars(value.data(), value.data() + value.size(), number);
  if (fault != std::errc{} || end != value.data() + value.size() || !std::isfinite(number) ||
      number < 0 || number > 1e9)
    return absl::InvalidArgumentError("prop '" + std::string(name) + "' is not a number");
  std::visit(SlotSetter{props, number}, row->slot);
  return absl::OkStatus();
}

absl::Status checkProps(const Props& props) {
  for (const auto& inequality : kInequalities)
    if (!inequality.holds(props))
      return absl::FailedPreconditionError("props break: " + std::string(inequality.text));
  return absl::OkStatus();
}

bool mayReload(std::string_view name) {
  auto row = std::ranges::find(kRows, name, &PropRow::name);
  return row != kRows.end() && row->reload;
}

Props mayReloadOnly(const Props& running, const Props& reread) {
  Props props = running;
  for (const auto& row : kRows)
    if (row.reload) std::visit(SlotCopier{props, reread}, row.slot);
  return props;
}

std::vector<std::string_view> propNames() {
  std::vector<std::string_view> names;
  for (const auto& row : kRows) names.push_back(row.name);
  return names;
}

}  // namespace peppergate
