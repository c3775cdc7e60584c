#pragma once
// The calls of one register with chosen versions, grouped for the search and for its explanations.
#include <string>
#include <vector>

#include "history/history.h"
#include "history/verdict.h"

namespace peppergate::history {

/// One way into a candidate: an order that makes it on one base.
struct ChainLink {
  Version base;
  Microseconds earliest = kNoEnd;  // start of its first attempt that was not refused
  std::string order;
};

/// Contents that may have been in force.
struct Candidate {
  Contents contents;
  std::vector<ChainLink> links;       // none for the register before its first change
  Microseconds latest = kNoEnd;       // it was in force by then: acknowledged or read
  Microseconds readFrom = INT64_MIN;  // the latest start of a read that returned it
  bool needed = false;                // it was acknowledged or read
  bool acknowledged = false;
};

/// One attempt of a valid change that was declined for good.
struct Refusal {
  Contents contents;
  Version base;
  Microseconds start = 0;
  Microseconds end = kNoEnd;
  std::string order;
};

/// All that the answers say about a register.
struct ChainOrders {
  std::vector<Candidate> candidates;  // by version; the first is the register before any change
  std::vector<Refusal> refusals;
  std::vector<OperatorCall> reads;  // those that were answered
  Verdict impossible;               // answers that no order of the calls explains
};

/// Groups the calls of one register.
ChainOrders collectChainOrders(const std::vector<OperatorCall>& calls);

/// Plain causes for which these calls have no order; for the report when the search found none.
Verdict explainChain(const ChainOrders& orders);

}  // namespace peppergate::history
