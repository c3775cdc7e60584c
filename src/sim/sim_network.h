#pragma once
// A simulated network between named hosts: partitions in both directions or one, lost and late
// messages, and connections that are reset or stall.
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "core/types.h"

namespace peppergate {

/// Decides which hosts reach each other and how long messages take. Uses its owner's random
/// generator, which must outlive it.
class SimNetwork {
 public:
  explicit SimNetwork(Random& random) : random_(random) {}

  /// Partitions these hosts from all others; they still reach each other.
  void cut(const std::vector<std::string>& hosts);
  /// Partitions each of these hosts from each of the others among them; they still reach all other
  /// hosts.
  void separate(const std::vector<std::string>& hosts);
  /// Blocks messages from the senders to the receivers; the other direction stays open.
  void cutOneWay(const std::vector<std::string>& senders,
                 const std::vector<std::string>& receivers);
  /// Stalls the connections of these hosts to all other hosts: bytes are delayed, not lost, until
  /// `heal`.
  void stall(const std::vector<std::string>& hosts);
  /// Ends all partitions and stalls.
  void heal();

  /// Whether messages of `from` reach `to` now. A host always reaches itself.
  bool reachable(const std::string& from, const std::string& to) const;
  /// Whether the connection between two hosts is stalled now.
  bool isStalled(const std::string& from, const std::string& to) const;
  /// Whether a partition, of one direction or both, or a stall that hasn't ended names this host.
  bool isDisturbed(const std::string& host) const;
  /// Whether any partition is active.
  bool hasCuts() const { return !groups_.empty() || !oneWayCuts_.empty(); }

  /// Resets every connection of a host: bytes in flight are lost, and senders don't reconnect for
  /// `kReconnectPause`.
  void reset(const std::string& host, MonotonicTime now);
  /// The number of the connection between two hosts. Each reset of either host increments it; bytes
  /// that were sent under a lower number are lost.
  std::uint64_t connection(const std::string& one, const std::string& other) const;

  /// Set the shares of messages that are lost and that are late by up to `kMaxLateness`.
  void setLossShare(double share) { lossShare_ = share; }
  void setLateShare(double share) { lateShare_ = share; }
  double lossShare() const { return lossShare_; }

  /// Draws a one-way latency.
  Duration drawLatency();
  /// Draws the delay of a message; nullopt if it is lost.
  std::optional<Duration> drawTransitTime();
  /// Whether a sender still waits to reconnect after a reset.
  bool waitsToReconnect(const std::string& one, const std::string& other, MonotonicTime now) const;

  static constexpr Duration kMaxLateness = seconds(2.5);
  static constexpr Duration kReconnectPause = milliseconds(100);

 private:
  struct Reset {
    std::uint64_t count = 0;
    MonotonicTime last = kNever;
  };
  void noteDisturbed(const std::vector<std::string>& hosts) {
    disturbedHosts_.insert(hosts.begin(), hosts.end());
  }
  int groupOf(const std::string& host) const;
  const Reset& resetOf(const std::string& host) const;

  Random& random_;
  std::map<std::string, int> groups_;
  int lastGroup_ = 0;
  std::set<std::pair<std::string, std::string>> oneWayCuts_;  // sender, receiver
  std::set<std::string> stalledHosts_;
  std::set<std::string> disturbedHosts_;  // named by any partition or stall since the last heal
  std::map<std::string, Reset> resets_;
  double lossShare_ = 0.002, lateShare_ = 1.0 / 300;
};

}  // namespace peppergate
