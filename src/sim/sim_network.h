#pragma once
// A simulated network between named hosts: cuts of both ways or of one, lost and late messages,
// connections that are reset or that hang with bytes under way.
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

/// Which hosts hear each other and how long messages take. Draws from its owner's generator, which
/// must outlive it.
class SimNetwork {
 public:
  explicit SimNetwork(Random& random) : random_(random) {}

  /// Cuts these hosts off from all others; among themselves they go on.
  void cut(const std::vector<std::string>& hosts);
  /// Cuts each of these hosts off from each of the others of them; all other hosts hear them.
  void separate(const std::vector<std::string>& hosts);
  /// What the senders say no longer reaches the receivers; the other way is open.
  void cutOneWay(const std::vector<std::string>& senders,
                 const std::vector<std::string>& receivers);
  /// The connections of these hosts to all other hosts hang: bytes are held up, not lost, until
  /// `heal`.
  void hang(const std::vector<std::string>& hosts);
  /// Ends all cuts and hangs.
  void heal();

  /// Whether what `from` says reaches `to` now. A host always reaches itself.
  bool reachable(const std::string& from, const std::string& to) const;
  /// Whether bytes between two hosts are held up now.
  bool hangs(const std::string& from, const std::string& to) const;
  /// Whether a host was named in a cut, of one way or both, or a hang that hasn't ended.
  bool isDisturbed(const std::string& host) const;
  /// Whether any cut of hosts from each other is in force.
  bool hasCuts() const { return !groups_.empty() || !oneWayCuts_.empty(); }

  /// Resets every connection of a host: bytes under way are lost, and for `kReconnectPause` a
  /// sender doesn't connect again.
  void reset(const std::string& host, MonotonicTime now);
  /// The number of the connection between two hosts. It rises with each reset of either: bytes that
  /// were sent under a lower number are lost.
  std::uint64_t connection(const std::string& one, const std::string& other) const;

  /// The share of messages that are lost, and of those that come late by up to `kLatest`.
  void setLoss(double share) { loss_ = share; }
  void setLate(double share) { late_ = share; }
  double loss() const { return loss_; }

  /// Draws the time of one way.
  Duration latency();
  /// Draws what becomes of a message; nothing if it is lost.
  std::optional<Duration> transit();
  /// Whether a sender has given up its connection and waits before it connects again.
  bool waitsToReconnect(const std::string& one, const std::string& other, MonotonicTime now) const;

  static constexpr Duration kLatest = seconds(2.5);
  static constexpr Duration kReconnectPause = milliseconds(100);

 private:
  struct Reset {
    std::uint64_t count = 0;
    MonotonicTime last = kNever;
  };
  void note(const std::vector<std::string>& hosts) {
    disturbed_.insert(hosts.begin(), hosts.end());
  }
  int groupOf(const std::string& host) const;
  const Reset& resetOf(const std::string& host) const;

  Random& random_;
  std::map<std::string, int> groups_;
  int lastGroup_ = 0;
  std::set<std::pair<std::string, std::string>> oneWayCuts_;  // sender, receiver
  std::set<std::string> hanging_;
  std::set<std::string> disturbed_;  // named in any of these since the last heal
  std::map<std::string, Reset> resets_;
  double loss_ = 0.002, late_ = 1.0 / 300;
};

}  // namespace peppergate
