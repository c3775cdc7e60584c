#pragma once
// The fleet's control state: setup, keys, weights; changed only through checked changes.
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
#include "wire/json_fields.h"

namespace peppergate {

/// One rung at which parts may be fetched. Example: `{"name":"half","rate":8}`.
struct Rung {
  std::string name;
  double rate = 1;  // megabytes a second
};

/// A tenant class: how worth grows with the rate, and its lowest rung.
struct TenantClass {
  double a = -0.8, b = -0.5, c = 1;  // worth = a * rate^b + c
  std::int64_t floor = 0;            // index of the lowest rung
};

struct Tenant {
  std::string templateName;
  std::string className;
  std::int64_t rank = 1;  // 0 is shed last
  Wall wall;
  WeightsVersion weights;  // the least version this tenant may run on
  std::int64_t topRung = 3;
  std::int64_t share = 0;  // most streams at once in one front; 0: no bound of its own
};

/// What a daemon reads out of the setup section.
struct Setup {
  std::vector<Rung> rungs;
  std::map<std::string, TenantClass> classes;
  std::map<TenantId, Tenant> tenants;
  double partBytesPerCharacter = 1000;
  FleetConfig fleet;  // routes, services, tenants with keys; empty until one was taken
};

/// What a daemon reads out of the keys section.
struct Keys {
  std::map<KeyDigest, TenantId> live;
  std::set<KeyDigest> withdrawn;
};

/// What a daemon reads out of the weights section.
struct Weights {
  WeightsVersion version;
  std::string label;
  std::map<ModelName, WeightsVersion> models;  // as named; a model not here has version 1
};

/// Reads a setup section; empty text gives an empty setup. Example: `readSetup(news.setup)`.
absl::StatusOr<Setup> readSetup(const std::string& text);
/// Reads a keys section. Example: `readKeys(news.keys)`.
absl::StatusOr<Keys> readKeys(const std::string& text);
/// Reads a weights section. Example: `readWeights(news.weights)`.
absl::StatusOr<Weights> readWeights(const std::string& text);

/// A setup that a change replaced, as its text, without the fleet's configuration.
struct EarlierSetup {
  SectionVersion version;
  std::shared_ptr<const std::string> text;
};

/// The whole state with the versions of its sections. A copy shares all parts with its original,
/// and a change makes anew, and writes out once, only what it changes.
/// Example: `state.apply(change, "id-1", Epoch{3}, options)` gives the outcome.
class ControlState {
 public:
  /// Example: an empty one, for copies that aren't there yet.
  ControlState();
  /// The state of a fleet just founded. Example: `ControlState::founded(Epoch{1})`.
  static ControlState founded(Epoch epoch);
  /// Reads what `text` wrote. Example: `ControlState::parse(state.text())`.
  static absl::StatusOr<ControlState> parse(const std::string& text);

  /// Checks and applies one operator's change. The answer names the field that was wrong.
  /// Example: `apply(R"({"kind":"weights","label":"spring"})", "c1", epoch, options)`.
  ChangeReply apply(const std::string& change, const std::string& changeId, Epoch epoch,
                    const Options& options);
  /// Stamps a section anew, for fronts that saw a newer, never acknowledged one.
  /// Example: `state.stampOver(news.have, epoch);`
  bool stampOver(const SectionVersions& seen, Epoch epoch);

  /// The version of the last change. Example: `versionText(state.version())`.
  SectionVersion version() const { return version_; }
  /// The versions of the sections. Example: `state.sections().keys`.
  SectionVersions sections() const { return sections_; }
  /// The sections' texts. Example: `state.setupText()`.
  const std::string& setupText() const { return *setupText_; }
  const std::string& keysText() const { return *keysText_; }
  const std::string& weightsText() const { return *weightsText_; }
  /// The version of the fleet's configuration; 0: none yet. Example: `configVersion().value`.
  ConfigVersion configVersion() const { return fleetVersion_; }
  /// The version that an order was taken under; null if it wasn't, or is forgotten.
  const SectionVersion* takenVersion(const std::string& changeId) const {
    return remembered_->find(changeId);
  }
  /// Forgets all orders that were taken; only for ControlFault::kRememberedOrdersDropped.
  void forgetTakenOrders() { remembered_ = std::make_shared<RememberedChanges>(); }
  /// Everything, for files and copies. Example: `ControlState::parse(state.text())`.
  std::string text() const;
  /// How much JSON was written out for this state and those it came from; tests bound it.
  /// Example: `state.bytesWritten() < 1000` after a change of one key.
  std::size_t bytesWritten() const { return bytesWritten_; }

 private:
  using Text = std::shared_ptr<const std::string>;
  using Fault = std::optional<ChangeReply>;
  Text write(const Json& value);
  void joinSetup();
  void writeSections();
  Fault checkBase(const std::string& kind, const Json& change) const;
  Fault changeSections(const std::string& kind, const Json& change);
  Fault changeFleet(const std::string& kind, Json& change);
  std::string wouldBecome(const ControlState& next) const;
  std::size_t size() const;
  ChangeReply adopt(ControlState next, RememberedChange change, Epoch epoch,
                    const Options& options);
  /// A refusal, or no clear answer if the order may have been taken and forgotten.
  ChangeReply judged(const std::string& kind, const Json& change, ChangeReply refusal) const;
  bool mayBeForgotten(const std::string& kind, const Json& change) const;
  /// The version that a change of this kind has to build on.
  const SectionVersion& baseOf(const std::string& kind) const;
  bool sameSections(const ControlState& other) const;
  /// The highest version of a section.
  SectionVersion inForce() const;

  std::shared_ptr<const Json> body_;   // setup without the fleet's configuration, keys, weights
  std::shared_ptr<const Json> fleet_;  // the configuration as it was sent; null: none yet
  ConfigVersion fleetVersion_;
  Text bareSetupText_, fleetText_, setupText_, keysText_, weightsText_;
  std::vector<EarlierSetup> earlier_;
  std::shared_ptr<RememberedChanges> remembered_;
  SectionVersion version_;
  SectionVersions sections_;
  std::size_t bytesWritten_ = 0;
};

}  // namespace peppergate
