#pragma once
// Incremental readers of an engine's response and of the events of a stream.
#include <string>
#include <string_view>

#include "io/dialect.h"
#include "io/http_parse.h"

namespace peppergate {

/// Reads one response; interim heads (1xx) are skipped.
class ResponseReader {
 public:
  enum class Step : std::uint8_t {
    kNeedMore,  // nothing new: more bytes are needed
    kHead,      // `head()` is available
    kBody,      // `body` holds received bytes of the body
    kComplete,  // complete by its framing; the bytes that are left follow the response
    kInvalid,   // malformed
  };
  explicit ResponseReader(bool toHeadRequest = false) : toHeadRequest_(toHeadRequest) {}
  /// Consumes input from its front up to the next step.
  Step next(std::string_view& bytes, std::string& body);
  HttpHead& head() { return head_; }
  /// How long the connection may stay idle for reuse after this response; 0 if it must be closed.
  Duration idleTimeout() const;

 private:
  enum class Phase : std::uint8_t { kHead, kBody, kComplete, kInvalid };
  Step nextHead(std::string_view& bytes);
  Step nextBody(std::string_view& bytes, std::string& body);

  bool toHeadRequest_;
  Phase phase_ = Phase::kHead;
  HeadScanner scanner_;
  std::string partialHead_;  // bytes of an incomplete head
  HttpHead head_;
  ChunkReader chunks_;
  std::uint64_t remainingBytes_ = 0;
};

/// Splits a stream into events, each ended by an empty line.
class EventSplitter {
 public:
  struct EventRange {
    std::optional<std::uint64_t> firstEventId, lastEventId;
    std::optional<WeightsVersion> newVersion;
  };
  /// Adds bytes and returns the events that are complete, unchanged. What they say is merged into
  /// the last argument.
  std::string takeEvents(std::string bytes, const Dialect& dialect, EventRange& eventRange);
  /// Removes and returns the bytes behind the last complete event.
  std::string takeRemainder() { return std::exchange(buffered_, {}); }
  std::size_t bufferedBytes() const { return buffered_.size(); }

 private:
  std::string buffered_;
  std::size_t lineStart_ = 0;  // of the first incomplete line in the buffer
};

}  // namespace peppergate
