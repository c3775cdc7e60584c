#pragma once
// Whether answers came in time, and what made the late ones late, for the counters in the log.
#include <string>
#include <string_view>

#include "config/fleet_config.h"
#include "core/types.h"

namespace peppergate {

/// What became of one request, by its route's target and gap target.
enum class AnswerTiming : std::uint8_t {
  kInTime,
  kLateFirst,  // the first event, or a plain answer's head, came after the target
  kLatePause,  // a later pause between events was longer than the gap target
};

/// Follows one request from its arrival to its last event.
class AnswerTimes {
 public:
  void arrived(MonotonicTime now) { arrived_ = now; }
  /// An event, or the head of a plain answer, went to the client.
  void event(const Route& route, MonotonicTime now) {
    if (last_ == kNever) lateFirst_ = route.target > Duration{} && now - arrived_ > route.target;
    else if (route.gapTarget > Duration{} && now - last_ > route.gapTarget) latePause_ = true;
    last_ = now;
  }
  AnswerTiming timing() const {
    if (lateFirst_) return AnswerTiming::kLateFirst;
    return latePause_ ? AnswerTiming::kLatePause : AnswerTiming::kInTime;
  }

 private:
  MonotonicTime arrived_ = kNever, last_ = kNever;
  bool lateFirst_ = false, latePause_ = false;
};

/// The counter of complete answers of one timing and route urgency. Example:
/// `answerCounter(AnswerTiming::kInTime, 2) == "answers.2.in_time"`.
std::string answerCounter(AnswerTiming timing, int urgency);

}  // namespace peppergate
