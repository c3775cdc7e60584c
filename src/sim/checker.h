#pragma once
// Checks a run against the invariants and expectations, from what callers, engines and operators
// saw.
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sim/callers.h"
#include "sim/scenario.h"

namespace peppergate {

/// Collects violations and figures during a run; `finish` evaluates the scenario's expectations.
class Checker {
 public:
  explicit Checker(World& world) : world_(world) {}
  /// Records a violated invariant; only its first occurrence is reported.
  void fail(const std::string& what);
  /// Checks that a stream whose answer starts doesn't use a withdrawn key.
  void checkKeyAtStart(const CallerStream& stream);
  /// Checks that a stream whose piece arrived doesn't use a withdrawn key.
  void checkKeyAtPiece(const CallerStream& stream);
  /// Checks versions, leaders and fetch levels. Called every 50 ms of simulated time.
  void checkState();
  /// Evaluates the engines' and callers' final states, then the scenario's expectations.
  void finish();
  /// Descriptions of all failures; empty after a correct run.
  const std::vector<std::string>& failures() const { return failures_; }
  /// Figures of the run, for reports.
  const std::map<std::string, double>& figures() const { return figures_; }
  /// The share of the streams requested in a time span that completed.
  double servedShare(MonotonicTime from, MonotonicTime to) const;
  /// The same for the streams that a predicate selects.
  double servedShareOf(MonotonicTime from, MonotonicTime to,
                       const std::function<bool(const CallerStream&)>& isCounted) const;

 private:
  void recordMaximum(const std::string& name, double value);
  double largestRankInversion(MonotonicTime from, MonotonicTime to);
  double goodput(MonotonicTime from, MonotonicTime to) const;
  double longestTimeWithoutLeader(MonotonicTime from, MonotonicTime to) const;
  void evaluate(const Expectation& expectation);
  void checkVersions();
  void sampleFetchLevels();
  void checkReadOnlyLeaders(int leaders);
  double largestSecondAttemptShare() const;
  bool hasLiveKey(const CallerStream& stream) const;  // no withdrawal of its key was requested
  double lowestRouterShare(MonotonicTime from, MonotonicTime to) const;
  void checkServedAfterFaults();
  void checkEngineRuns();
  void checkAcknowledgedChanges();

  World& world_;
  std::map<std::string, std::uint64_t> violationCounts_;
  std::map<std::string, SectionVersion> highestVersions_;  // by host and section
  std::vector<std::string> failures_;
  std::map<std::string, double> figures_;
  std::vector<std::pair<MonotonicTime, bool>> leaderSamples_;
  std::set<std::pair<std::string, std::string>> installedChanges_;  // host and change id
  std::set<std::string> admittingRouters_;  // routers that admitted new streams at the last check
  std::vector<std::pair<MonotonicTime, bool>> readOnlyLeaderSamples_;
  MonotonicTime lastLeaderAt_ = kForever;
  double levelSpread_ = 0, levelPairs_ = 0;
};

}  // namespace peppergate
