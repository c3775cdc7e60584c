#include "model/message_names.h"

namespace peppergate::model {
namespace {

std::string epochText(std::string_view name, Epoch epoch) {
  return std::string(name) + " " + std::to_string(epoch.value);
}

struct MessageFormatter {
  std::string operator()(const Shuffle&) const { return "Shuffle"; }
  std::string operator()(const PrepareRequest& request) const {
    bool isRelease = request.kind == PrepareKind::kRelease;
    return epochText(isRelease ? "PrepareRequest(release)" : "PrepareRequest", request.epoch);
  }
  std::string operator()(const PrepareReply& reply) const {
    return epochText(reply.granted ? "PrepareReply(yes)" : "PrepareReply(no)", reply.epoch);
  }
  std::string operator()(const AcceptRequest& request) const {
    return epochText("AcceptRequest", request.view.epoch);
  }
  std::string operator()(const AcceptReply& reply) const {
    return epochText(reply.accepted ? "AcceptReply(yes)" : "AcceptReply(no)", reply.epoch);
  }
  std::string operator()(const ReplicateRequest& request) const {
    return epochText("ReplicateRequest", request.epoch) + " version " +
           versionText(request.version);
  }
  std::string operator()(const ReplicateReply& reply) const {
    return epochText(reply.synced ? "ReplicateReply(yes)" : "ReplicateReply(no)", reply.epoch);
  }
  std::string operator()(const StateRequest&) const { return "StateRequest"; }
  std::string operator()(const StateReply& reply) const {
    return reply.proof ? "StateReply(proof)" : "StateReply";
  }
  std::string operator()(const WitnessUpdateRequest& request) const {
    return epochText("WitnessUpdateRequest", request.epoch);
  }
  std::string operator()(const WitnessUpdateReply& reply) const {
    return epochText("WitnessUpdateReply", reply.epoch);
  }
  std::string operator()(const ChangeRequest& request) const {
    return "ChangeRequest " + request.changeId;
  }
  std::string operator()(const ChangeReply& reply) const {
    return "ChangeReply outcome " + std::to_string(static_cast<int>(reply.outcome));
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

std::string messageText(const Message& message) { return std::visit(MessageFormatter{}, message); }

}  // namespace peppergate::model
