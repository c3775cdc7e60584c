#pragma once
// Frames between own processes: a fixed head, then one Avro-coded message.
#include <absl/status/statusor.h>

#include <span>
#include <string>
#include <string_view>

#include "core/messages.h"

namespace peppergate {

inline constexpr std::uint32_t kFrameMagic = 0x50475431;  // "PGT1"
inline constexpr std::uint16_t kWireVersion = 5;
inline constexpr std::size_t kFrameHeadSize = 4 + 2 + 2 + 8 + 4 + 4;
inline constexpr std::size_t kLargestFrame = 24U << 20;

inline constexpr std::size_t kMessageKinds = std::variant_size_v<Message>;
/// The name of a kind of message, for logs and measurements: `messageKindName(0) == "Shuffle"`.
std::string_view messageKindName(std::size_t kind);

enum class FrameFault : std::uint8_t {
  kNone,
  kBadMagic,
  kOtherWireVersion,
  kOtherFleet,
  kUnknownKind,
  kTooLarge,
  kBadBody,
  kBadSum,
};

struct FrameHead {
  FrameFault fault = FrameFault::kNone;
  std::uint16_t kind = 0;
  std::uint32_t length = 0;
  std::uint32_t sum = 0;  // of the body; only what passes it is given to the Avro reader
};

/// The fleet's mark in each frame. Example: `fleetMark("hutline") != fleetMark("fjordsyn")`.
std::uint64_t fleetMark(std::string_view fleet);
/// Codes a message with its head. Example: `encodeFrame(mark, Message{StateRequest{}})`.
std::string encodeFrame(std::uint64_t mark, const Message& message);
/// Reads the head; a wrong one says why. Example: `readFrameHead(mark, bytes).fault`.
FrameHead readFrameHead(std::uint64_t mark, std::span<const char> bytes);
/// Whether a body is the one that was sent. Example: `bodyIsWhole(head, body)`.
bool bodyIsWhole(const FrameHead& head, std::span<const char> body);
/// Decodes a body of the given kind. Example: `decodeBody(head.kind, body)`.
absl::StatusOr<Message> decodeBody(std::uint16_t kind, std::span<const char> body);
/// The Avro schema of a kind, for docs and tests. Example: `schemaText(1)`.
std::string schemaText(std::uint16_t kind);
/// Names a fault. Example: `faultName(FrameFault::kOtherFleet) == "other fleet"`.
std::string_view faultName(FrameFault fault);

}  // namespace peppergate
