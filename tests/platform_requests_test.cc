// Client requests and engine responses in the platform's format.
#include "platform/dialect.h"
#include "tests/testing.h"

using namespace peppergate;
using namespace peppergate::platform;

namespace {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

std::shared_ptr<WireRequest> wireWith(HeaderList headers, std::string body = "") {
  auto wire = std::make_shared<WireRequest>();
  wire->method = "POST";
  wire->target = "/a/b?q=1";
  wire->headers = {{"Host", "Desk.example"}, {"x-attempt-id", "a1"}};
  wire->headers.insert(wire->headers.end(), headers.begin(), headers.end());
  wire->body = std::move(body);
  return wire;
}

int readStatus(HeaderList headers) {
  RequestArrived event;
  return PlatformDialect().readRequest(wireWith(std::move(headers)), event);
}

OpenAttempt attemptOf(std::shared_ptr<const WireRequest> wire) {
  OpenAttempt attempt;
  attempt.wire = std::move(wire);
  attempt.clientId = "a1";
  attempt.engine = {"i-1"};
  attempt.timeLeft = milliseconds(750);
  return attempt;
}

/// Counts the occurrences of a line in a text.
int countLines(const std::string& text, const std::string& line) {
  int count = 0;
  for (auto at = text.find("\r\n" + line + "\r\n"); at != std::string::npos;
       at = text.find("\r\n" + line + "\r\n", at + 1))
    ++count;
  return count;
}

bool contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

WireHead headOf(int status, HeaderList headers) {
  WireHead head;
  head.status = status;
  head.headers = std::move(headers);
  return head;
}

AttemptEvent readHeadOf(int status, HeaderList headers) {
  headers.push_back({"X-ATTEMPT-ID", "a1"});
  AttemptEvent attemptEvent;
  auto attempt = attemptOf(wireWith({{"X-Model", "m1"}}));
  CHECK(PlatformDialect().readAttemptHead(headOf(status, headers), attempt, attemptEvent));
  return attemptEvent;
}

}  // namespace

TEST_GROUP(PlatformRequests) { PlatformDialect dialect; };

TEST(PlatformRequests, ReadsAWholeRequest) {
  RequestArrived event;
  auto wire = wireWith({{"X-Model", " m1 "},
                        {"X-Token-Count", "1460, 80"},
                        {"X-Prompt-Prefix", "5c:800, 91:410"},
                        {"x-prompt-prefix", "e4:250"},
                        {"X-Time-Left-Ms", "8000"},
                        {"Last-Event-Id", "12"},
                        {"Authorization", "token  k-1 "},
                        {"X-Strange", "kept"}});
  CHECK_EQUAL(0, dialect.readRequest(wire, event));
  STRCMP_EQUAL("Desk.example", event.host.c_str());
  STRCMP_EQUAL("/a/b", event.path.c_str());
  STRCMP_EQUAL("a1", event.clientId.c_str());
  STRCMP_EQUAL("k-1", event.key.c_str());
  STRCMP_EQUAL("m1", event.model.value.c_str());
  CHECK_EQUAL(1460, event.tokensIn);
  CHECK_EQUAL(80, event.tokensOut);
  CHECK_EQUAL(3, event.promptBlocks.size());
  STRCMP_EQUAL("e4", event.promptBlocks.at(2).id.c_str());
  CHECK_EQUAL(410, event.promptBlocks.at(1).tokens);
  CHECK(event.timeLeft == milliseconds(8000));
  CHECK(event.resumeAfterEventId == std::uint64_t{12});
  CHECK(event.wire == wire);
}

TEST(PlatformRequests, MissingHeadersGiveNoValues) {
  RequestArrived event;
  CHECK_EQUAL(
      0,
      dialect.readRequest(
          wireWith({{"Last-Event-Id", ""}, {"Authorization", "Basic x"}, {"X-Prompt-Prefix", ""}}),
          event));
  CHECK(event.key.empty());
  CHECK(event.promptBlocks.empty());
  CHECK_FALSE(event.timeLeft.has_value());
  CHECK_FALSE(event.resumeAfterEventId.has_value());
}

