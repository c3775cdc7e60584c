#include "core/operator_handler.h"

#include <array>

#include "core/digest.h"
#include "core/schemas.h"

namespace peppergate {
namespace {

constexpr Duration kUnknownFor = seconds(0.9);  // no primary known and nothing sent yet
constexpr Duration kRefusedFor = seconds(3.3);  // while primaries refuse temporarily
constexpr Duration kSilentFor = seconds(6);     // after a send: the change may have been applied
constexpr Duration kAskEvery = seconds(0.3);
constexpr Duration kReadFor = seconds(2.5);
constexpr std::size_t kMostForwarded = 2000;
constexpr std::size_t kMostForwardedBytes = 32U << 20;
constexpr std::size_t kMostReaders = 100;

/// The delay before an unanswered change is resent. It grows with the size, so that copies of a
/// large change don't queue up at a primary that is still processing the first.
Duration repeatAfter(std::size_t bytes) {
  return kAskEvery + milliseconds(static_cast<std::int64_t>(bytes / 4000));
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

const OutcomeRow& rowOf(ChangeOutcome outcome) {
  return kOutcomes.at(static_cast<std::size_t>(outcome));
}

}  // namespace

std::string_view outcomeName(ChangeOutcome outcome) { return rowOf(outcome).name; }

void OperatorHandler::answer(TicketId ticket, int status, const Json& body, Outbox& outbox,
                             bool retry) {
  Headers headers{{"Content-Type", "application/json"}};
  if (retry) headers["Retry-After"] = "1";
  outbox.push(AnswerWeb{ticket, status, headers, body.dump()});
}

bool OperatorHandler::take(const OperatorRequest& asked, MonotonicTime now, Outbox& outbox) {
  if (asked.path == "/change") {
    if (asked.method == "POST") forward(asked, now, outbox);
    else answer(asked.ticket, 405, {{"outcome", "method"}}, outbox);
    return true;
  }
  if (asked.path == "/config") {
    if (asked.method == "GET") readConfig(asked.ticket, now, outbox);
    else answer(asked.ticket, 405, {{"outcome", "method"}}, outbox);
    return true;
  }
  if (asked.path == "/setup") {
    showSetup(asked.ticket, outbox);
    return true;
  }
  if (asked.path == "/trace") {
    showTrace(asked.ticket, now, outbox);
    return true;
  }
  return false;
}

void OperatorHandler::showSetup(TicketId ticket, Outbox& outbox) {
  Json body{
      {"sections",
       {{"setup", versionText(follower_.have().setup)},
        {"keys", versionText(follower_.have().keys)},
        {"weights", versionText(follower_.have().weights)}}},
      {"weights",
       {{"version", follower_.weights().version.value}, {"label", follower_.weights().label}}},
      {"keys", follower_.keys().live.size()},
      {"withdrawn", follower_.keys().withdrawn.size()},
      {"config", follower_.setup().fleet.version.value}};
  Json models = Json::object();
  for (const auto& [model, version] : follower_.weights().models)
    models[model.value] = version.value;
  body["weights"]["models"] = std::move(models);
  if (follower_.installed()) {
    Json setup = Json::parse(follower_.setupText());
    setup.erase("fleet");  // contains keys, so only /config shows it
    body["setup"] = std::move(setup);
  }
  answer(ticket, 200, body, outbox);
}

void OperatorHandler::showTrace(TicketId ticket, MonotonicTime now, Outbox& outbox) {
  Json installs = Json::array();
  for (const auto& record : follower_.installs())
    installs.push_back({{"section", record.section},
                        {"version", versionText(record.version)},
                        {"toldMillisecondsAgo", inMilliseconds(now - record.told)},
                        {"inForceMillisecondsAgo", inMilliseconds(now - record.inForce)}});
  Json members = Json::array();
  for (const auto& record : membership_.live())
    members.push_back({{"address", record.address.value},
                       {"pages", record.pages.value},
                       {"role", record.role == Role::kCore ? "core" : "front"},
                       {"district", record.zone.value}});
  answer(ticket, 200, {{"installs", installs}, {"members", members}}, outbox);
}

void OperatorHandler::readConfig(TicketId ticket, MonotonicTime now, Outbox& outbox) {
  if (readers_.size() >= kMostReaders) {
    answer(ticket, 503, {{"outcome", "busy"}}, outbox, true);
    return;
  }
  readers_[ticket] = now;
  settle(now, outbox);
  // Only a request sent from now on proves that no newer version was acknowledged before the read.
  if (readers_.contains(ticket)) askNow(now, outbox);
}

void OperatorHandler::askNow(MonotonicTime now, Outbox& outbox) {
  lastAsk_ = now;
  follower_.askNow(now, outbox);
}

void OperatorHandler::settle(MonotonicTime now, Outbox& outbox) {
  (void)now;
  std::string body;  // serialized once for all pending readers
  for (auto reader = readers_.begin(); reader != readers_.end();) {
    if (!follower_.readable(reader->second)) {
      ++reader;
      continue;
    }
    ConfigVersion version = follower_.setup().fleet.version;
    if (version.value == 0) {
      answer(reader->first, 404, {{"outcome", "none"}}, outbox);
    } else {
      if (body.empty())
        body = "{\"config\":" + Json::parse(follower_.setupText()).at("fleet").dump() +
               ",\"version\":" + std::to_string(version.value) + "}";
      outbox.push(AnswerWeb{reader->first, 200, {{"Content-Type", "application/json"}}, body});
    }
    reader = readers_.erase(reader);
  }
}

void OperatorHandler::forward(const OperatorRequest& asked, MonotonicTime now, Outbox& outbox) {
  // Only the top-level strings are parsed: a large configuration is forwarded unchanged.
  if (asked.body.size() > static_cast<std::size_t>(options_.largestSetup)) {
    answer(asked.ticket, 413, {{"outcome", "too-large"}}, outbox);
    return;
  }
  DocumentHead head = readHead(asked.body);
  if (!head.readable) {
    answer(asked.ticket, 400,
           {{"outcome", "invalid"}, {"field", "<root>"}, {"detail", "is not a JSON object"}},
           outbox);
    return;
  }
  std::string& changeId = head.texts["changeId"];
  if (changeId.empty() || changeId.size() > 128) {
    answer(asked.ticket, 400,
           {{"outcome", "invalid"},
            {"field", "[changeId]"},
            {"detail", "must be a string of 1 to 128 characters"}},
           outbox);
    return;
  }
  ChangeRequest ask{asked.ticket, changeId, asked.body};
  // The first daemon replaces a key by its digest; the key itself is never forwarded.
  if (auto key = head.texts.find("key"); key != head.texts.end()) {
    head.texts["digest"] = keyDigest(key->second).value;
    Json change = parseDocument(asked.body);
    change["digest"] = head.texts["digest"];
    change.erase("key");
    ask.change = change.dump();
  }
  bool withdrawal = head.texts["kind"] == "key-withdraw";
  if (withdrawal && !head.texts["digest"].empty())
    follower_.withdraw({head.texts["digest"]}, outbox);
  if (follower_.attestedBy(now) == "caretaker") {
    // Without a primary no change can be acknowledged. A key withdrawal still takes effect on this
    // side of the partition, as a gossiped tombstone, and has to be repeated once there is a
    // primary.
    const OutcomeRow& row = rowOf(ChangeOutcome::kReadOnly);
    answer(asked.ticket, row.status,
           {{"outcome", row.name},
            {"detail", "this partition has a read-only leader and no primary; retry later"},
            {"heldInThisPart", withdrawal}},
           outbox, row.retry);
    return;
  }
  if (forwarded_.size() >= kMostForwarded ||
      forwardedBytes_ + ask.change.size() > kMostForwardedBytes) {
    answer(asked.ticket, 503, {{"outcome", "busy"}}, outbox, true);
    return;
  }
  forwardedBytes_ += ask.change.size();
  Forwarded& change = forwarded_[asked.ticket];
  change.since = now;
  change.ask = std::move(ask);
  if (primary().value.empty()) askNow(now, outbox);
  advance(change, primary(), now, outbox);
}

OperatorHandler::Progress OperatorHandler::advance(Forwarded& change, const Address& primary,
                                                   MonotonicTime now, Outbox& outbox) {
  const Duration age = now - change.since;
  if (change.sentTo.value.empty() && primary.value.empty()) {
    if (age <= kUnknownFor) return Progress::kWaits;
    answer(change.ask.ticket, 503,
           {{"outcome", "no-primary"}, {"detail", "this node knows no primary"}}, outbox, true);
    return Progress::kEnded;
  }
  if (change.refused && age > kRefusedFor) {
    pass(*change.refused, outbox);
    return Progress::kEnded;
  }
  if (age > kSilentFor) {
    answer(change.ask.ticket, 504,
           {{"outcome", "lost"},
            {"detail", "no reply from the primary; retry with the same change id"}},
           outbox, true);
    return Progress::kEnded;
  }
  // Resent after the delay, or at once to a new primary; the change id prevents a second
  // application.
  bool moved = primary != change.sentTo;
  if (primary.value.empty() || (!moved && now < change.nextAt)) return Progress::kWaits;
  change.sentTo = primary;
  change.nextAt = now + repeatAfter(change.ask.change.size());
  change.refused.reset();
  outbox.send(primary, change.ask);
  return Progress::kWaits;
}

void OperatorHandler::hear(const ChangeReply& change, MonotonicTime now, Outbox& outbox) {
  auto found = forwarded_.find(change.ticket);
  if (found == forwarded_.end()) return;
  // Tickets restart with each process, so this may be the reply to a change from before a restart.
  if (found->second.ask.changeId != change.changeId) {
    outbox.count("changes.strayAnswers");
    return;
  }
  // The primary may have lost its role or lack a backup: the change is retried for a while.
  Forwarded& waiting = found->second;
  if (rowOf(change.outcome).retry && now - waiting.since < kRefusedFor) {
    waiting.refused = change;
    waiting.nextAt = now + kAskEvery;
    return;
  }
  forwardedBytes_ -= waiting.ask.change.size();
  forwarded_.erase(found);
  pass(change, outbox);
}

void OperatorHandler::pass(const ChangeReply& change, Outbox& outbox) {
  const OutcomeRow& row = rowOf(change.outcome);
  Json body{{"outcome", row.name}};
  if (change.outcome == ChangeOutcome::kDone) body["version"] = versionText(change.version);
  if (change.outcome == ChangeOutcome::kWould) {
    body["changes"] = Json::parse(change.detail, nullptr, false);
    answer(change.ticket, row.status, body, outbox);
    return;
  }
  bool ofConfig = change.outcome == ChangeOutcome::kStale && change.field == "[basedOnVersion]";
  if (ofConfig) body["newest"] = change.newest;
  if (!change.field.empty()) body["field"] = change.field;
  if (!change.detail.empty()) body["detail"] = change.detail;
  if (row.retry) body["primary"] = primary().value;
  answer(change.ticket, row.status, body, outbox, row.retry);
}

void OperatorHandler::tick(MonotonicTime now, Outbox& outbox) {
  settle(now, outbox);
  for (auto reader = readers_.begin(); reader != readers_.end();) {
    if (now - reader->second <= kReadFor) {
      ++reader;
      continue;
    }
    answer(reader->first, 503,
           {{"outcome", "no-primary"}, {"detail", "no primary confirmed the current version"}},
           outbox, true);
    reader = readers_.erase(reader);
  }
  bool overdue = !readers_.empty();
  const Address present = forwarded_.empty() ? Address{} : primary();
  for (auto entry = forwarded_.begin(); entry != forwarded_.end();) {
    Forwarded& change = entry->second;
    if (advance(change, present, now, outbox) == Progress::kWaits) {
      overdue = overdue || now - change.since > kAskEvery;
      ++entry;
      continue;
    }
    forwardedBytes_ -= change.ask.change.size();
    entry = forwarded_.erase(entry);
  }
  // The known primary may be gone, so the newest view is requested.
  if (overdue && now - lastAsk_ >= kAskEvery) askNow(now, outbox);
}

}  // namespace peppergate
