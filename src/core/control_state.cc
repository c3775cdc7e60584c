#include "core/control_state.h"

#include <algorithm>

#include "core/control_changes.h"
#include "core/schemas.h"

namespace peppergate {
namespace {

constexpr std::size_t kEarlierKept = 3;

bool changesFleet(std::string_view kind) { return kind == "replace" || kind == "amend"; }

ChangeReply done(const SectionVersion& version) {
  ChangeReply answer;
  answer.outcome = ChangeOutcome::kDone;
  answer.version = version;
  return answer;
}

std::optional<SectionVersion> parseVersion(const std::string& text) {
  auto dot = text.find('.');
  if (dot == std::string::npos || dot > 18 || text.size() - dot > 18) return std::nullopt;
  return SectionVersion{{std::stoull(text.substr(0, dot))}, {std::stoull(text.substr(dot + 1))}};
}

std::string quoted(const std::string& text) {
  return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// How many items of a list a configuration has. Example: `countOf(config, "routes")`.
std::size_t countOf(const std::shared_ptr<const Json>& config, const char* list) {
  if (!config) return 0;
  auto found = config->find(list);
  return found == config->end() ? 0 : found->size();
}

}  // namespace

const SectionVersion* RememberedChanges::find(const std::string& changeId) const {
  auto found = versions_.find(changeId);
  return found == versions_.end() ? nullptr : &found->second;
}

void RememberedChanges::add(const std::string& changeId, const SectionVersion& version,
                            std::size_t limit) {
  if (versions_.insert_or_assign(changeId, version).second) order_.push_back(changeId);
  while (order_.size() > limit) {
    versions_.erase(order_.front());
    order_.pop_front();
  }
}

std::string RememberedChanges::text() const {
  std::string text = "[";
  for (const auto& changeId : order_) {
    const SectionVersion& version = versions_.at(changeId);
    if (text.size() > 1) text += ',';
    text += "{\"id\":" + quoted(changeId) +
            ",\"version\":{\"epoch\":" + std::to_string(version.epoch.value) +
            ",\"sequence\":" + std::to_string(version.sequence.value) + "}}";
  }
  return text + "]";
}

ControlState::ControlState() {
  static const auto kNoBody = std::make_shared<const Json>(Json::object());
  static const auto kNoText = std::make_shared<const std::string>();
  body_ = kNoBody;
  bareSetupText_ = fleetText_ = setupText_ = keysText_ = weightsText_ = kNoText;
  remembered_ = std::make_shared<RememberedChanges>();
}

ControlState::Text ControlState::write(const Json& value) {
  auto text = std::make_shared<const std::string>(value.dump());
  bytesWritten_ += text->size();
  return text;
}

void ControlState::joinSetup() {
  // The configuration stands last in the section, so that each of the two is written out alone.
  setupText_ = bareSetupText_;
  if (!fleet_) return;
  std::string joined;
  joined.reserve(bareSetupText_->size() + fleetText_->size() + 16);
  joined.append(*bareSetupText_, 0, bareSetupText_->size() - 1);
  if (joined.size() > 1) joined += ',';
  joined += "\"fleet\":";
  joined += *fleetText_;
  joined += '}';
  setupText_ = std::make_shared<const std::string>(std::move(joined));
}

void ControlState::writeSections() {
  bareSetupText_ = write(body_->at("setup"));
  keysText_ = write(body_->at("keys"));
  weightsText_ = write(body_->at("weights"));
  if (fleet_) fleetText_ = write(*fleet_);
  joinSetup();
}

ControlState ControlState::founded(Epoch epoch) {
  ControlState state;
  state.body_ = std::make_shared<const Json>(
      Json{{"setup",
            {{"rungs", Json::array({{{"name", "whole"}, {"rate", 8.0}}})},
             {"classes", Json::object()},
             {"templates", Json::object()},
             {"tenants", Json::object()}}},
           {"keys", {{"live", Json::object()}, {"withdrawn", Json::object()}}},
           {"weights", {{"version", 1}, {"label", "first"}, {"models", Json::object()}}}});
  state.version_ = {epoch, {1}};
  state.sections_ = {state.version_, state.version_, state.version_};
  state.writeSections();
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
    Json& body = document.at("body");
    for (const auto& change : body.at("changes")) {
      SectionVersion version;
      fromJson(change.at("version"), version);
      state.remembered_->add(change.at("id"), version, SIZE_MAX);
    }
    for (const auto& earlier : body.value("earlier", Json::array()))
      if (auto version = parseVersion(earlier.at("version")))
        state.earlier_.push_back({*version, state.write(earlier.at("setup"))});
    Json& setup = body.at("setup");
    if (auto fleet = setup.find("fleet"); fleet != setup.end()) {
      state.fleetVersion_ = {fleet->at("version").get<std::uint64_t>()};
      state.fleet_ = std::make_shared<const Json>(std::move(*fleet));
      setup.erase(fleet);
    }
    state.body_ = std::make_shared<const Json>(Json{{"setup", std::move(setup)},
                                                    {"keys", std::move(body.at("keys"))},
                                                    {"weights", std::move(body.at("weights"))}});
    state.writeSections();
  } catch (const Json::exception& wrong) {
    return absl::DataLossError(wrong.what());
  }
  return state;
}

std::string ControlState::text() const {
  std::string text = "{\"body\":{\"changes\":" + remembered_->text() + ",\"earlier\":[";
  for (const auto& earlier : earlier_) {
    if (text.back() != '[') text += ',';
    text +=
        "{\"setup\":" + *earlier.text + ",\"version\":\"" + versionText(earlier.version) + "\"}";
  }
  text.reserve(text.size() + size() + 512);
  text += "],\"keys\":";
  text += *keysText_;
  text += ",\"setup\":";
  text += *setupText_;
  text += ",\"weights\":";
  text += *weightsText_;
  return text + "},\"sections\":" + toJson(sections_).dump() +
         ",\"version\":" + toJson(version_).dump() + "}";
}

std::size_t ControlState::size() const {
  std::size_t size = setupText_->size() + keysText_->size() + weightsText_->size();
  for (const auto& earlier : earlier_) size += earlier.text->size();
  return size;
}

std::optional<ChangeReply> ControlState::checkBase(const std::string& kind,
                                                   const Json& change) const {
  bool namesBase = change.contains("basedOn");
  // A key's withdrawal is never declined as stale, a model's version only rises, and the fleet's
  // configuration has versions of its own; everything else names what it builds on.
  bool needsBase = !kind.starts_with("key") && !changesFleet(kind) && kind != "model-version";
  if (needsBase && !namesBase) return invalid("[basedOn]", "is needed for kind " + kind);
  if (!namesBase) return std::nullopt;
  auto base = parseVersion(change["basedOn"]);
  bool ofWeights = kind == "weights" || kind == "model-version";
  const SectionVersion& current = ofWeights                 ? sections_.weights
                                  : kind.starts_with("key") ? sections_.keys
                                                            : sections_.setup;
  if (base && *base == current) return std::nullopt;
  return faultAnswer(ChangeOutcome::kStale, "[basedOn]", "the newest is " + versionText(current));
}

std::optional<ChangeReply> ControlState::changeSections(const std::string& kind,
                                                        const Json& change) {
  Json draft = *body_;
  if (kind == "revert")
    for (const auto& earlier : earlier_)
      draft["earlier"].push_back(
          {{"version", versionText(earlier.version)}, {"setup", Json::parse(*earlier.text)}});
  if (auto wrong = applierOf(kind)(draft, change)) return wrong;
  draft.erase("earlier");
  if (draft["setup"] != body_->at("setup")) {
    earlier_.push_back({sections_.setup, bareSetupText_});
    if (earlier_.size() > kEarlierKept) earlier_.erase(earlier_.begin());
    bareSetupText_ = write(draft["setup"]);
    joinSetup();
  }
  if (draft["keys"] != body_->at("keys")) keysText_ = write(draft["keys"]);
  if (draft["weights"] != body_->at("weights")) weightsText_ = write(draft["weights"]);
  body_ = std::make_shared<const Json>(std::move(draft));
  return std::nullopt;
}

std::optional<ChangeReply> ControlState::changeFleet(const std::string& kind, Json& change) {
  const char* part = kind == "replace" ? "config" : "amendment";
  for (const char* needed : {"basedOnVersion", part})
    if (!change.contains(needed)) return invalid(std::string("[") + needed + "]", "is needed");
  Json& given = change[part];
  // The very configuration that is in place, sent once more, is no second change.
  if (kind == "replace" && fleet_ && given == *fleet_) return std::nullopt;
  if (change["basedOnVersion"].get<std::uint64_t>() != fleetVersion_.value) {
    ChangeReply stale = faultAnswer(ChangeOutcome::kStale, "[basedOnVersion]",
                                    "the newest is " + std::to_string(fleetVersion_.value));
    stale.newest = fleetVersion_.value;
    return stale;
  }
  if (kind == "amend") {
    if (auto wrong = checkFleetAmendment(given)) return invalid(wrong->field, wrong->detail);
    given = amendFleetConfig(fleet_ ? *fleet_ : Json::object(), given);
  }
  if (auto wrong = checkFleetConfig(given)) return invalid(wrong->field, wrong->detail);
  ConfigVersion version{given["version"].get<std::uint64_t>()};
  if (version <= fleetVersion_)
    return invalid("[version]", "must be above " + std::to_string(fleetVersion_.value));
  fleet_ = std::make_shared<const Json>(std::move(given));
  fleetVersion_ = version;
  fleetText_ = write(*fleet_);
  joinSetup();
  return std::nullopt;
}

std::string ControlState::wouldBecome(const ControlState& next) const {
  if (next.fleet_ == fleet_) return whatWouldChange(*body_, *next.body_);
  // Keys stand in the configuration, so only numbers are told.
  Json told{{"version", {fleetVersion_.value, next.fleetVersion_.value}}};
  for (const char* list : {"routes", "services", "tenants"})
    told[list] = {countOf(fleet_, list), countOf(next.fleet_, list)};
  return Json{{"fleet", told}}.dump();
}

ChangeReply ControlState::apply(const std::string& change, const std::string& changeId, Epoch epoch,
                                const Options& options) {
  if (const SectionVersion* version = remembered_->find(changeId))
    return done(*version);  // a repeated command is no second change
  if (change.size() > static_cast<std::size_t>(options.largestSetup))
    return faultAnswer(ChangeOutcome::kTooLarge, "<root>", "the change is above the limit");
  Json document = parseDocument(change);
  if (document.is_discarded()) return invalid("<root>", "is no JSON, or nested too deep");
  if (auto wrong = checkSchema(SchemaName::kChange, document))
    return invalid(wrong->field, wrong->detail);
  std::string kind = document["kind"];
  if (auto wrong = checkBase(kind, document)) return *wrong;
  ControlState next = *this;
  auto wrong =
      changesFleet(kind) ? next.changeFleet(kind, document) : next.changeSections(kind, document);
  bytesWritten_ = next.bytesWritten_;
  if (wrong) return *wrong;
  if (document.value("dryRun", false))
    return faultAnswer(ChangeOutcome::kWould, {}, wouldBecome(next));
  return adopt(std::move(next), changeId, epoch, options);
}

ChangeReply ControlState::adopt(ControlState next, const std::string& changeId, Epoch epoch,
                                const Options& options) {
  const std::size_t limit = 2 * static_cast<std::size_t>(options.largestSetup);
  while (!next.earlier_.empty() && next.size() > limit) next.earlier_.erase(next.earlier_.begin());
  if (next.size() > limit)
    return faultAnswer(ChangeOutcome::kTooLarge, "<root>", "the state would be above the limit");
  SectionVersion newVersion{epoch, {version_.sequence.value + 1}};
  bool setup = *next.setupText_ != *setupText_;
  bool keys = *next.keysText_ != *keysText_;
  bool weights = *next.weightsText_ != *weightsText_;
  if (!setup && !keys && !weights)  // the yes names the version that is in force already
    return done(std::max({sections_.setup, sections_.keys, sections_.weights}));
  if (setup) next.sections_.setup = newVersion;
  if (keys) next.sections_.keys = newVersion;
  if (weights) next.sections_.weights = newVersion;
  next.version_ = newVersion;
  *this = std::move(next);
  if (remembered_.use_count() > 1) remembered_ = std::make_shared<RememberedChanges>(*remembered_);
  remembered_->add(changeId, newVersion, static_cast<std::size_t>(options.rememberedChanges));
  return done(newVersion);
}

bool ControlState::stampOver(const SectionVersions& seen, Epoch epoch) {
  SectionVersion next{epoch, {version_.sequence.value + 1}};
  bool any = false;
  for (auto [mine, theirs] :
       {std::pair{&sections_.setup, &seen.setup}, std::pair{&sections_.keys, &seen.keys},
        std::pair{&sections_.weights, &seen.weights}})
    if (*theirs > *mine && theirs->epoch < epoch) {
      *mine = next;
      any = true;
    }
  if (any) version_ = next;
  return any;
}

}  // namespace peppergate
