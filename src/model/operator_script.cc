#include "model/operator_script.h"

#include <algorithm>

#include "wire/json_fields.h"

namespace peppergate::model {
namespace {

constexpr int kMaxAttempts = 6;
constexpr Duration kCallTimeout = seconds(1);  // then the call goes to another machine
constexpr std::uint64_t kVersionStep = 2;  // the same for both operators, so their versions collide

Json parseBody(const AnswerHttp& answer) {
  Json body = Json::parse(answer.body, nullptr, false);
  return body.is_object() ? body : Json::object();
}

}  // namespace

Operator::Operator(std::string name, std::vector<CallKind> script, int firstMachine)
    : name_(std::move(name)), script_(std::move(script)), targetMachine_(firstMachine) {}

void Operator::makeChange() {
  std::uint64_t version = newestKnownVersion_ + kVersionStep;
  currentCall_.changeId = name_ + std::to_string(++changesMade_);
  currentCall_.body = Json{{"changeId", currentCall_.changeId},
                           {"kind", "replace"},
                           {"basedOnVersion", newestKnownVersion_},
                           {"config", {{"version", version}, {"by", currentCall_.changeId}}}}
                          .dump();
}

OperatorCall Operator::beginCall(TicketId ticket, MonotonicTime now, SafetyChecker& checker) {
  CallKind kind = script_.at(nextCall_);
  bool firstAttempt = attempts_ == 0;
  if (firstAttempt) {
    currentCall_ = kind == CallKind::kRepeatFirstChange ? firstChange_ : OperatorCall{};
    currentCall_.kind = kind;
    if (kind == CallKind::kNewChange) {
      makeChange();
      if (changesMade_ == 1) firstChange_ = currentCall_;
      checker.recordSent(currentCall_.changeId, newestKnownVersion_,
                         newestKnownVersion_ + kVersionStep);
    }
  }
  if (kind == CallKind::kRead) currentCall_.readFloor = checker.readFloor();
  ++attempts_;
  hasOpenCall_ = true;
  callOpenedAt_ = now;
  ticket_ = ticket;
  return currentCall_;
}

void Operator::retryCall(MonotonicTime retryAt) {
  hasOpenCall_ = false;
  ++targetMachine_;
  nextCallAt_ = retryAt;
  if (attempts_ >= kMaxAttempts) finishCall(retryAt);
}

void Operator::finishCall(MonotonicTime now) {
  hasOpenCall_ = false;
  attempts_ = 0;
  ++targetMachine_;
  ++nextCall_;
  nextCallAt_ = now;
}

void Operator::handleBrokenConnection(MonotonicTime now) { retryCall(now); }

bool Operator::giveUpTimedOutCall(MonotonicTime now) {
  if (!hasOpenCall_ || now - callOpenedAt_ < kCallTimeout) return false;
  handleBrokenConnection(now);
  return true;
}

void Operator::handleAnswer(const AnswerHttp& answer, MonotonicTime now, Duration retryDelay,
                            SafetyChecker& checker) {
  if (currentCall_.kind == CallKind::kRead) handleReadAnswer(answer, now, retryDelay, checker);
  else handleChangeAnswer(answer, now, retryDelay, checker);
}

void Operator::handleChangeAnswer(const AnswerHttp& answer, MonotonicTime now, Duration retryDelay,
                                  SafetyChecker& checker) {
  Json body = parseBody(answer);
  if (answer.status == 200) {
    checker.recordAcknowledged(currentCall_.changeId, body.value("version", std::string()));
    if (currentCall_.kind == CallKind::kNewChange)
      newestKnownVersion_ = std::max(newestKnownVersion_, newestKnownVersion_ + kVersionStep);
    finishCall(now);
  } else if (answer.status >= 400 && answer.status < 500) {
    std::uint64_t newestVersion = body.value("newest", std::uint64_t{0});
    checker.recordRefused(currentCall_.changeId, newestVersion);
    newestKnownVersion_ = std::max(newestKnownVersion_, newestVersion);
    finishCall(now);
  } else {
    retryCall(now + retryDelay);
  }
}

void Operator::handleReadAnswer(const AnswerHttp& answer, MonotonicTime now, Duration retryDelay,
                                SafetyChecker& checker) {
  if (answer.status != 200 && answer.status != 404) {
    retryCall(now + retryDelay);
    return;
  }
  Json body = parseBody(answer);
  std::uint64_t version = answer.status == 404 ? 0 : body.value("version", std::uint64_t{0});
  std::string changeId = body.contains("config") ? body["config"].value("by", std::string()) : "";
  checker.recordRead(currentCall_.readFloor, version, changeId);
  newestKnownVersion_ = std::max(newestKnownVersion_, version);
  finishCall(now);
}

void Operator::hashInto(std::vector<std::uint64_t>& words) const {
  words.push_back(nextCall_);
  words.push_back(static_cast<std::uint64_t>(targetMachine_));
  words.push_back(static_cast<std::uint64_t>(attempts_ * 2 + (hasOpenCall_ ? 1 : 0)));
  words.push_back(static_cast<std::uint64_t>(changesMade_));
  words.push_back(static_cast<std::uint64_t>(nextCallAt_.microseconds));
  words.push_back(hasOpenCall_ ? static_cast<std::uint64_t>(callOpenedAt_.microseconds) : 0);
  words.push_back(newestKnownVersion_);
  words.push_back(currentCall_.readFloor.acknowledged);
  words.push_back(currentCall_.readFloor.reported);
}

std::array<Operator, kOperatorCount> makeOperators(int changes) {
  using enum CallKind;
  std::vector<CallKind> firstScript, secondScript;
  for (int change = 0; change < changes; ++change) {
    auto& script = change % kOperatorCount == 0 ? firstScript : secondScript;
    script.push_back(kNewChange);
    if (change == 0) {
      script.push_back(kRead);
      script.push_back(kRepeatFirstChange);
    } else if (change == 1) {
      script.push_back(kRead);
    }
  }
  secondScript.push_back(kRepeatFirstChange);
  if (changes == 1) secondScript = {kRead};
  firstScript.push_back(kRead);
  return {Operator("a", firstScript, 1), Operator("b", secondScript, 2)};
}

}  // namespace peppergate::model
