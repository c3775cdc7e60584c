#pragma once
// The calls of one register whose versions the operators choose, grouped by contents for the search
// and for explaining its result.
#include <string>
#include <vector>

#include "history/history.h"
#include "history/violation.h"

namespace peppergate::history {

/// One way to reach a candidate: a change that creates it on one base.
struct ChainLink {
  Version base;
  Microseconds earliestStart = kNoEnd;  // start of the first attempt that was not refused
  std::string changeKey;
};

/// Contents that may have been in force.
struct Candidate {
  Contents contents;
  std::vector<ChainLink> links;              // empty for the register before its first change
  Microseconds inForceBy = kNoEnd;           // it was in force by this time: acknowledged or read
  Microseconds latestReadStart = INT64_MIN;  // latest start of a read that returned it
  bool required = false;  // it was acknowledged or read, so it must be in the chain
  bool acknowledged = false;
};

/// One attempt of a valid change that was finally refused.
struct Refusal {
  Contents contents;
  Version base;
  Microseconds start = 0;
  Microseconds end = kNoEnd;
  std::string changeKey;
};

/// Everything that the answers say about one register.
struct ChainEvidence {
  // by version; the first stands for the register before any change
  std::vector<Candidate> candidates;
  std::vector<Refusal> refusals;
  std::vector<OperatorCall> reads;  // the answered reads
  Violations violations;            // answers that no order of the calls can explain
};

/// Groups the calls of one register.
ChainEvidence collectChainEvidence(const std::vector<OperatorCall>& calls);

/// Specific causes why these calls have no linear order; for the report when the search finds none.
Violations explainViolations(const ChainEvidence& evidence);

}  // namespace peppergate::history
