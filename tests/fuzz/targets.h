#pragma once
// The parsers that read bytes from outside the process, each as a function of one input.
//
// A target takes any input. It aborts with `require` when a property is broken, and fails as well
// by a crash, an exception, a run over the time limit or an allocation out of proportion.
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace peppergate::fuzz {

/// One parser under test.
struct Target {
  std::string_view name;  // also its folder under tests/corpus
  /// Reads one input. The result sums up what became of it (a hash of outcomes, not of bytes): an
  /// input with a result not seen before is mutated further.
  std::uint64_t (*run)(std::string_view input);
  std::span<const std::string_view> dictionary;
};

/// All targets, in a fixed order.
std::span<const Target> allTargets();

/// Aborts the process, naming the broken property, unless `holds`.
void require(bool holds, std::string_view property);

/// Sums up outcomes; the order counts.
std::uint64_t outcomeOf(std::initializer_list<std::uint64_t> outcomes);
/// Sums up a message that names what was wrong; its digits don't count.
std::uint64_t outcomeOfText(std::string_view message);

// HTTP: targets_http.cc
std::uint64_t runRequestHead(std::string_view input);
std::uint64_t runAnswer(std::string_view input);
std::uint64_t runChunks(std::string_view input);
std::uint64_t runEvents(std::string_view input);
std::uint64_t runOlderEvents(std::string_view input);
// Documents and files: targets_documents.cc
std::uint64_t runOrders(std::string_view input);
std::uint64_t runChange(std::string_view input);
std::uint64_t runEngineAnswers(std::string_view input);
std::uint64_t runEngineList(std::string_view input);
std::uint64_t runSettings(std::string_view input);
std::uint64_t runStateFiles(std::string_view input);
// Frames: targets_frames.cc
std::uint64_t runFrame(std::string_view input);
std::uint64_t runFrameBody(std::string_view input);

}  // namespace peppergate::fuzz
