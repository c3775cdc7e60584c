// Fuzz targets for HTTP/1.x heads, bodies and event streams. Each input is read whole and in
// pieces, and both must give the same result.
#include <algorithm>

#include "io/http_answer.h"
#include "io/http_parse.h"
#include "io/web_client.h"
#include "platform/dialect.h"
#include "platform/names.h"
#include "tests/fuzz/targets.h"

namespace peppergate::fuzz {
namespace {

const platform::PlatformDialect& dialect() {
  static const platform::PlatformDialect kDialect(Address{"127.0.0.1:1"});
  return kDialect;
}

/// Inputs up to this size are also read byte by byte.
constexpr std::size_t kByteByByte = 2048;

/// Returns the piece sizes, in bytes, that an input of this size is split into, one after another.
std::vector<std::size_t> pieceSizes(std::size_t inputSize) {
  if (inputSize <= kByteByByte) return {1, 2, 7};
  return {inputSize / 2, inputSize / 3 + 1, 4096};
}

/// Passes each piece of the input to a callback, in order.
template <class Take>
void eachPiece(std::string_view input, std::size_t pieceSize, Take take) {
  while (!input.empty()) {
    take(input.substr(0, pieceSize));
    input.remove_prefix(std::min(pieceSize, input.size()));
  }
}

// ---- request heads ----

struct FoundHead {
  HeadScanner::Found found = HeadScanner::Found::kPartial;
  std::size_t size = 0;
  bool operator==(const FoundHead&) const = default;
};

FoundHead scanInPieces(std::string_view input, std::size_t pieceSize) {
  HeadScanner scanner;
  FoundHead result;
  for (std::size_t end = 0; end < input.size() && result.found == HeadScanner::Found::kPartial;) {
    end = std::min(input.size(), end + pieceSize);
    result.found = scanner.scan(input.substr(0, end));
  }
  if (result.found == HeadScanner::Found::kWhole) result.size = scanner.size();
  return result;
}

/// Reads the body after a request head; returns false if it is incomplete.
bool readBody(const HttpHead& head, std::string_view bytes, std::string& body) {
  if (head.framing == BodyFraming::kNone) return true;
  if (head.framing == BodyFraming::kChunked) {
    ChunkReader reader;
    return reader.read(bytes, body) == ChunkReader::Found::kDone;
  }
  if (*head.length > bytes.size()) return false;
  body = bytes.substr(0, *head.length);
  return true;
}

std::size_t countOf(const HttpHead& head, std::string_view name) {
  return static_cast<std::size_t>(std::ranges::count_if(
      head.headers, [name](const auto& header) { return sameToken(header.first, name); }));
}

/// The bytes sent to an engine must be exactly one request, equal to the client's.
void requireOneRequest(const OpenAttempt& attempt) {
  const WireRequest& wire = *attempt.wire;
  std::string text = dialect().attemptText(attempt);
  HeadScanner scanner;
  require(scanner.scan(text) == HeadScanner::Found::kWhole, "the engine's head is well-formed");
  HttpHead head;
  HeadFault fault = readRequestHead(std::string_view(text).substr(0, scanner.size()), head);
  require(fault == HeadFault::kNone, "the engine's head can be read");
  require(head.method == wire.method, "the method is unchanged");
  require(head.target == wire.target, "the target is unchanged");
  require(head.framing != BodyFraming::kChunked, "the body is framed by its length");
  require(head.length.value_or(0) == wire.body.size(), "the length is the body's");
  require(text.size() == scanner.size() + wire.body.size(), "nothing follows the body");
  require(text.ends_with(wire.body), "the body is unchanged");
  require(countOf(head, platform::kRequestId) == 1, "there is exactly one request id");
  require(countOf(head, platform::kKey) == 0, "the client's key isn't forwarded");
  require(countOf(head, platform::kTenant) == 1, "there is exactly one tenant header");
}

}  // namespace

std::uint64_t runRequestHead(std::string_view input) {
  FoundHead whole = scanInPieces(input, std::max<std::size_t>(input.size(), 1));
  for (std::size_t size : pieceSizes(input.size()))
    require(scanInPieces(input, size) == whole, "a head in pieces is found as in one piece");
  if (whole.found != HeadScanner::Found::kWhole)
    return outcomeOf({1, static_cast<std::uint64_t>(whole.found)});
  HttpHead head;
  HeadFault fault = readRequestHead(input.substr(0, whole.size), head);
  if (fault != HeadFault::kNone) return outcomeOf({2, static_cast<std::uint64_t>(fault)});
  auto wire = std::make_shared<WireRequest>();
  wire->method = head.method;
  wire->target = head.target;
  wire->headers = head.headers;
  if (!readBody(head, input.substr(whole.size), wire->body)) return outcomeOf({3});
  RequestArrived arrived;
  int status = dialect().readRequest(wire, arrived);
  auto framing = static_cast<std::uint64_t>(head.framing);
  if (status != 0) return outcomeOf({4, framing, static_cast<std::uint64_t>(status)});
  // A request without a host matches no route, so it is sent to no engine.
  if (arrived.host.empty()) return outcomeOf({6, framing});
  OpenAttempt attempt;
  attempt.wire = wire;
  attempt.clientId = arrived.clientId;
  attempt.engine = {"e1"};
  attempt.tenant = {"red"};
  attempt.timeLeft = seconds(1);
  requireOneRequest(attempt);
  return outcomeOf({5, framing, head.http10, head.keepAlive, head.expectContinue,
                    arrived.resumeAfter.has_value(), arrived.parts.size() > 1,
                    arrived.timeLeft.has_value(), !arrived.key.empty(), arrived.tokensIn > 0});
}

// ---- responses ----

namespace {

struct ReadAnswer {
  AnswerReader::Step last = AnswerReader::Step::kMore;
  int status = 0;
  std::size_t headers = 0;
  BodyFraming framing = BodyFraming::kNone;
  std::string body;
  std::size_t behind = 0;  // bytes after the end of the response
  bool keeps = false;
  bool operator==(const ReadAnswer&) const = default;
};

ReadAnswer readAnswer(std::string_view input, bool toHead, std::size_t pieceSize) {
  using Step = AnswerReader::Step;
  AnswerReader reader(toHead);
  ReadAnswer read;
  eachPiece(input, pieceSize, [&](std::string_view piece) {
    if (read.last == Step::kWhole) read.behind += piece.size();
    std::string body;
    while (read.last != Step::kWhole && read.last != Step::kBad) {
      Step step = reader.next(piece, body);
      if (step == Step::kMore) return;
      if (step == Step::kHead) {
        read.status = reader.head().status;
        read.headers = reader.head().headers.size();
        read.framing = reader.head().framing;
      }
      if (step == Step::kBody) read.body += body;
      if (step == Step::kWhole || step == Step::kBad) read.last = step;
      if (step == Step::kWhole) read.behind = piece.size();
    }
  });
  // The reader may know the end of a body with its last byte, without any further input.
  std::string_view nothing;
  std::string body;
  if (read.last == Step::kMore && reader.next(nothing, body) == Step::kWhole)
    read.last = Step::kWhole;
  read.keeps = read.last == Step::kWhole && reader.keepTime() > Duration{};
  return read;
}

}  // namespace

std::uint64_t runAnswer(std::string_view input) {
  std::uint64_t outcome = 0;
  for (bool toHead : {false, true}) {
    ReadAnswer whole = readAnswer(input, toHead, std::max<std::size_t>(input.size(), 1));
    for (std::size_t size : pieceSizes(input.size()))
      require(readAnswer(input, toHead, size) == whole,
              "a response in pieces reads as in one piece");
    bool isWhole = whole.last == AnswerReader::Step::kWhole;
    require(!isWhole || whole.framing != BodyFraming::kUntilClose,
            "a response without a length is complete only when the connection closes");
    require(whole.framing != BodyFraming::kUntilClose || !whole.keeps,
            "a connection is never reused after a response without a length");
    outcome = outcomeOf({outcome, static_cast<std::uint64_t>(whole.last),
                         static_cast<std::uint64_t>(whole.framing), whole.keeps,
                         static_cast<std::uint64_t>(whole.status / 100), !whole.body.empty()});
  }
  return outcome;
}

// ---- chunked bodies ----

namespace {

struct ReadChunks {
  ChunkReader::Found found = ChunkReader::Found::kMore;
  std::string plain;
  std::size_t behind = 0;
  bool operator==(const ReadChunks&) const = default;
};

ReadChunks readChunks(std::string_view input, std::size_t pieceSize) {
  ChunkReader reader;
  ReadChunks read;
  eachPiece(input, pieceSize, [&](std::string_view piece) {
    if (read.found == ChunkReader::Found::kBad) return;
    if (read.found != ChunkReader::Found::kDone) read.found = reader.read(piece, read.plain);
    if (read.found == ChunkReader::Found::kDone) read.behind += piece.size();
  });
  return read;
}

std::string chunked(std::string_view plain) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", plain.size());
  return plain.empty() ? "0\r\n\r\n" : size + std::string(plain) + "\r\n0\r\n\r\n";
}

}  // namespace

