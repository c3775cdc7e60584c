#include "history/history_recorder.h"

#include <algorithm>

#include "core/digest.h"

namespace peppergate::history {

CallIndex HistoryRecorder::begin(OperatorCall call) {
  call.outcome = CallOutcome::kUnknown;
  call.end = kNoEnd;
  calls_.push_back(std::move(call));
  return {calls_.size() - 1};
}

OperatorCall& HistoryRecorder::setOutcome(CallIndex index, CallOutcome outcome,
                                          Microseconds endedAt) {
  OperatorCall& call = calls_.at(index.value);
  call.outcome = outcome;
  call.end = endedAt;
  return call;
}

void HistoryRecorder::endChange(CallIndex index, CallOutcome outcome, Microseconds endedAt) {
  setOutcome(index, outcome, endedAt);
}

void HistoryRecorder::endAssignedChange(CallIndex index, const Version& version,
                                        Microseconds endedAt) {
  setOutcome(index, CallOutcome::kDone, endedAt).version = version;
}

void HistoryRecorder::endRead(CallIndex index, const Contents& contents, Microseconds endedAt) {
  OperatorCall& call = setOutcome(index, CallOutcome::kDone, endedAt);
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
    const bool allNamed = list.is_array() && std::ranges::all_of(list, [](const auto& item) {
                            return item.is_object() && item.contains("name");
                          });
    if (allNamed) std::sort(list.begin(), list.end(), byName);
  }
  return digestText(configuration.dump());
}

}  // namespace peppergate::history
