#include "history/assigned_versions.h"

#include <algorithm>
#include <map>

namespace peppergate::history {
namespace {

/// One change with all its attempts.
struct AssignedChange {
  std::string id;
  std::optional<Version> base, version;
  Microseconds firstStart = kNoEnd;      // of its first attempt
  Microseconds acknowledgedAt = kNoEnd;  // of its first acknowledgement
  Microseconds lastRefusedStart = INT64_MIN;
};

class AssignedVersionsChecker {
 public:
  explicit AssignedVersionsChecker(const std::vector<OperatorCall>& calls) : calls_(calls) {}

  Violations check() {
    for (const auto& call : calls_)
      if (call.kind == CallKind::kChange) addChange(call);
    collectAcknowledged();
    checkVersionsAreUnique();
    checkVersionOrder();
    checkBases();
    for (const auto& call : calls_)
      if (call.kind == CallKind::kRead && call.outcome == CallOutcome::kDone) checkRead(call);
    return std::move(violations_);
  }

 private:
  void addViolation(ViolationKind kind, std::string detail) {
    violations_.push_back({kind, {}, std::move(detail)});
  }

  void addChange(const OperatorCall& call) {
    AssignedChange& change = changes_[call.changeKey];
    change.id = call.changeKey;
    if (call.outcome == CallOutcome::kRefused) {
      change.lastRefusedStart = std::max(change.lastRefusedStart, call.start);
      return;
    }
    change.firstStart = std::min(change.firstStart, call.start);
    if (call.outcome != CallOutcome::kDone) return;
    if (!call.valid) addViolation(ViolationKind::kInvalidAcknowledged, call.changeKey);
    if (change.version && *change.version != *call.version)
      addViolation(ViolationKind::kTwoContents, "change " + call.changeKey + " was assigned " +
                                                    versionText(*change.version) + " and " +
                                                    versionText(*call.version));
    change.base = call.base;
    change.version = call.version;
    change.acknowledgedAt = std::min(change.acknowledgedAt, call.end);
  }

  void collectAcknowledged() {
    for (const auto& [id, change] : changes_) {
      if (!change.version) continue;
      acknowledged_.push_back(change);
      if (change.lastRefusedStart > change.acknowledgedAt)
        addViolation(ViolationKind::kRefusedAfterApplied,
                     "change " + id + " was refused after its acknowledgement");
    }
    std::ranges::sort(acknowledged_, {},
                      [](const AssignedChange& change) { return *change.version; });
  }

  void checkVersionsAreUnique() {
    for (std::size_t index = 1; index < acknowledged_.size(); ++index) {
      const AssignedChange& previous = acknowledged_[index - 1];
      const AssignedChange& next = acknowledged_[index];
      if (*previous.version == *next.version)
        addViolation(ViolationKind::kTwoContents, "version " + versionText(*previous.version) +
                                                      " was assigned to " + previous.id + " and " +
                                                      next.id);
    }
  }

  void checkVersionOrder() {
    Microseconds latestStart = INT64_MIN;
    for (const auto& change : acknowledged_) {
      latestStart = std::max(latestStart, change.firstStart);
      if (change.acknowledgedAt < latestStart)
        addViolation(ViolationKind::kVersionOrder,
                     "change " + change.id + " ended with version " + versionText(*change.version) +
                         " before a change with a lower version began");
    }
  }

  void checkBases() {
    for (std::size_t index = 1; index < acknowledged_.size(); ++index) {
      const AssignedChange& change = acknowledged_[index];
      if (!change.base || *change.base >= *acknowledged_[index - 1].version) continue;
      addViolation(ViolationKind::kTwoChangesOnOneBase,
                   "change " + change.id + " is based on " + versionText(*change.base) +
                       ", after " + versionText(*acknowledged_[index - 1].version) +
                       " was created");
    }
  }

  void checkRead(const OperatorCall& read) {
    for (const auto& change : acknowledged_) {
      if (*change.version > *read.version && change.acknowledgedAt < read.start) {
        const auto kind = read.finalRead ? ViolationKind::kLostChange : ViolationKind::kStaleRead;
        addViolation(kind, "version " + versionText(*read.version) + " was read after " +
                               versionText(*change.version) + " had been acknowledged");
        return;
      }
      if (*change.version == *read.version && change.firstStart > read.end)
        addViolation(
            ViolationKind::kUnknownContents,
            "version " + versionText(*read.version) + " was read before its change was requested");
    }
  }

  const std::vector<OperatorCall>& calls_;
  std::map<std::string, AssignedChange> changes_;
  std::vector<AssignedChange> acknowledged_;  // sorted by version
  Violations violations_;
};

}  // namespace

Violations checkAssignedVersions(const std::vector<OperatorCall>& calls) {
  return AssignedVersionsChecker(calls).check();
}

}  // namespace peppergate::history
