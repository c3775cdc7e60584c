// Fuzz targets for frames between members: headers, checksums and Avro bodies.
#include "tests/fuzz/targets.h"
#include "wire/frame.h"

namespace peppergate::fuzz {
namespace {

constexpr std::uint64_t kMark = 5;

std::string_view bodyOf(const std::string& frame) {
  return std::string_view(frame).substr(kFrameHeadSize);
}

/// A body that decodes must encode and decode again to the same message.
std::uint64_t decode(std::uint16_t kind, std::span<const char> body) {
  auto message = decodeBody(kind, body);
  if (!message.ok()) return outcomeOf({1, kind});
  require(message->index() == kind, "a body is decoded as its kind");
  std::string frame = encodeFrame(kMark, *message);
  FrameHead head = readFrameHead(kMark, frame);
  require(head.fault == FrameFault::kNone && head.kind == kind, "an encoded header can be read");
  require(bodyIsWhole(head, bodyOf(frame)), "an encoded body passes its checksum");
  auto back = decodeBody(kind, bodyOf(frame));
  require(back.ok(), "an encoded body can be decoded");
  require(encodeFrame(kMark, *back) == frame, "a message is the same after a round trip");
  return outcomeOf({2, kind});
}

}  // namespace

namespace {

/// Returns the input with the current wire version in its header, so that corpus files of an
/// earlier version still pass the version check.
std::string withPresentVersion(std::string_view input) {
  constexpr std::size_t kVersionPlace = 4;
  std::string frame(input);
  frame[kVersionPlace] = static_cast<char>(kWireVersion >> 8);
  frame[kVersionPlace + 1] = static_cast<char>(kWireVersion & 0xff);
  return frame;
}

std::uint64_t readFrame(std::string_view input) {
  FrameHead head = readFrameHead(kMark, input);
  auto fault = static_cast<std::uint64_t>(head.fault);
  if (head.fault != FrameFault::kNone) return outcomeOf({2, fault});
  std::string_view body = input.substr(kFrameHeadSize);
  if (body.size() < head.length) return outcomeOf({3});
  body = body.substr(0, head.length);
  if (!bodyIsWhole(head, body)) return outcomeOf({4});
  return decode(head.kind, body);
}

}  // namespace

std::uint64_t runFrame(std::string_view input) {
  if (input.size() < kFrameHeadSize) return outcomeOf({1});
  return outcomeOf({readFrame(input), readFrame(withPresentVersion(input))});
}

std::uint64_t runFrameBody(std::string_view input) {
  if (input.empty()) return outcomeOf({0});
  auto kind = static_cast<std::uint16_t>(static_cast<unsigned char>(input[0]));
  return decode(kind, input.substr(1));
}

}  // namespace peppergate::fuzz
