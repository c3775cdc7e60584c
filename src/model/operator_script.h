#pragma once
/// Two modelled operators. Each has one call open at a time and bases its next change on the newest
/// version that was reported to it.
#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "core/outbox.h"
#include "model/safety_judge.h"

namespace peppergate::model {

inline constexpr int kOperators = 2;

enum class CallKind : std::uint8_t {
  kOrder,   ///< replaces the configuration, based on the newest version that this operator knows
  kRepeat,  ///< sends this operator's first change again, with the same id
  kRead,
};

/// The call that an operator makes next, or has open.
struct OperatorCall {
  CallKind kind = CallKind::kRead;
  std::string changeId;  ///< of a change
  std::string body;      ///< of a change
  ReadFloor floor;       ///< the newest versions known to any operator when a read was sent
};

/// One operator's state and remaining calls; copied with the modelled fleet.
class Operator {
 public:
  Operator() = default;
  /// `name` is "a" or "b"; calls go to the machines in turn, starting at `firstMachine`.
  Operator(std::string name, std::vector<CallKind> script, int firstMachine);

  /// Whether a call is due: none is open, the script hasn't ended, and the retry delay is over.
  bool wantsCall(MonotonicTime now) const { return !open_ && !done() && now >= notBefore_; }
  bool done() const { return next_ >= script_.size(); }
  bool open() const { return open_; }
  TicketId ticket() const { return ticket_; }
  /// The machine that the next or the open call goes to, out of `machines`.
  int machine(int machines) const { return machine_ % machines; }
  /// Sends the next call to this machine.
  void redirect(int machine) { machine_ = machine; }

  /// Opens the next call and returns what to send.
  OperatorCall call(TicketId ticket, MonotonicTime now, SafetyJudge& judge);
  /// Handles the answer to the open call. If it leaves the outcome unknown, the same call is due
  /// again after the retry delay, at another machine.
  void answered(const AnswerWeb& answer, MonotonicTime now, Duration pause, SafetyJudge& judge);
  /// Handles a broken connection: the outcome of the open call is unknown.
  void broken(MonotonicTime now);
  /// Gives up an open call that has had no answer for too long; returns whether it did.
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
  int made_ = 0;  ///< changes made so far
  bool open_ = false;
  TicketId ticket_;
  MonotonicTime openSince_ = kNever;
  MonotonicTime notBefore_ = kNever;
  std::uint64_t known_ = 0;  ///< the newest version that was reported to this operator
  OperatorCall current_, first_;
};

/// Both operators, with scripts that make this many changes together. Both begin with a change on
/// the same base and with the same version number; then they read, repeat and make further changes.
std::array<Operator, kOperators> operatorsFor(int orders);

}  // namespace peppergate::model
