#include "core/control_changes.h"

#include <algorithm>
#include <array>

namespace peppergate {
namespace {

std::optional<ChangeReply> checkTenant(const Json& setup, const std::string& id, const Json& tenant,
                                       std::uint64_t weightsVersion) {
  std::string fieldPath = "[tenants][" + id + "]";
  const Json& templates = setup.at("templates");
  std::string templateName = tenant.at("template");
  if (!templates.contains(templateName))
    return invalidReply(fieldPath + "[template]", "no template named '" + templateName + "'");
  Json parameters = templates[templateName].value("defaults", Json::object());
  parameters.update(tenant.at("parameters"));
  for (const char* required : {"rank", "wall"})
    if (!parameters.contains(required))
      return invalidReply(fieldPath + "[parameters][" + required + "]",
                          "is required and has no default");
  if (parameters.value("weights", std::uint64_t{0}) > weightsVersion)
    return invalidReply(fieldPath + "[parameters][weights]",
                        "is above the current weights version");
  if (parameters.value("topRung", std::size_t{0}) >= setup.at("rungs").size())
    return invalidReply(fieldPath + "[parameters][topRung]", "is not the index of a rung");
  return std::nullopt;
}

std::optional<ChangeReply> checkSetup(const Json& setup, std::uint64_t weightsVersion) {
  const Json& rungs = setup.at("rungs");
  for (std::size_t index = 1; index < rungs.size(); ++index)
    if (rungs[index]["rate"].get<double>() <= rungs[index - 1]["rate"].get<double>())
      return invalidReply("[rungs][" + std::to_string(index) + "][rate]",
                          "must be above the rate of the rung before it");
  for (const auto& [name, entry] : setup.at("classes").items()) {
    if (entry["floor"].get<std::size_t>() >= rungs.size())
      return invalidReply("[classes][" + name + "][floor]", "is not the index of a rung");
    if (entry["a"].get<double>() * entry["b"].get<double>() <= 0)
      return invalidReply("[classes][" + name + "][a]",
                          "worth must increase with the rate: a*b > 0");
  }
  for (const auto& [name, entry] : setup.at("templates").items())
    if (!setup["classes"].contains(entry["class"].get<std::string>()))
      return invalidReply("[templates][" + name + "][class]", "unknown class");
  for (const auto& [id, tenant] : setup.at("tenants").items())
    if (auto rejection = checkTenant(setup, id, tenant, weightsVersion)) return rejection;
  return std::nullopt;
}

std::optional<ChangeReply> addKeys(Json& keys, const std::string& tenant, const Json& digests) {
  for (const auto& digest : digests) {
    std::string text = digest;
    if (keys["withdrawn"].contains(text))
      return invalidReply("[keys]", "a withdrawn key cannot be restored; create a new one");
    if (keys["live"].contains(text) && keys["live"][text] != tenant)
      return invalidReply("[keys]", "the key belongs to another tenant");
    keys["live"][text] = tenant;
  }
  return std::nullopt;
}

std::optional<ChangeReply> applySetup(Json& body, const Json& change) {
  if (!change.contains("setup")) return invalidReply("[setup]", "is required");
  Json setup = change["setup"];
  if (!setup.contains("tenants")) setup["tenants"] = Json::object();
  std::uint64_t weightsVersion = body["weights"]["version"];
  if (auto rejection = checkSetup(setup, weightsVersion)) return rejection;
  for (auto& [id, tenant] : setup["tenants"].items()) {
    Json digests = tenant["parameters"].value("keys", Json::array());
    if (auto rejection = addKeys(body["keys"], id, digests)) return rejection;
    tenant["parameters"].erase("keys");
  }
  body["setup"] = setup;
  return std::nullopt;
}

std::optional<ChangeReply> applyStamp(Json& body, const Json& change) {
  for (const char* required : {"template", "tenant", "parameters"})
    if (!change.contains(required))
      return invalidReply(std::string("[") + required + "]", "is required");
  std::string id = change["tenant"];
  Json tenant = {{"template", change["template"]}, {"parameters", change["parameters"]}};
  std::uint64_t weightsVersion = body["weights"]["version"];
  if (auto rejection = checkTenant(body["setup"], id, tenant, weightsVersion)) return rejection;
  Json digests = tenant["parameters"].value("keys", Json::array());
  if (auto rejection = addKeys(body["keys"], id, digests)) return rejection;
  tenant["parameters"].erase("keys");
  body["setup"]["tenants"][id] = tenant;
  return std::nullopt;
}

std::optional<ChangeReply> applyTemplate(Json& body, const Json& change) {
  // Adds or replaces one template; every tenant created from it must remain valid.
  for (const char* required : {"template", "made"})
    if (!change.contains(required))
      return invalidReply(std::string("[") + required + "]", "is required");
  body["setup"]["templates"][change["template"].get<std::string>()] = change["made"];
  return checkSetup(body["setup"], body["weights"]["version"]);
}

std::optional<ChangeReply> applyParameters(Json& body, const Json& change) {
  // Updates the given parameters of one tenant and keeps the others.
  std::string id = change.value("tenant", "");
  if (!body["setup"]["tenants"].contains(id)) return invalidReply("[tenant]", "unknown tenant");
  if (!change.contains("parameters")) return invalidReply("[parameters]", "is required");
  Json& tenant = body["setup"]["tenants"][id];
  tenant["parameters"].update(change["parameters"]);
  Json digests = tenant["parameters"].value("keys", Json::array());
  tenant["parameters"].erase("keys");
  if (auto rejection = addKeys(body["keys"], id, digests)) return rejection;
  return checkTenant(body["setup"], id, tenant, body["weights"]["version"]);
}

std::optional<ChangeReply> applyRevert(Json& body, const Json& change) {
  // Installs an earlier setup as a new version. Keys are not reverted: a withdrawn key must never
  // become valid again.
  std::string targetVersion = change.value("to", "");
  std::string storedVersions;
  for (const auto& earlier : body.value("earlier", Json::array())) {
    if (earlier["version"] == targetVersion) {
      body["setup"] = Json(earlier["setup"]);
      return checkSetup(body["setup"], body["weights"]["version"]);
    }
    storedVersions += (storedVersions.empty() ? "" : ", ") + earlier["version"].get<std::string>();
  }
  return invalidReply("[to]", storedVersions.empty() ? "no earlier setup is stored"
                                                     : "stored versions: " + storedVersions);
}

std::optional<ChangeReply> applyRemove(Json& body, const Json& change) {
  std::string id = change.value("tenant", "");
  if (!body["setup"]["tenants"].contains(id)) return invalidReply("[tenant]", "unknown tenant");
  body["setup"]["tenants"].erase(id);
  for (auto& [digest, owner] : body["keys"]["live"].items())
    if (owner == id) body["keys"]["withdrawn"][digest] = true;
  for (const auto& [digest, unused] : body["keys"]["withdrawn"].items())
    body["keys"]["live"].erase(digest);
  return std::nullopt;
}

std::optional<ChangeReply> applyWeights(Json& body, const Json& change) {
  if (!change.contains("label")) return invalidReply("[label]", "is required");
  std::uint64_t weightsVersion = body["weights"]["version"];
  body["weights"]["version"] = weightsVersion + 1;
  body["weights"]["label"] = change["label"];
  return std::nullopt;
}

std::optional<ChangeReply> applyModelVersion(Json& body, const Json& change) {
  for (const char* required : {"model", "version"})
    if (!change.contains(required))
      return invalidReply(std::string("[") + required + "]", "is required");
  std::string model = change["model"];
  auto newVersion = change["version"].get<std::uint64_t>();
  Json models = body["weights"].value("models", Json::object());
  // A model without an entry has version 1; versions only increase.
  if (newVersion <= models.value(model, std::uint64_t{1})) return std::nullopt;
  models[model] = newVersion;
  body["weights"]["models"] = std::move(models);
  return std::nullopt;
}

std::optional<ChangeReply> applyKeyAdd(Json& body, const Json& change) {
  if (!change.contains("digest")) return invalidReply("[digest]", "is required");
  std::string id = change.value("tenant", "");
  if (!body["setup"]["tenants"].contains(id)) return invalidReply("[tenant]", "unknown tenant");
  return addKeys(body["keys"], id, Json::array({change["digest"]}));
}

std::optional<ChangeReply> applyKeyWithdraw(Json& body, const Json& change) {
  if (!change.contains("digest")) return invalidReply("[digest]", "is required");
  std::string digest = change["digest"];
  // An unknown key is withdrawn as well, so that it cannot be added after the acknowledgement.
  body["keys"]["live"].erase(digest);
  body["keys"]["withdrawn"][digest] = true;
  return std::nullopt;
}

struct ChangeKindRow {
  std::string_view kind;
  Applier applier;
};
constexpr std::array<ChangeKindRow, 10> kChangeKinds{{{"apply", &applySetup},
                                                      {"stamp", &applyStamp},
                                                      {"remove", &applyRemove},
                                                      {"weights", &applyWeights},
                                                      {"key-add", &applyKeyAdd},
                                                      {"key-withdraw", &applyKeyWithdraw},
                                                      {"template", &applyTemplate},
                                                      {"parameters", &applyParameters},
                                                      {"revert", &applyRevert},
                                                      {"model-version", &applyModelVersion}}};

}  // namespace

ChangeReply rejectionReply(ChangeOutcome outcome, std::string field, std::string detail) {
  ChangeReply answer;
  answer.outcome = outcome;
  answer.field = std::move(field);
  answer.detail = std::move(detail);
  return answer;
}

ChangeReply invalidReply(std::string field, std::string detail) {
  return rejectionReply(ChangeOutcome::kInvalid, std::move(field), std::move(detail));
}

Applier applierFor(std::string_view kind) {
  auto row = std::ranges::find(kChangeKinds, kind, &ChangeKindRow::kind);
  return row == kChangeKinds.end() ? nullptr : row->applier;
}

std::string describeDryRun(const Json& before, const Json& after) {
  Json summary{
      {"setup", Json::diff(before["setup"], after["setup"])},
      {"weights", Json::diff(before["weights"], after["weights"])},
      {"liveKeys", {before["keys"]["live"].size(), after["keys"]["live"].size()}},
      {"withdrawnKeys", {before["keys"]["withdrawn"].size(), after["keys"]["withdrawn"].size()}}};
  std::string text = summary.dump();
  if (text.size() > 64 << 10) {
    summary["setup"] =
        std::to_string(summary["setup"].size()) + " patch operations, too many to show";
    text = summary.dump();
  }
  return text;
}

}  // namespace peppergate
