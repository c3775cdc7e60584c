// Fuzz targets for HTTP/1.x heads, bodies and event streams. Each input is read whole and in
// pieces, and both must give the same result.
#include <algorithm>

#include "io/http_parse.h"
#include "io/http_response.h"
#include "io/web_client.h"
#include "platform/dialect.h"
#include "platform/wire_names.h"
#include "tests/fuzz/targets.h"

namespace peppergate::fuzz {
namespace {

const platform::PlatformDialect& dialect() {
  static const platform::PlatformDialect kDialect(Address{"127.0.0.1:1"});
  return kDialect;
}

/// Inputs up to this size are also read byte by byte.
constexpr std::size_t kByteByByteMaxSize = 2048;

/// Returns the piece sizes, in bytes, that an input of this size is split into, one after another.
std::vector<std::size_t> pieceSizes(std::size_t inputSize) {
  if (inputSize <= kByteByByteMaxSize) return {1, 2, 7};
  return {inputSize / 2, inputSize / 3 + 1, 4096};
}

/// Passes each piece of the input to a callback, in order.
template <class Consumer>
void forEachPiece(std::string_view input, std::size_t pieceSize, Consumer consume) {
  while (!input.empty()) {
    consume(input.substr(0, pieceSize));
    input.remove_prefix(std::min(pieceSize, input.size()));
  }
}

// ---- request heads ----

struct HeadScanResult {
  HeadScanner::Result found = HeadScanner::Result::kPartial;
  std::size_t size = 0;
  bool operator==(const HeadScanResult&) const = default;
};

HeadScanResult scanInPieces(std::string_view input, std::size_t pieceSize) {
  HeadScanner scanner;
  HeadScanResult result;
  for (std::size_t end = 0; end < input.size() && result.found == HeadScanner::Result::kPartial;) {
    end = std::min(input.size(), end + pieceSize);
    result.found = scanner.scan(input.substr(0, end));
  }
  if (result.found == HeadScanner::Result::kComplete) result.size = scanner.headSize();
  return result;
}

/// Reads the body after a request head; returns false if it is incomplete.
bool readBody(const HttpHead& head, std::string_view bytes, std::string& body) {
  if (head.framing == BodyFraming::kNone) return true;
  if (head.framing == BodyFraming::kChunked) {
    ChunkReader reader;
    return reader.read(bytes, body) == ChunkReader::Result::kDone;
  }
  if (*head.contentLength > bytes.size()) return false;
  body = bytes.substr(0, *head.contentLength);
  return true;
}

std::size_t countOf(const HttpHead& head, std::string_view name) {
  return static_cast<std::size_t>(std::ranges::count_if(
      head.headers, [name](const auto& header) { return equalsIgnoringCase(header.first, name); }));
}

/// The bytes sent to an engine must be exactly one request, equal to the client's.
void requireOneRequest(const OpenAttempt& attempt) {
  const WireRequest& wire = *attempt.wire;
  std::string text = dialect().formatAttempt(attempt);
  HeadScanner scanner;
  require(scanner.scan(text) == HeadScanner::Result::kComplete, "the engine's head is well-formed");
  HttpHead head;
  HeadFault fault = readRequestHead(std::string_view(text).substr(0, scanner.headSize()), head);
  require(fault == HeadFault::kNone, "the engine's head can be read");
  require(head.method == wire.method, "the method is unchanged");
  require(head.target == wire.target, "the target is unchanged");
  require(head.framing != BodyFraming::kChunked, "the body is framed by its length");
  require(head.contentLength.value_or(0) == wire.body.size(), "the length is the body's");
  require(text.size() == scanner.headSize() + wire.body.size(), "nothing follows the body");
  require(text.ends_with(wire.body), "the body is unchanged");
  require(countOf(head, platform::kRequestId) == 1, "there is exactly one request id");
  require(countOf(head, platform::kAuthorization) == 0, "the client's key isn't forwarded");
  require(countOf(head, platform::kTenant) == 1, "there is exactly one tenant header");
}

}  // namespace

std::uint64_t runRequestHead(std::string_view input) {
  HeadScanResult whole = scanInPieces(input, std::max<std::size_t>(input.size(), 1));
  for (std::size_t size : pieceSizes(input.size()))
    require(scanInPieces(input, size) == whole, "a head in pieces is found as in one piece");
  if (whole.found != HeadScanner::Result::kComplete)
    return hashOutcomes({1, static_cast<std::uint64_t>(whole.found)});
  HttpHead head;
  HeadFault fault = readRequestHead(input.substr(0, whole.size), head);
  if (fault != HeadFault::kNone) return hashOutcomes({2, static_cast<std::uint64_t>(fault)});
  auto wire = std::make_shared<WireRequest>();
  wire->method = head.method;
  wire->target = head.target;
  wire->headers = head.headers;
  if (!readBody(head, input.substr(whole.size), wire->body)) return hashOutcomes({3});
  RequestArrived arrived;
  int status = dialect().readRequest(wire, arrived);
  auto framing = static_cast<std::uint64_t>(head.framing);
  if (status != 0) return hashOutcomes({4, framing, static_cast<std::uint64_t>(status)});
  // A request without a host matches no route, so it is sent to no engine.
  if (arrived.host.empty()) return hashOutcomes({6, framing});
  OpenAttempt attempt;
  attempt.wire = wire;
  attempt.clientId = arrived.clientId;
  attempt.engine = {"e1"};
  attempt.tenant = {"red"};
  attempt.timeLeft = seconds(1);
  requireOneRequest(attempt);
  return hashOutcomes({5, framing, head.http10, head.keepAlive, head.expectContinue,
                       arrived.resumeAfterEventId.has_value(), arrived.promptBlocks.size() > 1,
                       arrived.timeLeft.has_value(), !arrived.key.empty(), arrived.tokensIn > 0});
}

// ---- responses ----

namespace {

struct ResponseResult {
  ResponseReader::Step lastStep = ResponseReader::Step::kNeedMore;
  int status = 0;
  std::size_t headers = 0;
  BodyFraming framing = BodyFraming::kNone;
  std::string body;
  std::size_t bytesAfterEnd = 0;  // bytes after the end of the response
  bool keepsConnection = false;
  bool operator==(const ResponseResult&) const = default;
};

ResponseResult readResponse(std::string_view input, bool toHead, std::size_t pieceSize) {
  using Step = ResponseReader::Step;
  ResponseReader reader(toHead);
  ResponseResult result;
  forEachPiece(input, pieceSize, [&](std::string_view piece) {
    if (result.lastStep == Step::kComplete) result.bytesAfterEnd += piece.size();
    std::string body;
    while (result.lastStep != Step::kComplete && result.lastStep != Step::kInvalid) {
      Step step = reader.next(piece, body);
      if (step == Step::kNeedMore) return;
      if (step == Step::kHead) {
        result.status = reader.head().status;
        result.headers = reader.head().headers.size();
        result.framing = reader.head().framing;
      }
      if (step == Step::kBody) result.body += body;
      if (step == Step::kComplete || step == Step::kInvalid) result.lastStep = step;
      if (step == Step::kComplete) result.bytesAfterEnd = piece.size();
    }
  });
  // The reader may know the end of a body with its last byte, without any further input.
  std::string_view noInput;
  std::string body;
  if (result.lastStep == Step::kNeedMore && reader.next(noInput, body) == Step::kComplete)
    result.lastStep = Step::kComplete;
  result.keepsConnection = result.lastStep == Step::kComplete && reader.idleTimeout() > Duration{};
  return result;
}

}  // namespace

std::uint64_t runAnswer(std::string_view input) {
  std::uint64_t outcome = 0;
  for (bool toHead : {false, true}) {
    ResponseResult whole = readResponse(input, toHead, std::max<std::size_t>(input.size(), 1));
    for (std::size_t size : pieceSizes(input.size()))
      require(readResponse(input, toHead, size) == whole,
              "a response in pieces reads as in one piece");
    bool isWhole = whole.lastStep == ResponseReader::Step::kComplete;
    require(!isWhole || whole.framing != BodyFraming::kUntilClose,
            "a response without a length is complete only when the connection closes");
    require(whole.framing != BodyFraming::kUntilClose || !whole.keepsConnection,
            "a connection is never reused after a response without a length");
    outcome = hashOutcomes({outcome, static_cast<std::uint64_t>(whole.lastStep),
                            static_cast<std::uint64_t>(whole.framing), whole.keepsConnection,
                            static_cast<std::uint64_t>(whole.status / 100), !whole.body.empty()});
  }
  return outcome;
}

// ---- chunked bodies ----

namespace {

struct ChunksResult {
  ChunkReader::Result found = ChunkReader::Result::kNeedMore;
  std::string body;
  std::size_t bytesAfterEnd = 0;
  bool operator==(const ChunksResult&) const = default;
};

ChunksResult readChunks(std::string_view input, std::size_t pieceSize) {
  ChunkReader reader;
  ChunksResult result;
  forEachPiece(input, pieceSize, [&](std::string_view piece) {
    if (result.found == ChunkReader::Result::kInvalid) return;
    if (result.found != ChunkReader::Result::kDone) result.found = reader.read(piece, result.body);
    if (result.found == ChunkReader::Result::kDone) result.bytesAfterEnd += piece.size();
  });
  return result;
}

std::string encodeChunked(std::string_view body) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", body.size());
  return body.empty() ? "0\r\n\r\n" : size + std::string(body) + "\r\n0\r\n\r\n";
}

}  // namespace

