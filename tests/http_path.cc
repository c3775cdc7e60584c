#include "tests/http_path.h"

#include <charconv>

namespace peppergate {
namespace {

constexpr std::size_t kEventsOfAStream = 3;

std::string lowered(std::string_view text) {
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
      headers[lowered(line.substr(0, colon))] = line.substr(std::min(colon + 2, line.size()));
    start = end;
  }
  return headers;
}

std::size_t numberIn(const std::string& text, int base = 10) {
  std::size_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, base);
  return number;
}

/// Decodes a chunked body; false if the last chunk is missing.
bool readChunksOf(std::string_view bytes, std::string& body, std::size_t& used) {
  std::size_t at = 0;
  while (true) {
    auto end = bytes.find("\r\n", at);
    if (end == bytes.npos) return false;
    std::size_t size = numberIn(std::string(bytes.substr(at, end - at)), 16);
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

std::string Asked::text() const {
  std::string text = "POST /a/b HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id +
                     "\r\nAuthorization: Token key\r\nX-Time-Left-Ms: 9000\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

FoundAnswer findAnswer(std::string_view bytes, bool ended, bool failed) {
  FoundAnswer found;
  auto end = bytes.find("\r\n\r\n");
  if (end == bytes.npos) return found;
  found.headComplete = true;
  found.status = static_cast<int>(numberIn(std::string(bytes.substr(9, 3))));
  found.headers = headersOf(bytes.substr(0, end));
  std::string_view rest = bytes.substr(end + 4);
  std::size_t used = 0;
  if (auto length = found.headers.find("content-length"); length != found.headers.end()) {
    used = std::min(numberIn(length->second), rest.size());
    found.complete = rest.size() >= numberIn(length->second);
    found.body = rest.substr(0, used);
  } else if (found.headers.contains("transfer-encoding")) {
    found.complete = readChunksOf(rest, found.body, used);
  } else {
    found.complete = ended && !failed;
    found.body = rest;
    used = rest.size();
  }
  if (found.complete) found.behind = rest.size() - used;
  return found;
}

std::string bodyFor(const Asked& asked, std::size_t engine) {
  if (!asked.stream()) return "<" + asked.id + " by e" + std::to_string(engine) + ">";
  std::string body;
  for (std::size_t event = 1; event <= kEventsOfAStream; ++event)
    body += "id: " + std::to_string(event) + "\ndata: " + asked.id + "\n\n";
  return body;
}

std::string answerFor(const Asked& asked, std::size_t engine, Framing framing,
                      std::uint64_t after) {
  std::string body = bodyFor(asked, engine);
  if (asked.stream())
    for (; after > 0; --after) body.erase(0, body.find("\n\n") + 2);
  std::string text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + asked.id + "\r\nX-Postmark: e" +
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
struct HttpPath::EnginePlacer final : Placer {
  explicit EnginePlacer(HttpPath& path) : path(path) {}
  std::variant<Placed, PlaceRefusal> place(const PlacementAsk& ask, const FleetConfig&,
                                           const Weights&, MonotonicTime, Outbox&) override {
    for (std::size_t step = 0; step < kEngines; ++step) {
      std::size_t number = (path.preferred + step) % kEngines;
      EngineId engine{"e" + std::to_string(number)};
      if (std::ranges::find(ask.tried, engine) != ask.tried.end()) continue;
      Placed placed;
      placed.engine = engine;
      placed.address = path.engines[number]->address();
      return placed;
    }
    return PlaceRefusal{PlaceFault::kNoEngine, {}};
  }
  void firstEvent(RequestId, Duration, MonotonicTime, Outbox&) override {}
  void dropped(RequestId) override {}
  HttpPath& path;
};

HttpPath::HttpPath()
    : placer_(std::make_shared<EnginePlacer>(*this)),
      requests_({fakes_.options, fakes_.facts, fakes_.ledger, fakes_.kept, *placer_, random_}) {
  for (auto& engine : engines) engine = std::make_unique<TestListener>(loop);
  endpoints_ = std::make_unique<DialectEndpoints>(loop.loop(), dialect_,
                                                  [this](const Event& event) { step(event); });
  CHECK(endpoints_->listen(address_).ok());
}

void HttpPath::step(const Event& event) {
  if (auto* arrived = std::get_if<RequestArrived>(&event)) requests_.ask(*arrived, now(), outbox_);
  else if (auto* gone = std::get_if<RequestGone>(&event))
    requests_.gone(gone->request, now(), outbox_);
  else if (auto* slow = std::get_if<ClientSlow>(&event)) requests_.slow(*slow, now(), outbox_);
  else if (auto* turned = std::get_if<AttemptTurned>(&event))
    requests_.turn(*turned, now(), outbox_);
  carryOut();
}

void HttpPath::carryOut() {
  for (const auto& command : outbox_.take())
    std::visit([this](const auto& one) { endpoints_->carryOut(one); }, command);
}

void HttpPath::pass(Duration time) {
  skew_ = skew_ + time;
  requests_.tick(now(), outbox_);
  carryOut();
}

std::unique_ptr<TestPeer> HttpPath::send(const Asked& asked) {
  auto client = std::make_unique<TestPeer>(loop, address_);
  client->send(asked.text());
  return client;
}

std::vector<EngineRequest> HttpPath::waiting() {
  std::vector<EngineRequest> found;
  for (std::size_t engine = 0; engine < kEngines; ++engine)
    for (auto& peer : engines[engine]->peers) {
      std::string_view text = std::string_view(peer->got).substr(taken_[peer.get()]);
      auto end = text.find("\r\n\r\n");
      if (end == text.npos) continue;
      auto headers = headersOf(text.substr(0, end));
      std::size_t length = numberIn(headers["content-length"]);
      if (text.size() < end + 4 + length) continue;
      found.push_back({engine, peer.get(), headers["x-attempt-id"],
                       std::string(text.substr(0, end + 4 + length)),
                       numberIn(headers["last-event-id"])});
    }
  return found;
}

void HttpPath::answered(const EngineRequest& request) {
  taken_[request.peer] += request.text.size();
}

EngineRequest HttpPath::arrived(const Asked& asked) {
  EngineRequest found;
  bool came = loop.until([&] {
    for (auto& request : waiting())
      if (request.id == asked.id) found = request;
    return found.peer != nullptr;
  });
  CHECK_TEXT(came, "the request did not reach an engine");
  return found;
}

void HttpPath::serve(const std::map<std::string, Asked>& known, const TestPeer* but) {
  for (const auto& request : waiting()) {
    if (request.peer == but) continue;
    auto asked = known.find(request.id);
    CHECK_TEXT(asked != known.end(), "an engine received a request that no client sent");
    if (asked == known.end()) return;
    answered(request);
    request.peer->send(
        answerFor(asked->second, request.engine, Framing::kLength, request.resumeAfter));
  }
}

bool HttpPath::finish(const TestPeer& client, const std::map<std::string, Asked>& known,
                      const TestPeer* but) {
  return loop.until([&] {
    serve(known, but);
    return client.ended || client.failed || findAnswer(client.got, false, false).complete;
  });
}

std::size_t HttpPath::reached() const {
  std::size_t count = 0;
  for (const auto& engine : engines)
    for (const auto& peer : engine->peers) {
      auto before = marked_.find(peer.get());
      if (peer->got.size() > (before == marked_.end() ? 0 : before->second)) ++count;
    }
  return count;
}

void HttpPath::mark() {
  marked_.clear();
  for (const auto& engine : engines)
    for (const auto& peer : engine->peers) marked_[peer.get()] = peer->got.size();
}

void HttpPath::clear() {
  for (auto& engine : engines) engine->peers.clear();
  taken_.clear();
  marked_.clear();
  preferred = 0;
  CHECK_TEXT(loop.until([&] { return idle() == 0 && live() == 0; }),
             "a request or an idle connection remains");
  for (auto& engine : engines) engine->peers.clear();  // connections accepted in the meantime
}

std::uint16_t HttpPath::portOf(std::size_t engine) const {
  const std::string& text = engines[engine]->address().value;
  return static_cast<std::uint16_t>(numberIn(text.substr(text.find(':') + 1)));
}

}  // namespace peppergate
