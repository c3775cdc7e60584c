// Fuzz targets for JSON from operators, engines and the platform, the settings file, and state
// files.
#include "config/fleet_config.h"
#include "core/control_state.h"
#include "core/core_node.h"
#include "engines/engine_list_codec.h"
#include "platform/config_names.h"
#include "platform/dialect.h"
#include "platform/parsing.h"
#include "platform/settings.h"
#include "platform/wire_names.h"
#include "tests/fuzz/targets.h"

namespace peppergate::fuzz {
namespace {

using platform::PlatformDialect;

const PlatformDialect& dialect() {
  static const PlatformDialect kDialect(Address{"127.0.0.1:1"});
  return kDialect;
}

constexpr std::string_view kBaseConfig = R"json({"version":5,
  "routes":[{"name":"r-old","host":"a.example","prefix":"/a/","kind":"safe","timeoutMs":5000,
             "service":"model"}],
  "services":[{"name":"model","healthPath":"/health"}],
  "tenants":[{"name":"red","keys":["k1"]}]})json";
constexpr std::uint64_t kBaseVersion = 5;

/// Returns a newly founded state with the configuration `kBaseConfig`.
const ControlState& stateWithConfig() {
  static const ControlState kState = [] {
    ControlState state = ControlState::initial(Epoch{1});
    std::string change = R"({"kind":"replace","basedOnVersion":0,"config":)";
    change.append(kBaseConfig).append("}");
    ChangeReply reply = state.apply(change, "base", Epoch{1}, Options{});
    require(reply.outcome == ChangeOutcome::kDone, "the base configuration is accepted");
    return state;
  }();
  return kState;
}

/// Applies a change. The serialized state must parse again and serialize to the same text; a
/// rejected change must leave the state as it was.
std::uint64_t applyChange(ControlState state, const std::string& change) {
  std::string before = state.serialize();
  ChangeReply reply = state.apply(change, "c1", Epoch{2}, Options{});
  auto outcome = static_cast<std::uint64_t>(reply.outcome);
  if (reply.outcome != ChangeOutcome::kDone) {
    require(state.serialize() == before, "a rejected change leaves the state as it was");
    return hashOutcomes({outcome, hashMessage(reply.field)});
  }
  auto parsed = ControlState::parse(state.serialize());
  require(parsed.ok(), "a state can be read back");
  require(parsed->serialize() == state.serialize(), "a state that is read back has the same text");
  require(readSetup(state.setupText()).ok(), "the setup section can be read");
  require(readKeys(state.keysText()).ok(), "the keys section can be read");
  require(readWeights(state.weightsText()).ok(), "the weights section can be read");
  return hashOutcomes({outcome, state.configVersion().value > kBaseVersion});
}

std::uint64_t runOrder(std::string_view path, std::string_view input) {
  Headers headers{{std::string(platform::kBasedOnVersion), std::to_string(kBaseVersion)}};
  auto call =
      dialect().readOperatorCall({1}, "POST", std::string(path), headers, std::string(input));
  require(call.has_value(), "an operator's path is known");
  if (call->refusal) return hashOutcomes({1, hashMessage(call->refusal->body)});
  return hashOutcomes({2, applyChange(stateWithConfig(), call->request.body)});
}

/// Renaming the platform's field names to internal ones and back must restore the document.
void requireNamesRoundTrip(const Json& document) {
  using platform::Direction;
  Json config = platform::renameConfig(document, Direction::kToInternal);
  require(platform::renameConfig(config, Direction::kToPlatform) == document,
          "a configuration's names survive a round trip");
  Json amendment = platform::renameAmendment(document, Direction::kToInternal);
  require(platform::renameAmendment(amendment, Direction::kToPlatform) == document,
          "an amendment's names survive a round trip");
}

}  // namespace

std::uint64_t runOrders(std::string_view input) {
  auto document = platform::parseJson(input);
  if (document && document->is_object()) requireNamesRoundTrip(*document);
  return hashOutcomes({runOrder(platform::kReplacePath, input),
                       runOrder(platform::kAmendPath, input),
                       runOrder(platform::kWeightsVersionPath, input)});
}

