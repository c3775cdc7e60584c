#include "io/http_parse.h"

#include <http_parser.h>

#include <algorithm>
#include <array>

namespace peppergate {
namespace {

constexpr std::size_t kLargestExtension = 256, kLargestTrailers = 8U << 10;
constexpr std::size_t kMostLengthDigits = 15;

constexpr char lower(char one) {
  return one >= 'A' && one <= 'Z' ? static_cast<char>(one - 'A' + 'a') : one;
}

constexpr std::optional<int> hexadecimalDigit(char one) {
  if (one >= '0' && one <= '9') return one - '0';
  if (lower(one) >= 'a' && lower(one) <= 'f') return lower(one) - 'a' + 10;
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
constexpr std::array<bool, 256> kToken = tokenTable();

constexpr std::string_view kConnectionHeaders[] = {
    "connection", "content-length",    "expect",  "keep-alive",          "proxy-connection",  "te",
    "trailer",    "transfer-encoding", "upgrade", "proxy-authorization", "proxy-authenticate"};

bool clean(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char one) {
    auto byte = static_cast<unsigned char>(one);
    return (byte < 0x20 && byte != '\t') || byte == 0x7f;
  });
}

// Whether a header line without its CRLF is a token, a colon right behind it, and a value without
// control characters.
bool goodHeaderLine(std::string_view line) {
  std::size_t colon = 0;
  while (colon < line.size() && kToken[static_cast<unsigned char>(line[colon])]) ++colon;
  return colon > 0 && colon < line.size() && line[colon] == ':' && clean(line.substr(colon + 1));
}

// Calls the callback with each element of a comma-separated list.
template <class Take>
void eachElement(std::string_view list, Take take) {
  while (!list.empty()) {
    auto comma = std::min(list.find(','), list.size());
    if (auto element = trimmed(list.substr(0, comma)); !element.empty()) take(element);
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
}

struct FrameWords {
  int lengths = 0, encodings = 0, hosts = 0;
  bool badLength = false, chunked = false, close = false, keep = false, strangeExpect = false;
};

void readKeepTime(std::string_view value, HttpHead& head) {
  eachElement(value, [&](std::string_view element) {
    constexpr std::string_view kName = "timeout=";
    if (element.size() <= kName.size() || !sameToken(element.substr(0, kName.size()), kName))
      return;
    if (auto told = readLength(element.substr(kName.size())); told && *told < 1'000'000)
      head.keepTime = seconds(static_cast<double>(*told));
  });
}

void readFrameWord(std::string_view name, const std::string& value, HttpHead& head,
                   FrameWords& words) {
  switch (name.size()) {
    case 4:
      if (!sameToken(name, "host")) return;
      ++words.hosts;
      head.host = value;
      return;
    case 6:
      if (!sameToken(name, "expect")) return;
      if (sameToken(value, "100-continue")) head.expectContinue = true;
      else words.strangeExpect = true;
      return;
    case 10:
      if (sameToken(name, "connection"))
        eachElement(value, [&](std::string_view element) {
          if (sameToken(element, "close")) words.close = true;
          if (sameToken(element, "keep-alive")) words.keep = true;
        });
      else if (sameToken(name, "keep-alive")) readKeepTime(value, head);
      return;
    case 14:
      if (!sameToken(name, "content-length")) return;
      ++words.lengths;
      head.length = readLength(value);
      words.badLength = words.badLength || !head.length;
      return;
    case 17:
      if (!sameToken(name, "transfer-encoding")) return;
      ++words.encodings;
      words.chunked = sameToken(value, "chunked");
      return;
    default:
      return;
  }
}

struct HeadTaker {
  HttpHead& head;
  bool done = false;

  static HeadTaker& of(http_parser* parser) { return *static_cast<HeadTaker*>(parser->data); }
  // The head is complete and not folded, so the parser reports each part in one call.
  static int target(http_parser* parser, const char* at, std::size_t size) {
    of(parser).head.target.append(at, size);
    return 0;
  }
  static int reason(http_parser* parser, const char* at, std::size_t size) {
    of(parser).head.reason.append(at, size);
    return 0;
  }
  static int name(http_parser* parser, const char* at, std::size_t size) {
    of(parser).head.headers.emplace_back(std::string(at, size), std::string());
    return 0;
  }
  static int value(http_parser* parser, const char* at, std::size_t size) {
    auto& headers = of(parser).head.headers;
    if (headers.empty()) return 1;
    headers.back().second = trimmed({at, size});
    return 0;
  }
  static int complete(http_parser* parser) {
    of(parser).done = true;
    return 2;  // the body is framed by this module, not by the library
  }
};

constexpr http_parser_settings kHeadSettings{nullptr,
                                             &HeadTaker::target,
                                             &HeadTaker::reason,
                                             &HeadTaker::name,
                                             &HeadTaker::value,
                                             &HeadTaker::complete,
                                             nullptr,
                                             nullptr,
                                             nullptr,
                                             nullptr};

HeadFault readHead(std::string_view text, http_parser_type type, HttpHead& head,
                   FrameWords& words) {
  http_parser parser;
  http_parser_init(&parser, type);
  HeadTaker taker{head};
  parser.data = &taker;
  head.headers.reserve(16);
  http_parser_execute(&parser, &kHeadSettings, text.data(), text.size());
  auto fault = HTTP_PARSER_ERRNO(&parser);
  if (fault == HPE_INVALID_VERSION) return HeadFault::kVersion;
  if (fault == HPE_INVALID_METHOD) return HeadFault::kMethod;
  if (fault != HPE_OK || !taker.done) return HeadFault::kMalformed;
  if (parser.http_major != 1 || parser.http_minor > 1) return HeadFault::kVersion;
  head.http10 = parser.http_minor == 0;
  if (type == HTTP_REQUEST) head.method = http_method_str(static_cast<http_method>(parser.method));
  else head.status = static_cast<int>(parser.status_code);
  for (const auto& [name, value] : head.headers) readFrameWord(name, value, head, words);
  // Another party may read repeated or contradicting framing headers differently.
  if (words.lengths > 1 || words.encodings > 1 || words.badLength) return HeadFault::kMalformed;
  if (words.lengths > 0 && words.encodings > 0) return HeadFault::kMalformed;
  if (words.encodings > 0 && head.http10) return HeadFault::kMalformed;
  if (words.encodings > 0 && !words.chunked) return HeadFault::kEncoding;
  head.closeTold = words.close;
  head.keepAlive = !words.close && (!head.http10 || words.keep);
  return HeadFault::kNone;
}

}  // namespace

bool sameToken(std::string_view one, std::string_view other) {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                    [](char left, char right) { return lower(left) == lower(right); });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool isConnectionHeader(std::string_view name) {
  return std::any_of(std::begin(kConnectionHeaders), std::end(kConnectionHeaders),
                     [name](std::string_view one) { return sameToken(one, name); });
}

std::optional<std::uint64_t> readLength(std::string_view text) {
  if (text.empty() || text.size() > kMostLengthDigits) return std::nullopt;
  std::uint64_t length = 0;
  for (char one : text) {
    if (one < '0' || one > '9') return std::nullopt;
    length = length * 10 + static_cast<std::uint64_t>(one - '0');
  }
  return length;
}

std::string_view reasonOf(int status) { return http_status_str(static_cast<http_status>(status)); }

HeadScanner::Found HeadScanner::scan(std::string_view bytes) {
  if (next_ == 0 && !bytes.empty() && !kToken[static_cast<unsigned char>(bytes[0])])
    return Found::kBad;  // no request or response starts with such a character
  while (next_ < bytes.size()) {
    auto end = bytes.find('\n', next_);
    if (end == std::string_view::npos) return Found::kPartial;
    std::string_view line = bytes.substr(next_, end - next_);
    if (line.empty() || line.back() != '\r') return Found::kBad;
    line.remove_suffix(1);
    bool first = next_ == 0;
    next_ = end + 1;
    if (line.empty()) return Found::kWhole;
    if (first ? !clean(line) : !goodHeaderLine(line)) return Found::kBad;
  }
  return Found::kPartial;
}

HeadFault readRequestHead(std::string_view text, HttpHead& head) {
  std::string_view line = text.substr(0, text.find('\r'));
  if (std::count(line.begin(), line.end(), ' ') != 2 || line.find('\t') != line.npos)
    return HeadFault::kMalformed;
  FrameWords words;
  HeadFault fault = readHead(text, HTTP_REQUEST, head, words);
  if (fault != HeadFault::kNone) return fault;
  if (words.hosts > 1 || (words.hosts == 0 && !head.http10)) return HeadFault::kMalformed;
  if (head.method == "CONNECT") return HeadFault::kMethod;
  if (words.strangeExpect) return HeadFault::kExpectation;
  if (words.chunked) head.framing = BodyFraming::kChunked;
  else if (head.length.value_or(0) > 0) head.framing = BodyFraming::kLength;
  return HeadFault::kNone;
}

HeadFault readAnswerHead(std::string_view text, bool toHead, HttpHead& head) {
  FrameWords words;
  HeadFault fault = readHead(text, HTTP_RESPONSE, head, words);
  if (fault != HeadFault::kNone) return fault;
  if (head.status < 100 || head.status > 599) return HeadFault::kMalformed;
  bool bare = toHead || head.status < 200 || head.status == 204 || head.status == 304;
  if (bare) head.framing = BodyFraming::kNone;
  else if (words.chunked) head.framing = BodyFraming::kChunked;
  else if (head.length) head.framing = *head.length > 0 ? BodyFraming::kLength : BodyFraming::kNone;
  else head.framing = BodyFraming::kUntilClose;
  return HeadFault::kNone;
}

ChunkReader::Found ChunkReader::read(std::string_view& bytes, std::string& plain) {
  while (state_ != State::kDone && state_ != State::kBad && !bytes.empty()) {
    if (state_ == State::kData) {
      auto size = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
      plain.append(bytes.substr(0, size));
      bytes.remove_prefix(size);
      left_ -= size;
      if (left_ == 0) state_ = State::kDataReturn;
      continue;
    }
    if (step(bytes.front()) == Found::kBad) state_ = State::kBad;
    bytes.remove_prefix(1);
  }
  if (state_ == State::kBad) return Found::kBad;
  return state_ == State::kDone ? Found::kDone : Found::kMore;
}

ChunkReader::Found ChunkReader::go(State next) {
  state_ = next;
  return Found::kMore;
}

ChunkReader::Found ChunkReader::stepSize(char byte) {
  if (std::optional<int> digit = hexadecimalDigit(byte)) {
    if (++seen_ > kMostLengthDigits) return Found::kBad;
    left_ = left_ * 16 + static_cast<std::uint64_t>(*digit);
    return Found::kMore;
  }
  if (seen_ == 0) return Found::kBad;
  seen_ = 0;
  if (byte == '\r') return go(State::kSizeEnd);
  return byte == ';' ? go(State::kExtension) : Found::kBad;
}

ChunkReader::Found ChunkReader::stepText(char byte, State end, std::size_t largest) {
  if (byte == '\r') return go(end);
  return ++seen_ <= largest && clean({&byte, 1}) ? Found::kMore : Found::kBad;
}

ChunkReader::Found ChunkReader::step(char byte) {
  switch (state_) {
    case State::kSize:
      return stepSize(byte);
    case State::kExtension:
      return stepText(byte, State::kSizeEnd, kLargestExtension);
    case State::kSizeEnd:
      seen_ = 0;
      if (byte != '\n') return Found::kBad;
      return go(left_ > 0 ? State::kData : State::kTrailer);
    case State::kDataReturn:
      return byte == '\r' ? go(State::kDataEnd) : Found::kBad;
    case State::kDataEnd:
      return byte == '\n' ? go(State::kSize) : Found::kBad;
    case State::kTrailer:
      if (byte != '\r') ++trailerLine_;
      return stepText(byte, State::kTrailerEnd, kLargestTrailers);
    case State::kTrailerEnd:
      if (byte != '\n') return Found::kBad;
      state_ = trailerLine_ == 0 ? State::kDone : State::kTrailer;
      trailerLine_ = 0;
      return Found::kMore;
    case State::kData:
    case State::kDone:
    case State::kBad:
      break;
  }
  return Found::kBad;
}

}  // namespace peppergate
