#include "core/control_state.h"

#include <array>

#include "core/schemas.h"

namespace peppergate {
namespace {

ChangeAnswer fault(ChangeOutcome outcome, std::string field, std::string detail) {
  ChangeAnswer answer;
  answer.outcome = outcome;
  answer.field = std::move(field);
  answer.detail = std::move(detail);
  return answer;
}

ChangeAnswer invalid(std::string field, std::string detail) {
  return fault(ChangeOutcome::kInvalid, std::move(field), std::move(detail));
}

std::optional<ChangeAnswer> checkTenant(const Json& setup, const std::string& id,
                                        const Json& tenant, std::uint64_t named) {
  std::string place = "[tenants][" + id + "]";
  const Json& templates = setup.at("templates");
  std::string templateName = tenant.at("template");
  if (!templates.contains(templateName))
    return invalid(place + "[template]", "no template named '" + templateName + "'");
  Json parameters = templates[templateName].value("defaults", Json::object());
  parameters.update(tenant.at("parameters"));
  for (const char* needed : {"rank", "wall"})
    if (!parameters.contains(needed))
      return invalid(place + "[parameters][" + needed + "]", "is needed and has no default");
  if (parameters.value("weights", std::uint64_t{0}) > named)
    return invalid(place + "[parameters][weights]", "is above the weights named so far");
  if (parameters.value("topRung", std::size_t{0}) >= setup.at("rungs").size())
    return invalid(place + "[parameters][topRung]", "there is no such rung");
  return std::nullopt;
}

std::optional<ChangeAnswer> checkSetup(const Json& setup, std::uint64_t named) {
  const Json& rungs = setup.at("rungs");
  for (std::size_t index = 1; index < rungs.size(); ++index)
    if (rungs[index]["rate"].get<double>() <= rungs[index - 1]["rate"].get<double>())
      return invalid("[rungs][" + std::to_string(index) + "][rate]", "must rise rung by rung");
  for (const auto& [name, entry] : setup.at("classes").items()) {
    if (entry["floor"].get<std::size_t>() >= rungs.size())
      return invalid("[classes][" + name + "][floor]", "there is no such rung");
    if (entry["a"].get<double>() * entry["b"].get<double>() <= 0)
      return invalid("[classes][" + name + "][a]", "worth must rise with the rate: a*b > 0");
  }
  for (const auto& [name, entry] : setup.at("templates").items())
    if (!setup["classes"].contains(entry["class"].get<std::string>()))
      return invalid("[templates][" + name + "][class]", "there is no such class");
  for (const auto& [id, tenant] : setup.at("tenants").items())
    if (auto wrong = checkTenant(setup, id, tenant, named)) return wrong;
  return std::nullopt;
}

std::optional<ChangeAnswer> addKeys(Json& keys, const std::string& tenant, const Json& digests) {
  for (const auto& digest : digests) {
    std::string text = digest;
    if (keys["withdrawn"].contains(text))
      return invalid("[keys]", "a withdrawn key never comes back; make a new one");
    if (keys["live"].contains(text) && keys["live"][text] != tenant)
      return invalid("[keys]", "the key belongs to another tenant");
    keys["live"][text] = tenant;
  }
  return std::nullopt;
}

// Each kind changes a draft of the body; what it returns is a fault, if any.
using Applier = std::optional<ChangeAnswer> (*)(Json& body, const Json& change);

std::optional<ChangeAnswer> applySetup(Json& body, const Json& change) {
  if (!change.contains("setup")) return invalid("[setup]", "is needed");
  Json setup = change["setup"];
  if (!setup.contains("tenants")) setup["tenants"] = Json::object();
  std::uint64_t named = body["weights"]["version"];
  if (auto wrong = checkSetup(setup, named)) return wrong;
  for (auto& [id, tenant] : setup["tenants"].items()) {
    Json digests = tenant["parameters"].value("keys", Json::array());
    if (auto wrong = addKeys(body["keys"], id, digests)) return wrong;
    tenant["parameters"].erase("keys");
  }
  body["setup"] = setup;
  return std::nullopt;
}

std::optional<ChangeAnswer> applyStamp(Json& body, const Json& change) {
  for (const char* needed : {"template", "tenant", "parameters"})
    if (!change.contains(needed)) return invalid(std::string("[") + needed + "]", "is needed");
  std::string id = change["tenant"];
  Json tenant = {{"template", change["template"]}, {"parameters", change["parameters"]}};
  std::uint64_t named = body["weights"]["version"];
  if (auto wrong = checkTenant(body["setup"], id, tenant, named)) return wrong;
  Json digests = tenant["parameters"].value("keys", Json::array());
  if (auto wrong = addKeys(body["keys"], id, digests)) return wrong;
  tenant["parameters"].erase("keys");
  body["setup"]["tenants"][id] = tenant;
  return std::nullopt;
}

std::optional<ChangeAnswer> applyTemplate(Json& body, const Json& change) {
  // One template anew, or changed; every tenant stamped from it has to fit it still.
  for (const char* needed : {"template", "made"})
    if (!change.contains(needed)) return invalid(std::string("[") + needed + "]", "is needed");
  body["setup"]["templates"][change["template"].get<std::string>()] = change["made"];
  return checkSetup(body["setup"], body["weights"]["version"]);
}

std::optional<ChangeAnswer> applyParameters(Json& body, const Json& change) {
  // Some of one tenant's parameters; the others stay as they are.
  std::string id = change.value("tenant", "");
  if (!body["setup"]["tenants"].contains(id)) return invalid("[tenant]", "there is no such tenant");
  if (!change.contains("parameters")) return invalid("[parameters]", "is needed");
  Json& tenant = body["setup"]["tenants"][id];
  tenant["parameters"].update(change["parameters"]);
  Json digests = tenant["parameters"].value("keys", Json::array());
  tenant["parameters"].erase("keys");
  if (auto wrong = addKeys(body["keys"], id, digests)) return wrong;
  return checkTenant(body["setup"], id, tenant, body["weights"]["version"]);
}

std::optional<ChangeAnswer> applyRevert(Json& body, const Json& change) {
  // An earlier setup as a new version. Keys stay as they are: a withdrawn one never comes back.
  std::string wanted = change.value("to", "");
  std::string known;
  for (const auto& earlier : body.value("earlier", Json::array())) {
    if (earlier["version"] == wanted) {
      body["setup"] = Json(earlier["setup"]);
      return checkSetup(body["setup"], body["weights"]["version"]);
    }
    known += (known.empty() ? "" : ", ") + earlier["version"].get<std::string>();
  }
  return invalid("[to]", known.empty() ? "no earlier setup is kept" : "kept are " + known);
}

std::optional<ChangeAnswer> applyRemove(Json& body, const Json& change) {
  std::string id = change.value("tenant", "");
  if (!body["setup"]["tenants"].contains(id)) return invalid("[tenant]", "there is no such tenant");
  body["setup"]["tenants"].erase(id);
  for (auto& [digest, owner] : body["keys"]["live"].items())
    if (owner == id) body["keys"]["withdrawn"][digest] = true;
  for (const auto& [digest, gone] : body["keys"]["withdrawn"].items())
    body["keys"]["live"].erase(digest);
  return std::nullopt;
}

std::optional<ChangeAnswer> applyWeights(Json& body, const Json& change) {
  if (!change.contains("label")) return invalid("[label]", "is needed");
  std::uint64_t named = body["weights"]["version"];
  body["weights"] = {{"version", named + 1}, {"label", change["label"]}};
  return std::nullopt;
}

std::optional<ChangeAnswer> applyKeyAdd(Json& body, const Json& change) {
  if (!change.contains("digest")) return invalid("[digest]", "is needed");
  std::string id = change.value("tenant", "");
  if (!body["setup"]["tenants"].contains(id)) return invalid("[tenant]", "there is no such tenant");
  return addKeys(body["keys"], id, Json::array({change["digest"]}));
}

std::optional<ChangeAnswer> applyKeyWithdraw(Json& body, const Json& change) {
  if (!change.contains("digest")) return invalid("[digest]", "is needed");
  std::string digest = change["digest"];
  // A key never heard of is withdrawn all the same: the yes holds for it from now on.
  body["keys"]["live"].erase(digest);
  body["keys"]["withdrawn"][digest] = true;
  return std::nullopt;
}

struct KindRow {
  std::string_view kind;
  Applier applier;
};
constexpr std::array<KindRow, 9> kKinds{{{"apply", &applySetup},
                                         {"stamp", &applyStamp},
                                         {"remove", &applyRemove},
                                         {"weights", &applyWeights},
                                         {"key-add", &applyKeyAdd},
                                         {"key-withdraw", &applyKeyWithdraw},
                                         {"template", &applyTemplate},
                                         {"parameters", &applyParameters},
                                         {"revert", &applyRevert}}};

constexpr std::size_t kEarlierKept = 3;

/// Keeps the setup that a change replaces, as long as the whole state stays under its limit.
void keepEarlier(Json& draft, const Json& setup, const SetupVersion& version, std::size_t limit) {
  Json& earlier = draft["earlier"];
  if (!earlier.is_array()) earlier = Json::array();
  earlier.push_back({{"version", versionText(version)}, {"setup", setup}});
  while (!earlier.empty() && (earlier.size() > kEarlierKept || draft.dump().size() > limit))
    earlier.erase(earlier.begin());
}

/// What a change would do, as patches of each section; keys are told by number only.
std::string whatWouldChange(const Json& before, const Json& after) {
  Json told{{"setup", Json::diff(before["setup"], after["setup"])},
            {"weights", Json::diff(before["weights"], after["weights"])},
            {"liveKeys", {before["keys"]["live"].size(), after["keys"]["live"].size()}},
            {"withdrawnKeys",
             {before["keys"]["withdrawn"].size(), after["keys"]["withdrawn"].size()}}};
  std::string text = told.dump();
  if (text.size() > 64 << 10) {
    told["setup"] = std::to_string(told["setup"].size()) + " steps, too many to show";
    text = told.dump();
  }
  return text;
}

std::optional<SetupVersion> parseVersion(const std::string& text) {
  auto dot = text.find('.');
  if (dot == std::string::npos || dot > 18 || text.size() - dot > 18) return std::nullopt;
  return SetupVersion{{std::stoull(text.substr(0, dot))}, {std::stoull(text.substr(dot + 1))}};
}

}  // namespace

ControlState ControlState::founded(Epoch epoch) {
  ControlState state;
  state.body_ = {{"setup",
                  {{"rungs", Json::array({{{"name", "whole"}, {"rate", 8.0}}})},
                   {"classes", Json::object()},
                   {"templates", Json::object()},
                   {"tenants", Json::object()}}},
                 {"keys", {{"live", Json::object()}, {"withdrawn", Json::object()}}},
                 {"weights", {{"version", 1}, {"label", "first"}}},
                 {"changes", Json::array()}};
  state.version_ = {epoch, {1}};
  state.sections_ = {state.version_, state.version_, state.version_};
  return state;
}

absl::StatusOr<ControlState> ControlState::parse(const std::string& text) {
  Json document = Json::parse(text, nullptr, false);
  if (document.is_discarded() || !document.is_object())
    return absl::DataLossError("control state is no JSON object");
  ControlState state;
  try {
    fromJson(document.at("version"), state.version_);
    fromJson(document.at("sections"), state.sections_);
    state.body_ = document.at("body");
  } catch (const Json::exception& wrong) {
    return absl::DataLossError(wrong.what());
  }
  return state;
}

std::string ControlState::text() const {
  return Json{{"version", toJson(version_)}, {"sections", toJson(sections_)}, {"body", body_}}
      .dump();
}

ChangeAnswer ControlState::apply(const std::string& change, const std::string& changeId,
                                 Epoch epoch, const Props& props) {
  for (const auto& done : body_["changes"])
    if (done["id"] == changeId) {  // a repeated command is no second change
      ChangeAnswer answer;
      answer.outcome = ChangeOutcome::kDone;
      fromJson(done["version"], answer.version);
      return answer;
    }
  if (change.size() > static_cast<std::size_t>(props.largestSetup))
    return fault(ChangeOutcome::kTooLarge, "<root>", "the change is above the limit");
  Json document = Json::parse(change, nullptr, false);
  if (document.is_discarded()) return invalid("<root>", "is no JSON");
  if (auto wrong = checkSchema(SchemaName::kChange, document))
    return invalid(wrong->field, wrong->detail);
  std::string kind = document["kind"];
  bool namesBase = document.contains("basedOn");
  // A key's withdrawal is never declined as stale; everything else names what it builds on.
  bool needsBase = !kind.starts_with("key");
  if (needsBase && !namesBase) return invalid("[basedOn]", "is needed for kind " + kind);
  if (namesBase) {
    auto base = parseVersion(document["basedOn"]);
    const SetupVersion& current = kind == "weights" ? sections_.weights
                                  : kind.starts_with("key") ? sections_.keys
                                                            : sections_.setup;
    if (!base || *base != current)
      return fault(ChangeOutcome::kStale, "[basedOn]", "the newest is " + versionText(current));
  }
  Json draft = body_;
  for (const auto& row : kKinds)
    if (row.kind == kind)
      if (auto wrong = row.applier(draft, document)) return *wrong;
  if (document.value("dryRun", false))
    return fault(ChangeOutcome::kWould, {}, whatWouldChange(body_, draft));
  if (draft["setup"] != body_["setup"])
    keepEarlier(draft, body_["setup"], sections_.setup,
                2 * static_cast<std::size_t>(props.largestSetup));
  if (draft.dump().size() > 2 * static_cast<std::size_t>(props.largestSetup))
    return fault(ChangeOutcome::kTooLarge, "<root>", "the state would be above the limit");
  SetupVersion next{epoch, {version_.sequence.value + 1}};
  bool same = draft["setup"] == body_["setup"] && draft["keys"] == body_["keys"] &&
              draft["weights"] == body_["weights"];
  if (same) {  // nothing to put in force: the yes names the version that already is
    const SetupVersion newest = std::max({sections_.setup, sections_.keys, sections_.weights});
    ChangeAnswer answer;
    answer.outcome = ChangeOutcome::kDone;
    answer.version = newest;
    return answer;
  }
  if (draft["setup"] != body_["setup"]) sections_.setup = next;
  if (draft["keys"] != body_["keys"]) sections_.keys = next;
  if (draft["weights"] != body_["weights"]) sections_.weights = next;
  draft["changes"].push_back({{"id", changeId}, {"version", toJson(next)}});
  while (draft["changes"].size() > static_cast<std::size_t>(props.rememberedChanges))
    draft["changes"].erase(draft["changes"].begin());
  body_ = std::move(draft);
  version_ = next;
  ChangeAnswer answer;
  answer.outcome = ChangeOutcome::kDone;
  answer.version = next;
  return answer;
}

bool ControlState::stampOver(const SectionVersions& seen, Epoch epoch) {
  SetupVersion next{epoch, {version_.sequence.value + 1}};
  bool any = false;
  for (auto [mine, theirs] : {std::pair{&sections_.setup, &seen.setup},
                              std::pair{&sections_.keys, &seen.keys},
                              std::pair{&sections_.weights, &seen.weights}})
    if (*theirs > *mine && theirs->epoch < epoch) {
      *mine = next;
      any = true;
    }
  if (any) version_ = next;
  return any;
}

absl::StatusOr<Setup> readSetup(const std::string& text) {
  Setup setup;
  Json document = Json::parse(text, nullptr, false);
  if (document.is_discarded()) return absl::DataLossError("setup section is no JSON");
  try {
    for (const auto& rung : document.at("rungs"))
      setup.rungs.push_back({rung.at("name"), rung.at("rate")});
    for (const auto& [name, entry] : document.at("classes").items())
      setup.classes[name] = {entry.at("a"), entry.at("b"), entry.at("c"), entry.at("floor")};
    setup.partBytesPerCharacter = document.value("partBytesPerCharacter", 1000.0);
    for (const auto& [id, entry] : document.at("tenants").items()) {
      const Json& made = document.at("templates").at(entry.at("template").get<std::string>());
      Json parameters = made.value("defaults", Json::object());
      parameters.update(entry.at("parameters"));
      Tenant tenant;
      tenant.templateName = entry.at("template");
      tenant.className = made.at("class");
      tenant.rank = parameters.at("rank");
      tenant.wall = {parameters.at("wall").get<std::string>()};
      tenant.weights = {parameters.value("weights", std::uint64_t{0})};
      tenant.topRung = parameters.value(
          "topRung", static_cast<std::int64_t>(setup.rungs.size()) - 1);
      tenant.share = parameters.value("share", std::int64_t{0});
      setup.tenants[{id}] = tenant;
    }
  } catch (const Json::exception& wrong) {
    return absl::DataLossError(wrong.what());
  }
  return setup;
}

absl::StatusOr<Keys> readKeys(const std::string& text) {
  Keys keys;
  Json document = Json::parse(text, nullptr, false);
  if (document.is_discarded()) return absl::DataLossError("keys section is no JSON");
  try {
    for (const auto& [digest, tenant] : document.at("live").items())
      keys.live[{digest}] = {tenant.get<std::string>()};
    for (const auto& [digest, gone] : document.at("withdrawn").items())
      keys.withdrawn.insert({digest});
  } catch (const Json::exception& wrong) {
    return absl::DataLossError(wrong.what());
  }
  return keys;
}

absl::StatusOr<Weights> readWeights(const std::string& text) {
  Json document = Json::parse(text, nullptr, false);
  if (document.is_discarded()) return absl::DataLossError("weights section is no JSON");
  Weights weights;
  try {
    weights.version = {document.at("version").get<std::uint64_t>()};
    weights.label = document.at("label");
  } catch (const Json::exception& wrong) {
    return absl::DataLossError(wrong.what());
  }
  return weights;
}

}  // namespace peppergate