std::uint64_t runChange(std::string_view input) {
  readTopLevelStrings(input);
  return applyChange(stateWithConfig(), std::string(input));
}

std::uint64_t runEngineAnswers(std::string_view input) {
  HttpResponse reply;
  reply.status = 200;
  reply.written = true;
  reply.body = input;
  EngineReportAnswered report = dialect().readEngineReport({1}, reply);
  PrefixBlocksPolled polled = dialect().readBlockPoll({2}, reply);
  PrefixBlocksListed listed = dialect().readBlockList({3}, reply);
  WeightsLoadAnswered order = dialect().readOrderResponse({4}, reply);
  require(order.outcome == LoadOrderOutcome::kAlreadyLoaded,
          "an order's outcome depends on the status alone");
  auto status = [](int value) { return static_cast<std::uint64_t>(value + 1000); };
  return hashOutcomes({status(report.status), report.report.models.size() > 0,
                       status(polled.status), polled.changes.size() > 0, polled.lost,
                       status(listed.status), listed.blocks.size() > 0});
}

std::uint64_t runEngineList(std::string_view input) {
  HttpResponse reply;
  reply.status = 200;
  reply.written = true;
  reply.body = input;
  EnginesListed listed = dialect().readEngineList({1}, reply);
  DiscoveredEngines roster;
  ListDecodeResult read = decodeList(input, {17}, roster);
  if (listed.status == 200) {
    sortById(listed.engines);
    DiscoveredEngines whole{listed.engines, {}};
    DiscoveredEngines parsed;
    require(decodeList(encodeList(whole), {1}, parsed) == ListDecodeResult::kApplied,
            "an accepted list can be serialized for other daemons");
    require(sameEngines(parsed.engines, whole.engines), "a serialized list is read back unchanged");
  }
  return hashOutcomes({static_cast<std::uint64_t>(listed.status + 1000), listed.engines.size() > 0,
                       !listed.nextPage.empty(), static_cast<std::uint64_t>(read),
                       roster.engines.size() > 0});
}

std::uint64_t runSettings(std::string_view input) {
  auto settings = platform::readSettings(input);
  if (!settings.ok())
    return hashOutcomes({1, hashMessage(std::string(settings.status().message()))});
  platform::addressesOf(*settings);
  auto options = platform::optionsFrom(*settings);
  if (options.ok()) return hashOutcomes({2, settings->servesControl, settings->servesClients});
  return hashOutcomes({3, hashMessage(std::string(options.status().message()))});
}

namespace {

/// Starts a core node from files with the given content and hashes the number of its messages.
std::uint64_t startCoreNodeWith(const std::string& content) {
  std::uint64_t outcome = 0;
  for (const char* name : {"identity", "voter.00000000000000000001",
                           "state.00000000000000000001.00000000000000000002"}) {
    DiskContents found;
    found.files[name] = content;
    readIdentity(found);
    readBootstrap(found);
    MemberRecord self;
    self.address = {"127.0.0.1:1"};
    CoreNode core(Options{}, self, {}, found, 7, MonotonicTime{});
    core.step(Tick{}, MonotonicTime{} + seconds(1));
    outcome = hashOutcomes({outcome, core.outbox().takeCommands().size()});
  }
  return outcome;
}

}  // namespace

std::uint64_t runStateFiles(std::string_view input) {
  auto state = ControlState::parse(std::string(input));
  bool setup = readSetup(std::string(input)).ok();
  bool keys = readKeys(std::string(input)).ok();
  bool weights = readWeights(std::string(input)).ok();
  std::uint64_t torn = startCoreNodeWith(std::string(input));
  std::uint64_t whole = startCoreNodeWith(withChecksum(input));
  return hashOutcomes({state.ok(), setup, keys, weights, torn, whole});
}

}  // namespace peppergate::fuzz
