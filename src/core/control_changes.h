#pragma once
// What each kind of an operator's change does to the sections of the control state.
#include <optional>
#include <string>
#include <string_view>

#include "core/messages.h"
#include "wire/json_fields.h"

namespace peppergate {

/// Changes a draft of the sections; what it returns is a fault, if any.
using Applier = std::optional<ChangeReply> (*)(Json& body, const Json& change);

/// The applier of a kind; none for those that change the fleet's configuration.
/// Example: `applierOf("key-add")(draft, change)`.
Applier applierOf(std::string_view kind);
/// An answer that is no yes. Example: `faultAnswer(ChangeOutcome::kTooLarge, "<root>", "...")`.
ChangeReply faultAnswer(ChangeOutcome outcome, std::string field, std::string detail);
/// The answer to a change with a wrong field. Example: `invalid("[setup]", "is needed")`.
ChangeReply invalid(std::string field, std::string detail);
/// What a change would do, as patches of each section; keys are told by number only.
/// Example: `whatWouldChange(before, draft)`.
std::string whatWouldChange(const Json& before, const Json& after);

}  // namespace peppergate
