#pragma once
// The fleet's control state: setup, keys, weights; changed only through checked changes.
#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/fleet_config.h"
#include "core/messages.h"
#include "core/props.h"
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

/// The whole state with the versions of its sections.
/// Example: `state.apply(change, "id-1", Epoch{3}, props)` gives the outcome.
class ControlState {
 public:
  /// The state of a fleet just founded. Example: `ControlState::founded(Epoch{1})`.
  static ControlState founded(Epoch epoch);
  /// Reads what `text` wrote. Example: `ControlState::parse(state.text())`.
  static absl::StatusOr<ControlState> parse(const std::string& text);

  /// Checks and applies one operator's change. The answer names the field that was wrong.
  /// Example: `apply(R"({"kind":"weights","label":"spring"})", "c1", epoch, props)`.
  ChangeAnswer apply(const std::string& change, const std::string& changeId, Epoch epoch,
                     const Props& props);
  /// Stamps a section anew, for fronts that saw a newer, never acknowledged one.
  /// Example: `state.stampOver(news.have, epoch);`
  bool stampOver(const SectionVersions& seen, Epoch epoch);

  /// The version of the last change. Example: `versionText(state.version())`.
  SetupVersion version() const { return version_; }
  /// The versions of the sections. Example: `state.sections().keys`.
  SectionVersions sections() const { return sections_; }
  /// The sections' texts. Example: `state.setupText()`.
  std::string setupText() const { return body_["setup"].dump(); }
  std::string keysText() const { return body_["keys"].dump(); }
  std::string weightsText() const { return body_["weights"].dump(); }
  /// Everything, for files and copies. Example: `ControlState::parse(state.text())`.
  std::string text() const;

 private:
  Json body_;
  SetupVersion version_;
  SectionVersions sections_;
};

}  // namespace peppergate
