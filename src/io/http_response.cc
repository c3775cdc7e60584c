#include "io/http_response.h"

#include <algorithm>

namespace peppergate {
namespace {

constexpr std::size_t kMaxHeadBytes = 64U << 10;
// How long an idle connection is kept without a Keep-Alive header, and how much sooner than that
// header's timeout it is closed, so that no request is sent on a connection that the peer closes.
constexpr Duration kDefaultIdleTimeout = seconds(4);
constexpr Duration kIdleTimeoutMargin = seconds(1);

}  // namespace

ResponseReader::Step ResponseReader::next(std::string_view& bytes, std::string& body) {
  switch (phase_) {
    case Phase::kHead:
      return nextHead(bytes);
    case Phase::kBody:
      return nextBody(bytes, body);
    case Phase::kComplete:
      return Step::kComplete;
    case Phase::kInvalid:
      break;
  }
  return Step::kInvalid;
}

ResponseReader::Step ResponseReader::nextHead(std::string_view& bytes) {
  auto fail = [this] {
    phase_ = Phase::kInvalid;
    return Step::kInvalid;
  };
  while (!bytes.empty()) {
    if (!partialHead_.empty()) partialHead_ += bytes;
    std::string_view text = partialHead_.empty() ? bytes : std::string_view(partialHead_);
    HeadScanner::Result scanned = scanner_.scan(text);
    std::size_t size =
        scanned == HeadScanner::Result::kComplete ? scanner_.headSize() : text.size();
    if (scanned == HeadScanner::Result::kInvalid || size > kMaxHeadBytes) return fail();
    if (scanned == HeadScanner::Result::kPartial) {
      if (partialHead_.empty()) partialHead_ = bytes;
      bytes = {};
      return Step::kNeedMore;
    }
    head_ = {};
    HeadFault fault = readResponseHead(text.substr(0, size), toHeadRequest_, head_);
    bytes.remove_prefix(bytes.size() - (text.size() - size));  // it ends in the latest bytes
    partialHead_.clear();
    scanner_ = {};
    if (fault != HeadFault::kNone || head_.status == 101) return fail();
    if (head_.status < 200) continue;
    phase_ = head_.framing == BodyFraming::kNone ? Phase::kComplete : Phase::kBody;
    remainingBytes_ = head_.contentLength.value_or(0);
    return Step::kHead;
  }
  return Step::kNeedMore;
}

ResponseReader::Step ResponseReader::nextBody(std::string_view& bytes, std::string& body) {
  body.clear();
  if (bytes.empty()) return Step::kNeedMore;
  if (head_.framing == BodyFraming::kChunked) {
    auto found = chunks_.read(bytes, body);
    if (found == ChunkReader::Result::kDone) phase_ = Phase::kComplete;
    if (found == ChunkReader::Result::kInvalid) phase_ = Phase::kInvalid;
    if (!body.empty()) return Step::kBody;
    if (found == ChunkReader::Result::kNeedMore) return Step::kNeedMore;
    return found == ChunkReader::Result::kDone ? Step::kComplete : Step::kInvalid;
  }
  std::size_t size = bytes.size();
  if (head_.framing == BodyFraming::kLength) {
    size = static_cast<std::size_t>(std::min<std::uint64_t>(remainingBytes_, size));
    remainingBytes_ -= size;
    if (remainingBytes_ == 0) phase_ = Phase::kComplete;
  }
  body = bytes.substr(0, size);
  bytes.remove_prefix(size);
  return Step::kBody;
}

Duration ResponseReader::idleTimeout() const {
  if (phase_ != Phase::kComplete || !head_.keepAlive) return {};
  if (!head_.keepAliveTimeout) return kDefaultIdleTimeout;
  return std::max(*head_.keepAliveTimeout - kIdleTimeoutMargin, *head_.keepAliveTimeout * 0.5);
}

std::string EventSplitter::takeEvents(std::string bytes, const Dialect& dialect,
                                      EventRange& eventRange) {
  if (buffered_.empty()) buffered_ = std::move(bytes);
  else buffered_ += bytes;
  std::string_view text = buffered_;
  std::size_t eventStart = 0, lineStart = lineStart_;
  for (auto end = text.find('\n', lineStart); end != text.npos; end = text.find('\n', lineStart)) {
    std::string_view line = text.substr(lineStart, end - lineStart);
    if (line.empty() || line == "\r") {
      if (lineStart > eventStart) {
        StreamEventInfo info = dialect.readEvent(text.substr(eventStart, lineStart - eventStart));
        if (info.eventId && !eventRange.firstEventId) eventRange.firstEventId = info.eventId;
        if (info.eventId) eventRange.lastEventId = info.eventId;
        if (info.newVersion) eventRange.newVersion = info.newVersion;
      }
      eventStart = end + 1;
    }
    lineStart = end + 1;
  }
  lineStart_ = lineStart - eventStart;
  if (eventStart == buffered_.size()) return std::exchange(buffered_, {});
  std::string events = buffered_.substr(0, eventStart);
  buffered_.erase(0, eventStart);
  return events;
}

}  // namespace peppergate
