#pragma once
// What one member tells many others, in portions: a thin link is never filled by it for long.
#include <deque>
#include <memory>
#include <vector>

#include "core/outbox.h"
#include "core/zone_relay.h"

namespace peppergate {

/// Sends the messages of one round to portions of their receivers, spread evenly over a time. Each
/// receiver gets the messages of one round together, and rounds in the order in which they began.
class SpreadBroadcast {
 public:
  static constexpr std::size_t kUsualPortion = 8;
  /// `portion`: receivers that may always be told at once.
  explicit SpreadBroadcast(std::size_t portion = kUsualPortion) : portion_(portion) {}
  /// Begins a round that reaches the last receiver within `span`.
  void begin(std::vector<Address> receivers, std::vector<Message> messages, Duration span,
             MonotonicTime now);
  /// The same to the receivers of one round: relays get copies marked for passing on, and first.
  void beginRelayed(RelayTargets targets, std::vector<Message> messages, Duration span,
                    MonotonicTime now);
  /// Sends what is due. Call it with each tick, and after `begin`.
  void tick(MonotonicTime now, Outbox& outbox);
  bool idle() const { return rounds_.empty(); }

 private:
  struct Round {
    std::vector<Address> receivers;
    std::vector<std::shared_ptr<const Message>> messages;
    MonotonicTime began;
    Duration span;
    std::size_t sent = 0;  // receivers that have theirs
  };
  std::size_t due(const Round& round, MonotonicTime now) const;

  std::size_t portion_;
  std::deque<Round> rounds_;
};

/// How a relay passes on what it hears: many senders' news may reach it in one moment.
inline constexpr std::size_t kRelayPortion = 2;
inline constexpr Duration kRelaySpan = milliseconds(200);

}  // namespace peppergate
