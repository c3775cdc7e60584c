#pragma once
// The operators of a simulated fleet of routers: configurations, model versions, withdrawn keys.
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "sim/router_world.h"

namespace peppergate {

/// A change that an operator sends, again and again under one id until it is answered.
struct OperatorChange {
  std::string id, kind, key;  // key: that it withdraws
  Json body;
  Json becomes;  // the document if it is done
  std::uint64_t base = 0, version = 0, marker = 0;
  ModelName model;
  MonotonicTime begun{}, nextTry{};
  std::uint64_t ticket = 0;
  int tries = 0;
  std::string outcome;  // empty while open
  MonotonicTime done = kForever;
};

/// Example: `operators.amend(); operators.tick();`
class RouterOperators {
 public:
  explicit RouterOperators(RouterWorld& world);
  void tick();
  void answered(const AnswerWeb& answer);
  void amend();                                // a small change of no consequence
  void swap();                                 // the whole configuration anew
  void race();                                 // two whole ones on one base
  void invalid();                              // one that has to be refused
  void nameVersion(const std::string& model);  // new weights
  void withdraw(const std::string& tenant);    // its first key is a key no more
  const std::vector<OperatorChange>& changes() const { return changes_; }
  /// The version whose configuration the marker's key belonged to. Example: `markerAcked()`.
  std::uint64_t ackedBefore(MonotonicTime time) const;
  MonotonicTime withdrawnAt(const std::string& key) const;
  WeightsVersion namedBefore(const ModelName& model, MonotonicTime time) const;
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
