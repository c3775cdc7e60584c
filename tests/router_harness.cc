#include "tests/router_harness.h"

#include <charconv>

namespace peppergate {
namespace {

constexpr std::size_t kEventsPerStream = 3;

std::string toLower(std::string_view text) {
  std::string low(text);
  for (char& one : low)
    if (one >= 'A' && one <= 'Z') one = static_cast<char>(one - 'A' + 'a');
  return low;
}

/// Parses the "Name: value" lines of a head, which follow its first line.
std::map<std::string, std::string> headersOf(std::string_view head) {
  std::map<std::string, std::string> headers;
  for (auto start = head.find("\r\n"); start < head.size();) {
    start += 2;
    auto end = std::min(head.find("\r\n", start), head.size());
    std::string_view line = head.substr(start, end - start);
    auto colon = std::min(line.find(':'), line.size());
    if (colon < line.size())
      headers[toLower(line.substr(0, colon))] = line.substr(std::min(colon + 2, line.size()));
    start = end;
  }
  return headers;
}

std::size_t parseNumber(const std::string& text, int base = 10) {
  std::size_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, base);
  return number;
}

/// Decodes a chunked body; false if the last chunk is missing.
bool decodeChunks(std::string_view bytes, std::string& body, std::size_t& used) {
  std::size_t at = 0;
  while (true) {
    auto end = bytes.find("\r\n", at);
    if (end == bytes.npos) return false;
    std::size_t size = parseNumber(std::string(bytes.substr(at, end - at)), 16);
    at = end + 2;
    if (bytes.size() < at + size + 2) {
      body += bytes.substr(at, size);
      return false;
    }
    body += bytes.substr(at, size);
    at += size + 2;
    if (size == 0) {
      used = at;
      return true;
    }
  }
}

}  // namespace

std::string TestRequest::wireText() const {
  std::string text = "POST /a/b HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id +
                     "\r\nAuthorization: Token key\r\nX-Time-Left-Ms: 9000\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

ParsedResponse parseResponse(std::string_view bytes, bool ended, bool failed) {
  ParsedResponse found;
  auto end = bytes.find("\r\n\r\n");
  if (end == bytes.npos) return found;
  found.headComplete = true;
  found.status = static_cast<int>(parseNumber(std::string(bytes.substr(9, 3))));
  found.headers = headersOf(bytes.substr(0, end));
  std::string_view rest = bytes.substr(end + 4);
  std::size_t used = 0;
  if (auto length = found.headers.find("content-length"); length != found.headers.end()) {
    used = std::min(parseNumber(length->second), rest.size());
    found.complete = rest.size() >= parseNumber(length->second);
    found.body = rest.substr(0, used);
  } else if (found.headers.contains("transfer-encoding")) {
    found.complete = decodeChunks(rest, found.body, used);
  } else {
    found.complete = ended && !failed;
    found.body = rest;
    used = rest.size();
  }
  if (found.complete) found.surplusBytes = rest.size() - used;
  return found;
}

std::string engineBody(const TestRequest& testRequest, std::size_t engine) {
  if (!testRequest.isStream()) return "<" + testRequest.id + " by e" + std::to_string(engine) + ">";
  std::string body;
  for (std::size_t event = 1; event <= kEventsPerStream; ++event)
    body += "id: " + std::to_string(event) + "\ndata: " + testRequest.id + "\n\n";
  return body;
}

std::string engineResponse(const TestRequest& testRequest, std::size_t engine, Framing framing,
                           std::uint64_t after) {
  std::string body = engineBody(testRequest, engine);
  if (testRequest.isStream())
    for (; after > 0; --after) body.erase(0, body.find("\n\n") + 2);
  std::string text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + testRequest.id + "\r\nX-Postmark: e" +
                     std::to_string(engine) + "\r\n";
  if (framing == Framing::kUntilClose) return text + "\r\n" + body;
  if (framing == Framing::kLength)
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  text += "Transfer-Encoding: chunked\r\n\r\n";
  std::size_t half = body.size() / 2;
  for (std::string_view piece :
       {std::string_view(body).substr(0, half), std::string_view(body).substr(half)}) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    text += size + std::string(piece) + "\r\n";
  }
  return text + "0\r\n\r\n";
}

/// Places requests on the engines in order, starting at the preferred one; an engine's address is
/// that of its listener.
struct RouterHarness::EnginePlacer final : Placer {
  explicit EnginePlacer(RouterHarness& path) : path(path) {}
  std::variant<PlacementDecision, PlacementRejection> place(const PlacementRequest& ask,
                                                            const FleetConfig&, const Weights&,
                                                            MonotonicTime, Outbox&) override {
    for (std::size_t step = 0; step < kEngines; ++step) {
      std::size_t number = (path.preferredEngine + step) % kEngines;
      EngineId engine{"e" + std::to_string(number)};
      if (std::ranges::find(ask.triedEngines, engine) != ask.triedEngines.end()) continue;
      PlacementDecision placed;
      placed.engine = engine;
      placed.address = path.engines[number]->address();
      return placed;
    }
    return PlacementRejection{PlacementFailure::kNoEngine, {}};
  }
  void recordFirstEvent(RequestId, Duration, MonotonicTime, Outbox&) override {}
  void endedWithoutEvent(RequestId) override {}
  RouterHarness& path;
};

