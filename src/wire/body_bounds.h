#pragma once
// Walks an Avro body by a message's own fields before the library reads it. The library allocates
// what a body declares; here every declared size is compared with the bytes that are there.
#include <cstdint>
#include <span>
#include <string>
#include <type_traits>

#include "wire/json_fields.h"

namespace peppergate {

/// A position in a body. A read that fails leaves it anywhere; nothing is read after that.
class BodyCursor {
 public:
  explicit BodyCursor(std::span<const char> body) : rest_(body) {}
  bool atEnd() const { return rest_.empty(); }
  std::size_t left() const { return rest_.size(); }
  /// Passes over so many bytes; false if there are fewer.
  bool skip(std::uint64_t count) {
    if (count > rest_.size()) return false;
    rest_ = rest_.subspan(static_cast<std::size_t>(count));
    return true;
  }
  /// Reads Avro's variable-length number; false if it is cut or longer than 64 bits.
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
  bool good = true;
  template <class T>
  void operator()(const char*, const T&) {
    good = good && skipValue<T>(cursor);
  }
};

/// Passes over an array's blocks. Each element takes a byte at least, so a count above the bytes
/// that are left is false without a look at the elements.
template <class Element>
bool skipArray(BodyCursor& cursor) {
  while (true) {
    std::int64_t count = 0;
    if (!cursor.readNumber(count) || count < 0) return false;  // our writer knows no other blocks
    if (count == 0) return true;
    if (static_cast<std::uint64_t>(count) > cursor.left()) return false;
    for (; count > 0; --count)
      if (!skipValue<Element>(cursor)) return false;
  }
}

/// Passes over one value of a type, as `putValue` writes it; false if it goes beyond the body.
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
    return skipper.good;
  }
}

/// Whether a body is exactly one value of a type, with nothing behind it.
template <class T>
bool bodyFits(std::span<const char> body) {
  BodyCursor cursor(body);
  return skipValue<T>(cursor) && cursor.atEnd();
}

}  // namespace peppergate
