#pragma once
// Detects restarts of control node processes.
#include <map>
#include <set>
#include <vector>

#include "core/messages.h"

namespace peppergate {

/// Detects restarts by member id: each process at a control node's address has a member id of its
/// own. A restart counts as control plane trouble whether or not the node was the leader.
class ControlRestartDetector {
 public:
  /// Takes the control nodes that are alive now. Returns whether one that was seen before has
  /// restarted.
  bool detectRestart(const std::vector<MemberRecord>& controlNodes) {
    bool found = false;
    for (const auto& node : controlNodes) {
      auto& memberIds = memberIdsByAddress_[node.address];
      bool isNew = memberIds.insert(node.member).second;
      found = found || (isNew && memberIds.size() > 1);
    }
    return found;
  }

 private:
  std::map<Address, std::set<MemberId>> memberIdsByAddress_;
};

}  // namespace peppergate
