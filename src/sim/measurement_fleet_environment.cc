// The outside of the measurement fleet: operators, the platform's engine list, engines' HTTP pages.
#include <algorithm>

#include "core/digest.h"
#include "core/example_setup.h"
#include "sim/measurement_fleet.h"

namespace peppergate {
namespace {

std::string engineAddress(int engine) {
  return "10.100." + std::to_string(engine / 250) + "." + std::to_string(engine % 250 + 1) +
         ":8000";
}

int engineIndexAt(const std::string& address) {  // parses "10.100.HIGH.LOW:PORT"
  auto second = address.find('.', address.find('.') + 1);
  auto third = address.find('.', second + 1);
  return std::stoi(address.substr(second + 1)) * 250 + std::stoi(address.substr(third + 1)) - 1;
}

}  // namespace

std::string MeasurementFleet::makeEngineList() const {
  Json engines = Json::array();
  for (int engine = 0; engine < fleetOptions_.engines; ++engine)
    engines.push_back({{"id", "engine" + std::to_string(engine + 1)},
                       {"address", engineAddress(engine)},
                       {"service", "model"},
                       {"rack", "rack" + std::to_string(engine / 20 + 1)},
                       {"district", "zone" + std::to_string(engine % fleetOptions_.zones + 1)},
                       {"link", 100.0}});
  Json racks = Json::array();
  for (int rack = 0; rack * 20 < fleetOptions_.engines; ++rack)
    racks.push_back({{"id", "rack" + std::to_string(rack + 1)}, {"uplink", 400.0}});
  return Json{{"version", 1}, {"engines", engines}, {"racks", racks}}.dump();
}

std::string MeasurementFleet::cachedBlocksJson(int engine) const {
  Json blocks = Json::array();
  for (int block = 0; block < fleetOptions_.cachedBlocksPerEngine; ++block) {
    std::uint64_t name =
        Random(static_cast<std::uint64_t>(engine) * 1'000'003 + static_cast<std::uint64_t>(block))
            .next();
    blocks.push_back({{"name", digestText(std::to_string(name))},
                      {"wall", "wall-" + std::to_string(name % 97)},
                      {"weights", 1}});
  }
  return blocks.dump();
}

void MeasurementFleet::callHttp(std::size_t index, const CallHttp& command) {
  HttpCallAnswered reply{command.ticket, 200, {}};
  if (command.path == "/engines") {
    reply.body = engineListJson_;
  } else {
    int engine = engineIndexAt(command.address.value);
    auto revision =
        1 + (now_ - MonotonicTime{}).microseconds / fleetOptions_.reportInterval.microseconds;
    if (command.path == "/health")
      reply.body = Json{{"life", engine + 1},
                        {"weights", 1},
                        {"ready", true},
                        {"running", 3},
                        {"revision", fleetOptions_.cachedBlocksPerEngine > 0 ? revision : 0}}
                       .dump();
    else if (command.path == "/kept")
      reply.body = R"({"life":)" + std::to_string(engine + 1) + R"(,"revision":)" +
                   std::to_string(revision) + R"(,"parts":)" + cachedBlocksJson(engine) + "}";
  }
  MemberCost& cost = members_[index]->cost;
  ++cost.httpCalls;
  cost.httpBytes += reply.body.size();
  schedule(fleetOptions_.otherZoneDelay * 2, index, std::move(reply));
}

void MeasurementFleet::requestChange(std::size_t front, Json body) {
  acknowledgedVersion_.reset();
  lastReply_.clear();
  body["changeId"] = "change-" + std::to_string(lastTicket_);
  schedule(Duration{1}, front, OperatorRequest{{++lastTicket_}, "POST", "/change", body.dump()});
}

void MeasurementFleet::handleReply(const AnswerHttp& command) {
  if (command.ticket.value != lastTicket_) return;
  lastReply_ = command.body;
  acknowledgedAt_ = now_;
  Json reply = Json::parse(command.body, nullptr, false);
  if (!reply.is_object() || reply.value("outcome", "") != "done") return;
  std::string version = reply["version"];
  auto dot = version.find('.');
  acknowledgedVersion_ = {{std::stoull(version.substr(0, dot))},
                          {std::stoull(version.substr(dot + 1))}};
}

Json initialChange(int tenants, const std::string& basedOn) {
  Json change = Json::parse(initialSetupChange("hutline", basedOn));
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

Json addTenantChange(int turn, const std::string& basedOn) {
  return {{"kind", "stamp"},
          {"basedOn", basedOn},
          {"template", "steady"},
          {"tenant", "added-" + std::to_string(turn)},
          {"parameters", {{"rank", 2}, {"wall", "wall-added-" + std::to_string(turn)}}}};
}

}  // namespace peppergate
