#include "core/options.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <variant>

namespace peppergate {
namespace {

using OptionMember = std::variant<Duration Options::*, double Options::*, std::int64_t Options::*>;
struct OptionRow {
  std::string_view name;
  OptionMember member;
  bool reloadable;
};

#define ROW(name, reload) \
  OptionRow { #name, &Options::name, reload }
constexpr std::array kOptionRows{ROW(lease, false),
                                 ROW(leaseRenewal, false),
                                 ROW(leaseStop, false),
                                 ROW(readLeaseAfter, false),
                                 ROW(readLeaseProbe, false),
                                 ROW(readLeaseYield, false),
                                 ROW(liveLimit, false),
                                 ROW(acknowledgementWait, false),
                                 ROW(replicateTimeout, true),
                                 ROW(syncTimeout, true),
                                 ROW(replaceVoterAfter, true),
                                 ROW(backups, false),
                                 ROW(voterSlots, false),
                                 ROW(applyWithin, false),
                                 ROW(withdrawWithin, false),
                                 ROW(largestSetup, true),
                                 ROW(rememberedChanges, true),
                                 ROW(shuffleEvery, true),
                                 ROW(suspectAfter, true),
                                 ROW(deadAfter, true),
                                 ROW(viewSize, true),
                                 ROW(stateRequestWait, true),
                                 ROW(stateRequestTimeout, true),
                                 ROW(proofLimit, false),
                                 ROW(engineLease, false),
                                 ROW(engineLeaseStop, false),
                                 ROW(engineLeaseGap, false),
                                 ROW(engineLeaseRenewal, false),
                                 ROW(probeEvery, true),
                                 ROW(probeTimeout, true),
                                 ROW(pictureLimit, true),
                                 ROW(orderTimeout, true),
                                 ROW(listEvery, true),
                                 ROW(listRate, true),
                                 ROW(listLag, true),
                                 ROW(drainWithin, true),
                                 ROW(loadsAtOnce, true),
                                 ROW(weightsWithin, true),
                                 ROW(orderLease, false),
                                 ROW(sweepEvery, true),
                                 ROW(oldWeightsLimit, true),
                                 ROW(waveShare, true),
                                 ROW(secondShotShare, true),
                                 ROW(budgetWindow, true),
                                 ROW(budgetShare, true),
                                 ROW(budgetSlack, true),
                                 ROW(connectTimeout, true),
                                 ROW(graceTime, true),
                                 ROW(drainLimit, true),
                                 ROW(largestDeadline, true),
                                 ROW(firstPieceTimeout, true),
                                 ROW(streamsLimit, true),
                                 ROW(engineStreams, true),
                                 ROW(largestBody, true),
                                 ROW(levelTolerance, true),
                                 ROW(rateUnit, true),
                                 ROW(levelRounds, true),
                                 ROW(capacityStart, true),
                                 ROW(capacityTop, true),
                                 ROW(capacityRise, true),
                                 ROW(cutEase, true),
                                 ROW(planEvery, true),
                                 ROW(rungPace, true),
                                 ROW(mixSmoothing, true),
                                 ROW(planMode, true)};
#undef ROW

struct OptionSetter {
  Options& options;
  double number;
  void operator()(Duration Options::*slot) const { options.*slot = seconds(number); }
  void operator()(double Options::*slot) const { options.*slot = number; }
  void operator()(std::int64_t Options::*slot) const {
    options.*slot = static_cast<std::int64_t>(number);
  }
};

struct OptionCopier {
  Options& to;
  const Options& from;
  template <class T>
  void operator()(T Options::*slot) const {
    to.*slot = from.*slot;
  }
};

struct OptionConstraint {
  std::string_view text;
  bool (*holds)(const Options&);
};

constexpr std::array<OptionConstraint, 19> kOptionConstraints{{
    {"leaseStop < lease", [](const Options& p) { return p.leaseStop < p.lease; }},
    {"2 * leaseRenewal < leaseStop",
     [](const Options& p) { return p.leaseRenewal * 2 < p.leaseStop; }},
    {"stateRequestWait + leaseStop < proofLimit",
     [](const Options& p) { return p.stateRequestWait + p.leaseStop < p.proofLimit; }},
    {"proofLimit < 4 s", [](const Options& p) { return p.proofLimit < seconds(4); }},
    {"proofLimit < liveLimit < withdrawWithin",
     [](const Options& p) { return p.proofLimit < p.liveLimit && p.liveLimit < p.withdrawWithin; }},
    {"lease < readLeaseAfter < proofLimit",
     [](const Options& p) {
       return p.lease < p.readLeaseAfter && p.readLeaseAfter < p.proofLimit;
     }},
    {"lease + readLeaseProbe <= readLeaseAfter",
     [](const Options& p) { return p.lease + p.readLeaseProbe <= p.readLeaseAfter; }},
    {"proofLimit <= acknowledgementWait + applyWithin",
     [](const Options& p) { return p.proofLimit <= p.acknowledgementWait + p.applyWithin; }},
    {"leaseStop < replaceVoterAfter",
     [](const Options& p) { return p.leaseStop < p.replaceVoterAfter; }},
    {"1 <= backups, 2 * backups + 1 <= voterSlots",
     [](const Options& p) { return p.backups >= 1 && 2 * p.backups + 1 <= p.voterSlots; }},
    {"stateRequestWait < stateRequestTimeout",
     [](const Options& p) { return p.stateRequestWait < p.stateRequestTimeout; }},
    {"engineLeaseStop < engineLease",
     [](const Options& p) { return p.engineLeaseStop < p.engineLease; }},
    {"engineLeaseGap >= orderLease",
     [](const Options& p) { return p.engineLeaseGap >= p.orderLease; }},
    {"0 < listRate, 1 <= loadsAtOnce",
     [](const Options& p) { return p.listRate > 0 && p.loadsAtOnce >= 1; }},
    {"orderLease < weightsWithin", [](const Options& p) { return p.orderLease < p.weightsWithin; }},
    {"suspectAfter < deadAfter", [](const Options& p) { return p.suspectAfter < p.deadAfter; }},
    {"0 <= secondShotShare < 0.2",
     [](const Options& p) { return p.secondShotShare >= 0 && p.secondShotShare < 0.2; }},
    {"0 <= budgetShare < 1",
     [](const Options& p) { return p.budgetShare >= 0 && p.budgetShare < 1; }},
    {"0 < capacityStart <= capacityTop <= 1",
     [](const Options& p) {
       return p.capacityStart > 0 && p.capacityStart <= p.capacityTop && p.capacityTop <= 1;
     }},
}};

}  // namespace

absl::Status setOption(Options& options, std::string_view name, std::string_view value) {
  auto row = std::ranges::find(kOptionRows, name, &OptionRow::name);
  if (row == kOptionRows.end())
    return absl::NotFoundError("unknown option '" + std::string(name) + "'");
  double number = 0;
  auto [end, fault] = std::from_chars(value.data(), value.data() + value.size(), number);
  if (fault != std::errc{} || end != value.data() + value.size() || !std::isfinite(number) ||
      number < 0 || number > 1e9)
    return absl::InvalidArgumentError("option '" + std::string(name) +
                                      "' is not a number between 0 and 1e9");
  std::visit(OptionSetter{options, number}, row->member);
  return absl::OkStatus();
}

absl::Status checkOptions(const Options& options) {
  for (const auto& inequality : kOptionConstraints)
    if (!inequality.holds(options))
      return absl::FailedPreconditionError("options violate: " + std::string(inequality.text));
  return absl::OkStatus();
}

bool isReloadable(std::string_view name) {
  auto row = std::ranges::find(kOptionRows, name, &OptionRow::name);
  return row != kOptionRows.end() && row->reloadable;
}

Options withReloadedOptions(const Options& running, const Options& reread) {
  Options options = running;
  for (const auto& row : kOptionRows)
    if (row.reloadable) std::visit(OptionCopier{options, reread}, row.member);
  return options;
}

std::vector<std::string_view> optionNames() {
  std::vector<std::string_view> names;
  for (const auto& row : kOptionRows) names.push_back(row.name);
  return names;
}

}  // namespace peppergate
