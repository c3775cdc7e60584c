#include "model/message_names.h"

namespace peppergate::model {
namespace {

std::string epochText(std::string_view name, Epoch epoch) {
  return std::string(name) + " " + std::to_string(epoch.value);
}

struct Namer {
  std::string operator()(const Shuffle&) const { return "Shuffle"; }
  std::string operator()(const PrepareRequest& ask) const {
    bool release = ask.kind == PrepareKind::kRelease;
    return epochText(release ? "PrepareRequest(release)" : "PrepareRequest", ask.epoch);
  }
  std::string operator()(const PrepareReply& answer) const {
    return epochText(answer.granted ? "PrepareReply(yes)" : "PrepareReply(no)", answer.epoch);
  }
  std::string operator()(const AcceptRequest& ask) const {
    return epochText("AcceptRequest", ask.view.epoch);
  }
  std::string operator()(const AcceptReply& answer) const {
    return epochText(answer.accepted ? "AcceptReply(yes)" : "AcceptReply(no)", answer.epoch);
  }
  std::string operator()(const ReplicateRequest& ask) const {
    return epochText("ReplicateRequest", ask.epoch) + " version " + versionText(ask.version);
  }
  std::string operator()(const ReplicateReply& answer) const {
    return epochText(answer.synced ? "ReplicateReply(yes)" : "ReplicateReply(no)", answer.epoch);
  }
  std::string operator()(const StateRequest&) const { return "StateRequest"; }
  std::string operator()(const StateReply& answer) const {
    return answer.proof ? "StateReply(proof)" : "StateReply";
  }
  std::string operator()(const WitnessUpdateRequest& ask) const {
    return epochText("WitnessUpdateRequest", ask.epoch);
  }
  std::string operator()(const WitnessUpdateReply& answer) const {
    return epochText("WitnessUpdateReply", answer.epoch);
  }
  std::string operator()(const ChangeRequest& ask) const { return "ChangeRequest " + ask.changeId; }
  std::string operator()(const ChangeReply& answer) const {
    return "ChangeReply outcome " + std::to_string(static_cast<int>(answer.outcome));
  }
  std::string operator()(const ReadLeaseRequest&) const { return "ReadLeaseRequest"; }
  std::string operator()(const ReadLeaseReply&) const { return "ReadLeaseReply"; }
  std::string operator()(const ReadLeaderNotification&) const { return "ReadLeaderNotification"; }
  template <class Other>
  std::string operator()(const Other&) const {
    return "message";
  }
};

}  // namespace

std::string messageText(const Message& message) { return std::visit(Namer{}, message); }

}  // namespace peppergate::model
