#pragma once
// Detects restarts of control node processes.
#include <map>
#include <set>
#include <vector>

#include "core/messages.h"

namespace peppergate {

/// Detects restarts by member id: each process at a control node's address has a member id of its
/// own. A restart counts as control plane trouble whether or not the node was the leader.
class CoreLives {
 public:
  /// Takes the control nodes that are alive now. Returns whether one that was seen before has
  /// restarted.
  bool restarted(const std::vector<MemberRecord>& cores) {
    bool found = false;
    for (const auto& core : cores) {
      auto& lives = seen_[core.address];
      bool fresh = lives.insert(core.member).second;
      found = found || (fresh && lives.size() > 1);
    }
    return found;
  }

 private:
  std::map<Address, std::set<MemberId>> seen_;
};

}  // namespace peppergate
