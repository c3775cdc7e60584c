#pragma once
// Long polls of what engines keep: each engine has one watcher on the ring, who tells the others.
#include <map>

#include "core/membership.h"
#include "core/outbox.h"
#include "core/ring.h"
#include "engines/engine_book.h"
#include "prompts/part_index.h"

namespace peppergate {

/// Example: `watch.tick(book, config, now, outbox); watch.polled(answer, now, outbox);`
class PartWatch {
 public:
  PartWatch(const Props& props, Membership& membership, PartIndex& index);
  /// Keeps one poll open at each engine and store that this front watches. Example: each tick.
  void tick(EngineBook& book, const FleetConfig& config, MonotonicTime now, Outbox& outbox);
  /// True if the ticket was its own. Example: on PartsPolled, PartsListed.
  bool polled(const PartsPolled& answer, MonotonicTime now, Outbox& outbox);
  bool listed(const PartsListed& answer, MonotonicTime now, Outbox& outbox);
  /// Another watcher's word. Example: on a PartNews.
  void hear(const Address& from, const PartNews& news, MonotonicTime now, Outbox& outbox);

 private:
  Props props_;
  Membership& membership_;
  PartIndex& index_;
  Ring ring_;
};

}  // namespace peppergate
