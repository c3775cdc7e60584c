#pragma once
// Clients' requests and their attempts at engines: what was promised, and what may have run.
#include <memory>

#include "core/options.h"
#include "core/outbox.h"
#include "core/random.h"
#include "requests/fleet_facts.h"
#include "requests/placer.h"

namespace peppergate {

/// What the requests need of the rest of the front.
struct RequestParts {
  const Options& options;
  const FleetFacts& facts;
  EngineLedger& ledger;
  KeptParts& kept;
  Placer& placer;
  Random& random;
};

/// Example: `requests.ask(arrived, now, outbox)`, then `requests.turn(turned, now, outbox)`.
class Requests {
 public:
  explicit Requests(RequestParts parts);
  ~Requests();
  /// A client's request: it is sent on, or refused at once. Example: see the class.
  void ask(RequestArrived arrived, MonotonicTime now, Outbox& outbox);
  /// An attempt went on. Example: its head came.
  void turn(AttemptTurned turned, MonotonicTime now, Outbox& outbox);
  /// The client went away: its attempt ends and nothing is sent again.
  void gone(RequestId request, MonotonicTime now, Outbox& outbox);
  /// The client reads slowly: its own attempt is read no further. Example: on ClientSlow.
  void slow(const ClientSlow& slow, MonotonicTime now, Outbox& outbox);
  /// The daemon was told to leave: what is under way goes on; new requests are refused after a
  /// while, and what has no answer shortly before the end of the grace time gets one then.
  void leave(MonotonicTime now);
  /// Ends what is over its time; nothing here looks at every request. Example: each tick.
  void tick(MonotonicTime now, Outbox& outbox);
  std::size_t live() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace peppergate
