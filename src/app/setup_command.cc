// The setup and trace subcommands. A change is retried under its change id until its outcome is
// known.
#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include "app/commands.h"
#include "app/http_once.h"
#include "core/digest.h"
#include "core/example_setup.h"
#include "core/schemas.h"
#include "io/fresh_number.h"
#include "wire/json_fields.h"

namespace peppergate {
namespace {

namespace po = boost::program_options;

std::string freshChangeId() { return "change-" + std::to_string(freshNumber()); }

int printResult(const WebResult& result) {
  if (result.status == 0) {
    std::fprintf(stderr, "no answer\n");
    return kExitUnreachable;
  }
  std::printf("%s\n", result.body.c_str());
  return result.status == 200 ? kExitGood : kExitFailed;
}

/// Sends a change until the answer is definite. The change id makes retries idempotent.
int sendChange(const std::vector<std::string>& addresses, Json change,
               const std::string& changeId) {
  change["changeId"] = changeId;
  WebResult result;
  for (std::size_t attempt = 0; attempt < 10; ++attempt) {
    result = httpOnce({addresses[attempt % addresses.size()]}, "POST", "/change", change.dump());
    if (result.status != 0 && result.status != 503 && result.status != 504) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  int code = printResult(result);
  if (code == kExitUnreachable)
    std::fprintf(stderr, "repeat with --change-id %s\n", changeId.c_str());
  return code;
}

struct Asked {
  po::variables_map values;
  std::vector<std::string> addresses;
  mutable bool unreachable = false;  // no daemon answered with the current versions
  std::string text(const char* name) const {
    return values.count(name) > 0 ? values[name].as<std::string>() : std::string();
  }
};

std::string currentBase(const Asked& asked, const char* section) {
  if (!asked.text("based-on").empty()) return asked.text("based-on");
  for (const auto& address : asked.addresses) {
    WebResult result = httpOnce({address}, "GET", "/setup", "");
    Json body = Json::parse(result.body, nullptr, false);
    if (result.status == 200 && body.is_object()) return body["sections"][section];
  }
  asked.unreachable = true;
  return {};
}

// The functions below make the change for each verb; they return null if a flag is invalid.
Json makeApply(const Asked& asked) {
  std::ifstream file(asked.text("file"));
  std::stringstream text;
  text << file.rdbuf();
  Json document = Json::parse(text.str(), nullptr, false);
  if (document.is_discarded()) {
    std::fprintf(stderr, "file: '%s' is not readable JSON\n", asked.text("file").c_str());
    return {};
  }
  if (document.contains("kind")) return document;  // the file holds a complete change
  return {{"kind", "apply"}, {"basedOn", currentBase(asked, "setup")}, {"setup", document}};
}

Json makeStamp(const Asked& asked) {
  Json parameters = Json::parse(asked.text("parameters"), nullptr, false);
  if (parameters.is_discarded()) {
    std::fprintf(stderr, "parameters: invalid JSON\n");
    return {};
  }
  if (parameters.contains("keys"))  // only digests of keys leave this machine
    for (auto& key : parameters["keys"]) key = keyDigest(key.get<std::string>()).value;
  return {{"kind", "stamp"},
          {"basedOn", currentBase(asked, "setup")},
          {"template", asked.text("template")},
          {"tenant", asked.text("tenant")},
          {"parameters", parameters}};
}

Json makeRemove(const Asked& asked) {
  return {{"kind", "remove"},
          {"basedOn", currentBase(asked, "setup")},
          {"tenant", asked.text("tenant")}};
}

Json makeTemplate(const Asked& asked) {
  Json made = Json::parse(asked.text("made"), nullptr, false);
  if (made.is_discarded()) {
    std::fprintf(stderr, "made: invalid JSON\n");
    return {};
  }
  return {{"kind", "template"},
          {"basedOn", currentBase(asked, "setup")},
          {"template", asked.text("template")},
          {"made", made}};
}

Json makeParameters(const Asked& asked) {
  Json change = makeStamp(asked);
  if (!change.is_object()) return {};
  change["kind"] = "parameters";
  change.erase("template");
  return change;
}

Json makeRevert(const Asked& asked) {
  return {{"kind", "revert"}, {"basedOn", currentBase(asked, "setup")}, {"to", asked.text("to")}};
}

Json makeWeights(const Asked& asked) {
  return {{"kind", "weights"},
          {"basedOn", currentBase(asked, "weights")},
          {"label", asked.text("label")}};
}

std::string digestAsked(const Asked& asked) {
  return asked.text("digest").empty() ? keyDigest(asked.text("key")).value : asked.text("digest");
}

Json makeKeyAdd(const Asked& asked) {
  return {{"kind", "key-add"}, {"tenant", asked.text("tenant")}, {"digest", digestAsked(asked)}};
}

Json makeKeyWithdraw(const Asked& asked) {
  return {{"kind", "key-withdraw"}, {"digest", digestAsked(asked)}};
}

Json makeExample(const Asked& asked) {
  return Json::parse(firstSetupBody(asked.text("profile"), currentBase(asked, "setup")));
}

struct VerbRow {
  std::string_view name;
  Json (*make)(const Asked&);
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

int setupCommand(const Words& words) {
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
  Asked asked;
  if (int code = parseWords(words, options, asked.values, {"verb"}); code >= 0) return code;
  std::string verb = asked.text("verb");
  if (verb == "schema") {
    std::printf("%s\n", std::string(schemaFor(SchemaName::kChange)).c_str());
    return kExitGood;
  }
  if (asked.values.count("at") == 0) {
    std::fprintf(stderr, "--at is required\n");
    return kExitUsage;
  }
  asked.addresses = asked.values["at"].as<std::vector<std::string>>();
  if (verb == "show") return printResult(httpOnce({asked.addresses[0]}, "GET", "/setup", ""));
  for (const auto& row : kVerbs) {
    if (row.name != verb) continue;
    Json change = row.make(asked);
    if (change.is_null()) return kExitUsage;
    if (asked.unreachable) {
      std::fprintf(stderr, "no answer from any daemon\n");
      return kExitUnreachable;
    }
    if (asked.values["dry-run"].as<bool>()) change["dryRun"] = true;
    std::string changeId = asked.text("change-id");
    return sendChange(asked.addresses, change, changeId.empty() ? freshChangeId() : changeId);
  }
  std::fprintf(stderr, "unknown verb '%s'\n", verb.c_str());
  return kExitUsage;
}

int traceCommand(const Words& words) {
  po::options_description options("peppergate trace");
  options.add_options()("help", "print this help")("at", po::value<std::string>()->required(),
                                                   "IP:PORT of any daemon's operator interface")(
      "section", po::value<std::string>()->default_value("setup"), "setup, keys or weights")(
      "version", po::value<std::string>()->default_value(""),
      "EPOCH.SEQUENCE; default: the newest");
  po::variables_map values;
  if (int code = parseWords(words, options, values); code >= 0) return code;
  std::string section = values["section"].as<std::string>();
  std::string version = values["version"].as<std::string>();
  WebResult first = httpOnce({values["at"].as<std::string>()}, "GET", "/trace", "");
  Json body = Json::parse(first.body, nullptr, false);
  if (first.status != 200 || !body.is_object()) {
    std::fprintf(stderr, "no answer from %s\n", values["at"].as<std::string>().c_str());
    return kExitUnreachable;
  }
  if (version.empty())
    for (const auto& record : body["installs"])
      if (record["section"] == section) version = record["version"];
  int missing = 0;
  std::printf("%s %s\n", section.c_str(), version.c_str());
  for (const auto& member : body["members"]) {
    // Each daemon reports ages instead of times, so clocks of different machines aren't compared.
    std::string pages = member["pages"];
    WebResult result = httpOnce({pages}, "GET", "/trace", "", seconds(2));
    Json answer = Json::parse(result.body, nullptr, false);
    std::string line = "not in force";
    if (result.status != 200) line = "no answer";
    else
      for (const auto& record : answer["installs"])
        if (record["section"] == section && record["version"] == version)
          line = "received " + std::to_string(record["toldMillisecondsAgo"].get<std::int64_t>()) +
                 " ms ago, in force " +
                 std::to_string(record["inForceMillisecondsAgo"].get<std::int64_t>()) + " ms ago";
    if (line.starts_with("no")) ++missing;
    std::printf("  %-6s %-21s %-10s %s\n", member["role"].get<std::string>().c_str(), pages.c_str(),
                member["district"].get<std::string>().c_str(), line.c_str());
  }
  return missing == 0 ? kExitGood : kExitFailed;
}

}  // namespace peppergate