std::uint64_t runChunks(std::string_view input) {
  ReadChunks whole = readChunks(input, std::max<std::size_t>(input.size(), 1));
  for (std::size_t size : pieceSizes(input.size()))
    require(readChunks(input, size) == whole, "chunks in pieces read as in one piece");
  require(whole.plain.size() <= input.size(), "a chunked body is no longer than its chunks");
  ReadChunks back = readChunks(chunked(input), 4096);
  require(back.found == ChunkReader::Found::kDone && back.plain == input,
          "a body written in chunks is read back unchanged");
  return outcomeOf({static_cast<std::uint64_t>(whole.found), whole.plain.size() > 0,
                    whole.plain.size() > 16, whole.behind > 0});
}

// ---- event streams ----

namespace {

struct ReadEvents {
  std::string whole, rest;
  EventSplitter::Marks marks;
  bool operator==(const ReadEvents& other) const {
    return whole == other.whole && rest == other.rest &&
           marks.firstEvent == other.marks.firstEvent && marks.lastEvent == other.marks.lastEvent &&
           marks.newVersion == other.marks.newVersion;
  }
};

ReadEvents readEvents(std::string_view input, std::size_t pieceSize) {
  EventSplitter splitter;
  ReadEvents read;
  eachPiece(input, pieceSize, [&](std::string_view piece) {
    read.whole += splitter.take(std::string(piece), dialect(), read.marks);
  });
  read.rest = splitter.takeRest();
  return read;
}

}  // namespace

