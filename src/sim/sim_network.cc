#include "sim/sim_network.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr std::int64_t kMinLatencyMicroseconds = 300;
constexpr std::uint64_t kLatencySpreadMicroseconds = 1500;

}  // namespace

void SimNetwork::cut(const std::vector<std::string>& hosts) {
  ++lastGroup_;
  for (const auto& host : hosts) groups_[host] = lastGroup_;
  noteDisturbed(hosts);
}

void SimNetwork::separate(const std::vector<std::string>& hosts) { cutOneWay(hosts, hosts); }

void SimNetwork::cutOneWay(const std::vector<std::string>& senders,
                           const std::vector<std::string>& receivers) {
  noteDisturbed(senders);
  noteDisturbed(receivers);
  for (const auto& sender : senders)
    for (const auto& receiver : receivers)
      if (sender != receiver) oneWayCuts_.insert({sender, receiver});
}

void SimNetwork::stall(const std::vector<std::string>& hosts) {
  stalledHosts_.insert(hosts.begin(), hosts.end());
  noteDisturbed(hosts);
}

void SimNetwork::heal() {
  groups_.clear();
  oneWayCuts_.clear();
  stalledHosts_.clear();
  disturbedHosts_.clear();
}

int SimNetwork::groupOf(const std::string& host) const {
  auto found = groups_.find(host);
  return found == groups_.end() ? 0 : found->second;
}

bool SimNetwork::reachable(const std::string& from, const std::string& to) const {
  return groupOf(from) == groupOf(to) && !oneWayCuts_.contains({from, to});
}

bool SimNetwork::isStalled(const std::string& from, const std::string& to) const {
  return from != to && (stalledHosts_.contains(from) || stalledHosts_.contains(to));
}

bool SimNetwork::isDisturbed(const std::string& host) const {
  return disturbedHosts_.contains(host);
}

const SimNetwork::Reset& SimNetwork::resetOf(const std::string& host) const {
  static const Reset kNone;
  auto found = resets_.find(host);
  return found == resets_.end() ? kNone : found->second;
}

void SimNetwork::reset(const std::string& host, MonotonicTime now) {
  Reset& reset = resets_[host];
  ++reset.count;
  reset.last = now;
}

std::uint64_t SimNetwork::connection(const std::string& one, const std::string& other) const {
  return resetOf(one).count + resetOf(other).count;
}

bool SimNetwork::waitsToReconnect(const std::string& one, const std::string& other,
                                  MonotonicTime now) const {
  MonotonicTime last = std::max(resetOf(one).last, resetOf(other).last);
  return last != kNever && now - last < kReconnectPause;
}

Duration SimNetwork::drawLatency() {
  return Duration{kMinLatencyMicroseconds +
                  static_cast<std::int64_t>(random_.below(kLatencySpreadMicroseconds))};
}

std::optional<Duration> SimNetwork::drawTransitTime() {
  if (random_.fraction() < lossShare_) return std::nullopt;
  Duration delay = drawLatency();
  if (random_.fraction() < lateShare_)
    delay = delay + seconds(inSeconds(kMaxLateness) * random_.fraction());
  return delay;
}

}  // namespace peppergate
