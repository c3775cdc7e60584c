#pragma once
// The operators of a simulated fleet of routers: they change the configuration and model versions
// and withdraw keys.
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "sim/router_world.h"

namespace peppergate {

/// A change that an operator sends; it is retried under the same id until it is answered.
struct OperatorChange {
  std::string id, kind, withdrawnKey;
  Json body;
  Json resultingConfig;  // the configuration once the change is applied
  std::uint64_t baseVersion = 0, version = 0, marker = 0;
  ModelName model;
  MonotonicTime startedAt{}, nextAttemptAt{};
  std::uint64_t ticket = 0;
  int attempts = 0;
  std::string outcome;  // empty while open
  MonotonicTime acknowledgedAt = kForever;
};

/// Queues changes and sends them one after the other, racing ones together.
class RouterOperators {
 public:
  explicit RouterOperators(RouterWorld& world);
  void tick();
  void handleAnswer(const AnswerHttp& answer);
  void queueAmendment();                               // an amendment that only moves the marker
  void queueReplacement();                             // replaces the whole configuration
  void queueRace();                                    // two replacements based on the same version
  void queueInvalidChange();                           // a configuration that must be rejected
  void queueModelVersion(const std::string& model);    // the next weights version of a model
  void queueKeyWithdrawal(const std::string& tenant);  // withdraws the tenant's first key
  const std::vector<OperatorChange>& changes() const { return changes_; }
  /// The newest configuration version acknowledged by a time.
  std::uint64_t ackedVersionBefore(MonotonicTime time) const;
  /// When a key's withdrawal was acknowledged; kForever if it wasn't.
  MonotonicTime withdrawnAt(const std::string& key) const;
  /// The newest weights version of a model acknowledged by a time.
  WeightsVersion modelVersionBefore(const ModelName& model, MonotonicTime time) const;
  /// The version of the newest acknowledged configuration.
  std::uint64_t ackedVersion() const { return version_; }

 private:
  struct QueuedChange {
    std::string kind, target;
  };
  void startChange(const QueuedChange& queued);
  void sendChange(OperatorChange& change);
  OperatorChange& addChange(const std::string& kind);
  void setMarker(Json& config, OperatorChange& change);

  RouterWorld& world_;
  Json config_;
  std::uint64_t version_ = 0, marker_ = 0, lastTicket_ = 2'000'000'000;
  std::deque<QueuedChange> queuedChanges_;
  std::vector<OperatorChange> changes_;
  std::map<ModelName, std::uint64_t> modelVersions_;
};

}  // namespace peppergate
