#include "io/http_parse.h"

#include <http_parser.h>

#include <algorithm>
#include <array>

namespace peppergate {
namespace {

constexpr std::size_t kMaxExtensionBytes = 256, kMaxTrailerBytes = 8U << 10;
constexpr std::size_t kMaxLengthDigits = 15;

constexpr char toLowerAscii(char one) {
  return one >= 'A' && one <= 'Z' ? static_cast<char>(one - 'A' + 'a') : one;
}

constexpr std::optional<int> hexadecimalDigit(char one) {
  if (one >= '0' && one <= '9') return one - '0';
  if (toLowerAscii(one) >= 'a' && toLowerAscii(one) <= 'f') return toLowerAscii(one) - 'a' + 10;
  return std::nullopt;
}

constexpr std::array<bool, 256> tokenTable() {
  std::array<bool, 256> table{};
  for (char one = '0'; one <= '9'; ++one) table[static_cast<unsigned char>(one)] = true;
  for (char one = 'a'; one <= 'z'; ++one) table[static_cast<unsigned char>(one)] = true;
  for (char one = 'A'; one <= 'Z'; ++one) table[static_cast<unsigned char>(one)] = true;
  for (char one : std::string_view("!#$%&'*+-.^_`|~"))
    table[static_cast<unsigned char>(one)] = true;
  return table;
}
constexpr std::array<bool, 256> kIsTokenCharacter = tokenTable();

constexpr std::string_view kConnectionHeaders[] = {
    "connection", "content-length",    "expect",  "keep-alive",          "proxy-connection",  "te",
    "trailer",    "transfer-encoding", "upgrade", "proxy-authorization", "proxy-authenticate"};

bool hasNoControlCharacters(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char one) {
    auto byte = static_cast<unsigned char>(one);
    return (byte < 0x20 && byte != '\t') || byte == 0x7f;
  });
}

// Whether a header line without its CRLF is a token, a colon right behind it, and a value without
// control characters.
bool isValidHeaderLine(std::string_view line) {
  std::size_t colon = 0;
  while (colon < line.size() && kIsTokenCharacter[static_cast<unsigned char>(line[colon])]) ++colon;
  return colon > 0 && colon < line.size() && line[colon] == ':' &&
         hasNoControlCharacters(line.substr(colon + 1));
}

