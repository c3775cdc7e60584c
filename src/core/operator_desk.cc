#include "core/operator_desk.h"

#include <array>

#include "core/digest.h"

namespace peppergate {
namespace {

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

void OperatorDesk::answer(TicketId ticket, int status, Json body, Outbox& outbox, bool retry) {
  Headers headers{{"Content-Type", "application/json"}};
  if (retry) headers["Retry-After"] = "1";
  outbox.push(AnswerWeb{ticket, status, headers, body.dump()});
}

bool OperatorDesk::take(const OperatorAsked& asked, MonotonicTime now, Outbox& outbox) {
  if (asked.path == "/change") {
    if (asked.method == "POST") forward(asked, now, outbox);
    else answer(asked.ticket, 405, {{"outcome", "method"}}, outbox);
    return true;
  }
  if (asked.path == "/setup") {
    Json body{{"sections",
               {{"setup", versionText(follower_.have().setup)},
                {"keys", versionText(follower_.have().keys)},
                {"weights", versionText(follower_.have().weights)}}},
              {"weights",
               {{"version", follower_.weights().version.value},
                {"label", follower_.weights().label}}},
              {"keys", follower_.keys().live.size()},
              {"withdrawn", follower_.keys().withdrawn.size()}};
    if (follower_.installed()) body["setup"] = Json::parse(follower_.setupText());
    answer(asked.ticket, 200, std::move(body), outbox);
    return true;
  }
  if (asked.path == "/trace") {
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
                         {"district", record.district.value}});
    answer(asked.ticket, 200, {{"installs", installs}, {"members", members}}, outbox);
    return true;
  }
  return false;
}

void OperatorDesk::forward(const OperatorAsked& asked, MonotonicTime now, Outbox& outbox) {
  Json change = Json::parse(asked.body, nullptr, false);
  if (!change.is_object()) {
    answer(asked.ticket, 400, {{"outcome", "invalid"}, {"field", "<root>"},
                               {"detail", "is no JSON object"}}, outbox);
    return;
  }
  if (!change.contains("changeId") || !change["changeId"].is_string() ||
      change["changeId"].get<std::string>().empty() ||
      change["changeId"].get<std::string>().size() > 128) {
    answer(asked.ticket, 400, {{"outcome", "invalid"}, {"field", "[changeId]"},
                               {"detail", "a text of 1 to 128 characters is needed"}}, outbox);
    return;
  }
  std::string changeId = change["changeId"];
  change.erase("changeId");
  // Keys become digests here, at the first daemon, and are never passed on as they are.
  if (change.contains("key") && change["key"].is_string()) {
    change["digest"] = keyDigest(change["key"].get<std::string>()).value;
    change.erase("key");
  }
  if (change.value("kind", Json()) == "key-withdraw" && change.contains("digest") &&
      change["digest"].is_string())
    follower_.withdraw({change["digest"].get<std::string>()}, outbox);
  if (follower_.vouchedBy(now) == "caretaker") {
    // Nothing can be acknowledged here. A withdrawal still holds in this part: it goes round as a
    // tombstone, and has to be asked for again once there is a primary.
    bool withdrawn = change.value("kind", Json()) == "key-withdraw";
    const OutcomeRow& row = rowOf(ChangeOutcome::kCaretaker);
    answer(asked.ticket, row.status,
           {{"outcome", row.name},
            {"detail", "this part has no primary, a caretaker vouches for it; repeat later"},
            {"heldInThisPart", withdrawn}}, outbox, row.retry);
    return;
  }
  Address primary = membership_.addressOf(follower_.view().primary);
  if (primary.value.empty()) {
    answer(asked.ticket, 503, {{"outcome", "no-primary"},
                               {"detail", "no primary is known here"}}, outbox, true);
    return;
  }
  if (forwarded_.size() >= 2000) {
    answer(asked.ticket, 503, {{"outcome", "busy"}}, outbox, true);
    return;
  }
  ChangeAsk ask{asked.ticket, changeId, change.dump()};
  outbox.send(primary, ask);
  forwarded_[asked.ticket] = {now, ask};
}

void OperatorDesk::hear(const ChangeAnswer& change, MonotonicTime now, Outbox& outbox) {
  auto found = forwarded_.find(change.ticket);
  if (found == forwarded_.end()) return;
  // The question may have met a former primary: with its change id it may be asked again.
  if (change.outcome == ChangeOutcome::kNotPrimary && now - found->second.since < seconds(3)) {
    found->second.tries = 0;
    return;
  }
  forwarded_.erase(found);
  const OutcomeRow& row = rowOf(change.outcome);
  Json body{{"outcome", row.name}};
  if (change.outcome == ChangeOutcome::kDone) body["version"] = versionText(change.version);
  if (change.outcome == ChangeOutcome::kWould) {
    body["changes"] = Json::parse(change.detail, nullptr, false);
    answer(change.ticket, row.status, std::move(body), outbox);
    return;
  }
  if (!change.field.empty()) body["field"] = change.field;
  if (!change.detail.empty()) body["detail"] = change.detail;
  if (row.retry) body["primary"] = membership_.addressOf(follower_.view().primary).value;
  answer(change.ticket, row.status, std::move(body), outbox, row.retry);
}

void OperatorDesk::tick(MonotonicTime now, Outbox& outbox) {
  for (auto entry = forwarded_.begin(); entry != forwarded_.end();) {
    auto& [ticket, waiting] = *entry;
    Address primary = membership_.addressOf(follower_.view().primary);
    if (now - waiting.since > seconds(6)) {
      answer(ticket, 504, {{"outcome", "lost"},
                           {"detail", "no answer; repeat with the same change id"}}, outbox, true);
      entry = forwarded_.erase(entry);
      continue;
    }
    // Asked again each second: the change id keeps it one change.
    if (now - waiting.since > seconds(1) * waiting.tries) {
      ++waiting.tries;
      outbox.send(primary, waiting.ask);
    }
    ++entry;
  }
}

}  // namespace peppergate
