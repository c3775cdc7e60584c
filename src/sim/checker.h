#pragma once
// Judges a run by what callers, engines and operators saw.
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sim/callers.h"
#include "sim/scenario.h"

namespace peppergate {

/// Example: `checker.fail("ran-twice")`, then `checker.finish()` and `checker.failures()`.
class Checker {
 public:
  explicit Checker(World& world) : world_(world) {}
  /// Notes something that must never happen. Example: see the class.
  void fail(const std::string& what);
  /// A stream began for its caller; its key must be good. Example: on a StartAnswer.
  void startedWith(const CallerStream& stream);
  /// A piece came to its caller; its key must be good. Example: on a SendPiece.
  void pieceOf(const CallerStream& stream);
  /// Looks at versions, duties and spread. Example: each 50 ms of simulated time.
  void watch();
  /// The engines' and callers' last words, then the scenario's expectations.
  void finish();
  /// What was wrong, empty when all is well. Example: printed with the seed.
  const std::vector<std::string>& failures() const { return failures_; }
  /// Figures of the run, for reports. Example: `figures().at("served")`.
  const std::map<std::string, double>& figures() const { return figures_; }
  /// The share of streams asked in a span that came whole. Example: `served(from, to)`.
  double served(MonotonicTime from, MonotonicTime to) const;
  /// The same for some tenants only. Example: `servedOf(from, to, [](auto& s) { ... })`.
  double servedOf(MonotonicTime from, MonotonicTime to,
                  const std::function<bool(const CallerStream&)>& counts) const;

 private:
  void bound(const std::string& name, double value);
  double worstRankGap(MonotonicTime from, MonotonicTime to);
  double goodput(MonotonicTime from, MonotonicTime to) const;
  double longestUnled(MonotonicTime from, MonotonicTime to) const;
  void judge(const Expectation& expectation);
  void watchVersions();
  void watchLevels();
  void watchVouchers(int leaders);
  double slidingShare() const;
  bool liveKey(const CallerStream& stream) const;  // nobody asked to withdraw it
  double leastFront(MonotonicTime from, MonotonicTime to) const;
  void settles();
  void compareRuns();
  void acknowledgedStays();

  World& world_;
  std::map<std::string, std::uint64_t> never_;
  std::map<std::string, SectionVersion> highest_;  // by host and section
  std::vector<std::string> failures_;
  std::map<std::string, double> figures_;
  std::vector<std::pair<MonotonicTime, bool>> primaryAt_;
  std::set<std::pair<std::string, std::string>> inForce_;  // host and change
  std::set<std::string> allowed_;  // fronts that allowed new streams at the last look
  std::vector<std::pair<MonotonicTime, bool>> vouchedAt_;
  MonotonicTime lastPrimary_ = kForever;
  double levelSpread_ = 0, levelPairs_ = 0;
};

}  // namespace peppergate
