#pragma once
/// One decision of a schedule: what happens next in the modelled fleet. Every kind but `kContinue`
/// is a departure from the default order and counts against the search's bound.
#include <absl/status/statusor.h>

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace peppergate::model {

enum class ActionKind : std::uint8_t {
  kContinue = 0,      ///< the default: processes the next item, or advances time by one tick
  kDrop,              ///< loses the next message
  kHold,              ///< holds the next message until `kRelease`
  kRelease,           ///< delivers a held message; target: its position
  kDuplicate,         ///< delivers the next message and holds a copy of it
  kDelay,             ///< moves the next item behind all other pending items
  kAdvanceTime,       ///< advances time by one tick although items are pending
  kFailSync,          ///< the next write reports that its sync failed
  kCrash,             ///< stops a machine; its pending writes are lost
  kCrashAfterWrite,   ///< stops a machine; pending writes are on disk, unreported
  kRestart,           ///< starts a stopped machine with its files
  kCrashAndRestart,   ///< kCrash and kRestart at the same time
  kWipe,              ///< restarts a machine at once with an empty disk
  kReplace,           ///< removes a machine and starts a new one at a new address
  kPartition,         ///< moves a machine to the other side of a network partition
  kHealPartition,     ///< moves it back to the first side
  kLeave,             ///< asks a machine to leave; its disk is lost once it has left
  kLoseAnswer,        ///< loses the next answer to an operator
  kRedirect,          ///< sends the next operator call to the target machine instead
  kCallWhilePending,  ///< makes an operator's next call although items are pending
  kJoin,              ///< starts an additional machine at a new address
  kStallDisk,         ///< stalls a machine's writes
  kResumeDisk,        ///< resumes the stalled writes, in their order
};
inline constexpr std::size_t kActionKindCount = 23;

struct Action {
  ActionKind kind = ActionKind::kContinue;
  int target = 0;  ///< a machine, an operator or a position, depending on the kind
  auto operator<=>(const Action&) const = default;
};

/// The name of a kind in schedules and flags, such as "crash-after-write".
std::string_view actionName(ActionKind kind);

/// The kind with this name; NotFound for an unknown name.
absl::StatusOr<ActionKind> parseActionKind(std::string_view name);

/// An action as a schedule's text has it, such as "crash 2".
std::string actionText(const Action& action);

/// Parses the output of `actionText`; InvalidArgument or NotFound for other texts.
absl::StatusOr<Action> parseAction(std::string_view text);

}  // namespace peppergate::model
