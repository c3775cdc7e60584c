// Fuzz targets for frames between members: headers, checksums and Avro bodies.
#include "tests/fuzz/targets.h"
#include "wire/frame.h"

namespace peppergate::fuzz {
namespace {

constexpr std::uint64_t kFleetMark = 5;

std::string_view bodyOf(const std::string& frame) {
  return std::string_view(frame).substr(kFrameHeadBytes);
}

/// A body that decodes must encode and decode again to the same message.
std::uint64_t requireRoundTrip(std::uint16_t kind, std::span<const char> body) {
  auto message = decodeBody(kind, body);
  if (!message.ok()) return hashOutcomes({1, kind});
  require(message->index() == kind, "a body is decoded as its kind");
  std::string frame = encodeFrame(kFleetMark, *message);
  FrameHead head = readFrameHead(kFleetMark, frame);
  require(head.fault == FrameFault::kNone && head.kind == kind, "an encoded header can be read");
  require(bodyMatchesHead(head, bodyOf(frame)), "an encoded body passes its checksum");
  auto decodedAgain = decodeBody(kind, bodyOf(frame));
  require(decodedAgain.ok(), "an encoded body can be decoded");
  require(encodeFrame(kFleetMark, *decodedAgain) == frame,
          "a message is the same after a round trip");
  return hashOutcomes({2, kind});
}

}  // namespace

namespace {

/// Returns the input with the current wire version in its header, so that corpus files of an
/// earlier version still pass the version check.
std::string withCurrentVersion(std::string_view input) {
  constexpr std::size_t kVersionOffset = 4;
  std::string frame(input);
  frame[kVersionOffset] = static_cast<char>(kWireVersion >> 8);
  frame[kVersionOffset + 1] = static_cast<char>(kWireVersion & 0xff);
  return frame;
}

std::uint64_t readFrame(std::string_view input) {
  FrameHead head = readFrameHead(kFleetMark, input);
  auto fault = static_cast<std::uint64_t>(head.fault);
  if (head.fault != FrameFault::kNone) return hashOutcomes({2, fault});
  std::string_view body = input.substr(kFrameHeadBytes);
  if (body.size() < head.length) return hashOutcomes({3});
  body = body.substr(0, head.length);
  if (!bodyMatchesHead(head, body)) return hashOutcomes({4});
  return requireRoundTrip(head.kind, body);
}

}  // namespace

std::uint64_t runFrame(std::string_view input) {
  if (input.size() < kFrameHeadBytes) return hashOutcomes({1});
  return hashOutcomes({readFrame(input), readFrame(withCurrentVersion(input))});
}

std::uint64_t runFrameBody(std::string_view input) {
  if (input.empty()) return hashOutcomes({0});
  auto kind = static_cast<std::uint16_t>(static_cast<unsigned char>(input[0]));
  return requireRoundTrip(kind, input.substr(1));
}

}  // namespace peppergate::fuzz
