#include "io/http_answer.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr std::size_t kLargestHead = 64U << 10;
// How long an idle connection is kept without a Keep-Alive header, and how much sooner than that
// header's timeout it is closed, so that no request is sent on a connection that the peer closes.
constexpr Duration kKeptUntold = seconds(4);
constexpr Duration kSooner = seconds(1);

}  // namespace

AnswerReader::Step AnswerReader::next(std::string_view& bytes, std::string& body) {
  switch (phase_) {
    case Phase::kHead:
      return nextHead(bytes);
    case Phase::kBody:
      return nextBody(bytes, body);
    case Phase::kWhole:
      return Step::kWhole;
    case Phase::kBad:
      break;
  }
  return Step::kBad;
}

AnswerReader::Step AnswerReader::nextHead(std::string_view& bytes) {
  auto bad = [this] {
    phase_ = Phase::kBad;
    return Step::kBad;
  };
  while (!bytes.empty()) {
    if (!rest_.empty()) rest_ += bytes;
    std::string_view text = rest_.empty() ? bytes : std::string_view(rest_);
    HeadScanner::Found found = scanner_.scan(text);
    std::size_t size = found == HeadScanner::Found::kWhole ? scanner_.size() : text.size();
    if (found == HeadScanner::Found::kBad || size > kLargestHead) return bad();
    if (found == HeadScanner::Found::kPartial) {
      if (rest_.empty()) rest_ = bytes;
      bytes = {};
      return Step::kMore;
    }
    head_ = {};
    HeadFault fault = readAnswerHead(text.substr(0, size), toHead_, head_);
    bytes.remove_prefix(bytes.size() - (text.size() - size));  // it ends in the latest bytes
    rest_.clear();
    scanner_ = {};
    if (fault != HeadFault::kNone || head_.status == 101) return bad();
    if (head_.status < 200) continue;
    phase_ = head_.framing == BodyFraming::kNone ? Phase::kWhole : Phase::kBody;
    left_ = head_.length.value_or(0);
    return Step::kHead;
  }
  return Step::kMore;
}

AnswerReader::Step AnswerReader::nextBody(std::string_view& bytes, std::string& body) {
  body.clear();
  if (bytes.empty()) return Step::kMore;
  if (head_.framing == BodyFraming::kChunked) {
    auto found = chunks_.read(bytes, body);
    if (found == ChunkReader::Found::kDone) phase_ = Phase::kWhole;
    if (found == ChunkReader::Found::kBad) phase_ = Phase::kBad;
    if (!body.empty()) return Step::kBody;
    if (found == ChunkReader::Found::kMore) return Step::kMore;
    return found == ChunkReader::Found::kDone ? Step::kWhole : Step::kBad;
  }
  std::size_t size = bytes.size();
  if (head_.framing == BodyFraming::kLength) {
    size = static_cast<std::size_t>(std::min<std::uint64_t>(left_, size));
    left_ -= size;
    if (left_ == 0) phase_ = Phase::kWhole;
  }
  body = bytes.substr(0, size);
  bytes.remove_prefix(size);
  return Step::kBody;
}

Duration AnswerReader::keepTime() const {
  if (phase_ != Phase::kWhole || !head_.keepAlive) return {};
  if (!head_.keepTime) return kKeptUntold;
  return std::max(*head_.keepTime - kSooner, *head_.keepTime * 0.5);
}

std::string EventSplitter::take(std::string bytes, const Dialect& dialect, Marks& marks) {
  if (rest_.empty()) rest_ = std::move(bytes);
  else rest_ += bytes;
  std::string_view text = rest_;
  std::size_t eventStart = 0, lineStart = lineStart_;
  for (auto end = text.find('\n', lineStart); end != text.npos; end = text.find('\n', lineStart)) {
    std::string_view line = text.substr(lineStart, end - lineStart);
    if (line.empty() || line == "\r") {
      if (lineStart > eventStart) {
        StreamMark mark = dialect.readEvent(text.substr(eventStart, lineStart - eventStart));
        if (mark.id && !marks.firstEvent) marks.firstEvent = mark.id;
        if (mark.id) marks.lastEvent = mark.id;
        if (mark.newVersion) marks.newVersion = mark.newVersion;
      }
      eventStart = end + 1;
    }
    lineStart = end + 1;
  }
  lineStart_ = lineStart - eventStart;
  if (eventStart == rest_.size()) return std::exchange(rest_, {});
  std::string whole = rest_.substr(0, eventStart);
  rest_.erase(0, eventStart);
  return whole;
}

}  // namespace peppergate
