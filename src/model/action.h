#pragma once
/// One decision of a schedule: what happens next in the modelled fleet. Every choice but
/// `kContinue` departs from the default order and counts against the search's bound.
#include <absl/status/statusor.h>

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace peppergate::model {

enum class ActionKind : std::uint8_t {
  kContinue = 0,     ///< the default: the next item is processed, or time advances by one tick
  kDrop,             ///< the next message is lost
  kHold,             ///< the next message is kept back until it is released
  kRelease,          ///< a message that was kept back is delivered; target: its position
  kDuplicate,        ///< the next message is delivered, and a copy of it is kept back
  kDelay,            ///< the next item waits until nothing else is under way
  kAdvanceTime,      ///< one tick passes although items are under way
  kFailSync,         ///< the next write reports a failed sync
  kCrash,            ///< a machine stops; writes under way are lost, synced files stay
  kCrashAfterWrite,  ///< a machine stops; writes under way are on disk, nobody was told
  kRestart,          ///< a stopped machine starts with its files
  kBounce,           ///< kCrash and kRestart at one moment
  kWipe,             ///< a machine stops and starts at once with an empty disk
  kReplace,          ///< a machine is gone for good, a new one starts at a new address
  kCutOff,           ///< a machine goes to the other side of a cut; sides don't hear each other
  kReconnect,        ///< it comes back to the first side
  kLeave,            ///< a machine is told to leave; its disk is gone once it has left
  kLoseAnswer,       ///< the next answer doesn't reach its operator
  kRedirect,         ///< the next call goes to the target machine instead
  kCallEarly,        ///< an operator's next call is made although items are under way
  kJoin,             ///< a new machine starts at a new address beside the others
  kStallDisk,        ///< a machine's writes wait from now on
  kResumeDisk,       ///< they are done, in their order
};
inline constexpr std::size_t kActionKinds = 23;

struct Action {
  ActionKind kind = ActionKind::kContinue;
  int target = 0;  ///< a machine, an operator or a position, as the kind says
  auto operator<=>(const Action&) const = default;
};

/// The word of a kind in schedules and flags, such as "crash-after-write".
std::string_view actionName(ActionKind kind);

/// The kind with this name; NotFound for an unknown one.
absl::StatusOr<ActionKind> actionKind(std::string_view name);

/// An action as a schedule names it, such as "crash 2".
std::string actionText(const Action& action);

/// Reads what `actionText` wrote; InvalidArgument or NotFound otherwise.
absl::StatusOr<Action> parseAction(std::string_view text);

}  // namespace peppergate::model
