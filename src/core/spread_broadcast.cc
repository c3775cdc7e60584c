#include "core/spread_broadcast.h"

#include <algorithm>

namespace peppergate {
namespace {

void markForRelay(Message& message) {
  if (auto* use = std::get_if<EngineUsageNotification>(&message)) use->relay = true;
  else if (auto* usage = std::get_if<LinkUsageNotification>(&message)) usage->relay = true;
  else if (auto* blocks = std::get_if<PrefixBlockUpdate>(&message)) blocks->relay = true;
}

}  // namespace

void SpreadBroadcast::begin(std::vector<Address> receivers, std::vector<Message> messages,
                            Duration span, MonotonicTime now) {
  if (receivers.empty() || messages.empty()) return;
  Round round{std::move(receivers), {}, now, span};
  for (auto& message : messages)
    round.messages.push_back(std::make_shared<const Message>(std::move(message)));
  rounds_.push_back(std::move(round));
}

void SpreadBroadcast::beginRelayed(RelayTargets targets, std::vector<Message> messages,
                                   Duration span, MonotonicTime now) {
  std::vector<Message> marked = messages;
  for (auto& message : marked) markForRelay(message);
  begin(std::move(targets.relays), std::move(marked), span, now);
  begin(std::move(targets.direct), std::move(messages), span, now);
}

std::size_t SpreadBroadcast::dueReceivers(const Round& round, MonotonicTime now) const {
  double share =
      round.span > Duration{} ? inSeconds(now - round.startedAt) / inSeconds(round.span) : 1;
  auto receivers = static_cast<double>(round.receivers.size());
  auto due = static_cast<std::size_t>(receivers * std::clamp(share, 0.0, 1.0));
  return std::min(due + portion_, round.receivers.size());
}

void SpreadBroadcast::tick(MonotonicTime now, Outbox& outbox) {
  for (auto& round : rounds_) {
    std::size_t until = dueReceivers(round, now);
    if (until <= round.receiversServed) continue;
    auto first = round.receivers.begin() + static_cast<std::ptrdiff_t>(round.receiversServed);
    auto last = round.receivers.begin() + static_cast<std::ptrdiff_t>(until);
    for (const auto& message : round.messages) outbox.push(Broadcast{{first, last}, message});
    round.receiversServed = until;
  }
  while (!rounds_.empty() && rounds_.front().receiversServed == rounds_.front().receivers.size())
    rounds_.pop_front();
}

}  // namespace peppergate