// Calls the callback with each element of a comma-separated list.
template <class OnElement>
void forEachListElement(std::string_view list, OnElement onElement) {
  while (!list.empty()) {
    auto comma = std::min(list.find(','), list.size());
    if (auto element = trimBlanks(list.substr(0, comma)); !element.empty()) onElement(element);
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
}

struct FramingHeaders {
  int lengthCount = 0, encodingCount = 0, hostCount = 0;
  bool invalidLength = false, chunked = false, close = false, keepAlive = false,
       unknownExpectation = false;
};

void readKeepAliveTimeout(std::string_view value, HttpHead& head) {
  forEachListElement(value, [&](std::string_view element) {
    constexpr std::string_view kTimeoutPrefix = "timeout=";
    if (element.size() <= kTimeoutPrefix.size() ||
        !equalsIgnoringCase(element.substr(0, kTimeoutPrefix.size()), kTimeoutPrefix))
      return;
    if (auto timeoutSeconds = readLength(element.substr(kTimeoutPrefix.size()));
        timeoutSeconds && *timeoutSeconds < 1'000'000)
      head.keepAliveTimeout = seconds(static_cast<double>(*timeoutSeconds));
  });
}

void readFramingHeader(std::string_view name, const std::string& value, HttpHead& head,
                       FramingHeaders& framingHeaders) {
  switch (name.size()) {
    case 4:
      if (!equalsIgnoringCase(name, "host")) return;
      ++framingHeaders.hostCount;
      head.host = value;
      return;
    case 6:
      if (!equalsIgnoringCase(name, "expect")) return;
      if (equalsIgnoringCase(value, "100-continue")) head.expectContinue = true;
      else framingHeaders.unknownExpectation = true;
      return;
    case 10:
      if (equalsIgnoringCase(name, "connection"))
        forEachListElement(value, [&](std::string_view element) {
          if (equalsIgnoringCase(element, "close")) framingHeaders.close = true;
          if (equalsIgnoringCase(element, "keep-alive")) framingHeaders.keepAlive = true;
        });
      else if (equalsIgnoringCase(name, "keep-alive")) readKeepAliveTimeout(value, head);
      return;
    case 14:
      if (!equalsIgnoringCase(name, "content-length")) return;
      ++framingHeaders.lengthCount;
      head.contentLength = readLength(value);
      framingHeaders.invalidLength = framingHeaders.invalidLength || !head.contentLength;
      return;
    case 17:
      if (!equalsIgnoringCase(name, "transfer-encoding")) return;
      ++framingHeaders.encodingCount;
      framingHeaders.chunked = equalsIgnoringCase(value, "chunked");
      return;
    default:
      return;
  }
}

struct HeadCollector {
  HttpHead& head;
  bool done = false;

  static HeadCollector& from(http_parser* parser) {
    return *static_cast<HeadCollector*>(parser->data);
  }
  // The head is complete and not folded, so the parser reports each part in one call.
  static int target(http_parser* parser, const char* at, std::size_t size) {
    from(parser).head.target.append(at, size);
    return 0;
  }
  static int reason(http_parser* parser, const char* at, std::size_t size) {
    from(parser).head.reason.append(at, size);
    return 0;
  }
  static int name(http_parser* parser, const char* at, std::size_t size) {
    from(parser).head.headers.emplace_back(std::string(at, size), std::string());
    return 0;
  }
  static int value(http_parser* parser, const char* at, std::size_t size) {
    auto& headers = from(parser).head.headers;
    if (headers.empty()) return 1;
    headers.back().second = trimBlanks({at, size});
    return 0;
  }
  static int complete(http_parser* parser) {
    from(parser).done = true;
    return 2;  // the body is framed by this module, not by the library
  }
};

constexpr http_parser_settings kHeadSettings{nullptr,
                                             &HeadCollector::target,
                                             &HeadCollector::reason,
                                             &HeadCollector::name,
                                             &HeadCollector::value,
                                             &HeadCollector::complete,
                                             nullptr,
                                             nullptr,
                                             nullptr,
                                             nullptr};

HeadFault readHead(std::string_view text, http_parser_type type, HttpHead& head,
                   FramingHeaders& framingHeaders) {
  http_parser parser;
  http_parser_init(&parser, type);
  HeadCollector collector{head};
  parser.data = &collector;
  head.headers.reserve(16);
  http_parser_execute(&parser, &kHeadSettings, text.data(), text.size());
  auto fault = HTTP_PARSER_ERRNO(&parser);
  if (fault == HPE_INVALID_VERSION) return HeadFault::kVersion;
  if (fault == HPE_INVALID_METHOD) return HeadFault::kMethod;
  if (fault != HPE_OK || !collector.done) return HeadFault::kMalformed;
  if (parser.http_major != 1 || parser.http_minor > 1) return HeadFault::kVersion;
  head.http10 = parser.http_minor == 0;
  if (type == HTTP_REQUEST) head.method = http_method_str(static_cast<http_method>(parser.method));
  else head.status = static_cast<int>(parser.status_code);
  for (const auto& [name, value] : head.headers)
    readFramingHeader(name, value, head, framingHeaders);
  // Another party may read repeated or contradicting framing headers differently.
  if (framingHeaders.lengthCount > 1 || framingHeaders.encodingCount > 1 ||
      framingHeaders.invalidLength)
    return HeadFault::kMalformed;
  if (framingHeaders.lengthCount > 0 && framingHeaders.encodingCount > 0)
    return HeadFault::kMalformed;
  if (framingHeaders.encodingCount > 0 && head.http10) return HeadFault::kMalformed;
  if (framingHeaders.encodingCount > 0 && !framingHeaders.chunked) return HeadFault::kEncoding;
  head.connectionClose = framingHeaders.close;
  head.keepAlive = !framingHeaders.close && (!head.http10 || framingHeaders.keepAlive);
  return HeadFault::kNone;
}

}  // namespace

bool equalsIgnoringCase(std::string_view one, std::string_view other) {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(), [](char left, char right) {
    return toLowerAscii(left) == toLowerAscii(right);
  });
}

