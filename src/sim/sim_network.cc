#include "sim/sim_network.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr std::int64_t kShortestWayMicroseconds = 300;
constexpr std::uint64_t kSpreadOfWaysMicroseconds = 1500;

}  // namespace

void SimNetwork::cut(const std::vector<std::string>& hosts) {
  ++lastGroup_;
  for (const auto& host : hosts) groups_[host] = lastGroup_;
  note(hosts);
}

void SimNetwork::separate(const std::vector<std::string>& hosts) { cutOneWay(hosts, hosts); }

void SimNetwork::cutOneWay(const std::vector<std::string>& senders,
                           const std::vector<std::string>& receivers) {
  note(senders);
  note(receivers);
  for (const auto& sender : senders)
    for (const auto& receiver : receivers)
      if (sender != receiver) oneWayCuts_.insert({sender, receiver});
}

void SimNetwork::hang(const std::vector<std::string>& hosts) {
  hanging_.insert(hosts.begin(), hosts.end());
  note(hosts);
}

void SimNetwork::heal() {
  groups_.clear();
  oneWayCuts_.clear();
  hanging_.clear();
  disturbed_.clear();
}

int SimNetwork::groupOf(const std::string& host) const {
  auto found = groups_.find(host);
  return found == groups_.end() ? 0 : found->second;
}

bool SimNetwork::reachable(const std::string& from, const std::string& to) const {
  return groupOf(from) == groupOf(to) && !oneWayCuts_.contains({from, to});
}

bool SimNetwork::hangs(const std::string& from, const std::string& to) const {
  return from != to && (hanging_.contains(from) || hanging_.contains(to));
}

bool SimNetwork::isDisturbed(const std::string& host) const { return disturbed_.contains(host); }

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

Duration SimNetwork::latency() {
  return Duration{kShortestWayMicroseconds +
                  static_cast<std::int64_t>(random_.below(kSpreadOfWaysMicroseconds))};
}

std::optional<Duration> SimNetwork::transit() {
  if (random_.fraction() < loss_) return std::nullopt;
  Duration delay = latency();
  if (random_.fraction() < late_) delay = delay + seconds(inSeconds(kLatest) * random_.fraction());
  return delay;
}

}  // namespace peppergate