std::uint64_t runEvents(std::string_view input) {
  ReadEvents whole = readEvents(input, std::max<std::size_t>(input.size(), 1));
  for (std::size_t size : pieceSizes(input.size()))
    require(readEvents(input, size) == whole, "events in pieces read as in one piece");
  require(whole.whole + whole.rest == input, "no byte of the stream is lost or added");
  return outcomeOf({whole.marks.firstEvent.has_value(), whole.marks.lastEvent.has_value(),
                    whole.marks.newVersion.has_value(),
                    whole.marks.firstEvent == whole.marks.lastEvent, whole.whole.empty(),
                    whole.rest.empty()});
}

std::uint64_t runOlderEvents(std::string_view input) {
  auto read = [&](std::size_t pieceSize) {
    EventReader reader;
    std::string all;
    eachPiece(input, pieceSize, [&](std::string_view piece) {
      reader.feed(piece, [&](const EventReader::OneEvent& event) {
        all += event.id + '\1' + event.event + '\1' + event.data + '\2';
      });
    });
    return all;
  };
  std::string whole = read(std::max<std::size_t>(input.size(), 1));
  for (std::size_t size : pieceSizes(input.size()))
    require(read(size) == whole, "events of the older reader in pieces read as in one piece");
  return outcomeOf({whole.empty(), whole.size() > 3, whole.size() > 16});
}

}  // namespace peppergate::fuzz
