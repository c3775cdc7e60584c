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
  std::string id, kind, key;
  Json body;
  Json becomes;  // the configuration once the change is applied
  std::uint64_t base = 0, version = 0, marker = 0;
  ModelName model;
  MonotonicTime begun{}, nextTry{};
  std::uint64_t ticket = 0;
  int tries = 0;
  std::string outcome;  // empty while open
  MonotonicTime done = kForever;
};

/// Queues changes and sends them one after the other, racing ones together.
class RouterOperators {
 public:
  explicit RouterOperators(RouterWorld& world);
  void tick();
  void answered(const AnswerWeb& answer);
  void amend();                                // an amendment that only moves the marker
  void swap();                                 // replaces the whole configuration
  void race();                                 // two replacements based on the same version
  void invalid();                              // a configuration that must be rejected
  void nameVersion(const std::string& model);  // the next weights version of a model
  void withdraw(const std::string& tenant);    // withdraws the tenant's first key
  const std::vector<OperatorChange>& changes() const { return changes_; }
  /// The newest configuration version acknowledged by a time.
  std::uint64_t ackedBefore(MonotonicTime time) const;
  /// When a key's withdrawal was acknowledged; kForever if it wasn't.
  MonotonicTime withdrawnAt(const std::string& key) const;
  /// The newest weights version of a model acknowledged by a time.
  WeightsVersion namedBefore(const ModelName& model, MonotonicTime time) const;
  /// The version of the newest acknowledged configuration.
  std::uint64_t acked() const { return version_; }

 private:
  struct Intent {
    std::string kind, word;
  };
  void begin(const Intent& intent);
  void sendChange(OperatorChange& change);
  OperatorChange& add(const std::string& kind);
  void mark(Json& document, OperatorChange& change);

  RouterWorld& world_;
  Json document_;
  std::uint64_t version_ = 0, marker_ = 0, lastTicket_ = 2'000'000'000;
  std::deque<Intent> intents_;
  std::vector<OperatorChange> changes_;
  std::map<ModelName, std::uint64_t> named_;
};

}  // namespace peppergate
