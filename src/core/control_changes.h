#pragma once
// How each kind of operator change edits the sections of the control state.
#include <optional>
#include <string>
#include <string_view>

#include "core/messages.h"
#include "wire/json_fields.h"

namespace peppergate {

/// Edits a draft of the sections. Returns the rejection if the change is invalid.
using Applier = std::optional<ChangeReply> (*)(Json& body, const Json& change);

/// Returns the applier for a kind of change; null for kinds that change the fleet's configuration.
Applier applierFor(std::string_view kind);
/// Builds a reply with an outcome other than kDone.
ChangeReply rejectionReply(ChangeOutcome outcome, std::string field, std::string detail);
/// Builds the reply to a change with an invalid field; `field` is its path, such as "[setup]".
ChangeReply invalidReply(std::string field, std::string detail);
/// Describes the effect of a dry run: JSON patches of the setup and weights sections. Keys are
/// secrets, so only their counts are reported.
std::string describeDryRun(const Json& before, const Json& after);

}  // namespace peppergate
