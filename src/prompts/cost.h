#pragma once
// What it costs to run a request at one engine: pure functions over plain numbers. A cost is in
// thousandths of what is lost by an answer that comes late, so that times and prices add up.
#include <cstdint>

namespace peppergate {

/// One engine as a candidate for one request. Tokens are those of this request's prompt.
struct CandidateNumbers {
  double speed = 100;      // tokens read in a millisecond, by all its requests together
  double queueTokens = 0;  // of others, to be read before
  double running = 0;      // requests there
  double slots = 1;
  double room = 0;            // tokens its memory takes; 0: not told
  double used = 0;            // tokens that running requests hold there, as far as known
  double prompt = 0;          // tokens of the whole prompt
  double shared = 0;          // tokens of its shared parts, at its beginning
  double kept = 0;            // of the prompt's beginning, kept there
  double reach = 0;           // the same where the most is kept that could be collected from
  bool collects = false;      // it may take what it lacks from there
  double away = 0;            // 0: where parts that nobody keeps are read first; 1: far from it
  double tokenMegabytes = 0;  // of a moved token
  double linkMegabytes = 0;   // a second over the engine's link
  double linkWait = 0;        // milliseconds until its link is free
  int crossing = 1;           // a move between zones counts twice, between regions ten times
  bool otherZone = false;     // than the front's
  bool olderWeights = false;  // than were named
  double answerOut = 0;       // tokens to be made
};

/// Weights of the terms; defaults of the product.
struct CostWeights {
  double targetMs = 500;         // within which the first event earns its full worth
  double rereadToken = 0.15;     // of a shared part that somebody keeps
  double firstReadToken = 0.06;  // of one that nobody keeps, away from its home
  double copiedToken = 0.012;    // that is kept elsewhere already: it takes room from other parts
  double movedGigabyte = 90;     // once within a zone, up to three times farther away
  double otherZone = 5;          // the request's and answer's bytes
  double olderWeights = 30;
  double fullBatchMs = 60;  // by which a full batch slows the first token
  double memoryOver = 400;  // for a memory that is wholly overrun
};

/// What came of it.
struct CandidateCost {
  double firstEventMs = 0;
  double waitMs = 0;  // of that, until its reading begins
  double toRead = 0;  // tokens read anew
  double moved = 0;   // tokens moved
  double total = 0;
};

/// The lateness of a first event: little while it is well in time, steep towards the target.
/// Example: `latenessCost(100, 400) == 100`, `latenessCost(400, 400) > 700`.
double latenessCost(double firstEventMs, double targetMs);
/// The whole cost. Example: `costOf(numbers, weights).total`.
CandidateCost costOf(const CandidateNumbers& numbers, const CostWeights& weights);
/// Milliseconds until a full engine is likely to have a free place: 50 to 500.
/// Example: `roomForecastMs(130, 128, 0)`.
double roomForecastMs(double running, double slots, double waiting);

}  // namespace peppergate
