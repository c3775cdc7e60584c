#include "core/control_state.h"

#include <algorithm>

#include "core/control_changes.h"
#include "core/schemas.h"

namespace peppergate {
namespace {

constexpr std::size_t kEarlierKept = 3;

bool changesFleet(std::string_view kind) { return kind == "replace" || kind == "amend"; }

/// Whether a change of this kind that was accepted once would be accepted at any later time, too.
bool neverRefused(std::string_view kind) {
  return kind == "model-version" || kind == "key-withdraw";
}

/// The version of the fleet's configuration that a change carries, if it carries one.
std::optional<ConfigVersion> numberOf(std::string_view kind, const Json& change) {
  if (!changesFleet(kind)) return std::nullopt;
  auto part = change.find(kind == "replace" ? "config" : "amendment");
  if (part == change.end() || !part->is_object()) return std::nullopt;
  auto version = part->find("version");
  if (version == part->end() || !version->is_number_unsigned()) return std::nullopt;
  return ConfigVersion{version->get<std::uint64_t>()};
}

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

/// The length of one list of a configuration, such as "routes".
std::size_t countOf(const std::shared_ptr<const Json>& config, const char* list) {
  if (!config) return 0;
  auto found = config->find(list);
  return found == config->end() ? 0 : found->size();
}

}  // namespace

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
  // The configuration is the last field of the section, so that the setup and the configuration can
  // be serialized independently of each other.
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
    return absl::DataLossError("control state is not a JSON object");
  ControlState state;
  try {
    fromJson(document.at("version"), state.version_);
    fromJson(document.at("sections"), state.sections_);
    Json& body = document.at("body");
    *state.remembered_ =
        RememberedChanges::read(body.at("changes"), body.value("forgotten", Json()));
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
  std::string text = "{\"body\":{\"changes\":" + remembered_->text() +
                     ",\"forgotten\":" + remembered_->forgottenText() + ",\"earlier\":[";
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

const SectionVersion& ControlState::baseOf(const std::string& kind) const {
  if (kind == "weights" || kind == "model-version") return sections_.weights;
  return kind.starts_with("key") ? sections_.keys : sections_.setup;
}

std::optional<ChangeReply> ControlState::checkBase(const std::string& kind,
                                                   const Json& change) const {
  bool namesBase = change.contains("basedOn");
  // Key changes are never rejected as stale, a model's version only increases, and the fleet's
  // configuration has its own versions. Every other kind must name the version it is based on.
  bool needsBase = !kind.starts_with("key") && !changesFleet(kind) && kind != "model-version";
  if (needsBase && !namesBase) return invalid("[basedOn]", "is required for kind " + kind);
  if (!namesBase) return std::nullopt;
  auto base = parseVersion(change["basedOn"]);
  const SectionVersion& current = baseOf(kind);
  if (base && *base == current) return std::nullopt;
  return faultAnswer(ChangeOutcome::kStale, "[basedOn]",
                     "the current version is " + versionText(current));
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
    if (!change.contains(needed)) return invalid(std::string("[") + needed + "]", "is required");
  Json& given = change[part];
  // Replacing the configuration by an identical one changes nothing.
  if (kind == "replace" && fleet_ && given == *fleet_) return std::nullopt;
  if (change["basedOnVersion"].get<std::uint64_t>() != fleetVersion_.value) {
    ChangeReply stale =
        faultAnswer(ChangeOutcome::kStale, "[basedOnVersion]",
                    "the current version is " + std::to_string(fleetVersion_.value));
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
  // The configuration contains keys, so only versions and list lengths are reported.
  Json told{{"version", {fleetVersion_.value, next.fleetVersion_.value}}};
  for (const char* list : {"routes", "services", "tenants"})
    told[list] = {countOf(fleet_, list), countOf(next.fleet_, list)};
  return Json{{"fleet", told}}.dump();
}

ChangeReply ControlState::apply(const std::string& change, const std::string& changeId, Epoch epoch,
                                const Options& options) {
  if (const SectionVersion* version = remembered_->find(changeId))
    return done(*version);  // a repeated change is not applied again
  if (change.size() > static_cast<std::size_t>(options.largestSetup))
    return faultAnswer(ChangeOutcome::kTooLarge, "<root>", "the change exceeds the size limit");
  Json document = parseDocument(change);
  if (document.is_discarded()) return invalid("<root>", "is not JSON or is nested too deeply");
  if (auto wrong = checkSchema(SchemaName::kChange, document))
    return invalid(wrong->field, wrong->detail);
  std::string kind = document["kind"];
  if (auto wrong = checkBase(kind, document)) return judged(kind, document, std::move(*wrong));
  const std::optional<ConfigVersion> number = numberOf(kind, document);
  ControlState next = *this;
  auto wrong =
      changesFleet(kind) ? next.changeFleet(kind, document) : next.changeSections(kind, document);
  bytesWritten_ = next.bytesWritten_;
  if (wrong) return judged(kind, document, std::move(*wrong));
  if (document.value("dryRun", false))
    return faultAnswer(ChangeOutcome::kWould, {}, wouldBecome(next));
  const bool needsNoMemory = neverRefused(kind) && !document.contains("basedOn");
  if (needsNoMemory && next.sameSections(*this)) return done(inForce());
  return adopt(std::move(next), {changeId, {}, number.value_or(ConfigVersion{})}, epoch, options);
}

ChangeReply ControlState::judged(const std::string& kind, const Json& change,
                                 ChangeReply refusal) const {
  if (!mayBeForgotten(kind, change)) return refusal;
  return faultAnswer(
      ChangeOutcome::kLost, refusal.field,
      "it may have been applied earlier, beyond the remembered changes; " + refusal.detail);
}

bool ControlState::mayBeForgotten(const std::string& kind, const Json& change) const {
  const ForgottenChanges& forgotten = remembered_->forgotten();
  if (forgotten.version == SectionVersion{}) return false;
  if (auto number = numberOf(kind, change)) {
    // A change based on the current configuration was never applied: versions only increase, so its
    // base would no longer be current.
    const bool onNewest = change.value("basedOnVersion", std::uint64_t{0}) == fleetVersion_.value;
    return !onNewest && *number <= forgotten.config;
  }
  if (kind == "key-add") {  // only a key that is withdrawn by now may have been added before
    const Json& withdrawn = body_->at("keys").at("withdrawn");
    return withdrawn.contains(change.value("digest", ""));
  }
  const auto base = parseVersion(change.value("basedOn", ""));
  return base && *base < forgotten.version && *base != baseOf(kind);
}

ChangeReply ControlState::adopt(ControlState next, RememberedChange change, Epoch epoch,
                                const Options& options) {
  const std::size_t limit = 2 * static_cast<std::size_t>(options.largestSetup);
  while (!next.earlier_.empty() && next.size() > limit) next.earlier_.erase(next.earlier_.begin());
  if (next.size() > limit)
    return faultAnswer(ChangeOutcome::kTooLarge, "<root>", "the state would exceed the size limit");
  const SectionVersion newVersion{epoch, {version_.sequence.value + 1}};
  if (*next.setupText_ != *setupText_) next.sections_.setup = newVersion;
  if (*next.keysText_ != *keysText_) next.sections_.keys = newVersion;
  if (*next.weightsText_ != *weightsText_) next.sections_.weights = newVersion;
  next.version_ = newVersion;
  // A change that modified no section is recorded as well, because it is acknowledged; the
  // acknowledgement names the version that is already in force.
  change.version = next.sameSections(*this) ? inForce() : newVersion;
  *this = std::move(next);
  if (remembered_.use_count() > 1) remembered_ = std::make_shared<RememberedChanges>(*remembered_);
  ChangeReply answer = done(change.version);
  remembered_->add(std::move(change), static_cast<std::size_t>(options.rememberedChanges));
  return answer;
}

bool ControlState::sameSections(const ControlState& other) const {
  return *setupText_ == *other.setupText_ && *keysText_ == *other.keysText_ &&
         *weightsText_ == *other.weightsText_;
}

SectionVersion ControlState::inForce() const {
  return std::max({sections_.setup, sections_.keys, sections_.weights});
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
