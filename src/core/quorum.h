#pragma once
/// Majorities of voter sets. See docs/design-reconfiguration.md.
#include <cstddef>
#include <set>
#include <vector>

#include "core/messages.h"
#include "core/types.h"

namespace peppergate {

/// The smallest number of voters that is more than half of `voters`.
constexpr std::size_t majoritySize(std::size_t voters) { return voters / 2 + 1; }

/// Whether each majority of one set shares a voter with each majority of the other set. Neither set
/// may contain a voter twice.
bool majoritiesIntersect(const std::vector<CoreId>& left, const std::vector<CoreId>& right);

/// All cores that vote on a view: its voters, and the former ones until the view is known to be
/// settled.
std::set<CoreId> allVoters(const View& view);

/// Whether a core votes in a view.
bool isVoterIn(const View& view, CoreId core);

/// Whether these cores block a view and its successors: each majority that could decide on them
/// contains one of these cores. That takes half of the voters, and half of the former voters until
/// the view is known to be settled.
bool blocksMajorities(const std::set<CoreId>& cores, const View& view);

}  // namespace peppergate
