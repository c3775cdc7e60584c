#pragma once
// The cost of running a request on one engine, as pure functions over plain numbers. All terms
// share one unit, a thousandth of the loss from a late response, so that times and prices add up.
#include <cstdint>

namespace peppergate {

/// The properties of one engine as a candidate for one request. Token counts refer to the request's
/// prompt unless noted.
struct CandidateInputs {
  double prefillSpeed = 100;  // prefill tokens per millisecond, over all its requests
  double queuedTokens = 0;    // prefill tokens of other requests ahead in the queue
  double running = 0;         // requests running there
  double slots = 1;
  double capacityTokens = 0;          // tokens that fit into its memory; 0: unknown
  double usedTokens = 0;              // estimated tokens held by its running requests
  double promptTokens = 0;            // tokens of the whole prompt
  double sharedTokens = 0;            // tokens of its shared prefix blocks, which come first
  double cachedTokens = 0;            // prefix tokens cached there
  double sourceTokens = 0;            // prefix tokens cached at the best source to fetch from
  bool mayFetch = false;              // it may fetch the blocks that it lacks from that source
  double homeDistance = 0;            // 0: the home engine for uncached blocks; 1: far from it
  double megabytesPerToken = 0;       // megabytes of one fetched token
  double linkMegabytesPerSecond = 0;  // megabytes per second of the engine's link
  double linkWaitMs = 0;              // milliseconds until its link is free
  int distanceFactor = 1;     // cost factor of the distance: 2 between zones, 10 between regions
  bool otherZone = false;     // in another zone than the router
  bool olderWeights = false;  // runs weights older than the target version
  double outputTokens = 0;    // expected tokens of the response
};

/// Weights of the cost terms, with the product's defaults.
struct CostWeights {
  double targetMs = 500;  // target time of the first event
  double recomputedToken =
      0.15;  // per token of a shared block computed again though cached elsewhere
  double misplacedToken = 0.06;    // per token of an uncached block computed away from its home
  double duplicatedToken = 0.012;  // per token duplicated here, which displaces other blocks
  double fetchedGigabyte = 90;     // single price within a zone, up to three times farther away
  double otherZone = 5;            // for the traffic of the request and the response
  double olderWeights = 30;
  double fullBatchMs = 60;        // delay of the first token by a full batch
  double memoryOvercommit = 400;  // for a memory overcommitted by its whole size
};

/// The cost of a candidate and the estimates behind it.
struct CandidateCost {
  double firstEventMs = 0;
  double waitMs = 0;         // part of it before the prefill starts
  double prefillTokens = 0;  // tokens that need prefill
  double fetchedTokens = 0;  // tokens fetched from a source
  double total = 0;
};

/// The cost of a first event's latency: low while well below the target, steep towards it.
/// Example: `latenessCost(100, 400) == 100`, `latenessCost(400, 400) > 700`.
double latenessCost(double firstEventMs, double targetMs);
/// The total cost and the estimates behind it.
CandidateCost costOf(const CandidateInputs& numbers, const CostWeights& weights);
/// Estimated milliseconds until a full engine has a free slot: 50 to 500.
double freeSlotForecastMs(double running, double slots, double waiting);

}  // namespace peppergate
