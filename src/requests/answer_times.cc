#include "requests/answer_times.h"

namespace peppergate {
namespace {

std::string_view nameOf(AnswerTiming timing) {
  switch (timing) {
    case AnswerTiming::kInTime:
      return "in_time";
    case AnswerTiming::kLateFirst:
      return "late_first";
    case AnswerTiming::kLatePause:
      return "late_pause";
  }
  return "in_time";
}

}  // namespace

std::string answerCounter(AnswerTiming timing, int urgency) {
  return "answers." + std::to_string(urgency) + "." + std::string(nameOf(timing));
}

}  // namespace peppergate