std::uint64_t runChunks(std::string_view input) {
  ChunksResult whole = readChunks(input, std::max<std::size_t>(input.size(), 1));
  for (std::size_t size : pieceSizes(input.size()))
    require(readChunks(input, size) == whole, "chunks in pieces read as in one piece");
  require(whole.body.size() <= input.size(), "a chunked body is no longer than its chunks");
  ChunksResult decoded = readChunks(encodeChunked(input), 4096);
  require(decoded.found == ChunkReader::Result::kDone && decoded.body == input,
          "a body written in chunks is read back unchanged");
  return hashOutcomes({static_cast<std::uint64_t>(whole.found), whole.body.size() > 0,
                       whole.body.size() > 16, whole.bytesAfterEnd > 0});
}

// ---- event streams ----

namespace {

struct EventsResult {
  std::string completeEvents, incompleteEvent;
  EventSplitter::EventRange marks;
  bool operator==(const EventsResult& other) const {
    return completeEvents == other.completeEvents && incompleteEvent == other.incompleteEvent &&
           marks.firstEventId == other.marks.firstEventId &&
           marks.lastEventId == other.marks.lastEventId &&
           marks.newVersion == other.marks.newVersion;
  }
};

EventsResult readEvents(std::string_view input, std::size_t pieceSize) {
  EventSplitter splitter;
  EventsResult result;
  forEachPiece(input, pieceSize, [&](std::string_view piece) {
    result.completeEvents += splitter.takeEvents(std::string(piece), dialect(), result.marks);
  });
  result.incompleteEvent = splitter.takeRemainder();
  return result;
}

}  // namespace

