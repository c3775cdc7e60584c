#pragma once
// Heads and chunks of HTTP/1.x, read strictly. Debian's parser library is built without its strict
// checks, so lines are checked here before it sees them, and bodies are framed here.
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/types.h"

namespace peppergate {

/// Compares header names and tokens. Example: `sameToken("Close", "close")`.
bool sameToken(std::string_view one, std::string_view other);
/// Takes blanks off both ends. Example: `trimmed(" 5 ") == "5"`.
std::string_view trimmed(std::string_view text);
/// Whether a header concerns one connection or a body's framing only, never the other side.
/// Example: `isConnectionHeader("keep-alive")`.
bool isConnectionHeader(std::string_view name);
/// Digits only and small enough. Example: `*readLength("42") == 42`.
std::optional<std::uint64_t> readLength(std::string_view text);

/// Finds the end of a head while its bytes come. Every line ends in CRLF, none is folded, no blank
/// stands before a colon, no control character anywhere. Example:
/// `HeadScanner scanner; if (scanner.scan(bytes) == HeadScanner::Found::kWhole)
/// use(scanner.size());`
class HeadScanner {
 public:
  enum class Found : std::uint8_t { kPartial, kWhole, kBad };
  /// `bytes` are all of the head so far, from its first line on.
  Found scan(std::string_view bytes);
  std::size_t size() const { return next_; }

 private:
  std::size_t next_ = 0;  // the first line not looked at yet
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

/// One head as read; names and values as sent, values without the blanks round them.
struct HttpHead {
  std::string method, target;  // of a request
  int status = 0;              // of an answer
  std::string reason;
  bool http10 = false;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string host;
  BodyFraming framing = BodyFraming::kNone;
  std::optional<std::uint64_t> length;  // as told, also where no body follows
  bool keepAlive = true;                // by version and Connection
  bool closeTold = false;               // `Connection: close` was there
  bool expectContinue = false;
  std::optional<Duration> keepTime;  // `Keep-Alive: timeout=N`
};

/// Reads a whole request head that a scanner has passed. Example:
/// `if (readRequestHead(text, head) != HeadFault::kNone) refuse(400);`
HeadFault readRequestHead(std::string_view text, HttpHead& head);
/// Reads a whole answer head that a scanner has passed; of an answer to HEAD no body comes.
HeadFault readAnswerHead(std::string_view text, bool toHead, HttpHead& head);

/// The HTTP library's words for a status. Example: `reasonOf(503) == "Service Unavailable"`.
std::string_view reasonOf(int status);

/// Takes a chunked body apart. Example: `while (reader.read(bytes, plain) == Found::kMore) ...`
class ChunkReader {
 public:
  enum class Found : std::uint8_t { kMore, kDone, kBad };
  /// Takes from the front of `bytes` and adds the plain body to `plain`; after kDone what is left
  /// in `bytes` stands behind the body.
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
  /// A byte of an extension or a trailer; a carriage return leads to `end`.
  Found stepText(char byte, State end, std::size_t largest);
  State state_ = State::kSize;
  std::uint64_t left_ = 0;  // of the present chunk
  std::size_t seen_ = 0;    // digits of a size, or bytes of an extension or of all trailers
  std::size_t trailerLine_ = 0;
};

}  // namespace peppergate
