#include "sim/router_operators.h"

#include <algorithm>

#include "sim/router_checker.h"

namespace peppergate {
namespace {

constexpr int kLargestTries = 60;

bool open(const OperatorChange& change) { return change.outcome.empty(); }

}  // namespace

RouterOperators::RouterOperators(RouterWorld& world)
    : world_(world), document_(world.firstConfig()) {
  intents_.push_back({"first", {}});
}

void RouterOperators::amend() { intents_.push_back({"amend", {}}); }
void RouterOperators::swap() { intents_.push_back({"replace", {}}); }
void RouterOperators::race() { intents_.push_back({"race", {}}); }
void RouterOperators::invalid() { intents_.push_back({"invalid", {}}); }
void RouterOperators::nameVersion(const std::string& model) {
  intents_.push_back({"version", model});
}
void RouterOperators::withdraw(const std::string& tenant) {
  intents_.push_back({"withdraw", tenant});
}

OperatorChange& RouterOperators::add(const std::string& kind) {
  OperatorChange change;
  change.id = "change-" + std::to_string(changes_.size() + 1);
  change.kind = kind;
  change.base = version_;
  change.version = version_ + 1 + world_.random().below(5);
  change.begun = change.nextTry = world_.now();
  change.body = {{"changeId", change.id}, {"basedOnVersion", version_}};
  return changes_.emplace_back(std::move(change));
}

/// Writes the version into the name of the marker tenant, which tells an engine under which
/// configuration a request was sent.
void RouterOperators::mark(Json& document, OperatorChange& change) {
  change.marker = change.version;
  document["version"] = change.version;
  for (auto& tenant : document["tenants"])
    if (tenant["name"].get<std::string>().starts_with("mark-"))
      tenant["name"] = "mark-" + std::to_string(change.marker);
}

void RouterOperators::begin(const Intent& intent) {
  if (intent.kind == "version") {
    ModelName model{intent.word};
    auto& version = named_[model];
    version = std::max<std::uint64_t>(version, 1) + 1;
    OperatorChange& change = add(intent.kind);
    change.model = model;
    change.version = version;
    change.body = {{"changeId", change.id},
                   {"kind", "model-version"},
                   {"model", model.value},
                   {"version", version}};
    return;
  }
  if (intent.kind == "invalid") {
    OperatorChange& change = add(intent.kind);
    Json config = document_;
    config["version"] = change.version;
    if (world_.random().below(2) == 0) config["routes"][0]["service"] = "nowhere";
    else config["version"] = version_, config["limits"] = {{"idleMs", 9000}};
    change.body["kind"] = "replace";
    change.body["config"] = config;
    return;
  }
  if (intent.kind == "amend" || intent.kind == "withdraw") {
    OperatorChange& change = add(intent.kind);
    std::string marker;
    Json upserts = Json::array();
    change.becomes = document_;
    for (auto& tenant : change.becomes["tenants"]) {
      std::string name = tenant["name"];
      if (name.starts_with("mark-")) marker = name;
      if (intent.kind != "withdraw" || name != intent.word || tenant["keys"].empty()) continue;
      change.key = tenant["keys"][0];
      tenant["keys"].erase(0);
      upserts.push_back(tenant);
    }
    mark(change.becomes, change);
    for (const auto& tenant : change.becomes["tenants"])
      if (tenant["name"].get<std::string>().starts_with("mark-")) upserts.push_back(tenant);
    Json remove = Json::array();
    remove.push_back(marker);
    change.body["kind"] = "amend";
    change.body["amendment"] = {{"version", change.version},
                                {"upsert", {{"tenants", upserts}}},
                                {"remove", {{"tenants", remove}}}};
    return;
  }
  for (int racer = 0; racer < (intent.kind == "race" ? 2 : 1); ++racer) {
    OperatorChange& change = add(intent.kind);
    change.becomes = document_;
    change.version += 6 * static_cast<std::uint64_t>(racer);  // racing changes differ
    mark(change.becomes, change);
    change.body["kind"] = "replace";
    change.body["config"] = change.becomes;
  }
}

void RouterOperators::tick() {
  bool waits = std::ranges::any_of(changes_, open);
  if (!waits && !intents_.empty()) {
    Intent intent = intents_.front();
    intents_.pop_front();
    begin(intent);
  }
  for (auto& change : changes_)
    if (open(change) && world_.now() >= change.nextTry) sendChange(change);
}

void RouterOperators::sendChange(OperatorChange& change) {
  change.nextTry = world_.now() + seconds(7);  // an answer comes within 6 s
  if (++change.tries > kLargestTries) {
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
  world_.after(world_.latency(), [this, &target, life = target.life, ticket = change.ticket,
                                  body = change.body.dump()] {
    if (target.life == life)
      world_.deliver(target, OperatorRequest{{ticket}, "POST", "/change", body});
  });
}

void RouterOperators::answered(const AnswerWeb& answer) {
  auto found = std::ranges::find(changes_, answer.ticket.value, &OperatorChange::ticket);
  if (found == changes_.end() || !open(*found)) return;
  OperatorChange& change = *found;
  Json body = Json::parse(answer.body);
  std::string outcome = body.value("outcome", "?");
  if (answer.status == 503 || answer.status == 504) {
    change.nextTry =
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
  change.done = world_.now();
  if (change.kind == "version") return;
  for (const auto& other : changes_)
    if (&other != &change && other.done != kForever && other.kind != "version" &&
        other.base == change.base)
      world_.checker().fail("config-fork", change.id + " " + other.id);
  version_ = change.version;
  document_ = change.becomes;
}

std::uint64_t RouterOperators::ackedBefore(MonotonicTime time) const {
  std::uint64_t version = 0;
  for (const auto& change : changes_)
    if (change.done <= time && change.kind != "version")
      version = std::max(version, change.version);
  return version;
}

MonotonicTime RouterOperators::withdrawnAt(const std::string& key) const {
  for (const auto& change : changes_)
    if (!key.empty() && change.key == key) return change.done;
  return kForever;
}

WeightsVersion RouterOperators::namedBefore(const ModelName& model, MonotonicTime time) const {
  WeightsVersion version{1};
  for (const auto& change : changes_)
    if (change.done <= time && change.model == model)
      version = std::max(version, WeightsVersion{change.version});
  return version;
}

}  // namespace peppergate