TEST(PlatformRequests, RejectsMalformedAndDuplicateHeaders) {
  for (auto [name, value] :
       {std::pair{"X-Token-Count", "1460"}, std::pair{"X-Token-Count", "1,2,3"},
        std::pair{"X-Token-Count", "-1,2"}, std::pair{"X-Token-Count", ""},
        std::pair{"X-Token-Count", "99999999999999999999,1"}, std::pair{"X-Time-Left-Ms", "soon"},
        std::pair{"X-Time-Left-Ms", "-5"}, std::pair{"X-Time-Left-Ms", "1e3"},
        std::pair{"X-Time-Left-Ms", "inf"}, std::pair{"Last-Event-Id", "12a"},
        std::pair{"Last-Event-Id", "-1"}, std::pair{"X-Prompt-Prefix", "5c"},
        std::pair{"X-Prompt-Prefix", ":8"}, std::pair{"X-Prompt-Prefix", "5c:8,"},
        std::pair{"X-Prompt-Prefix", "5c:8,,91:4"}, std::pair{"X-Prompt-Prefix", "5 c:8"},
        std::pair{"X-Prompt-Prefix", "5c:99999999999999999999"}, std::pair{"X-Attempt-Id", "a2"},
        std::pair{"Host", "other"}})
    CHECK_EQUAL_TEXT(400, readStatus({{name, value}}), value);
}

TEST(PlatformRequests, RejectsARequestWithoutAnId) {
  RequestArrived event;
  auto wire = std::make_shared<WireRequest>();
  wire->method = "GET";
  wire->target = "/";
  CHECK_EQUAL(400, dialect.readRequest(wire, event));
  wire->headers = {{"X-Attempt-Id", " "}};
  CHECK_EQUAL(400, dialect.readRequest(wire, event));
  wire->headers = {{"X-Attempt-Id", "a b"}};
  CHECK_EQUAL(400, dialect.readRequest(wire, event));
}

TEST(PlatformRequests, TimeLeftIsCappedAtADay) {
  RequestArrived event;
  CHECK_EQUAL(0, dialect.readRequest(wireWith({{"X-Time-Left-Ms", "99999999999999"}}), event));
  CHECK(event.timeLeft == seconds(86400));
}

TEST(PlatformRequests, ForwardsTheRequestToTheEngine) {
  auto wire = wireWith({{"Accept", "text/event-stream"},
                        {"Content-Length", "7"},
                        {"X-Prompt-Prefix", "5c:800"},
                        {"Cookie", "a=b"}},
                       "{\"a\":1}");
  std::string text = dialect.formatAttempt(attemptOf(wire));
  CHECK(text.starts_with("POST /a/b?q=1 HTTP/1.1\r\nHost: Desk.example\r\n"));
  CHECK(text.ends_with("\r\n\r\n{\"a\":1}"));
  CHECK_EQUAL(1, countLines(text, "Accept: text/event-stream"));
  CHECK_EQUAL(1, countLines(text, "X-Prompt-Prefix: 5c:800"));
  CHECK_EQUAL(1, countLines(text, "Cookie: a=b"));
  CHECK_EQUAL(1, countLines(text, "Content-Length: 7"));
  CHECK_EQUAL(1, countLines(text, "X-Attempt-Id: a1"));
  CHECK_EQUAL(1, countLines(text, "X-Time-Left-Ms: 750"));
  CHECK_EQUAL(1, countLines(text, "X-Deliver-To: i-1"));
}

TEST(PlatformRequests, DropsClientValuesOfRouterHeaders) {
  auto wire = wireWith({{"authorization", "Token k-1"},
                        {"X-Tenant", "other"},
                        {"x-tenant", "third"},
                        {"X-Cache-Salt", "s"},
                        {"X-Urgency", "0"},
                        {"X-Collect-From", "10.0.0.1:1"},
                        {"X-Deposit-At", "10.0.0.1:2"},
                        {"X-Expect-Version", "9"},
                        {"X-Deliver-To", "i-9"},
                        {"X-Time-Left-Ms", "1"},
                        {"Last-Event-Id", "4"}});
  OpenAttempt attempt = attemptOf(wire);
  std::string text = dialect.formatAttempt(attempt);
  for (auto part : {"k-1", "uthorization", "enant", "Salt", "Collect", "Deposit", "Expect", "i-9",
                    "Last-Event-Id", "Left-Ms: 1\r"})
    CHECK_FALSE_TEXT(contains(text, part), part);
  CHECK_EQUAL(1, countLines(text, "X-Urgency: 5"));
  attempt.tenant = {"kaje"};
  attempt.salt = "w.3";
  attempt.urgency = 2;
  attempt.expectedVersion = WeightsVersion{3};
  attempt.collectFrom = Address{"10.0.0.7:80"};
  attempt.depositAt = Address{"10.0.0.8:80"};
  attempt.resumeAfterEventId = 17;
  text = dialect.formatAttempt(attempt);
  for (auto line :
       {"X-Tenant: kaje", "X-Cache-Salt: w.3", "X-Urgency: 2", "X-Expect-Version: 3",
        "X-Collect-From: 10.0.0.7:80", "X-Deposit-At: 10.0.0.8:80", "Last-Event-Id: 17"})
    CHECK_EQUAL_TEXT(1, countLines(text, line), line);
  CHECK_FALSE(contains(text, "third"));
}

