// Fuzz targets for JSON from operators, engines and the platform, the settings file, and state
// files.
#include "config/fleet_config.h"
#include "core/control_state.h"
#include "core/core_node.h"
#include "engines/roster_text.h"
#include "platform/config_names.h"
#include "platform/dialect.h"
#include "platform/names.h"
#include "platform/settings.h"
#include "platform/text.h"
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
    ControlState state = ControlState::founded(Epoch{1});
    std::string change = R"({"kind":"replace","basedOnVersion":0,"config":)";
    change.append(kBaseConfig).append("}");
    ChangeReply answer = state.apply(change, "base", Epoch{1}, Options{});
    require(answer.outcome == ChangeOutcome::kDone, "the base configuration is accepted");
    return state;
  }();
  return kState;
}

/// Applies a change. The serialized state must parse again and serialize to the same text; a
/// rejected change must leave the state as it was.
std::uint64_t applyChange(ControlState state, const std::string& change) {
  std::string before = state.text();
  ChangeReply answer = state.apply(change, "c1", Epoch{2}, Options{});
  auto outcome = static_cast<std::uint64_t>(answer.outcome);
  if (answer.outcome != ChangeOutcome::kDone) {
    require(state.text() == before, "a rejected change leaves the state as it was");
    return outcomeOf({outcome, outcomeOfText(answer.field)});
  }
  auto back = ControlState::parse(state.text());
  require(back.ok(), "a state can be read back");
  require(back->text() == state.text(), "a state that is read back has the same text");
  require(readSetup(state.setupText()).ok(), "the setup section can be read");
  require(readKeys(state.keysText()).ok(), "the keys section can be read");
  require(readWeights(state.weightsText()).ok(), "the weights section can be read");
  return outcomeOf({outcome, state.configVersion().value > kBaseVersion});
}

std::uint64_t runOrder(std::string_view path, std::string_view input) {
  Headers headers{{std::string(platform::kBase), std::to_string(kBaseVersion)}};
  auto call = dialect().readOperator({1}, "POST", std::string(path), headers, std::string(input));
  require(call.has_value(), "an operator's path is known");
  if (call->refused) return outcomeOf({1, outcomeOfText(call->refused->body)});
  return outcomeOf({2, applyChange(stateWithConfig(), call->asked.body)});
}

/// Renaming the platform's field names to internal ones and back must restore the document.
void requireNamesSurvive(const Json& document) {
  using platform::Way;
  Json config = platform::renameConfig(document, Way::kToOwn);
  require(platform::renameConfig(config, Way::kToPlatform) == document,
          "a configuration's names survive a round trip");
  Json amendment = platform::renameAmendment(document, Way::kToOwn);
  require(platform::renameAmendment(amendment, Way::kToPlatform) == document,
          "an amendment's names survive a round trip");
}

}  // namespace

std::uint64_t runOrders(std::string_view input) {
  auto document = platform::parseJson(input);
  if (document && document->is_object()) requireNamesSurvive(*document);
  return outcomeOf({runOrder(platform::kReplacePath, input), runOrder(platform::kAmendPath, input),
                    runOrder(platform::kNewWeightsPath, input)});
}

std::uint64_t runChange(std::string_view input) {
  readHead(input);
  return applyChange(stateWithConfig(), std::string(input));
}

std::uint64_t runEngineAnswers(std::string_view input) {
  HttpAnswer answer;
  answer.status = 200;
  answer.written = true;
  answer.body = input;
  ReportAnswered report = dialect().readReport({1}, answer);
  PartsPolled polled = dialect().readPoll({2}, answer);
  PartsListed listed = dialect().readParts({3}, answer);
  OrderAnswered order = dialect().readOrder({4}, answer);
  require(order.outcome == OrderOutcome::kHolds, "an order's outcome depends on the status alone");
  auto status = [](int value) { return static_cast<std::uint64_t>(value + 1000); };
  return outcomeOf({status(report.status), report.report.models.size() > 0, status(polled.status),
                    polled.changes.size() > 0, polled.lost, status(listed.status),
                    listed.held.size() > 0});
}

std::uint64_t runEngineList(std::string_view input) {
  HttpAnswer answer;
  answer.status = 200;
  answer.written = true;
  answer.body = input;
  EnginesListed listed = dialect().readList({1}, answer);
  Roster roster;
  RosterRead read = readRoster(input, {17}, roster);
  if (listed.status == 200) {
    orderById(listed.engines);
    Roster whole{listed.engines, {}};
    Roster back;
    require(readRoster(wholeText(whole), {1}, back) == RosterRead::kTaken,
            "an accepted list can be serialized for other daemons");
    require(sameEngines(back.engines, whole.engines), "a serialized list is read back unchanged");
  }
  return outcomeOf({static_cast<std::uint64_t>(listed.status + 1000), listed.engines.size() > 0,
                    !listed.nextPage.empty(), static_cast<std::uint64_t>(read),
                    roster.engines.size() > 0});
}

std::uint64_t runSettings(std::string_view input) {
  auto settings = platform::readSettings(input);
  if (!settings.ok())
    return outcomeOf({1, outcomeOfText(std::string(settings.status().message()))});
  platform::addressesOf(*settings);
  auto options = platform::optionsFrom(*settings);
  if (options.ok()) return outcomeOf({2, settings->servesControl, settings->servesClients});
  return outcomeOf({3, outcomeOfText(std::string(options.status().message()))});
}

namespace {

/// Starts a core node from files with the given content and hashes the number of its messages.
std::uint64_t startWith(const std::string& content) {
  std::uint64_t outcome = 0;
  for (const char* name : {"identity", "voter.00000000000000000001",
                           "state.00000000000000000001.00000000000000000002"}) {
    DiskFound found;
    found.files[name] = content;
    identityOn(found);
    bootstrapOn(found);
    MemberRecord self;
    self.address = {"127.0.0.1:1"};
    CoreNode core(Options{}, self, {}, found, 7, MonotonicTime{});
    core.step(Ticked{}, MonotonicTime{} + seconds(1));
    outcome = outcomeOf({outcome, core.outbox().take().size()});
  }
  return outcome;
}

}  // namespace

std::uint64_t runStateFiles(std::string_view input) {
  auto state = ControlState::parse(std::string(input));
  bool setup = readSetup(std::string(input)).ok();
  bool keys = readKeys(std::string(input)).ok();
  bool weights = readWeights(std::string(input)).ok();
  std::uint64_t torn = startWith(std::string(input));
  std::uint64_t whole = startWith(sealed(input));
  return outcomeOf({state.ok(), setup, keys, weights, torn, whole});
}

}  // namespace peppergate::fuzz
