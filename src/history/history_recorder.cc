#include "history/history_recorder.h"

#include <algorithm>

#include "core/digest.h"

namespace peppergate::history {

CallNumber HistoryRecorder::begin(OperatorCall call) {
  call.outcome = Outcome::kUnknown;
  call.end = kNoEnd;
  calls_.push_back(std::move(call));
  return {calls_.size() - 1};
}

OperatorCall& HistoryRecorder::ended(CallNumber number, Outcome outcome, Microseconds at) {
  OperatorCall& call = calls_.at(number.value);
  call.outcome = outcome;
  call.end = at;
  return call;
}

void HistoryRecorder::end(CallNumber number, Outcome outcome, Microseconds at) {
  ended(number, outcome, at);
}

void HistoryRecorder::endAssigned(CallNumber number, const Version& version, Microseconds at) {
  ended(number, Outcome::kDone, at).version = version;
}

void HistoryRecorder::endRead(CallNumber number, const Contents& contents, Microseconds at) {
  OperatorCall& call = ended(number, Outcome::kDone, at);
  call.version = contents.version;
  call.digest = contents.digest;
}

std::string HistoryRecorder::text() const {
  std::string text;
  for (const auto& call : calls_) text += writeCall(call) + "\n";
  return text;
}

std::string contentsDigest(nlohmann::json configuration) {
  const auto byName = [](const nlohmann::json& one, const nlohmann::json& other) {
    return one.value("name", "") < other.value("name", "");
  };
  for (auto& list : configuration) {
    const bool named = list.is_array() && std::ranges::all_of(list, [](const auto& item) {
                         return item.is_object() && item.contains("name");
                       });
    if (named) std::sort(list.begin(), list.end(), byName);
  }
  return digestText(configuration.dump());
}

}  // namespace peppergate::history
