#pragma once
// Whether responses met their latency targets, and which target the late ones missed, for the
// counters in the log.
#include <string>
#include <string_view>

#include "config/fleet_config.h"
#include "core/types.h"

namespace peppergate {

/// The latency of one response, compared with its route's target and gap target.
enum class AnswerTiming : std::uint8_t {
  kInTime,
  kLateFirst,  // the first event, or the head without a stream, came after the target
  kLatePause,  // the gap between two later events exceeded the gap target
};

/// Tracks the latency of one request from its arrival to its last event.
class AnswerTimes {
 public:
  void arrived(MonotonicTime now) { arrived_ = now; }
  /// Records that an event, or the head of a response without a stream, went to the client.
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

/// The name of the counter of complete responses with this timing and route urgency, such as
/// "answers.2.in_time".
std::string answerCounter(AnswerTiming timing, int urgency);

}  // namespace peppergate
