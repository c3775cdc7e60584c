#include "requests/response_timer.h"

namespace peppergate {
namespace {

std::string_view nameOf(ResponseTiming timing) {
  switch (timing) {
    case ResponseTiming::kInTime:
      return "in_time";
    case ResponseTiming::kLateFirst:
      return "late_first";
    case ResponseTiming::kLatePause:
      return "late_pause";
  }
  return "in_time";
}

}  // namespace

std::string responseCounter(ResponseTiming timing, int urgency) {
  return "answers." + std::to_string(urgency) + "." + std::string(nameOf(timing));
}

}  // namespace peppergate
