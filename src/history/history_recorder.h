#pragma once
// Records a history while simulated operators make their calls.
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "history/history.h"

namespace peppergate::history {

/// The index of a call in its recorder.
struct CallIndex {
  std::size_t value = 0;
};

/// Owns the calls of one run. A call that never ends keeps an unknown outcome.
class HistoryRecorder {
 public:
  /// Records a call when it is sent; its outcome is unknown until one of the `end` functions sets
  /// it.
  CallIndex begin(OperatorCall call);
  /// Records the outcome of a change that was acknowledged or refused.
  void endChange(CallIndex index, CallOutcome outcome, Microseconds endedAt);
  /// Records an acknowledgement that names the version which the system assigned.
  void endAssignedChange(CallIndex index, const Version& version, Microseconds endedAt);
  /// Records what a read returned.
  void endRead(CallIndex index, const Contents& contents, Microseconds endedAt);
  const std::vector<OperatorCall>& calls() const { return calls_; }
  /// All calls as JSON lines, for `peppergate check-history`.
  std::string text() const;

 private:
  OperatorCall& setOutcome(CallIndex index, CallOutcome outcome, Microseconds endedAt);

  std::vector<OperatorCall> calls_;
};

/// A digest of a configuration, independent of the order of named items in its top-level lists and
/// of the order of fields.
std::string contentsDigest(nlohmann::json configuration);

}  // namespace peppergate::history
