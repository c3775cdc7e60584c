#pragma once
// Broadcasts to many receivers in portions, so that a slow link is never saturated for long.
#include <deque>
#include <memory>
#include <vector>

#include "core/outbox.h"
#include "core/zone_relay.h"

namespace peppergate {

/// Sends the messages of a round to portions of its receivers, spread evenly over a time span. Each
/// receiver gets the messages of a round together, and the rounds in the order of their start.
class SpreadBroadcast {
 public:
  static constexpr std::size_t kDefaultPortion = 8;
  /// `portion`: the number of receivers that may always be served at once.
  explicit SpreadBroadcast(std::size_t portion = kDefaultPortion) : portion_(portion) {}
  /// Starts a round that reaches the last receiver within `span`.
  void begin(std::vector<Address> receivers, std::vector<Message> messages, Duration span,
             MonotonicTime now);
  /// Starts a round for relays, whose copies are marked for forwarding, and then one for the direct
  /// receivers.
  void beginRelayed(RelayTargets targets, std::vector<Message> messages, Duration span,
                    MonotonicTime now);
  /// Sends the messages that are due. To be called on each tick and after `begin`.
  void tick(MonotonicTime now, Outbox& outbox);
  bool idle() const { return rounds_.empty(); }

 private:
  struct Round {
    std::vector<Address> receivers;
    std::vector<std::shared_ptr<const Message>> messages;
    MonotonicTime startedAt;
    Duration span;
    std::size_t receiversServed = 0;  // number of receivers served
  };
  std::size_t dueReceivers(const Round& round, MonotonicTime now) const;

  std::size_t portion_;
  std::deque<Round> rounds_;
};

/// Pacing of a relay's forwarding, which is low because messages of many senders may arrive at
/// once.
inline constexpr std::size_t kRelayPortion = 2;
inline constexpr Duration kRelaySpan = milliseconds(200);

}  // namespace peppergate
