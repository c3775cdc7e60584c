#pragma once
// Collects a history while simulated operators make their calls.
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "history/history.h"

namespace peppergate::history {

/// The place of a call in its recorder.
struct CallNumber {
  std::size_t value = 0;
};

/// Owns the calls of one run. A call that never ends stays one of unknown outcome.
class HistoryRecorder {
 public:
  /// Notes a call as it is sent; its outcome is unknown until `end` tells it.
  CallNumber begin(OperatorCall call);
  /// Notes a clear answer to a change.
  void end(CallNumber number, Outcome outcome, Microseconds at);
  /// Notes an acknowledgement that names the version which the system gave.
  void endAssigned(CallNumber number, const Version& version, Microseconds at);
  /// Notes what a read returned.
  void endRead(CallNumber number, const Contents& contents, Microseconds at);
  const std::vector<OperatorCall>& calls() const { return calls_; }
  /// All calls as JSON lines, for `peppergate check-history`.
  std::string text() const;

 private:
  OperatorCall& ended(CallNumber number, Outcome outcome, Microseconds at);

  std::vector<OperatorCall> calls_;
};

/// Names a configuration's contents: equal for two that differ only in the order of named items
/// in its top-level lists, or in the order of their fields.
std::string contentsDigest(nlohmann::json configuration);

}  // namespace peppergate::history
