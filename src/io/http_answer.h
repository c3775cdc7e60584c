#pragma once
// An engine's answer taken from its bytes, and the events of a stream.
#include <string>
#include <string_view>

#include "io/dialect.h"
#include "io/http_parse.h"

namespace peppergate {

/// Reads one answer; the heads before the final one (1xx) are left out.
/// Example: `while (reader.next(bytes, body) != AnswerReader::Step::kMore) ...`
class AnswerReader {
 public:
  enum class Step : std::uint8_t {
    kMore,   // nothing but what was told before: more bytes have to come
    kHead,   // `head()` is there
    kBody,   // `body` holds what came of the body
    kWhole,  // the answer is whole by its framing; what is left in `bytes` stands behind it
    kBad,    // garbled
  };
  explicit AnswerReader(bool toHead = false) : toHead_(toHead) {}
  /// Takes from the front of `bytes` up to the next step.
  Step next(std::string_view& bytes, std::string& body);
  HttpHead& head() { return head_; }
  /// How long the connection may be kept after this answer; 0: not at all.
  Duration keepTime() const;

 private:
  enum class Phase : std::uint8_t { kHead, kBody, kWhole, kBad };
  Step nextHead(std::string_view& bytes);
  Step nextBody(std::string_view& bytes, std::string& body);

  bool toHead_;
  Phase phase_ = Phase::kHead;
  HeadScanner scanner_;
  std::string rest_;  // of a head that is not whole
  HttpHead head_;
  ChunkReader chunks_;
  std::uint64_t left_ = 0;
};

/// Cuts a stream into whole events, each ended by an empty line.
/// Example: `std::string whole = splitter.take(bytes, dialect, marks);`
class EventSplitter {
 public:
  struct Marks {
    std::optional<std::uint64_t> firstEvent, lastEvent;
    std::optional<WeightsVersion> newVersion;
  };
  /// The whole events so far, as they came; their marks are added up.
  std::string take(std::string bytes, const Dialect& dialect, Marks& marks);
  /// What came behind the last whole event.
  std::string takeRest() { return std::exchange(rest_, {}); }
  std::size_t waiting() const { return rest_.size(); }

 private:
  std::string rest_;
  std::size_t lineStart_ = 0;  // of the first line in `rest_` whose end has not come
};

}  // namespace peppergate