RouterHarness::RouterHarness()
    : placer_(std::make_shared<EnginePlacer>(*this)),
      requests_({fakeRouter_.options, fakeRouter_.fleet, fakeRouter_.engineTraffic,
                 fakeRouter_.prefixBlocks, *placer_, random_}) {
  for (auto& engine : engines) engine = std::make_unique<TestListener>(loop);
  endpoints_ = std::make_unique<DialectEndpoints>(loop.loop(), dialect_,
                                                  [this](const Event& event) { handle(event); });
  CHECK(endpoints_->listen(address_).ok());
}

void RouterHarness::handle(const Event& event) {
  if (auto* arrived = std::get_if<RequestArrived>(&event))
    requests_.handleRequest(*arrived, now(), outbox_);
  else if (auto* gone = std::get_if<RequestCancelled>(&event))
    requests_.handleCancelled(gone->request, now(), outbox_);
  else if (auto* slow = std::get_if<RequestBackpressure>(&event))
    requests_.handleBackpressure(*slow, now(), outbox_);
  else if (auto* attemptEvent = std::get_if<AttemptEvent>(&event))
    requests_.handleAttemptEvent(*attemptEvent, now(), outbox_);
  executeCommands();
}

void RouterHarness::executeCommands() {
  for (const auto& command : outbox_.takeCommands())
    std::visit([this](const auto& one) { endpoints_->execute(one); }, command);
}

void RouterHarness::advance(Duration time) {
  clockOffset_ = clockOffset_ + time;
  requests_.tick(now(), outbox_);
  executeCommands();
}

std::unique_ptr<TestPeer> RouterHarness::send(const TestRequest& testRequest) {
  auto client = std::make_unique<TestPeer>(loop, address_);
  client->send(testRequest.wireText());
  return client;
}

std::vector<EngineRequest> RouterHarness::pendingRequests() {
  std::vector<EngineRequest> found;
  for (std::size_t engine = 0; engine < kEngines; ++engine)
    for (auto& peer : engines[engine]->peers) {
      std::string_view text = std::string_view(peer->received).substr(answeredBytes_[peer.get()]);
      auto end = text.find("\r\n\r\n");
      if (end == text.npos) continue;
      auto headers = headersOf(text.substr(0, end));
      std::size_t length = parseNumber(headers["content-length"]);
      if (text.size() < end + 4 + length) continue;
      found.push_back({engine, peer.get(), headers["x-attempt-id"],
                       std::string(text.substr(0, end + 4 + length)),
                       parseNumber(headers["last-event-id"])});
    }
  return found;
}

void RouterHarness::markAnswered(const EngineRequest& request) {
  answeredBytes_[request.peer] += request.text.size();
}

EngineRequest RouterHarness::waitForRequest(const TestRequest& testRequest) {
  EngineRequest found;
  bool arrived = loop.runUntil([&] {
    for (auto& request : pendingRequests())
      if (request.id == testRequest.id) found = request;
    return found.peer != nullptr;
  });
  CHECK_TEXT(arrived, "the request did not reach an engine");
  return found;
}

void RouterHarness::respondToPending(const std::map<std::string, TestRequest>& sentRequests,
                                     const TestPeer* excluded) {
  for (const auto& request : pendingRequests()) {
    if (request.peer == excluded) continue;
    auto testRequest = sentRequests.find(request.id);
    CHECK_TEXT(testRequest != sentRequests.end(),
               "an engine received a request that no client sent");
    if (testRequest == sentRequests.end()) return;
    markAnswered(request);
    request.peer->send(
        engineResponse(testRequest->second, request.engine, Framing::kLength, request.resumeAfter));
  }
}

bool RouterHarness::waitForResponse(const TestPeer& client,
                                    const std::map<std::string, TestRequest>& sentRequests,
                                    const TestPeer* excluded) {
  return loop.runUntil([&] {
    respondToPending(sentRequests, excluded);
    return client.ended || client.failed || parseResponse(client.received, false, false).complete;
  });
}

std::size_t RouterHarness::connectionsReached() const {
  std::size_t count = 0;
  for (const auto& engine : engines)
    for (const auto& peer : engine->peers) {
      auto before = reachedBaseline_.find(peer.get());
      if (peer->received.size() > (before == reachedBaseline_.end() ? 0 : before->second)) ++count;
    }
  return count;
}

void RouterHarness::resetReached() {
  reachedBaseline_.clear();
  for (const auto& engine : engines)
    for (const auto& peer : engine->peers) reachedBaseline_[peer.get()] = peer->received.size();
}

void RouterHarness::closeEngineConnections() {
  for (auto& engine : engines) engine->peers.clear();
  answeredBytes_.clear();
  reachedBaseline_.clear();
  preferredEngine = 0;
  CHECK_TEXT(loop.runUntil([&] { return idleConnections() == 0 && liveRequests() == 0; }),
             "a request or an idle connection remains");
  for (auto& engine : engines) engine->peers.clear();  // connections accepted in the meantime
}

std::uint16_t RouterHarness::portOf(std::size_t engine) const {
  const std::string& text = engines[engine]->address().value;
  return static_cast<std::uint16_t>(parseNumber(text.substr(text.find(':') + 1)));
}

}  // namespace peppergate
