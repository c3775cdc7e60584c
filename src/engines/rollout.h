#pragma once
// Brings engines to the weights that were named: a few at a time, under the primary's hold.
#include <map>
#include <optional>

#include "core/control_state.h"
#include "core/outbox.h"
#include "engines/lister.h"

namespace peppergate {

/// Orders carry the view's epoch as their fence: it outlives a change of primary, and no two
/// primaries share one. Example: `rollout.tick(leads, epoch, holdUntil, weights, now, outbox);`
class Rollout {
 public:
  Rollout(const Props& props, Lister& lister);
  /// `holdUntil` is the end of the primary's hold: no order is written after it. A new primary
  /// waits a whole lease before its first order. Example: each tick.
  void tick(bool leads, Epoch epoch, MonotonicTime holdUntil, const Weights& weights,
            const std::string& holder, MonotonicTime now, Outbox& outbox);
  /// True if the ticket was its own. Example: on OrderAnswered, ReportAnswered.
  bool answered(const OrderAnswered& answer, MonotonicTime now, Outbox& outbox);
  bool answered(const ReportAnswered& answer, MonotonicTime now, Outbox& outbox);
  /// Whether all engines have what was named. Example: for the status page.
  bool done() const;

 private:
  Props props_;
  Lister& lister_;
};

}  // namespace peppergate
