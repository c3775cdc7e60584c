#pragma once
// CppUTest redefines `new` unless this macro is defined; every test includes CppUTest through here.
#define CPPUTEST_MEM_LEAK_DETECTION_DISABLED
#include <CppUTest/TestHarness.h>

#include <variant>
#include <vector>

#include "core/outbox.h"

namespace peppergate {

/// The commands of one type, in order.
template <class T>
std::vector<T> commandsOf(const std::vector<Command>& commands) {
  std::vector<T> found;
  for (const auto& command : commands)
    if (auto* one = std::get_if<T>(&command)) found.push_back(*one);
  return found;
}

/// All sent messages with their receivers; a broadcast yields one entry per receiver.
inline std::vector<Send> sentMessages(const std::vector<Command>& commands) {
  std::vector<Send> found;
  for (const auto& command : commands) {
    if (auto* one = std::get_if<Send>(&command)) found.push_back(*one);
    if (auto* all = std::get_if<Broadcast>(&command))
      for (const auto& to : all->to) found.push_back({to, *all->message});
  }
  return found;
}

/// The sent messages of one type, including those of broadcasts.
template <class T>
std::vector<T> messagesOf(const std::vector<Command>& commands) {
  std::vector<T> found;
  for (const auto& send : sentMessages(commands))
    if (auto* one = std::get_if<T>(&send.message)) found.push_back(*one);
  return found;
}

inline constexpr MonotonicTime at(double second) { return MonotonicTime{} + seconds(second); }

}  // namespace peppergate
