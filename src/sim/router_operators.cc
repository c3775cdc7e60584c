#include "sim/router_operators.h"

#include <algorithm>

#include "sim/router_checker.h"

namespace peppergate {
namespace {

constexpr int kMaxAttempts = 60;

bool isOpen(const OperatorChange& change) { return change.outcome.empty(); }

}  // namespace

RouterOperators::RouterOperators(RouterWorld& world)
    : world_(world), config_(world.initialConfig()) {
  queuedChanges_.push_back({"first", {}});
}

void RouterOperators::queueAmendment() { queuedChanges_.push_back({"amend", {}}); }
void RouterOperators::queueReplacement() { queuedChanges_.push_back({"replace", {}}); }
void RouterOperators::queueRace() { queuedChanges_.push_back({"race", {}}); }
void RouterOperators::queueInvalidChange() { queuedChanges_.push_back({"invalid", {}}); }
void RouterOperators::queueModelVersion(const std::string& model) {
  queuedChanges_.push_back({"version", model});
}
void RouterOperators::queueKeyWithdrawal(const std::string& tenant) {
  queuedChanges_.push_back({"withdraw", tenant});
}

OperatorChange& RouterOperators::addChange(const std::string& kind) {
  OperatorChange change;
  change.id = "change-" + std::to_string(changes_.size() + 1);
  change.kind = kind;
  change.baseVersion = version_;
  change.version = version_ + 1 + world_.random().below(5);
  change.startedAt = change.nextAttemptAt = world_.now();
  change.body = {{"changeId", change.id}, {"basedOnVersion", version_}};
  return changes_.emplace_back(std::move(change));
}

/// Writes the version into the name of the marker tenant, which tells an engine under which
/// configuration a request was sent.
void RouterOperators::setMarker(Json& config, OperatorChange& change) {
  change.marker = change.version;
  config["version"] = change.version;
  for (auto& tenant : config["tenants"])
    if (tenant["name"].get<std::string>().starts_with("mark-"))
      tenant["name"] = "mark-" + std::to_string(change.marker);
}

void RouterOperators::startChange(const QueuedChange& queued) {
  if (queued.kind == "version") {
    ModelName model{queued.target};
    auto& version = modelVersions_[model];
    version = std::max<std::uint64_t>(version, 1) + 1;
    OperatorChange& change = addChange(queued.kind);
    change.model = model;
    change.version = version;
    change.body = {{"changeId", change.id},
                   {"kind", "model-version"},
                   {"model", model.value},
                   {"version", version}};
    return;
  }
  if (queued.kind == "invalid") {
    OperatorChange& change = addChange(queued.kind);
    Json config = config_;
    config["version"] = change.version;
    if (world_.random().below(2) == 0) config["routes"][0]["service"] = "nowhere";
    else config["version"] = version_, config["limits"] = {{"idleMs", 9000}};
    change.body["kind"] = "replace";
    change.body["config"] = config;
    return;
  }
  if (queued.kind == "amend" || queued.kind == "withdraw") {
    OperatorChange& change = addChange(queued.kind);
    std::string marker;
    Json upserts = Json::array();
    change.resultingConfig = config_;
    for (auto& tenant : change.resultingConfig["tenants"]) {
      std::string name = tenant["name"];
      if (name.starts_with("mark-")) marker = name;
      if (queued.kind != "withdraw" || name != queued.target || tenant["keys"].empty()) continue;
      change.withdrawnKey = tenant["keys"][0];
      tenant["keys"].erase(0);
      upserts.push_back(tenant);
    }
    setMarker(change.resultingConfig, change);
    for (const auto& tenant : change.resultingConfig["tenants"])
      if (tenant["name"].get<std::string>().starts_with("mark-")) upserts.push_back(tenant);
    Json remove = Json::array();
    remove.push_back(marker);
    change.body["kind"] = "amend";
    change.body["amendment"] = {{"version", change.version},
                                {"upsert", {{"tenants", upserts}}},
                                {"remove", {{"tenants", remove}}}};
    return;
  }
  for (int racer = 0; racer < (queued.kind == "race" ? 2 : 1); ++racer) {
    OperatorChange& change = addChange(queued.kind);
    change.resultingConfig = config_;
    change.version += 6 * static_cast<std::uint64_t>(racer);  // racing changes differ
    setMarker(change.resultingConfig, change);
    change.body["kind"] = "replace";
    change.body["config"] = change.resultingConfig;
  }
}

void RouterOperators::tick() {
  bool anyOpen = std::ranges::any_of(changes_, isOpen);
  if (!anyOpen && !queuedChanges_.empty()) {
    QueuedChange queued = queuedChanges_.front();
    queuedChanges_.pop_front();
    startChange(queued);
  }
  for (auto& change : changes_)
    if (isOpen(change) && world_.now() >= change.nextAttemptAt) sendChange(change);
}

void RouterOperators::sendChange(OperatorChange& change) {
  change.nextAttemptAt = world_.now() + seconds(7);  // an answer comes within 6 s
  if (++change.attempts > kMaxAttempts) {
    change.outcome = "no-answer";
    return;
  }
  std::vector<RouterProcess*> candidates;
  for (auto& process : world_.processes())
    if (process->alive && world_.reachable("operators", process->host))
      candidates.push_back(process.get());
  if (candidates.empty()) return;
  RouterProcess& target = *candidates[world_.random().below(candidates.size())];
  change.ticket = ++lastTicket_;
  world_.scheduleAfter(world_.drawLatency(), [this, &target, incarnation = target.incarnation,
                                              ticket = change.ticket, body = change.body.dump()] {
    if (target.incarnation == incarnation)
      world_.deliver(target, OperatorRequest{{ticket}, "POST", "/change", body});
  });
}

void RouterOperators::handleAnswer(const AnswerHttp& answer) {
  auto found = std::ranges::find(changes_, answer.ticket.value, &OperatorChange::ticket);
  if (found == changes_.end() || !isOpen(*found)) return;
  OperatorChange& change = *found;
  Json body = Json::parse(answer.body);
  std::string outcome = body.value("outcome", "?");
  if (answer.status == 503 || answer.status == 504) {
    change.nextAttemptAt =
        world_.now() + milliseconds(300 + static_cast<std::int64_t>(world_.random().below(400)));
    return;
  }
  change.outcome = outcome;
  if (change.kind == "invalid") {
    if (outcome != "invalid") world_.checker().fail("invalid-taken", change.id + " " + outcome);
    return;
  }
  if (outcome != "done") {
    bool loser = change.kind == "race" && outcome == "stale";
    // Only in a race may another change come first.
    if (!loser) world_.checker().fail("change-refused", change.id + " " + answer.body);
    return;
  }
  change.acknowledgedAt = world_.now();
  if (change.kind == "version") return;
  for (const auto& other : changes_)
    if (&other != &change && other.acknowledgedAt != kForever && other.kind != "version" &&
        other.baseVersion == change.baseVersion)
      world_.checker().fail("config-fork", change.id + " " + other.id);
  version_ = change.version;
  config_ = change.resultingConfig;
}

std::uint64_t RouterOperators::ackedVersionBefore(MonotonicTime time) const {
  std::uint64_t version = 0;
  for (const auto& change : changes_)
    if (change.acknowledgedAt <= time && change.kind != "version")
      version = std::max(version, change.version);
  return version;
}

MonotonicTime RouterOperators::withdrawnAt(const std::string& key) const {
  for (const auto& change : changes_)
    if (!key.empty() && change.withdrawnKey == key) return change.acknowledgedAt;
  return kForever;
}

WeightsVersion RouterOperators::modelVersionBefore(const ModelName& model,
                                                   MonotonicTime time) const {
  WeightsVersion version{1};
  for (const auto& change : changes_)
    if (change.acknowledgedAt <= time && change.model == model)
      version = std::max(version, WeightsVersion{change.version});
  return version;
}

}  // namespace peppergate
