// The setup and trace subcommands. A change is retried under its change id until its outcome is
// known.
#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include "app/commands.h"
#include "app/http_request.h"
#include "core/digest.h"
#include "core/example_setup.h"
#include "core/schemas.h"
#include "io/random_identity.h"
#include "wire/json_fields.h"

namespace peppergate {
namespace {

namespace po = boost::program_options;

std::string freshChangeId() { return "change-" + std::to_string(randomIdentity()); }

int printResult(const WebResponse& result) {
  if (result.status == 0) {
    std::fprintf(stderr, "no answer\n");
    return kExitUnreachable;
  }
  std::printf("%s\n", result.body.c_str());
  return result.status == 200 ? kExitSuccess : kExitFailed;
}

/// Sends a change until the answer is definite. The change id makes retries idempotent.
int sendChange(const std::vector<std::string>& addresses, Json change,
               const std::string& changeId) {
  change["changeId"] = changeId;
  WebResponse result;
  for (std::size_t attempt = 0; attempt < 10; ++attempt) {
    result =
        sendHttpRequest({addresses[attempt % addresses.size()]}, "POST", "/change", change.dump());
    if (result.status != 0 && result.status != 503 && result.status != 504) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  int code = printResult(result);
  if (code == kExitUnreachable)
    std::fprintf(stderr, "repeat with --change-id %s\n", changeId.c_str());
  return code;
}

struct SetupRequest {
  po::variables_map values;
  std::vector<std::string> addresses;
  mutable bool noDaemonAnswered = false;  // no daemon answered with the current versions
  std::string flag(const char* name) const {
    return values.count(name) > 0 ? values[name].as<std::string>() : std::string();
  }
};

std::string baseVersion(const SetupRequest& request, const char* section) {
  if (!request.flag("based-on").empty()) return request.flag("based-on");
  for (const auto& address : request.addresses) {
    WebResponse result = sendHttpRequest({address}, "GET", "/setup", "");
    Json body = Json::parse(result.body, nullptr, false);
    if (result.status == 200 && body.is_object()) return body["sections"][section];
  }
  request.noDaemonAnswered = true;
  return {};
}

// The functions below make the change for each verb; they return null if a flag is invalid.
Json makeApply(const SetupRequest& request) {
  std::ifstream file(request.flag("file"));
  std::stringstream text;
  text << file.rdbuf();
  Json document = Json::parse(text.str(), nullptr, false);
  if (document.is_discarded()) {
    std::fprintf(stderr, "file: '%s' is not readable JSON\n", request.flag("file").c_str());
    return {};
  }
  if (document.contains("kind")) return document;  // the file holds a complete change
  return {{"kind", "apply"}, {"basedOn", baseVersion(request, "setup")}, {"setup", document}};
}

Json makeStamp(const SetupRequest& request) {
  Json parameters = Json::parse(request.flag("parameters"), nullptr, false);
  if (parameters.is_discarded()) {
    std::fprintf(stderr, "parameters: invalid JSON\n");
    return {};
  }
  if (parameters.contains("keys"))  // only digests of keys leave this machine
    for (auto& key : parameters["keys"]) key = keyDigest(key.get<std::string>()).value;
  return {{"kind", "stamp"},
          {"basedOn", baseVersion(request, "setup")},
          {"template", request.flag("template")},
          {"tenant", request.flag("tenant")},
          {"parameters", parameters}};
}

Json makeRemove(const SetupRequest& request) {
  return {{"kind", "remove"},
          {"basedOn", baseVersion(request, "setup")},
          {"tenant", request.flag("tenant")}};
}

Json makeTemplate(const SetupRequest& request) {
  Json definition = Json::parse(request.flag("made"), nullptr, false);
  if (definition.is_discarded()) {
    std::fprintf(stderr, "made: invalid JSON\n");
    return {};
  }
  return {{"kind", "template"},
          {"basedOn", baseVersion(request, "setup")},
          {"template", request.flag("template")},
          {"made", definition}};
}

Json makeParameters(const SetupRequest& request) {
  Json change = makeStamp(request);
  if (!change.is_object()) return {};
  change["kind"] = "parameters";
  change.erase("template");
  return change;
}

Json makeRevert(const SetupRequest& request) {
  return {
      {"kind", "revert"}, {"basedOn", baseVersion(request, "setup")}, {"to", request.flag("to")}};
}

Json makeWeights(const SetupRequest& request) {
  return {{"kind", "weights"},
          {"basedOn", baseVersion(request, "weights")},
          {"label", request.flag("label")}};
}

std::string requestedDigest(const SetupRequest& request) {
  return request.flag("digest").empty() ? keyDigest(request.flag("key")).value
                                        : request.flag("digest");
}

Json makeKeyAdd(const SetupRequest& request) {
  return {{"kind", "key-add"},
          {"tenant", request.flag("tenant")},
          {"digest", requestedDigest(request)}};
}

Json makeKeyWithdraw(const SetupRequest& request) {
  return {{"kind", "key-withdraw"}, {"digest", requestedDigest(request)}};
}

Json makeExample(const SetupRequest& request) {
  return Json::parse(initialSetupChange(request.flag("profile"), baseVersion(request, "setup")));
}

struct VerbRow {
  std::string_view name;
  Json (*make)(const SetupRequest&);
};
constexpr std::array<VerbRow, 11> kVerbs{{{"apply", &makeApply},
                                          {"change", &makeApply},
                                          {"stamp", &makeStamp},
                                          {"remove", &makeRemove},
                                          {"weights", &makeWeights},
                                          {"key-add", &makeKeyAdd},
                                          {"key-withdraw", &makeKeyWithdraw},
                                          {"template", &makeTemplate},
                                          {"parameters", &makeParameters},
                                          {"revert", &makeRevert},
                                          {"example", &makeExample}}};

}  // namespace

int setupCommand(const Arguments& arguments) {
  po::options_description options(
      "peppergate setup show|apply|change|template|stamp|parameters|remove|revert|weights|key-add|"
      "key-withdraw|example|schema");
  options.add_options()("help", "print this help")(
      "verb", po::value<std::string>()->default_value("show"), "the operation")(
      "at", po::value<std::vector<std::string>>()->composing(),
      "IP:PORT of any daemon's operator interface; may be repeated")(
      "file", po::value<std::string>(), "apply, change: the JSON file")(
      "tenant", po::value<std::string>(), "name of the tenant")(
      "template", po::value<std::string>(), "stamp: name of the template")(
      "parameters", po::value<std::string>()->default_value("{}"),
      "stamp: JSON with rank, wall, keys, weights")("made",
                                                    po::value<std::string>()->default_value("{}"),
                                                    "template: JSON with class and defaults")(
      "to", po::value<std::string>(), "revert: the version of an earlier setup")(
      "dry-run", po::bool_switch(), "only print what would change")(
      "label", po::value<std::string>(), "weights: the label to load")(
      "key", po::value<std::string>(), "key-add, key-withdraw: the key")(
      "digest", po::value<std::string>(), "key-add, key-withdraw: the digest of the key")(
      "profile", po::value<std::string>()->default_value("hutline"),
      "example: hutline or fjordsyn")(
      "based-on", po::value<std::string>(),
      "the version that the change is based on; default: the newest")(
      "change-id", po::value<std::string>(), "change id; pass the same id to retry a change");
  SetupRequest request;
  if (int code = parseArguments(arguments, options, request.values, {"verb"}); code >= 0)
    return code;
  std::string verb = request.flag("verb");
  if (verb == "schema") {
    std::printf("%s\n", std::string(schemaText(SchemaName::kChange)).c_str());
    return kExitSuccess;
  }
  if (request.values.count("at") == 0) {
    std::fprintf(stderr, "--at is required\n");
    return kExitUsage;
  }
  request.addresses = request.values["at"].as<std::vector<std::string>>();
  if (verb == "show")
    return printResult(sendHttpRequest({request.addresses[0]}, "GET", "/setup", ""));
  for (const auto& row : kVerbs) {
    if (row.name != verb) continue;
    Json change = row.make(request);
    if (change.is_null()) return kExitUsage;
    if (request.noDaemonAnswered) {
      std::fprintf(stderr, "no answer from any daemon\n");
      return kExitUnreachable;
    }
    if (request.values["dry-run"].as<bool>()) change["dryRun"] = true;
    std::string changeId = request.flag("change-id");
    return sendChange(request.addresses, change, changeId.empty() ? freshChangeId() : changeId);
  }
  std::fprintf(stderr, "unknown verb '%s'\n", verb.c_str());
  return kExitUsage;
}

int traceCommand(const Arguments& arguments) {
  po::options_description options("peppergate trace");
  options.add_options()("help", "print this help")("at", po::value<std::string>()->required(),
                                                   "IP:PORT of any daemon's operator interface")(
      "section", po::value<std::string>()->default_value("setup"), "setup, keys or weights")(
      "version", po::value<std::string>()->default_value(""),
      "EPOCH.SEQUENCE; default: the newest");
  po::variables_map values;
  if (int code = parseArguments(arguments, options, values); code >= 0) return code;
  std::string section = values["section"].as<std::string>();
  std::string version = values["version"].as<std::string>();
  WebResponse reply = sendHttpRequest({values["at"].as<std::string>()}, "GET", "/trace", "");
  Json trace = Json::parse(reply.body, nullptr, false);
  if (reply.status != 200 || !trace.is_object()) {
    std::fprintf(stderr, "no answer from %s\n", values["at"].as<std::string>().c_str());
    return kExitUnreachable;
  }
  if (version.empty())
    for (const auto& record : trace["installs"])
      if (record["section"] == section) version = record["version"];
  int missing = 0;
  std::printf("%s %s\n", section.c_str(), version.c_str());
  for (const auto& member : trace["members"]) {
    // Each daemon reports ages instead of times, so clocks of different machines aren't compared.
    std::string pages = member["pages"];
    WebResponse result = sendHttpRequest({pages}, "GET", "/trace", "", seconds(2));
    Json memberTrace = Json::parse(result.body, nullptr, false);
    std::string line = "not in force";
    if (result.status != 200) line = "no answer";
    else
      for (const auto& record : memberTrace["installs"])
        if (record["section"] == section && record["version"] == version)
          line = "received " + std::to_string(record["toldMillisecondsAgo"].get<std::int64_t>()) +
                 " ms ago, in force " +
                 std::to_string(record["inForceMillisecondsAgo"].get<std::int64_t>()) + " ms ago";
    if (line.starts_with("no")) ++missing;
    std::printf("  %-6s %-21s %-10s %s\n", member["role"].get<std::string>().c_str(), pages.c_str(),
                member["district"].get<std::string>().c_str(), line.c_str());
  }
  return missing == 0 ? kExitSuccess : kExitFailed;
}

}  // namespace peppergate
