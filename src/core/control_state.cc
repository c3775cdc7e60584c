#include "core/control_state.h"

#include <algorithm>

#include "core/control_changes.h"
#include "core/schemas.h"

namespace peppergate {
namespace {

constexpr std::size_t kMaxEarlierSetups = 3;

bool changesFleetConfig(std::string_view kind) { return kind == "replace" || kind == "amend"; }

/// Whether a change of this kind that was accepted once would be accepted at any later time, too.
bool isAlwaysAccepted(std::string_view kind) {
  return kind == "model-version" || kind == "key-withdraw";
}

/// The version of the fleet's configuration that a change carries, if it carries one.
std::optional<ConfigVersion> carriedConfigVersion(std::string_view kind, const Json& change) {
  if (!changesFleetConfig(kind)) return std::nullopt;
  auto part = change.find(kind == "replace" ? "config" : "amendment");
  if (part == change.end() || !part->is_object()) return std::nullopt;
  auto version = part->find("version");
  if (version == part->end() || !version->is_number_unsigned()) return std::nullopt;
  return ConfigVersion{version->get<std::uint64_t>()};
}

ChangeReply doneReply(const SectionVersion& version) {
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
std::size_t listLength(const std::shared_ptr<const Json>& config, const char* list) {
  if (!config) return 0;
  auto found = config->find(list);
  return found == config->end() ? 0 : found->size();
}

}  // namespace

ControlState::ControlState() {
  static const auto kNoBody = std::make_shared<const Json>(Json::object());
  static const auto kNoText = std::make_shared<const std::string>();
  sectionsJson_ = kNoBody;
  setupWithoutFleetText_ = fleetConfigText_ = setupText_ = keysText_ = weightsText_ = kNoText;
  rememberedChanges_ = std::make_shared<RememberedChanges>();
}

ControlState::Text ControlState::serializeSection(const Json& value) {
  auto text = std::make_shared<const std::string>(value.dump());
  serializedBytes_ += text->size();
  return text;
}

void ControlState::rebuildSetupText() {
  // The configuration is the last field of the section, so that the setup and the configuration can
  // be serialized independently of each other.
  setupText_ = setupWithoutFleetText_;
  if (!fleetConfig_) return;
  std::string joined;
  joined.reserve(setupWithoutFleetText_->size() + fleetConfigText_->size() + 64);
  joined.append(*setupWithoutFleetText_, 0, setupWithoutFleetText_->size() - 1);
  if (joined.size() > 1) joined += ',';
  if (sharedCache_.generation().value > 0)
    joined += "\"cacheGeneration\":" + std::to_string(sharedCache_.generation().value) + ',';
  joined += "\"fleet\":";
  joined += *fleetConfigText_;
  joined += '}';
  setupText_ = std::make_shared<const std::string>(std::move(joined));
}

void ControlState::serializeSections() {
  setupWithoutFleetText_ = serializeSection(sectionsJson_->at("setup"));
  keysText_ = serializeSection(sectionsJson_->at("keys"));
  weightsText_ = serializeSection(sectionsJson_->at("weights"));
  if (fleetConfig_) fleetConfigText_ = serializeSection(*fleetConfig_);
  rebuildSetupText();
}

ControlState ControlState::initial(Epoch epoch) {
  ControlState state;
  state.sectionsJson_ = std::make_shared<const Json>(
      Json{{"setup",
            {{"rungs", Json::array({{{"name", "whole"}, {"rate", 8.0}}})},
             {"classes", Json::object()},
             {"templates", Json::object()},
             {"tenants", Json::object()}}},
           {"keys", {{"live", Json::object()}, {"withdrawn", Json::object()}}},
           {"weights", {{"version", 1}, {"label", "first"}, {"models", Json::object()}}}});
  state.version_ = {epoch, {1}};
  state.sections_ = {state.version_, state.version_, state.version_};
  state.serializeSections();
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
    *state.rememberedChanges_ =
        RememberedChanges::parse(body.at("changes"), body.value("forgotten", Json()));
    for (const auto& earlier : body.value("earlier", Json::array()))
      if (auto version = parseVersion(earlier.at("version")))
        state.earlierSetups_.push_back({*version, state.serializeSection(earlier.at("setup"))});
    Json& setup = body.at("setup");
    if (auto fleet = setup.find("fleet"); fleet != setup.end()) {
      state.fleetConfigVersion_ = {fleet->at("version").get<std::uint64_t>()};
      state.fleetConfig_ = std::make_shared<const Json>(std::move(*fleet));
      setup.erase(fleet);
    }
    state.sharedCache_ = SharedCacheHistory::parse(setup.value("cacheGeneration", std::uint64_t{0}),
                                                   body.value("formerSharers", Json::array()));
    setup.erase("cacheGeneration");
    state.sectionsJson_ =
        std::make_shared<const Json>(Json{{"setup", std::move(setup)},
                                          {"keys", std::move(body.at("keys"))},
                                          {"weights", std::move(body.at("weights"))}});
    state.serializeSections();
  } catch (const Json::exception& error) {
    return absl::DataLossError(error.what());
  }
  return state;
}

std::string ControlState::serialize() const {
  std::string text = "{\"body\":{\"changes\":" + rememberedChanges_->recordsText() +
                     ",\"forgotten\":" + rememberedChanges_->evictionMarksText() + ",\"earlier\":[";
  for (const auto& earlier : earlierSetups_) {
    if (text.back() != '[') text += ',';
    text +=
        "{\"setup\":" + *earlier.text + ",\"version\":\"" + versionText(earlier.version) + "\"}";
  }
  text.reserve(text.size() + serializedSize() + 512);
  text += "],\"formerSharers\":" + sharedCache_.formerSharersText();
  text += ",\"keys\":";
  text += *keysText_;
  text += ",\"setup\":";
  text += *setupText_;
  text += ",\"weights\":";
  text += *weightsText_;
  return text + "},\"sections\":" + toJson(sections_).dump() +
         ",\"version\":" + toJson(version_).dump() + "}";
}

std::size_t ControlState::serializedSize() const {
  std::size_t size = setupText_->size() + keysText_->size() + weightsText_->size();
  for (const auto& earlier : earlierSetups_) size += earlier.text->size();
  return size;
}

const SectionVersion& ControlState::baseVersionFor(const std::string& kind) const {
  if (kind == "weights" || kind == "model-version") return sections_.weights;
  return kind.starts_with("key") ? sections_.keys : sections_.setup;
}

std::optional<ChangeReply> ControlState::checkBaseVersion(const std::string& kind,
                                                          const Json& change) const {
  bool namesBase = change.contains("basedOn");
  // Key changes are never rejected as stale, a model's version only increases, and the fleet's
  // configuration has its own versions. Every other kind must name the version it is based on.
  bool needsBase = !kind.starts_with("key") && !changesFleetConfig(kind) && kind != "model-version";
  if (needsBase && !namesBase) return invalidReply("[basedOn]", "is required for kind " + kind);
  if (!namesBase) return std::nullopt;
  auto base = parseVersion(change["basedOn"]);
  const SectionVersion& current = baseVersionFor(kind);
  if (base && *base == current) return std::nullopt;
  return rejectionReply(ChangeOutcome::kStale, "[basedOn]",
                        "the current version is " + versionText(current));
}

std::optional<ChangeReply> ControlState::applyToSections(const std::string& kind,
                                                         const Json& change) {
  Json draft = *sectionsJson_;
  if (kind == "revert")
    for (const auto& earlier : earlierSetups_)
      draft["earlier"].push_back(
          {{"version", versionText(earlier.version)}, {"setup", Json::parse(*earlier.text)}});
  if (auto error = applierFor(kind)(draft, change)) return error;
  draft.erase("earlier");
  if (draft["setup"] != sectionsJson_->at("setup")) {
    earlierSetups_.push_back({sections_.setup, setupWithoutFleetText_});
    if (earlierSetups_.size() > kMaxEarlierSetups) earlierSetups_.erase(earlierSetups_.begin());
    setupWithoutFleetText_ = serializeSection(draft["setup"]);
    rebuildSetupText();
  }
  if (draft["keys"] != sectionsJson_->at("keys")) keysText_ = serializeSection(draft["keys"]);
  if (draft["weights"] != sectionsJson_->at("weights"))
    weightsText_ = serializeSection(draft["weights"]);
  sectionsJson_ = std::make_shared<const Json>(std::move(draft));
  return std::nullopt;
}

std::optional<ChangeReply> ControlState::applyToFleetConfig(const std::string& kind, Json& change) {
  const char* part = kind == "replace" ? "config" : "amendment";
  for (const char* required : {"basedOnVersion", part})
    if (!change.contains(required))
      return invalidReply(std::string("[") + required + "]", "is required");
  Json& newConfig = change[part];
  // Replacing the configuration by an identical one changes nothing.
  if (kind == "replace" && fleetConfig_ && newConfig == *fleetConfig_) return std::nullopt;
  if (change["basedOnVersion"].get<std::uint64_t>() != fleetConfigVersion_.value) {
    ChangeReply stale =
        rejectionReply(ChangeOutcome::kStale, "[basedOnVersion]",
                       "the current version is " + std::to_string(fleetConfigVersion_.value));
    stale.currentConfigVersion = fleetConfigVersion_.value;
    return stale;
  }
  if (kind == "amend") {
    if (auto error = checkFleetAmendment(newConfig))
      return invalidReply(error->field, error->detail);
    newConfig = amendFleetConfig(fleetConfig_ ? *fleetConfig_ : Json::object(), newConfig);
  }
  if (auto error = checkFleetConfig(newConfig)) return invalidReply(error->field, error->detail);
  ConfigVersion version{newConfig["version"].get<std::uint64_t>()};
  if (version <= fleetConfigVersion_)
    return invalidReply("[version]", "must be above " + std::to_string(fleetConfigVersion_.value));
  sharedCache_.advance(fleetConfig_ ? *fleetConfig_ : Json::object(), newConfig);
  fleetConfig_ = std::make_shared<const Json>(std::move(newConfig));
  fleetConfigVersion_ = version;
  fleetConfigText_ = serializeSection(*fleetConfig_);
  rebuildSetupText();
  return std::nullopt;
}

std::string ControlState::describeDryRunTo(const ControlState& next) const {
  if (next.fleetConfig_ == fleetConfig_) return describeDryRun(*sectionsJson_, *next.sectionsJson_);
  // The configuration contains keys, so only versions and list lengths are reported.
  Json summary{{"version", {fleetConfigVersion_.value, next.fleetConfigVersion_.value}}};
  for (const char* list : {"routes", "services", "tenants"})
    summary[list] = {listLength(fleetConfig_, list), listLength(next.fleetConfig_, list)};
  return Json{{"fleet", summary}}.dump();
}

ChangeReply ControlState::apply(const std::string& change, const std::string& changeId, Epoch epoch,
                                const Options& options) {
  if (const SectionVersion* version = rememberedChanges_->find(changeId))
    return doneReply(*version);  // a repeated change is not applied again
  if (change.size() > static_cast<std::size_t>(options.largestSetup))
    return rejectionReply(ChangeOutcome::kTooLarge, "<root>", "the change exceeds the size limit");
  Json document = parseDocument(change);
  if (document.is_discarded()) return invalidReply("<root>", "is not JSON or is nested too deeply");
  if (auto error = checkSchema(SchemaName::kChange, document))
    return invalidReply(error->field, error->detail);
  std::string kind = document["kind"];
  if (auto error = checkBaseVersion(kind, document))
    return rejectionOrLost(kind, document, std::move(*error));
  const std::optional<ConfigVersion> carriedVersion = carriedConfigVersion(kind, document);
  ControlState next = *this;
  auto error = changesFleetConfig(kind) ? next.applyToFleetConfig(kind, document)
                                        : next.applyToSections(kind, document);
  serializedBytes_ = next.serializedBytes_;
  if (error) return rejectionOrLost(kind, document, std::move(*error));
  if (document.value("dryRun", false))
    return rejectionReply(ChangeOutcome::kDryRun, {}, describeDryRunTo(next));
  const bool needsNoRecord = isAlwaysAccepted(kind) && !document.contains("basedOn");
  if (needsNoRecord && next.sameSections(*this)) return doneReply(newestSectionVersion());
  return commit(std::move(next), {changeId, {}, carriedVersion.value_or(ConfigVersion{})}, epoch,
                options);
}

ChangeReply ControlState::rejectionOrLost(const std::string& kind, const Json& change,
                                          ChangeReply refusal) const {
  if (!mayHaveBeenEvicted(kind, change)) return refusal;
  return rejectionReply(
      ChangeOutcome::kLost, refusal.field,
      "it may have been applied earlier, beyond the remembered changes; " + refusal.detail);
}

bool ControlState::mayHaveBeenEvicted(const std::string& kind, const Json& change) const {
  const EvictionMarks& forgotten = rememberedChanges_->evictionMarks();
  if (forgotten.version == SectionVersion{}) return false;
  if (auto carriedVersion = carriedConfigVersion(kind, change)) {
    // A change based on the current configuration was never applied: versions only increase, so its
    // base would no longer be current.
    const bool onNewest =
        change.value("basedOnVersion", std::uint64_t{0}) == fleetConfigVersion_.value;
    return !onNewest && *carriedVersion <= forgotten.configVersion;
  }
  if (kind == "key-add") {  // only a key that is withdrawn by now may have been added before
    const Json& withdrawn = sectionsJson_->at("keys").at("withdrawn");
    return withdrawn.contains(change.value("digest", ""));
  }
  const auto base = parseVersion(change.value("basedOn", ""));
  return base && *base < forgotten.version && *base != baseVersionFor(kind);
}

ChangeReply ControlState::commit(ControlState next, RememberedChange change, Epoch epoch,
                                 const Options& options) {
  const std::size_t limit = 2 * static_cast<std::size_t>(options.largestSetup);
  while (!next.earlierSetups_.empty() && next.serializedSize() > limit)
    next.earlierSetups_.erase(next.earlierSetups_.begin());
  if (next.serializedSize() > limit)
    return rejectionReply(ChangeOutcome::kTooLarge, "<root>",
                          "the state would exceed the size limit");
  const SectionVersion newVersion{epoch, {version_.sequence.value + 1}};
  if (*next.setupText_ != *setupText_) next.sections_.setup = newVersion;
  if (*next.keysText_ != *keysText_) next.sections_.keys = newVersion;
  if (*next.weightsText_ != *weightsText_) next.sections_.weights = newVersion;
  next.version_ = newVersion;
  // A change that modified no section is recorded as well, because it is acknowledged; the
  // acknowledgement names the version that is already in force.
  change.version = next.sameSections(*this) ? newestSectionVersion() : newVersion;
  *this = std::move(next);
  if (rememberedChanges_.use_count() > 1)
    rememberedChanges_ = std::make_shared<RememberedChanges>(*rememberedChanges_);
  ChangeReply answer = doneReply(change.version);
  rememberedChanges_->add(std::move(change), static_cast<std::size_t>(options.rememberedChanges));
  return answer;
}

bool ControlState::sameSections(const ControlState& other) const {
  return *setupText_ == *other.setupText_ && *keysText_ == *other.keysText_ &&
         *weightsText_ == *other.weightsText_;
}

SectionVersion ControlState::newestSectionVersion() const {
  return std::max({sections_.setup, sections_.keys, sections_.weights});
}

bool ControlState::supersedeUnacknowledged(const SectionVersions& seen, Epoch epoch) {
  SectionVersion next{epoch, {version_.sequence.value + 1}};
  bool changed = false;
  for (auto [own, theirs] :
       {std::pair{&sections_.setup, &seen.setup}, std::pair{&sections_.keys, &seen.keys},
        std::pair{&sections_.weights, &seen.weights}})
    if (*theirs > *own && theirs->epoch < epoch) {
      *own = next;
      changed = true;
    }
  if (changed) version_ = next;
  return changed;
}

}  // namespace peppergate
