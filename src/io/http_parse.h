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
bool equalsIgnoringCase(std::string_view one, std::string_view other);
/// Removes spaces and tabs from both ends.
std::string_view trimBlanks(std::string_view text);
/// Whether a header concerns only one connection or a body's framing, so that it isn't forwarded.
bool isConnectionHeader(std::string_view name);
/// Parses a length of decimal digits; nothing if there is another character or too many digits.
std::optional<std::uint64_t> readLength(std::string_view text);

/// Finds the end of a head while its bytes arrive. Requires that every line ends in CRLF, and
/// rejects folded lines, blanks before a colon, and control characters.
class HeadScanner {
 public:
  enum class Result : std::uint8_t { kPartial, kComplete, kInvalid };
  /// Takes all bytes of the head received so far, from its first line on.
  Result scan(std::string_view bytes);
  std::size_t headSize() const { return nextLine_; }

 private:
  std::size_t nextLine_ = 0;  // start of the first line that was not checked yet
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
  std::optional<std::uint64_t> contentLength;  // Content-Length, even if no body follows
  bool keepAlive = true;                       // from the version and `Connection`
  bool connectionClose = false;                // `Connection: close` was present
  bool expectContinue = false;
  std::optional<Duration> keepAliveTimeout;  // `Keep-Alive: timeout=N`
};

/// Parses a complete request head that the scanner has accepted.
HeadFault readRequestHead(std::string_view text, HttpHead& head);
/// Parses a complete response head that the scanner has accepted. A response to HEAD has no body.
HeadFault readResponseHead(std::string_view text, bool toHeadRequest, HttpHead& head);

/// The standard reason phrase of a status, as "Service Unavailable" for 503.
std::string_view reasonPhrase(int status);

/// Decodes a chunked body.
class ChunkReader {
 public:
  enum class Result : std::uint8_t { kNeedMore, kDone, kInvalid };
  /// Consumes input from its front and appends the decoded bytes to the body. After kDone, the
  /// input that is left follows the body.
  Result read(std::string_view& bytes, std::string& body);

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
    kInvalid
  };
  Result enter(State next);
  Result consume(char byte);
  Result consumeSize(char byte);
  /// Consumes a byte of an extension or a trailer; a carriage return leads to the end state.
  Result consumeText(char byte, State end, std::size_t maxBytes);
  State state_ = State::kSize;
  std::uint64_t remainingBytes_ = 0;  // of the current chunk
  std::size_t consumedCount_ = 0;  // digits of a size, or bytes of an extension or of all trailers
  std::size_t trailerLineLength_ = 0;
};

}  // namespace peppergate
