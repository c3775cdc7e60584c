// The outside of the measurement fleet: operators, the platform's engine list, engines' HTTP pages.
#include <algorithm>

#include "core/digest.h"
#include "core/example_setup.h"
#include "sim/hollow_fleet.h"

namespace peppergate {
namespace {

std::string engineAddress(int engine) {
  return "10.100." + std::to_string(engine / 250) + "." + std::to_string(engine % 250 + 1) +
         ":8000";
}

int engineAt(const std::string& address) {  // parses "10.100.HIGH.LOW:PORT"
  auto second = address.find('.', address.find('.') + 1);
  auto third = address.find('.', second + 1);
  return std::stoi(address.substr(second + 1)) * 250 + std::stoi(address.substr(third + 1)) - 1;
}

}  // namespace

std::string HollowFleet::engineList() const {
  Json engines = Json::array();
  for (int engine = 0; engine < shape_.engines; ++engine)
    engines.push_back({{"id", "engine" + std::to_string(engine + 1)},
                       {"address", engineAddress(engine)},
                       {"service", "model"},
                       {"rack", "rack" + std::to_string(engine / 20 + 1)},
                       {"district", "zone" + std::to_string(engine % shape_.zones + 1)},
                       {"link", 100.0}});
  Json racks = Json::array();
  for (int rack = 0; rack * 20 < shape_.engines; ++rack)
    racks.push_back({{"id", "rack" + std::to_string(rack + 1)}, {"uplink", 400.0}});
  return Json{{"version", 1}, {"engines", engines}, {"racks", racks}}.dump();
}

std::string HollowFleet::keptText(int engine) const {
  Json parts = Json::array();
  for (int part = 0; part < shape_.keptParts; ++part) {
    std::uint64_t name =
        Random(static_cast<std::uint64_t>(engine) * 1'000'003 + static_cast<std::uint64_t>(part))
            .next();
    parts.push_back({{"name", digestText(std::to_string(name))},
                     {"wall", "wall-" + std::to_string(name % 97)},
                     {"weights", 1}});
  }
  return parts.dump();
}

void HollowFleet::callWeb(std::size_t index, const CallWeb& command) {
  WebAnswered answer{command.ticket, 200, {}};
  if (command.path == "/engines") {
    answer.body = listText_;
  } else {
    int engine = engineAt(command.address.value);
    auto revision = 1 + (now_ - MonotonicTime{}).microseconds / shape_.reportEvery.microseconds;
    if (command.path == "/health")
      answer.body = Json{{"life", engine + 1},
                         {"weights", 1},
                         {"ready", true},
                         {"running", 3},
                         {"revision", shape_.keptParts > 0 ? revision : 0}}
                        .dump();
    else if (command.path == "/kept")
      answer.body = R"({"life":)" + std::to_string(engine + 1) + R"(,"revision":)" +
                    std::to_string(revision) + R"(,"parts":)" + keptText(engine) + "}";
  }
  HollowCost& cost = members_[index]->cost;
  ++cost.webCalls;
  cost.webBytes += answer.body.size();
  push(shape_.zoneDelay * 2, index, std::move(answer));
}

void HollowFleet::ask(std::size_t front, Json body) {
  answered_.reset();
  lastAnswer_.clear();
  body["changeId"] = "change-" + std::to_string(lastTicket_);
  push(Duration{1}, front, OperatorRequest{{++lastTicket_}, "POST", "/change", body.dump()});
}

void HollowFleet::answer(const AnswerWeb& command) {
  if (command.ticket.value != lastTicket_) return;
  lastAnswer_ = command.body;
  answeredAt_ = now_;
  Json body = Json::parse(command.body, nullptr, false);
  if (!body.is_object() || body.value("outcome", "") != "done") return;
  std::string version = body["version"];
  auto dot = version.find('.');
  answered_ = {{std::stoull(version.substr(0, dot))}, {std::stoull(version.substr(dot + 1))}};
}

Json firstChange(int tenants, const std::string& basedOn) {
  Json change = Json::parse(firstSetupBody("hutline", basedOn));
  Json& table = change["setup"]["tenants"];
  for (int tenant = static_cast<int>(table.size()); tenant < tenants; ++tenant) {
    std::string name = "tenant-" + std::to_string(10000 + tenant);
    table[name] = {{"template", tenant % 2 == 0 ? "steady" : "plain"},
                   {"parameters",
                    {{"rank", tenant % 4},
                     {"wall", "wall-" + name},
                     {"keys", Json::array({keyDigest(name).value})}}}};
  }
  return change;
}

Json changeBody(int turn, const std::string& basedOn) {
  return {{"kind", "stamp"},
          {"basedOn", basedOn},
          {"template", "steady"},
          {"tenant", "added-" + std::to_string(turn)},
          {"parameters", {{"rank", 2}, {"wall", "wall-added-" + std::to_string(turn)}}}};
}

}  // namespace peppergate
