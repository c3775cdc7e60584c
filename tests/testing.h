#pragma once
// CppUTest redefines `new` unless it is told not to; every test includes it from here.
#define CPPUTEST_MEM_LEAK_DETECTION_DISABLED
#include <CppUTest/TestHarness.h>

#include <variant>
#include <vector>

#include "core/outbox.h"

namespace peppergate {

/// The commands of one kind that a machine gave. Example: `taken<Send>(outbox.take())`.
template <class T>
std::vector<T> taken(const std::vector<Command>& commands) {
  std::vector<T> found;
  for (const auto& command : commands)
    if (auto* one = std::get_if<T>(&command)) found.push_back(*one);
  return found;
}

/// All messages with their receivers, those of broadcasts one by one.
inline std::vector<Send> sends(const std::vector<Command>& commands) {
  std::vector<Send> found;
  for (const auto& command : commands) {
    if (auto* one = std::get_if<Send>(&command)) found.push_back(*one);
    if (auto* all = std::get_if<Broadcast>(&command))
      for (const auto& to : all->to) found.push_back({to, *all->message});
  }
  return found;
}

/// The messages of one kind among sends. Example: `messages<PrepareReply>(outbox.take())`.
template <class T>
std::vector<T> messages(const std::vector<Command>& commands) {
  std::vector<T> found;
  for (const auto& send : sends(commands))
    if (auto* one = std::get_if<T>(&send.message)) found.push_back(*one);
  return found;
}

inline constexpr MonotonicTime at(double second) { return MonotonicTime{} + seconds(second); }

}  // namespace peppergate
