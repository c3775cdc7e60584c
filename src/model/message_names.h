#pragma once
/// Names of the messages between machines, as schedules' traces show them.
#include <string>

#include "core/messages.h"

namespace peppergate::model {

/// A message's name with the numbers that tell it from others of its kind.
std::string messageText(const Message& message);

}  // namespace peppergate::model
