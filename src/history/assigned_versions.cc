#include "history/assigned_versions.h"

#include <algorithm>
#include <map>

namespace peppergate::history {
namespace {

/// One change with all its attempts.
struct Order {
  std::string id;
  std::optional<Version> base, version;
  Microseconds start = kNoEnd;  // of its first attempt
  Microseconds end = kNoEnd;    // of its first acknowledgement
  Microseconds lastRefusedStart = INT64_MIN;
};

class AssignedChecker {
 public:
  explicit AssignedChecker(const std::vector<OperatorCall>& calls) : calls_(calls) {}

  Verdict check() {
    for (const auto& call : calls_)
      if (call.kind == CallKind::kChange) takeChange(call);
    collectAcknowledged();
    checkOneOrderEach();
    checkTimes();
    checkBases();
    for (const auto& call : calls_)
      if (call.kind == CallKind::kRead && call.outcome == Outcome::kDone) checkRead(call);
    return std::move(verdict_);
  }

 private:
  void fail(ViolationKind kind, std::string detail) {
    verdict_.push_back({kind, {}, std::move(detail)});
  }

  void takeChange(const OperatorCall& call) {
    Order& order = orders_[call.order];
    order.id = call.order;
    if (call.outcome == Outcome::kRefused) {
      order.lastRefusedStart = std::max(order.lastRefusedStart, call.start);
      return;
    }
    order.start = std::min(order.start, call.start);
    if (call.outcome != Outcome::kDone) return;
    if (!call.proper) fail(ViolationKind::kImproperAcknowledged, call.order);
    if (order.version && *order.version != *call.version)
      fail(ViolationKind::kTwoContents, "change " + call.order + " was assigned " +
                                            versionText(*order.version) + " and " +
                                            versionText(*call.version));
    order.base = call.base;
    order.version = call.version;
    order.end = std::min(order.end, call.end);
  }

  void collectAcknowledged() {
    for (const auto& [id, order] : orders_) {
      if (!order.version) continue;
      acknowledged_.push_back(order);
      if (order.lastRefusedStart > order.end)
        fail(ViolationKind::kRefusedRepeat,
             "change " + id + " was refused after its acknowledgement");
    }
    std::ranges::sort(acknowledged_, {}, [](const Order& order) { return *order.version; });
  }

  void checkOneOrderEach() {
    for (std::size_t index = 1; index < acknowledged_.size(); ++index) {
      const Order& one = acknowledged_[index - 1];
      const Order& other = acknowledged_[index];
      if (*one.version == *other.version)
        fail(ViolationKind::kTwoContents, "version " + versionText(*one.version) +
                                              " was assigned to " + one.id + " and " + other.id);
    }
  }

  void checkTimes() {
    Microseconds latestStart = INT64_MIN;
    for (const auto& order : acknowledged_) {
      latestStart = std::max(latestStart, order.start);
      if (order.end < latestStart)
        fail(ViolationKind::kOrder, "change " + order.id + " ended with version " +
                                        versionText(*order.version) +
                                        " before a change with a lower version began");
    }
  }

  void checkBases() {
    for (std::size_t index = 1; index < acknowledged_.size(); ++index) {
      const Order& order = acknowledged_[index];
      if (!order.base || *order.base >= *acknowledged_[index - 1].version) continue;
      fail(ViolationKind::kTwoOnOneBase,
           "change " + order.id + " is based on " + versionText(*order.base) + ", after " +
               versionText(*acknowledged_[index - 1].version) + " was created");
    }
  }

  void checkRead(const OperatorCall& read) {
    for (const auto& order : acknowledged_) {
      if (*order.version > *read.version && order.end < read.start) {
        const auto kind = read.final ? ViolationKind::kLostChange : ViolationKind::kStaleRead;
        fail(kind, "version " + versionText(*read.version) + " was read after " +
                       versionText(*order.version) + " had been acknowledged");
        return;
      }
      if (*order.version == *read.version && order.start > read.end)
        fail(ViolationKind::kUnknownContents,
             "version " + versionText(*read.version) + " was read before its change was requested");
    }
  }

  const std::vector<OperatorCall>& calls_;
  std::map<std::string, Order> orders_;
  std::vector<Order> acknowledged_;  // sorted by version
  Verdict verdict_;
};

}  // namespace

Verdict checkAssignedVersions(const std::vector<OperatorCall>& calls) {
  return AssignedChecker(calls).check();
}

}  // namespace peppergate::history
