#pragma once
// Validates an Avro body against the fields of its message type before the Avro library decodes it.
// The library allocates whatever size a body declares, so every declared size is checked here
// against the bytes that remain.
#include <cstdint>
#include <span>
#include <string>
#include <type_traits>

#include "wire/json_fields.h"

namespace peppergate {

/// Reads a body from front to back. After a failed read its position is unspecified.
class BodyCursor {
 public:
  explicit BodyCursor(std::span<const char> body) : rest_(body) {}
  bool atEnd() const { return rest_.empty(); }
  std::size_t remaining() const { return rest_.size(); }
  /// Skips `count` bytes; false if fewer remain.
  bool skip(std::uint64_t count) {
    if (count > rest_.size()) return false;
    rest_ = rest_.subspan(static_cast<std::size_t>(count));
    return true;
  }
  /// Reads an Avro variable-length integer; false if it is truncated or longer than 64 bits.
  bool readNumber(std::int64_t& number) {
    std::uint64_t bits = 0;
    for (int shift = 0; shift < 64 && !rest_.empty(); shift += 7) {
      auto byte = static_cast<unsigned char>(rest_.front());
      rest_ = rest_.subspan(1);
      if (shift == 63 && byte > 1) return false;
      bits |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if ((byte & 0x80) != 0) continue;
      number = static_cast<std::int64_t>(bits >> 1) ^ -static_cast<std::int64_t>(bits & 1);
      return true;
    }
    return false;
  }

 private:
  std::span<const char> rest_;
};

template <class T>
bool skipValue(BodyCursor& cursor);

struct FieldSkipper {
  BodyCursor& cursor;
  bool valid = true;
  template <class T>
  void operator()(const char*, const T&) {
    valid = valid && skipValue<T>(cursor);
  }
};

/// Skips an array, which is coded in blocks. Each element takes at least one byte, so a count that
/// exceeds the remaining bytes is rejected without reading the elements.
template <class Element>
bool skipArray(BodyCursor& cursor) {
  while (true) {
    std::int64_t count = 0;
    if (!cursor.readNumber(count) || count < 0) return false;  // our writer emits no sized blocks
    if (count == 0) return true;
    if (static_cast<std::uint64_t>(count) > cursor.remaining()) return false;
    for (; count > 0; --count)
      if (!skipValue<Element>(cursor)) return false;
  }
}

/// Skips one value in the coding of `writeValue`; false if it extends beyond the body.
template <class T>
bool skipValue(BodyCursor& cursor) {
  if constexpr (kIsTagged<T>) {
    return skipValue<decltype(T::value)>(cursor);
  } else if constexpr (std::is_same_v<T, std::string>) {
    std::int64_t size = 0;
    return cursor.readNumber(size) && size >= 0 && cursor.skip(static_cast<std::uint64_t>(size));
  } else if constexpr (std::is_same_v<T, bool>) {
    return cursor.skip(1);
  } else if constexpr (std::is_floating_point_v<T>) {
    return cursor.skip(sizeof(double));
  } else if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T> ||
                       std::is_same_v<T, Duration> || std::is_same_v<T, MonotonicTime>) {
    std::int64_t number = 0;
    return cursor.readNumber(number);
  } else if constexpr (kIsVector<T>) {
    return skipArray<typename T::value_type>(cursor);
  } else {
    FieldSkipper skipper{cursor};
    const T fields{};
    T::visit(fields, skipper);
    return skipper.valid;
  }
}

/// Whether a body holds exactly one value of a type and no further bytes.
template <class T>
bool bodyFits(std::span<const char> body) {
  BodyCursor cursor(body);
  return skipValue<T>(cursor) && cursor.atEnd();
}

}  // namespace peppergate
