#pragma once
// Pure rules of requests: what an engine's head means, how services share a route, urgency, times.
#include <map>
#include <string_view>

#include "core/random.h"
#include "requests/events.h"

namespace peppergate {

/// Why no attempt can be made now.
enum class Hurdle : std::uint8_t {
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
  kLeaving,
};
/// How a request that nothing ran for is refused over a hurdle, and its counters.
struct HurdleRow {
  int status;
  std::string_view kind;
  std::string_view refused;  // the counter of refusals
};
/// Example: `hurdleRow(Hurdle::kNoRoute).status == 404`.
const HurdleRow& hurdleRow(Hurdle hurdle);

/// What an engine's head means for the request.
enum class HeadVerdict : std::uint8_t {
  kSuccess,   // it is the answer
  kNotRun,    // the engine did not run the request and never will
  kFailed,    // it may have run; another engine may fare better
  kFinal,     // it may have run; another engine would say the same
  kNoAnswer,  // it may have run; never to be passed on as it is
};
/// Judges a head. Statuses that promise "not run" are no answer without the engine's own word, for
/// what may not run twice. Example: `judgeHead(turned, false) == HeadVerdict::kSuccess`.
HeadVerdict judgeHead(const AttemptTurned& turned, bool repeatable);

/// The service of a request: shares come out over many client ids; a client id keeps its own.
/// Example: `chooseService(route, "9c41")`; null if the route has none.
const ServiceShare* chooseService(const Route& route, std::string_view clientId);

/// Ranks from 0 (most urgent) to 9: the tenant's urgency first, then the route's.
/// Example: `UrgencyTable table(config); table.of(1, 0) < table.of(1, 2)`.
class UrgencyTable {
 public:
  UrgencyTable() = default;
  explicit UrgencyTable(const FleetConfig& config);
  int of(int tenant, int route) const;
  /// The urgency of requests without a tenant. Example: on an open route.
  static constexpr int kNoTenant = 5;

 private:
  std::map<int, int> tenants_, routes_;  // urgency to its place
};

/// How long an attempt may be silent before another engine is tried, first and between events.
/// Example: `firstSilence(route) >= seconds(1.5)`.
Duration firstSilence(const Route& route);
Duration eventSilence(const Route& route);
/// The least time left that an attempt is worth making with. Example: a tenth of the target.
Duration leastTime(const Route& route);
/// When a refused client should come back: as forecast, at random without a forecast, and never
/// above a third of its time. Example: `comeBackAfter({}, seconds(3), random)`.
Duration comeBackAfter(std::optional<Duration> forecast, Duration timeLeft, Random& random);

}  // namespace peppergate