TEST(PlatformRequests, DropsHopByHopHeaders) {
  auto wire = wireWith({{"Connection", "keep-alive, X-Hop,Host, x-attempt-id"},
                        {"X-Hop", "1"},
                        {"Keep-Alive", "timeout=3"},
                        {"TE", "trailers"},
                        {"Trailer", "X-A"},
                        {"Transfer-Encoding", "chunked"},
                        {"Upgrade", "h2c"},
                        {"Proxy-Authorization", "x"},
                        {"proxy-connection", "close"},
                        {"Expect", "100-continue"},
                        {"Content-Length", "99"}},
                       "abc");
  std::string text = dialect.formatAttempt(attemptOf(wire));
  for (auto part : {"onnection", "X-Hop", "Keep-Alive", "TE:", "Trailer", "chunked", "h2c", "roxy",
                    "100-continue", "99"})
    CHECK_FALSE_TEXT(contains(text, part), part);
  CHECK_EQUAL(1, countLines(text, "Content-Length: 3"));
  CHECK_EQUAL(1, countLines(text, "Host: Desk.example"));
  CHECK_EQUAL(1, countLines(text, "X-Attempt-Id: a1"));
}

TEST(PlatformRequests, EmptyBodyHasALengthOnlyIfTheClientSentOne) {
  CHECK_FALSE(contains(dialect.formatAttempt(attemptOf(wireWith({}))), "Content-Length"));
  CHECK_EQUAL(1, countLines(dialect.formatAttempt(attemptOf(wireWith({{"Content-Length", "0"}}))),
                            "Content-Length: 0"));
  CHECK_EQUAL(
      1, countLines(dialect.formatAttempt(attemptOf(wireWith({{"Transfer-Encoding", "chunked"}}))),
                    "Content-Length: 0"));
}

TEST(PlatformRequests, PreventsHeaderInjection) {
  auto wire = wireWith({{"X-One", "1\r\nX-Tenant: other"},
                        {"X-Two: c\r\nX-Tenant", "x"},
                        {"X Three", "y"},
                        {"X-Four", std::string("a\0b", 3)}});
  std::string text = dialect.formatAttempt(attemptOf(wire));
  for (auto part : {"enant", "X-One", "X-Two", "Three", "X-Four"})
    CHECK_FALSE_TEXT(contains(text, part), part);
  RequestArrived event;
  auto target = wireWith({});
  target->target = "/a HTTP/1.1\r\nX-Tenant: other";
  CHECK_EQUAL(400, dialect.readRequest(target, event));
}

TEST(PlatformRequests, RejectionHasRetryAfter) {
  RejectRequest refusal;
  auto told = [&](Duration duration) {
    refusal.retryAfter = duration;
    return dialect.refusalHeaders(refusal, "a1");
  };
  STRCMP_EQUAL("X-Attempt-Id: a1\r\n", dialect.refusalHeaders(refusal, "a1").c_str());
  STRCMP_EQUAL("", dialect.refusalHeaders(refusal, "").c_str());
  STRCMP_EQUAL("Retry-After: 0.2\r\nX-Attempt-Id: a1\r\n", told(seconds(0.2)).c_str());
  STRCMP_EQUAL("Retry-After: 1.51\r\nX-Attempt-Id: a1\r\n", told(seconds(1.501)).c_str());
  STRCMP_EQUAL("Retry-After: 20\r\nX-Attempt-Id: a1\r\n", told(seconds(20)).c_str());
  STRCMP_EQUAL("Retry-After: 0\r\nX-Attempt-Id: a1\r\n", told(Duration{-5}).c_str());
}

TEST_GROUP(PlatformAnswers) { PlatformDialect dialect; };

TEST(PlatformAnswers, IgnoresTheAnswerToAnotherRequest) {
  AttemptEvent turned;
  auto attempt = attemptOf(wireWith({}));
  for (HeaderList headers :
       {HeaderList{}, HeaderList{{"X-Attempt-Id", "a2"}}, HeaderList{{"X-Attempt-Id", ""}},
        HeaderList{{"X-Attempt-Id", "A1"}}}) {
    headers.push_back({"X-Postmark", "p"});
    CHECK_FALSE(dialect.readAttemptHead(headOf(200, headers), attempt, turned));
  }
}