std::uint64_t runEvents(std::string_view input) {
  EventsResult whole = readEvents(input, std::max<std::size_t>(input.size(), 1));
  for (std::size_t size : pieceSizes(input.size()))
    require(readEvents(input, size) == whole, "events in pieces read as in one piece");
  require(whole.completeEvents + whole.incompleteEvent == input,
          "no byte of the stream is lost or added");
  return hashOutcomes({whole.marks.firstEventId.has_value(), whole.marks.lastEventId.has_value(),
                       whole.marks.newVersion.has_value(),
                       whole.marks.firstEventId == whole.marks.lastEventId,
                       whole.completeEvents.empty(), whole.incompleteEvent.empty()});
}

std::uint64_t runOlderEvents(std::string_view input) {
  auto read = [&](std::size_t pieceSize) {
    ServerSentEventParser reader;
    std::string all;
    forEachPiece(input, pieceSize, [&](std::string_view piece) {
      reader.feed(piece, [&](const ServerSentEventParser::ServerSentEvent& event) {
        all += event.id + '\1' + event.event + '\1' + event.data + '\2';
      });
    });
    return all;
  };
  std::string whole = read(std::max<std::size_t>(input.size(), 1));
  for (std::size_t size : pieceSizes(input.size()))
    require(read(size) == whole, "events of the older reader in pieces read as in one piece");
  return hashOutcomes({whole.empty(), whole.size() > 3, whole.size() > 16});
}

}  // namespace peppergate::fuzz
