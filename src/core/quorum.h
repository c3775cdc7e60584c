#pragma once
/// Majorities of sets of voters. See docs/design-reconfiguration.md.
#include <cstddef>
#include <set>
#include <vector>

#include "core/messages.h"
#include "core/types.h"

namespace peppergate {

/// The fewest voters that are more than half of so many.
constexpr std::size_t majorityOf(std::size_t voters) { return voters / 2 + 1; }

/// Whether each majority of one set shares a voter with each majority of the other one. Neither set
/// may hold a voter twice.
bool majoritiesMeet(const std::vector<CoreId>& left, const std::vector<CoreId>& right);

/// All who are asked about a view: its voters, and the former ones until it is known to be settled.
std::set<CoreId> allVoters(const View& view);

/// Whether a core votes in a view.
bool votesIn(const View& view, CoreId core);

/// Whether no majority that could decide on a view, or on one that follows it, is without one of
/// these cores: half of its voters, and of the former ones until it is known to be settled.
bool blocksMajorities(const std::set<CoreId>& cores, const View& view);

}  // namespace peppergate
