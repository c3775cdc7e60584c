#pragma once
// The fleet's replicated control state: setup, keys and weights. It is modified only by validated
// changes.
#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/fleet_config.h"
#include "core/messages.h"
#include "core/options.h"
#include "core/remembered_changes.h"
#include "core/shared_cache_history.h"
#include "wire/json_fields.h"

namespace peppergate {

/// One step of the ladder of rates at which prefix blocks may be fetched.
struct Rung {
  std::string name;
  double rate = 1;  // megabytes a second
};

/// A tenant class: its utility as a function of the fetch rate, and its lowest rung.
struct TenantClass {
  double a = -0.8, b = -0.5, c = 1;  // utility = a * rate^b + c
  std::int64_t floor = 0;            // index of the lowest permitted rung
};

struct Tenant {
  std::string templateName;
  std::string className;
  std::int64_t rank = 1;  // load shedding order: 0 is shed last
  CacheDomain cacheDomain;
  WeightsVersion minWeightsVersion;  // minimum version that may serve this tenant
  std::int64_t topRung = 3;
  std::int64_t maxStreamsPerRouter = 0;  // concurrent streams per router; 0: no limit per tenant
};

/// The parsed setup section.
struct Setup {
  std::vector<Rung> rungs;
  std::map<std::string, TenantClass> classes;
  std::map<TenantId, Tenant> tenants;
  double partBytesPerCharacter = 1000;
  FleetConfig fleetConfig;  // routes, services, tenants with keys; empty until one is set
};

/// The parsed keys section.
struct Keys {
  std::map<KeyDigest, TenantId> live;
  std::set<KeyDigest> withdrawn;
};

/// The parsed weights section.
struct Weights {
  WeightsVersion version;
  std::string label;
  std::map<ModelName, WeightsVersion> models;  // a model without an entry has version 1
};

/// Parses a setup section.
absl::StatusOr<Setup> readSetup(const std::string& text);
/// Parses a keys section.
absl::StatusOr<Keys> readKeys(const std::string& text);
/// Parses a weights section.
absl::StatusOr<Weights> readWeights(const std::string& text);

/// The text of a setup that a later change replaced, without the fleet's configuration.
struct EarlierSetup {
  SectionVersion version;
  std::shared_ptr<const std::string> text;
};

/// The whole state with the versions of its sections. Copies share their parts; a change rebuilds
/// and serializes only the parts that it modifies, each of them once.
class ControlState {
 public:
  /// An empty state, for replicas that have not received one.
  ControlState();
  /// The initial state of a newly bootstrapped fleet.
  static ControlState initial(Epoch epoch);
  /// Parses the serialized form; DataLoss if it is malformed.
  static absl::StatusOr<ControlState> parse(const std::string& text);

  /// Validates and applies one operator change (JSON). A change whose id was applied before is
  /// acknowledged again with the version that it had. A rejection names the invalid field.
  ChangeReply apply(const std::string& change, const std::string& changeId, Epoch epoch,
                    const Options& options);
  /// Gives a new version to each section of which `seen` has a higher version from an earlier
  /// epoch: that version was never acknowledged, and its holders must replace it. Returns whether
  /// any section got one.
  bool supersedeUnacknowledged(const SectionVersions& seen, Epoch epoch);

  /// The version of the last change.
  SectionVersion version() const { return version_; }
  SectionVersions sections() const { return sections_; }
  /// The serialized sections.
  const std::string& setupText() const { return *setupText_; }
  const std::string& keysText() const { return *keysText_; }
  const std::string& weightsText() const { return *weightsText_; }
  /// The version of the fleet's configuration; 0 if none is set.
  ConfigVersion configVersion() const { return fleetConfigVersion_; }
  /// The version that a change was acknowledged with; null if it was never applied or its record
  /// was evicted.
  const SectionVersion* acknowledgedVersion(const std::string& changeId) const {
    return rememberedChanges_->find(changeId);
  }
  /// Drops all deduplication records; only for ControlFault::kRememberedChangesDropped.
  void dropRememberedChanges() { rememberedChanges_ = std::make_shared<RememberedChanges>(); }
  /// The serialized state, for files and replicas.
  std::string serialize() const;
  /// How many bytes of JSON were serialized for this state and those it was derived from. Tests
  /// bound it, to keep the cost of a small change independent of the size of the state.
  std::size_t serializedBytes() const { return serializedBytes_; }

 private:
  using Text = std::shared_ptr<const std::string>;
  using OptionalRejection = std::optional<ChangeReply>;
  Text serializeSection(const Json& value);
  void rebuildSetupText();
  void serializeSections();
  OptionalRejection checkBaseVersion(const std::string& kind, const Json& change) const;
  OptionalRejection applyToSections(const std::string& kind, const Json& change);
  OptionalRejection applyToFleetConfig(const std::string& kind, Json& change);
  std::string describeDryRunTo(const ControlState& next) const;
  std::size_t serializedSize() const;
  ChangeReply commit(ControlState next, RememberedChange change, Epoch epoch,
                     const Options& options);
  /// Returns the refusal, or kLost if the change may have been applied and its record evicted
  /// since: then neither success nor failure may be reported.
  ChangeReply rejectionOrLost(const std::string& kind, const Json& change,
                              ChangeReply refusal) const;
  bool mayHaveBeenEvicted(const std::string& kind, const Json& change) const;
  /// The current version of the section that a change of this kind must be based on.
  const SectionVersion& baseVersionFor(const std::string& kind) const;
  bool sameSections(const ControlState& other) const;
  /// The highest of the sections' versions.
  SectionVersion newestSectionVersion() const;

  std::shared_ptr<const Json>
      sectionsJson_;  // keys, weights, and setup without the fleet's configuration
  std::shared_ptr<const Json>
      fleetConfig_;  // the configuration as the operator sent it; null if none
  ConfigVersion fleetConfigVersion_;
  SharedCacheHistory sharedCache_;  // follows from all configurations so far
  Text setupWithoutFleetText_, fleetConfigText_, setupText_, keysText_, weightsText_;
  std::vector<EarlierSetup> earlierSetups_;
  std::shared_ptr<RememberedChanges> rememberedChanges_;
  SectionVersion version_;
  SectionVersions sections_;
  std::size_t serializedBytes_ = 0;
};

}  // namespace peppergate
