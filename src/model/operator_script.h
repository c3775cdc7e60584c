#pragma once
/// Two modelled operators: each has one call open at a time, and builds on what it was told last.
#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "core/outbox.h"
#include "model/safety_judge.h"

namespace peppergate::model {

inline constexpr int kOperators = 2;

enum class CallKind : std::uint8_t {
  kOrder,   ///< a new configuration, compared with the version that this operator knows
  kRepeat,  ///< this operator's first order once more, under its id
  kRead,
};

/// The call that an operator has to make, or has open.
struct OperatorCall {
  CallKind kind = CallKind::kRead;
  std::string changeId;  ///< of an order
  std::string body;      ///< of an order
  ReadFloor floor;       ///< what was known anywhere when a read was sent
};

/// A value, copied with the modelled fleet.
class Operator {
 public:
  Operator() = default;
  /// `name` is "a" or "b"; its calls go to machines in turn, from `firstMachine` on.
  Operator(std::string name, std::vector<CallKind> script, int firstMachine);

  /// Whether a call is due: none is open and the script has not ended.
  bool wantsCall(MonotonicTime now) const { return !open_ && !done() && now >= notBefore_; }
  bool done() const { return next_ >= script_.size(); }
  bool open() const { return open_; }
  TicketId ticket() const { return ticket_; }
  /// The machine that the next or the open call goes to, of so many.
  int machine(int machines) const { return machine_ % machines; }
  /// The next call goes to this machine.
  void redirect(int machine) { machine_ = machine; }

  /// Opens the next call; what to send.
  OperatorCall call(TicketId ticket, MonotonicTime now, SafetyJudge& judge);
  /// Takes an answer to the open call. Without a clear one the same call is due again later,
  /// at another machine.
  void answered(const AnswerWeb& answer, MonotonicTime now, Duration pause, SafetyJudge& judge);
  /// The open call's connection broke: its outcome is unknown.
  void broken(MonotonicTime now);
  /// Gives up an open call that was silent for too long; whether it did.
  bool giveUpWhenSilent(MonotonicTime now);
  void hashInto(std::vector<std::uint64_t>& words) const;

 private:
  void orderAnswered(const AnswerWeb& answer, MonotonicTime now, Duration pause,
                     SafetyJudge& judge);
  void readAnswered(const AnswerWeb& answer, MonotonicTime now, Duration pause, SafetyJudge& judge);
  void makeOrder();
  void callAgain(MonotonicTime at);
  void callEnded(MonotonicTime now);

  std::string name_;
  std::vector<CallKind> script_;
  std::size_t next_ = 0;
  int machine_ = 0;
  int tries_ = 0;
  int made_ = 0;  ///< orders so far
  bool open_ = false;
  TicketId ticket_;
  MonotonicTime openSince_ = kNever;
  MonotonicTime notBefore_ = kNever;
  std::uint64_t known_ = 0;  ///< the newest version that this operator was told
  OperatorCall current_, first_;
};

/// The scripts of both operators for so many orders together. Both begin with an order on the
/// same base and under the same number, then read, repeat and order again.
std::array<Operator, kOperators> operatorsFor(int orders);

}  // namespace peppergate::model
