#pragma once
/// Two modelled operators. Each has one call open at a time and bases its next change on the newest
/// version that was reported to it.
#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "core/outbox.h"
#include "model/safety_checker.h"

namespace peppergate::model {

inline constexpr int kOperatorCount = 2;

enum class CallKind : std::uint8_t {
  kNewChange,  ///< replaces the configuration, based on the newest version that this operator knows
  kRepeatFirstChange,  ///< sends this operator's first change again, with the same id
  kRead,
};

/// The call that an operator makes next, or has open.
struct OperatorCall {
  CallKind kind = CallKind::kRead;
  std::string changeId;  ///< of a change
  std::string body;      ///< of a change
  ReadFloor readFloor;   ///< the newest versions known to any operator when a read was sent
};

/// One operator's state and remaining calls; copied with the modelled fleet.
class Operator {
 public:
  Operator() = default;
  /// `name` is "a" or "b"; calls go to the machines in turn, starting at `firstMachine`.
  Operator(std::string name, std::vector<CallKind> script, int firstMachine);

  /// Whether a call is due: none is open, the script hasn't ended, and the retry delay is over.
  bool hasCallDue(MonotonicTime now) const {
    return !hasOpenCall_ && !isDone() && now >= nextCallAt_;
  }
  bool isDone() const { return nextCall_ >= script_.size(); }
  bool hasOpenCall() const { return hasOpenCall_; }
  TicketId ticket() const { return ticket_; }
  /// The machine that the next or the open call goes to, out of `machines`.
  int targetMachine(int machines) const { return targetMachine_ % machines; }
  /// Sends the next call to this machine.
  void redirect(int machine) { targetMachine_ = machine; }

  /// Opens the next call and returns what to send.
  OperatorCall beginCall(TicketId ticket, MonotonicTime now, SafetyChecker& checker);
  /// Handles the answer to the open call. If it leaves the outcome unknown, the same call is due
  /// again after the retry delay, at another machine.
  void handleAnswer(const AnswerHttp& answer, MonotonicTime now, Duration retryDelay,
                    SafetyChecker& checker);
  /// Handles a broken connection: the outcome of the open call is unknown.
  void handleBrokenConnection(MonotonicTime now);
  /// Gives up an open call that has had no answer for too long; returns whether it did.
  bool giveUpTimedOutCall(MonotonicTime now);
  void hashInto(std::vector<std::uint64_t>& words) const;

 private:
  void handleChangeAnswer(const AnswerHttp& answer, MonotonicTime now, Duration retryDelay,
                          SafetyChecker& checker);
  void handleReadAnswer(const AnswerHttp& answer, MonotonicTime now, Duration retryDelay,
                        SafetyChecker& checker);
  void makeChange();
  void retryCall(MonotonicTime retryAt);
  void finishCall(MonotonicTime now);

  std::string name_;
  std::vector<CallKind> script_;
  std::size_t nextCall_ = 0;
  int targetMachine_ = 0;
  int attempts_ = 0;
  int changesMade_ = 0;  ///< changes made so far
  bool hasOpenCall_ = false;
  TicketId ticket_;
  MonotonicTime callOpenedAt_ = kNever;
  MonotonicTime nextCallAt_ = kNever;
  std::uint64_t newestKnownVersion_ = 0;  ///< the newest version that was reported to this operator
  OperatorCall currentCall_, firstChange_;
};

/// Both operators, with scripts that make this many changes together. Both begin with a change on
/// the same base and with the same version number; then they read, repeat and make further changes.
std::array<Operator, kOperatorCount> makeOperators(int changes);

}  // namespace peppergate::model
