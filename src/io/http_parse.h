#pragma once
// Strict parser for HTTP/1.x heads and chunked bodies. Debian builds its http_parser library
// without the strict checks, so lines are checked here before they are passed to it. Body framing
// is decided here as well.
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/types.h"

namespace peppergate {

/// Compares header names or tokens without regard to ASCII case.
bool sameToken(std::string_view one, std::string_view other);
/// Removes spaces and tabs from both ends.
std::string_view trimmed(std::string_view text);
/// Whether a header concerns only one connection or a body's framing, so that it isn't forwarded.
bool isConnectionHeader(std::string_view name);
/// Parses a length of decimal digits; nothing if there is another character or too many digits.
std::optional<std::uint64_t> readLength(std::string_view text);

/// Finds the end of a head while its bytes arrive. Requires that every line ends in CRLF, and
/// rejects folded lines, blanks before a colon, and control characters.
class HeadScanner {
 public:
  enum class Found : std::uint8_t { kPartial, kWhole, kBad };
  /// Takes all bytes of the head received so far, from its first line on.
  Found scan(std::string_view bytes);
  std::size_t size() const { return next_; }

 private:
  std::size_t next_ = 0;  // start of the first line that was not checked yet
};

enum class BodyFraming : std::uint8_t { kNone, kLength, kChunked, kUntilClose };
enum class HeadFault : std::uint8_t {
  kNone,
  kMalformed,
  kVersion,
  kEncoding,
  kExpectation,
  kMethod
};

/// A parsed head. Names and values are as sent, but for blanks around values.
struct HttpHead {
  std::string method, target;  // of a request
  int status = 0;              // of a response
  std::string reason;
  bool http10 = false;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string host;
  BodyFraming framing = BodyFraming::kNone;
  std::optional<std::uint64_t> length;  // Content-Length, even if no body follows
  bool keepAlive = true;                // from the version and `Connection`
  bool closeTold = false;               // `Connection: close` was present
  bool expectContinue = false;
  std::optional<Duration> keepTime;  // `Keep-Alive: timeout=N`
};

/// Parses a complete request head that the scanner has accepted.
HeadFault readRequestHead(std::string_view text, HttpHead& head);
/// Parses a complete response head that the scanner has accepted. A response to HEAD has no body.
HeadFault readAnswerHead(std::string_view text, bool toHead, HttpHead& head);

/// The standard reason phrase of a status, as "Service Unavailable" for 503.
std::string_view reasonOf(int status);

/// Decodes a chunked body.
class ChunkReader {
 public:
  enum class Found : std::uint8_t { kMore, kDone, kBad };
  /// Consumes input from its front and appends the decoded bytes to the body. After kDone, the
  /// input that is left follows the body.
  Found read(std::string_view& bytes, std::string& plain);

 private:
  enum class State : std::uint8_t {
    kSize,
    kExtension,
    kSizeEnd,
    kData,
    kDataReturn,
    kDataEnd,
    kTrailer,
    kTrailerEnd,
    kDone,
    kBad
  };
  Found go(State next);
  Found step(char byte);
  Found stepSize(char byte);
  /// Consumes a byte of an extension or a trailer; a carriage return leads to the end state.
  Found stepText(char byte, State end, std::size_t largest);
  State state_ = State::kSize;
  std::uint64_t left_ = 0;  // of the current chunk
  std::size_t seen_ = 0;    // digits of a size, or bytes of an extension or of all trailers
  std::size_t trailerLine_ = 0;
};

}  // namespace peppergate
