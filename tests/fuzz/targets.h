#pragma once
// Fuzz targets: the parsers of bytes from outside the process, each as a function of one input.
//
// A target accepts any input. It aborts through `require` when a property is violated. A crash, an
// exception, a run over the time limit and an excessive allocation are failures as well.
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace peppergate::fuzz {

/// One parser under test.
struct Target {
  std::string_view name;  // also its folder under tests/corpus
  /// Parses one input. The result is a hash of the parser's outcomes, not of the input's bytes; an
  /// input with a result that wasn't seen before is added to the corpus and mutated further.
  std::uint64_t (*run)(std::string_view input);
  std::span<const std::string_view> dictionary;
};

/// All targets, in a fixed order.
std::span<const Target> allTargets();

/// Aborts the process with the name of the violated property unless `holds`.
void require(bool holds, std::string_view property);

/// Hashes outcomes; their order is significant.
std::uint64_t hashOutcomes(std::initializer_list<std::uint64_t> outcomes);
/// Hashes an error message, without its digits.
std::uint64_t hashMessage(std::string_view message);

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
