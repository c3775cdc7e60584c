#pragma once
// Routes client requests to engines: one attempt at a time, with retries, a retry budget and
// deadlines, and without running a request twice that must run at most once.
#include <memory>

#include "core/options.h"
#include "core/outbox.h"
#include "core/random.h"
#include "requests/fleet_view.h"
#include "requests/placer.h"

namespace peppergate {

/// The parts of the router that request handling depends on.
struct RequestDependencies {
  const Options& options;
  const FleetStateView& fleet;
  EngineTrafficRecorder& engineTraffic;
  PrefixBlockRecorder& prefixBlocks;
  Placer& placer;
  Random& random;
};

/// All client requests of this router, from their arrival to their one final response. Sends each
/// request to an engine and retries, resumes or rejects it as its attempts go on.
class RequestRouter {
 public:
  explicit RequestRouter(RequestDependencies dependencies);
  ~RequestRouter();
  /// Handles a new client request: sends a first attempt, or rejects the request at once.
  void handleRequest(RequestArrived arrival, MonotonicTime now, Outbox& outbox);
  /// Handles progress or failure of an attempt.
  void handleAttemptEvent(AttemptEvent event, MonotonicTime now, Outbox& outbox);
  /// Handles a client disconnect: cancels the current attempt and makes no further one.
  void handleCancelled(RequestId request, MonotonicTime now, Outbox& outbox);
  /// Applies client backpressure: pauses or continues reading from the request's attempt.
  void handleBackpressure(const RequestBackpressure& backpressure, MonotonicTime now,
                          Outbox& outbox);
  /// Starts draining. Requests in progress go on; new requests are rejected after a short delay,
  /// and requests that still have no response shortly before the end of the grace time are
  /// rejected.
  void startDraining(MonotonicTime now);
  /// Handles deadlines and silent engines. Called on each tick; the cost depends only on the
  /// requests that are due, not on all of them.
  void tick(MonotonicTime now, Outbox& outbox);
  std::size_t activeRequests() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace peppergate