std::string_view trimBlanks(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool isConnectionHeader(std::string_view name) {
  return std::any_of(std::begin(kConnectionHeaders), std::end(kConnectionHeaders),
                     [name](std::string_view one) { return equalsIgnoringCase(one, name); });
}

std::optional<std::uint64_t> readLength(std::string_view text) {
  if (text.empty() || text.size() > kMaxLengthDigits) return std::nullopt;
  std::uint64_t length = 0;
  for (char one : text) {
    if (one < '0' || one > '9') return std::nullopt;
    length = length * 10 + static_cast<std::uint64_t>(one - '0');
  }
  return length;
}

std::string_view reasonPhrase(int status) {
  return http_status_str(static_cast<http_status>(status));
}

HeadScanner::Result HeadScanner::scan(std::string_view bytes) {
  if (nextLine_ == 0 && !bytes.empty() && !kIsTokenCharacter[static_cast<unsigned char>(bytes[0])])
    return Result::kInvalid;  // no request or response starts with such a character
  while (nextLine_ < bytes.size()) {
    auto end = bytes.find('\n', nextLine_);
    if (end == std::string_view::npos) return Result::kPartial;
    std::string_view line = bytes.substr(nextLine_, end - nextLine_);
    if (line.empty() || line.back() != '\r') return Result::kInvalid;
    line.remove_suffix(1);
    bool first = nextLine_ == 0;
    nextLine_ = end + 1;
    if (line.empty()) return Result::kComplete;
    if (first ? !hasNoControlCharacters(line) : !isValidHeaderLine(line)) return Result::kInvalid;
  }
  return Result::kPartial;
}

HeadFault readRequestHead(std::string_view text, HttpHead& head) {
  std::string_view line = text.substr(0, text.find('\r'));
  if (std::count(line.begin(), line.end(), ' ') != 2 || line.find('\t') != line.npos)
    return HeadFault::kMalformed;
  FramingHeaders framingHeaders;
  HeadFault fault = readHead(text, HTTP_REQUEST, head, framingHeaders);
  if (fault != HeadFault::kNone) return fault;
  if (framingHeaders.hostCount > 1 || (framingHeaders.hostCount == 0 && !head.http10))
    return HeadFault::kMalformed;
  if (head.method == "CONNECT") return HeadFault::kMethod;
  if (framingHeaders.unknownExpectation) return HeadFault::kExpectation;
  if (framingHeaders.chunked) head.framing = BodyFraming::kChunked;
  else if (head.contentLength.value_or(0) > 0) head.framing = BodyFraming::kLength;
  return HeadFault::kNone;
}

HeadFault readResponseHead(std::string_view text, bool toHeadRequest, HttpHead& head) {
  FramingHeaders framingHeaders;
  HeadFault fault = readHead(text, HTTP_RESPONSE, head, framingHeaders);
  if (fault != HeadFault::kNone) return fault;
  if (head.status < 100 || head.status > 599) return HeadFault::kMalformed;
  bool withoutBody = toHeadRequest || head.status < 200 || head.status == 204 || head.status == 304;
  if (withoutBody) head.framing = BodyFraming::kNone;
  else if (framingHeaders.chunked) head.framing = BodyFraming::kChunked;
  else if (head.contentLength)
    head.framing = *head.contentLength > 0 ? BodyFraming::kLength : BodyFraming::kNone;
  else head.framing = BodyFraming::kUntilClose;
  return HeadFault::kNone;
}

ChunkReader::Result ChunkReader::read(std::string_view& bytes, std::string& body) {
  while (state_ != State::kDone && state_ != State::kInvalid && !bytes.empty()) {
    if (state_ == State::kData) {
      auto size = static_cast<std::size_t>(std::min<std::uint64_t>(remainingBytes_, bytes.size()));
      body.append(bytes.substr(0, size));
      bytes.remove_prefix(size);
      remainingBytes_ -= size;
      if (remainingBytes_ == 0) state_ = State::kDataReturn;
      continue;
    }
    if (consume(bytes.front()) == Result::kInvalid) state_ = State::kInvalid;
    bytes.remove_prefix(1);
  }
  if (state_ == State::kInvalid) return Result::kInvalid;
  return state_ == State::kDone ? Result::kDone : Result::kNeedMore;
}

ChunkReader::Result ChunkReader::enter(State next) {
  state_ = next;
  return Result::kNeedMore;
}

ChunkReader::Result ChunkReader::consumeSize(char byte) {
  if (std::optional<int> digit = hexadecimalDigit(byte)) {
    if (++consumedCount_ > kMaxLengthDigits) return Result::kInvalid;
    remainingBytes_ = remainingBytes_ * 16 + static_cast<std::uint64_t>(*digit);
    return Result::kNeedMore;
  }
  if (consumedCount_ == 0) return Result::kInvalid;
  consumedCount_ = 0;
  if (byte == '\r') return enter(State::kSizeEnd);
  return byte == ';' ? enter(State::kExtension) : Result::kInvalid;
}

ChunkReader::Result ChunkReader::consumeText(char byte, State end, std::size_t maxBytes) {
  if (byte == '\r') return enter(end);
  return ++consumedCount_ <= maxBytes && hasNoControlCharacters({&byte, 1}) ? Result::kNeedMore
                                                                            : Result::kInvalid;
}

ChunkReader::Result ChunkReader::consume(char byte) {
  switch (state_) {
    case State::kSize:
      return consumeSize(byte);
    case State::kExtension:
      return consumeText(byte, State::kSizeEnd, kMaxExtensionBytes);
    case State::kSizeEnd:
      consumedCount_ = 0;
      if (byte != '\n') return Result::kInvalid;
      return enter(remainingBytes_ > 0 ? State::kData : State::kTrailer);
    case State::kDataReturn:
      return byte == '\r' ? enter(State::kDataEnd) : Result::kInvalid;
    case State::kDataEnd:
      return byte == '\n' ? enter(State::kSize) : Result::kInvalid;
    case State::kTrailer:
      if (byte != '\r') ++trailerLineLength_;
      return consumeText(byte, State::kTrailerEnd, kMaxTrailerBytes);
    case State::kTrailerEnd:
      if (byte != '\n') return Result::kInvalid;
      state_ = trailerLineLength_ == 0 ? State::kDone : State::kTrailer;
      trailerLineLength_ = 0;
      return Result::kNeedMore;
    case State::kData:
    case State::kDone:
    case State::kInvalid:
      break;
  }
  return Result::kInvalid;
}

}  // namespace peppergate
