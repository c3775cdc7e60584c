#pragma once
/// Names of the messages between machines, for the traces of schedules.
#include <string>

#include "core/messages.h"

namespace peppergate::model {

/// A message's name, with the numbers that distinguish it from others of its type.
std::string messageText(const Message& message);

}  // namespace peppergate::model
