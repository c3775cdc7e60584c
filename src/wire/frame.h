#pragma once
// Frames exchanged by members of a fleet: a fixed-size head, then one Avro-encoded message.
#include <absl/status/statusor.h>

#include <span>
#include <string>
#include <string_view>

#include "core/messages.h"

namespace peppergate {

inline constexpr std::uint32_t kFrameMagic = 0x50475431;  // "PGT1"
inline constexpr std::uint16_t kWireVersion = 5;
inline constexpr std::size_t kFrameHeadBytes = 4 + 2 + 2 + 8 + 4 + 4;
inline constexpr std::size_t kMaxFrameBytes = 24U << 20;

inline constexpr std::size_t kMessageKinds = std::variant_size_v<Message>;
/// The name of a message kind, for logs and metrics: `messageKindName(0) == "Shuffle"`.
std::string_view messageKindName(std::size_t kind);

enum class FrameFault : std::uint8_t {
  kNone,
  kBadMagic,
  kOtherWireVersion,
  kOtherFleet,
  kUnknownKind,
  kTooLarge,
  kBadBody,
  kBadChecksum,
};

struct FrameHead {
  FrameFault fault = FrameFault::kNone;
  std::uint16_t kind = 0;
  std::uint32_t length = 0;
  std::uint32_t checksum = 0;  // of the body; only a body that matches it is decoded
};

/// A hash of the fleet's name. Each frame carries it, so that frames of other fleets are rejected.
std::uint64_t fleetMark(std::string_view fleet);
/// Encodes a message as a frame.
std::string encodeFrame(std::uint64_t mark, const Message& message);
/// Decodes a frame's head; its `fault` says why an invalid one is rejected.
FrameHead readFrameHead(std::uint64_t mark, std::span<const char> bytes);
/// Whether a body has the length and the checksum that its head declares.
bool bodyMatchesHead(const FrameHead& head, std::span<const char> body);
/// Decodes a body of the given message kind.
absl::StatusOr<Message> decodeBody(std::uint16_t kind, std::span<const char> body);
/// The Avro schema of a message kind as JSON, for documentation and tests.
std::string avroSchemaText(std::uint16_t kind);
/// The text of a fault, for logs and counters. Example: "other fleet".
std::string_view frameFaultName(FrameFault fault);

}  // namespace peppergate