TEST(PlatformAnswers, SuccessNeedsAPostmarkAndNoEncoding) {
  CHECK(readHeadOf(200, {{"x-postmark", "p"}}).success);
  CHECK(readHeadOf(299, {{"X-Postmark", "p"}}).success);
  CHECK_FALSE(readHeadOf(200, {}).success);
  CHECK_FALSE(readHeadOf(200, {{"X-Postmark", " "}}).success);
  CHECK_FALSE(readHeadOf(302, {{"X-Postmark", "p"}}).success);
  CHECK_FALSE(readHeadOf(200, {{"X-Postmark", "p"}, {"Content-Encoding", "gzip"}}).success);
}

TEST(PlatformAnswers, NotRunNeedsAHeaderOrStatus421) {
  CHECK(readHeadOf(503, {{"X-Not-Delivered", "1"}}).notRun);
  CHECK(readHeadOf(400, {{"x-not-delivered", ""}}).notRun);
  CHECK(readHeadOf(421, {}).notRun);
  CHECK_FALSE(readHeadOf(503, {}).notRun);
  CHECK_FALSE(readHeadOf(429, {}).notRun);
  CHECK_FALSE(readHeadOf(500, {}).notRun);
  CHECK_FALSE(readHeadOf(200, {{"X-Not-Delivered", "1"}, {"X-Postmark", "p"}}).notRun);
}

TEST(PlatformAnswers, ReadsLoadVersionsAndRetryAfterIfValid) {
  auto turned = readHeadOf(503, {{"X-Engine-Load", "3, 0,8"},
                                 {"Retry-After", "0.25"},
                                 {"Connection", "Close"},
                                 {"X-Weight-Versions", "4"}});
  CHECK(turned.load.has_value());
  CHECK_EQUAL(3, turned.load->running);
  CHECK_EQUAL(8, turned.load->slots);
  CHECK(turned.retryAfter == seconds(0.25));
  CHECK(turned.closesConnection);
  CHECK(turned.versions.at({"m1"}) == WeightsVersion{4});
  turned = readHeadOf(200, {{"X-Weight-Versions", "m1=2, m2:7, 3,odd,m3=,=5"}});
  CHECK(turned.versions.at({"m1"}) == WeightsVersion{3});
  CHECK(turned.versions.at({"m2"}) == WeightsVersion{7});
  for (auto load : {"", "3", "3,0", "3,0,8,9", "-1,0,8", "a,b,c"})
    CHECK_FALSE_TEXT(readHeadOf(200, {{"X-Engine-Load", load}}).load.has_value(), load);
  for (auto after : {"", "-1", "Wed, 21 Oct 2015 07:28:00 GMT", "nan"})
    CHECK_FALSE_TEXT(readHeadOf(503, {{"Retry-After", after}}).retryAfter.has_value(), after);
  CHECK_FALSE(readHeadOf(200, {{"Connection", "keep-alive"}}).closesConnection);
}

TEST(PlatformAnswers, ReadsEventIdsAndWeightsVersions) {
  CHECK(dialect.readEvent("id: 7\ndata: x").eventId == std::uint64_t{7});
  CHECK(dialect.readEvent("id:8\r\ndata: x\r\n").eventId == std::uint64_t{8});
  CHECK_FALSE(dialect.readEvent("data: id: 7").eventId.has_value());
  CHECK_FALSE(dialect.readEvent("id: 7x\ndata: x").eventId.has_value());
  CHECK_FALSE(dialect.readEvent("").eventId.has_value());
  CHECK_FALSE(dialect.readEvent("\n\n:\n").eventId.has_value());
  auto mark = dialect.readEvent("x-weight-versions: 3\nid: 9\ndata: y");
  CHECK(mark.newVersion == WeightsVersion{3});
  CHECK(mark.eventId == std::uint64_t{9});
  CHECK(dialect.readEvent("x-weight-versions:m1=5\nid: 9").newVersion == WeightsVersion{5});
  CHECK_FALSE(dialect.readEvent("id: 9\nx-weight-versions: 3").newVersion.has_value());
  CHECK_FALSE(dialect.readEvent("x-weight-versions: soon").newVersion.has_value());
}

TEST(PlatformAnswers, ForwardsResponseHeadersExceptHopByHop) {
  STRCMP_EQUAL("Content-Type: text/event-stream\r\nX-Postmark: p\r\nX-Attempt-Id: a1\r\n",
               dialect
                   .responseHeaders(headOf(200, {{"Content-Type", "text/event-stream"},
                                                 {"Connection", "X-Hop"},
                                                 {"X-Hop", "1"},
                                                 {"Content-Length", "3"},
                                                 {"X-Postmark", "p"},
                                                 {"Transfer-Encoding", "chunked"},
                                                 {"Keep-Alive", "timeout=1"},
                                                 {"X-Attempt-Id", "a1"}}))
                   .c_str());
}
