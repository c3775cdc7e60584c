#include "model/operator_script.h"

#include <algorithm>

#include "wire/json_fields.h"

namespace peppergate::model {
namespace {

constexpr int kMostTries = 6;
constexpr Duration kSilence = seconds(1);  // then the call goes to another machine
constexpr std::uint64_t kNumberStep = 2;   // the same for both operators, so their versions collide

Json bodyOf(const AnswerWeb& answer) {
  Json body = Json::parse(answer.body, nullptr, false);
  return body.is_object() ? body : Json::object();
}

}  // namespace

Operator::Operator(std::string name, std::vector<CallKind> script, int firstMachine)
    : name_(std::move(name)), script_(std::move(script)), machine_(firstMachine) {}

void Operator::makeOrder() {
  std::uint64_t number = known_ + kNumberStep;
  current_.changeId = name_ + std::to_string(++made_);
  current_.body = Json{{"changeId", current_.changeId},
                       {"kind", "replace"},
                       {"basedOnVersion", known_},
                       {"config", {{"version", number}, {"by", current_.changeId}}}}
                      .dump();
}

OperatorCall Operator::call(TicketId ticket, MonotonicTime now, SafetyJudge& judge) {
  CallKind kind = script_.at(next_);
  bool firstTry = tries_ == 0;
  if (firstTry) {
    current_ = kind == CallKind::kRepeat ? first_ : OperatorCall{};
    current_.kind = kind;
    if (kind == CallKind::kOrder) {
      makeOrder();
      if (made_ == 1) first_ = current_;
      judge.sent(current_.changeId, known_, known_ + kNumberStep);
    }
  }
  if (kind == CallKind::kRead) current_.floor = judge.floor();
  ++tries_;
  open_ = true;
  openSince_ = now;
  ticket_ = ticket;
  return current_;
}

void Operator::callAgain(MonotonicTime at) {
  open_ = false;
  ++machine_;
  notBefore_ = at;
  if (tries_ >= kMostTries) callEnded(at);
}

void Operator::callEnded(MonotonicTime now) {
  open_ = false;
  tries_ = 0;
  ++machine_;
  ++next_;
  notBefore_ = now;
}

void Operator::broken(MonotonicTime now) { callAgain(now); }

bool Operator::giveUpWhenSilent(MonotonicTime now) {
  if (!open_ || now - openSince_ < kSilence) return false;
  broken(now);
  return true;
}

void Operator::answered(const AnswerWeb& answer, MonotonicTime now, Duration pause,
                        SafetyJudge& judge) {
  if (current_.kind == CallKind::kRead) readAnswered(answer, now, pause, judge);
  else orderAnswered(answer, now, pause, judge);
}

void Operator::orderAnswered(const AnswerWeb& answer, MonotonicTime now, Duration pause,
                             SafetyJudge& judge) {
  Json body = bodyOf(answer);
  if (answer.status == 200) {
    judge.acknowledged(current_.changeId, body.value("version", std::string()));
    if (current_.kind == CallKind::kOrder) known_ = std::max(known_, known_ + kNumberStep);
    callEnded(now);
  } else if (answer.status >= 400 && answer.status < 500) {
    std::uint64_t newest = body.value("newest", std::uint64_t{0});
    judge.refused(current_.changeId, newest);
    known_ = std::max(known_, newest);
    callEnded(now);
  } else {
    callAgain(now + pause);
  }
}

void Operator::readAnswered(const AnswerWeb& answer, MonotonicTime now, Duration pause,
                            SafetyJudge& judge) {
  if (answer.status != 200 && answer.status != 404) {
    callAgain(now + pause);
    return;
  }
  Json body = bodyOf(answer);
  std::uint64_t number = answer.status == 404 ? 0 : body.value("version", std::uint64_t{0});
  std::string by = body.contains("config") ? body["config"].value("by", std::string()) : "";
  judge.readAnswered(current_.floor, number, by);
  known_ = std::max(known_, number);
  callEnded(now);
}

void Operator::hashInto(std::vector<std::uint64_t>& words) const {
  words.push_back(next_);
  words.push_back(static_cast<std::uint64_t>(machine_));
  words.push_back(static_cast<std::uint64_t>(tries_ * 2 + (open_ ? 1 : 0)));
  words.push_back(static_cast<std::uint64_t>(made_));
  words.push_back(static_cast<std::uint64_t>(notBefore_.microseconds));
  words.push_back(open_ ? static_cast<std::uint64_t>(openSince_.microseconds) : 0);
  words.push_back(known_);
  words.push_back(current_.floor.acknowledged);
  words.push_back(current_.floor.told);
}

std::array<Operator, kOperators> operatorsFor(int orders) {
  using enum CallKind;
  std::vector<CallKind> first, second;
  for (int order = 0; order < orders; ++order) {
    auto& script = order % kOperators == 0 ? first : second;
    script.push_back(kOrder);
    if (order == 0) {
      script.push_back(kRead);
      script.push_back(kRepeat);
    } else if (order == 1) {
      script.push_back(kRead);
    }
  }
  second.push_back(kRepeat);
  if (orders == 1) second = {kRead};
  first.push_back(kRead);
  return {Operator("a", first, 1), Operator("b", second, 2)};
}

}  // namespace peppergate::model
