#pragma once
// Whether responses met their latency targets, and which target the late ones missed, for the
// counters in the log.
#include <string>
#include <string_view>

#include "config/fleet_config.h"
#include "core/types.h"

namespace peppergate {

/// The latency of one response, compared with its route's target and gap target.
enum class ResponseTiming : std::uint8_t {
  kInTime,
  kLateFirst,  // the first event, or the head without a stream, came after the target
  kLatePause,  // the gap between two later events exceeded the gap target
};

/// Tracks the latency of one request from its arrival to its last event.
class ResponseTimer {
 public:
  void start(MonotonicTime now) { arrivedAt_ = now; }
  /// Records that an event, or the head of a response without a stream, went to the client.
  void recordEvent(const Route& route, MonotonicTime now) {
    if (lastEventAt_ == kNever)
      lateFirst_ = route.responseTarget > Duration{} && now - arrivedAt_ > route.responseTarget;
    else if (route.eventGapTarget > Duration{} && now - lastEventAt_ > route.eventGapTarget)
      latePause_ = true;
    lastEventAt_ = now;
  }
  ResponseTiming timing() const {
    if (lateFirst_) return ResponseTiming::kLateFirst;
    return latePause_ ? ResponseTiming::kLatePause : ResponseTiming::kInTime;
  }

 private:
  MonotonicTime arrivedAt_ = kNever, lastEventAt_ = kNever;
  bool lateFirst_ = false, latePause_ = false;
};

/// The name of the counter of complete responses with this timing and route urgency, such as
/// "answers.2.in_time".
std::string responseCounter(ResponseTiming timing, int urgency);

}  // namespace peppergate
