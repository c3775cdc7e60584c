#include "core/operator_handler.h"

#include <array>

#include "core/digest.h"
#include "core/schemas.h"

namespace peppergate {
namespace {

constexpr Duration kNoPrimaryTimeout = seconds(0.9);     // no primary known and nothing sent yet
constexpr Duration kRefusalRetryTimeout = seconds(3.3);  // while primaries refuse temporarily
constexpr Duration kNoReplyTimeout = seconds(6);  // after a send: the change may have been applied
constexpr Duration kRetryInterval = seconds(0.3);
constexpr Duration kConfigReadTimeout = seconds(2.5);
constexpr std::size_t kMaxForwardedChanges = 2000;
constexpr std::size_t kMaxForwardedBytes = 32U << 20;
constexpr std::size_t kMaxConfigReaders = 100;

/// The delay before an unanswered change is resent. It grows with the size, so that copies of a
/// large change don't queue up at a primary that is still processing the first.
Duration resendDelay(std::size_t bytes) {
  return kRetryInterval + milliseconds(static_cast<std::int64_t>(bytes / 4000));
}

struct OutcomeRow {
  std::string_view name;
  int status;
  bool retry;
};
constexpr std::array<OutcomeRow, 11> kOutcomes{{{"done", 200, false},
                                                {"stale", 409, false},
                                                {"invalid", 400, false},
                                                {"not-primary", 503, true},
                                                {"no-backup", 503, true},
                                                {"too-large", 413, false},
                                                {"lost", 504, true},
                                                {"unsynced", 503, true},
                                                {"busy", 503, true},
                                                {"would", 200, false},
                                                {"caretaker", 503, true}}};

const OutcomeRow& outcomeRow(ChangeOutcome outcome) {
  return kOutcomes.at(static_cast<std::size_t>(outcome));
}

}  // namespace

std::string_view outcomeName(ChangeOutcome outcome) { return outcomeRow(outcome).name; }

void OperatorHandler::answer(TicketId ticket, int status, const Json& body, Outbox& outbox,
                             bool retry) {
  Headers headers{{"Content-Type", "application/json"}};
  if (retry) headers["Retry-After"] = "1";
  outbox.push(AnswerHttp{ticket, status, headers, body.dump()});
}

bool OperatorHandler::handle(const OperatorRequest& request, MonotonicTime now, Outbox& outbox) {
  if (request.path == "/change") {
    if (request.method == "POST") forwardChange(request, now, outbox);
    else answer(request.ticket, 405, {{"outcome", "method"}}, outbox);
    return true;
  }
  if (request.path == "/config") {
    if (request.method == "GET") readConfig(request.ticket, now, outbox);
    else answer(request.ticket, 405, {{"outcome", "method"}}, outbox);
    return true;
  }
  if (request.path == "/setup") {
    answerSetup(request.ticket, outbox);
    return true;
  }
  if (request.path == "/trace") {
    answerTrace(request.ticket, now, outbox);
    return true;
  }
  return false;
}

void OperatorHandler::answerSetup(TicketId ticket, Outbox& outbox) {
  Json body{
      {"sections",
       {{"setup", versionText(follower_.installedVersions().setup)},
        {"keys", versionText(follower_.installedVersions().keys)},
        {"weights", versionText(follower_.installedVersions().weights)}}},
      {"weights",
       {{"version", follower_.weights().version.value}, {"label", follower_.weights().label}}},
      {"keys", follower_.keys().live.size()},
      {"withdrawn", follower_.keys().withdrawn.size()},
      {"config", follower_.setup().fleetConfig.version.value}};
  Json models = Json::object();
  for (const auto& [model, version] : follower_.weights().models)
    models[model.value] = version.value;
  body["weights"]["models"] = std::move(models);
  if (follower_.hasConfiguration()) {
    Json setup = Json::parse(follower_.setupText());
    setup.erase("fleet");  // contains keys, so only /config shows it
    body["setup"] = std::move(setup);
  }
  answer(ticket, 200, body, outbox);
}

void OperatorHandler::answerTrace(TicketId ticket, MonotonicTime now, Outbox& outbox) {
  Json installs = Json::array();
  for (const auto& record : follower_.installs())
    installs.push_back({{"section", record.section},
                        {"version", versionText(record.version)},
                        {"toldMillisecondsAgo", inMilliseconds(now - record.receivedAt)},
                        {"inForceMillisecondsAgo", inMilliseconds(now - record.appliedAt)}});
  Json members = Json::array();
  for (const auto& record : membership_.liveMembers())
    members.push_back({{"address", record.address.value},
                       {"pages", record.pagesAddress.value},
                       {"role", record.role == Role::kCore ? "core" : "front"},
                       {"district", record.zone.value}});
  answer(ticket, 200, {{"installs", installs}, {"members", members}}, outbox);
}

void OperatorHandler::readConfig(TicketId ticket, MonotonicTime now, Outbox& outbox) {
  if (configReaders_.size() >= kMaxConfigReaders) {
    answer(ticket, 503, {{"outcome", "busy"}}, outbox, true);
    return;
  }
  configReaders_[ticket] = now;
  answerReaders(now, outbox);
  // Only a request sent from now on proves that no newer version was acknowledged before the read.
  if (configReaders_.contains(ticket)) requestStateNow(now, outbox);
}

void OperatorHandler::requestStateNow(MonotonicTime now, Outbox& outbox) {
  lastStateRequestAt_ = now;
  follower_.requestProofNow(now, outbox);
}

void OperatorHandler::answerReaders(MonotonicTime now, Outbox& outbox) {
  (void)now;
  std::string body;  // serialized once for all pending readers
  for (auto reader = configReaders_.begin(); reader != configReaders_.end();) {
    if (!follower_.isReadable(reader->second)) {
      ++reader;
      continue;
    }
    ConfigVersion version = follower_.setup().fleetConfig.version;
    if (version.value == 0) {
      answer(reader->first, 404, {{"outcome", "none"}}, outbox);
    } else {
      if (body.empty())
        body = "{\"config\":" + Json::parse(follower_.setupText()).at("fleet").dump() +
               ",\"version\":" + std::to_string(version.value) + "}";
      outbox.push(AnswerHttp{reader->first, 200, {{"Content-Type", "application/json"}}, body});
    }
    reader = configReaders_.erase(reader);
  }
}

void OperatorHandler::forwardChange(const OperatorRequest& request, MonotonicTime now,
                                    Outbox& outbox) {
  // Only the top-level strings are parsed: a large configuration is forwarded unchanged.
  if (request.body.size() > static_cast<std::size_t>(options_.largestSetup)) {
    answer(request.ticket, 413, {{"outcome", "too-large"}}, outbox);
    return;
  }
  TopLevelStrings fields = readTopLevelStrings(request.body);
  if (!fields.valid) {
    answer(request.ticket, 400,
           {{"outcome", "invalid"}, {"field", "<root>"}, {"detail", "is not a JSON object"}},
           outbox);
    return;
  }
  std::string& changeId = fields.values["changeId"];
  if (changeId.empty() || changeId.size() > 128) {
    answer(request.ticket, 400,
           {{"outcome", "invalid"},
            {"field", "[changeId]"},
            {"detail", "must be a string of 1 to 128 characters"}},
           outbox);
    return;
  }
  ChangeRequest changeRequest{request.ticket, changeId, request.body};
  // The first daemon replaces a key by its digest; the key itself is never forwarded.
  if (auto key = fields.values.find("key"); key != fields.values.end()) {
    fields.values["digest"] = keyDigest(key->second).value;
    Json change = parseDocument(request.body);
    change["digest"] = fields.values["digest"];
    change.erase("key");
    changeRequest.change = change.dump();
  }
  bool withdrawal = fields.values["kind"] == "key-withdraw";
  if (withdrawal && !fields.values["digest"].empty())
    follower_.withdrawKey({fields.values["digest"]}, outbox);
  if (follower_.proofSource(now) == "caretaker") {
    // Without a primary no change can be acknowledged. A key withdrawal still takes effect on this
    // side of the partition, as a gossiped tombstone, and has to be repeated once there is a
    // primary.
    const OutcomeRow& row = outcomeRow(ChangeOutcome::kReadOnly);
    answer(request.ticket, row.status,
           {{"outcome", row.name},
            {"detail", "this partition has a read-only leader and no primary; retry later"},
            {"heldInThisPart", withdrawal}},
           outbox, row.retry);
    return;
  }
  if (forwarded_.size() >= kMaxForwardedChanges ||
      forwardedBytes_ + changeRequest.change.size() > kMaxForwardedBytes) {
    answer(request.ticket, 503, {{"outcome", "busy"}}, outbox, true);
    return;
  }
  forwardedBytes_ += changeRequest.change.size();
  ForwardedChange& change = forwarded_[request.ticket];
  change.receivedAt = now;
  change.request = std::move(changeRequest);
  if (primary().value.empty()) requestStateNow(now, outbox);
  retryOrExpire(change, primary(), now, outbox);
}

OperatorHandler::ForwardState OperatorHandler::retryOrExpire(ForwardedChange& change,
                                                             const Address& primary,
                                                             MonotonicTime now, Outbox& outbox) {
  const Duration age = now - change.receivedAt;
  if (change.sentTo.value.empty() && primary.value.empty()) {
    if (age <= kNoPrimaryTimeout) return ForwardState::kPending;
    answer(change.request.ticket, 503,
           {{"outcome", "no-primary"}, {"detail", "this node knows no primary"}}, outbox, true);
    return ForwardState::kAnswered;
  }
  if (change.lastRefusal && age > kRefusalRetryTimeout) {
    answerChange(*change.lastRefusal, outbox);
    return ForwardState::kAnswered;
  }
  if (age > kNoReplyTimeout) {
    answer(change.request.ticket, 504,
           {{"outcome", "lost"},
            {"detail", "no reply from the primary; retry with the same change id"}},
           outbox, true);
    return ForwardState::kAnswered;
  }
  // Resent after the delay, or at once to a new primary; the change id prevents a second
  // application.
  bool moved = primary != change.sentTo;
  if (primary.value.empty() || (!moved && now < change.nextSendAt)) return ForwardState::kPending;
  change.sentTo = primary;
  change.nextSendAt = now + resendDelay(change.request.change.size());
  change.lastRefusal.reset();
  outbox.send(primary, change.request);
  return ForwardState::kPending;
}

void OperatorHandler::handleReply(const ChangeReply& reply, MonotonicTime now, Outbox& outbox) {
  auto found = forwarded_.find(reply.ticket);
  if (found == forwarded_.end()) return;
  // Tickets restart with each process, so this may be the reply to a change from before a restart.
  if (found->second.request.changeId != reply.changeId) {
    outbox.count("changes.strayAnswers");
    return;
  }
  // The primary may have lost its role or lack a backup: the change is retried for a while.
  ForwardedChange& waiting = found->second;
  if (outcomeRow(reply.outcome).retry && now - waiting.receivedAt < kRefusalRetryTimeout) {
    waiting.lastRefusal = reply;
    waiting.nextSendAt = now + kRetryInterval;
    return;
  }
  forwardedBytes_ -= waiting.request.change.size();
  forwarded_.erase(found);
  answerChange(reply, outbox);
}

void OperatorHandler::answerChange(const ChangeReply& reply, Outbox& outbox) {
  const OutcomeRow& row = outcomeRow(reply.outcome);
  Json body{{"outcome", row.name}};
  if (reply.outcome == ChangeOutcome::kDone) body["version"] = versionText(reply.version);
  if (reply.outcome == ChangeOutcome::kDryRun) {
    body["changes"] = Json::parse(reply.detail, nullptr, false);
    answer(reply.ticket, row.status, body, outbox);
    return;
  }
  bool staleConfig = reply.outcome == ChangeOutcome::kStale && reply.field == "[basedOnVersion]";
  if (staleConfig) body["newest"] = reply.currentConfigVersion;
  if (!reply.field.empty()) body["field"] = reply.field;
  if (!reply.detail.empty()) body["detail"] = reply.detail;
  if (row.retry) body["primary"] = primary().value;
  answer(reply.ticket, row.status, body, outbox, row.retry);
}

void OperatorHandler::tick(MonotonicTime now, Outbox& outbox) {
  answerReaders(now, outbox);
  for (auto reader = configReaders_.begin(); reader != configReaders_.end();) {
    if (now - reader->second <= kConfigReadTimeout) {
      ++reader;
      continue;
    }
    answer(reader->first, 503,
           {{"outcome", "no-primary"}, {"detail", "no primary confirmed the current version"}},
           outbox, true);
    reader = configReaders_.erase(reader);
  }
  bool overdue = !configReaders_.empty();
  const Address currentPrimary = forwarded_.empty() ? Address{} : primary();
  for (auto entry = forwarded_.begin(); entry != forwarded_.end();) {
    ForwardedChange& change = entry->second;
    if (retryOrExpire(change, currentPrimary, now, outbox) == ForwardState::kPending) {
      overdue = overdue || now - change.receivedAt > kRetryInterval;
      ++entry;
      continue;
    }
    forwardedBytes_ -= change.request.change.size();
    entry = forwarded_.erase(entry);
  }
  // The known primary may be gone, so the newest view is requested.
  if (overdue && now - lastStateRequestAt_ >= kRetryInterval) requestStateNow(now, outbox);
}

}  // namespace peppergate
