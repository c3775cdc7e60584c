#pragma once
// Stateless request rules: meaning of a response head, weighted choice of a service, urgency ranks,
// timeouts and Retry-After.
#include <map>
#include <string_view>

#include "core/random.h"
#include "requests/events.h"

namespace peppergate {

/// Why no attempt can be made now, or why a request failed.
enum class RequestFailure : std::uint8_t {
  kNotInstalled = 0,
  kStale,
  kNoRoute,
  kUnknownKey,
  kTooLate,
  kNoAttemptsLeft,
  kOverBudget,
  kNoEngine,
  kFull,
  kDeclined,
  kBroken,
  kUnclear,
  kDeadline,
  kNotResumable,
  kDraining,
};
/// The response to a request that is rejected for one reason, and its counter.
struct RejectionResponse {
  int status;
  std::string_view kind;
  std::string_view counter;  // name of the counter of rejections
};
const RejectionResponse& rejectionFor(RequestFailure reason);

/// What the head of an engine's response means for the request.
enum class HeadVerdict : std::uint8_t {
  kSuccess,   // the response to forward
  kNotRun,    // the engine did not run the request and never will
  kFailed,    // it may have run; another engine may succeed
  kFinal,     // it may have run; another engine would respond the same
  kUnusable,  // it may have run; must not be forwarded as it is
};
/// Classifies a response head. A client may read some statuses (such as 503) as "not run". For a
/// request that must not run twice, such a status must not be forwarded unless the engine states
/// explicitly that it did not run the request.
HeadVerdict classifyHead(const AttemptEvent& event, bool repeatable);

/// Chooses a service by weight from a hash of the client id, so that one client id always gets the
/// same service. Null if the route has no service with a weight.
const ServiceShare* chooseService(const Route& route, std::string_view clientId);

/// Maps urgencies to ranks from 0 (most urgent) to 9, ordered by the tenant's urgency first and the
/// route's second.
class UrgencyTable {
 public:
  UrgencyTable() = default;
  explicit UrgencyTable(const FleetConfig& config);
  int rankOf(int tenant, int route) const;
  /// The urgency of requests without a tenant, as on an open route.
  static constexpr int kNoTenantUrgency = 5;

 private:
  std::map<int, int> tenantIndexes_, routeIndexes_;  // index of each urgency in ascending order
};

/// How long an attempt may be silent before another engine is tried: before its first event, and
/// between events.
Duration firstEventTimeout(const Route& route);
Duration eventGapTimeout(const Route& route);
/// The least time before the deadline with which an attempt is still made.
Duration minTimeLeft(const Route& route);
/// The Retry-After of a rejected request: the forecast, or a random delay without one, and at most
/// a third of the time that the client has left.
Duration chooseRetryAfter(std::optional<Duration> forecast, Duration timeLeft, Random& random);

}  // namespace peppergate
