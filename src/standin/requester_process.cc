#include "standin/requester_process.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

#include "sim/engine_model.h"

namespace peppergate {

struct RequesterProcess::Stream {
  RequesterProcess* owner = nullptr;
  std::uint64_t id = 0;
  std::shared_ptr<PendingRequest> pending;
  evhttp_connection* connection = nullptr;
  ServerSentEventParser events;
  std::string finalEvent;  // type of the final event, "end" or "error"; empty before
  std::string error;
  std::string body;
  std::string requestId;
};

/// The libevent callbacks; a friend so that they can reach the requester's private members.
struct RequesterCallbacks {
  using Stream = RequesterProcess::Stream;
  static Headers headersOf(evhttp_request* request) {
    Headers headers;
    evkeyvalq* input = evhttp_request_get_input_headers(request);
    for (evkeyval* header = input->tqh_first; header != nullptr; header = header->next.tqe_next)
      headers[header->key] = header->value;
    return headers;
  }
  static int onHead(evhttp_request* request, void* argument) {
    auto* stream = static_cast<Stream*>(argument);
    stream->owner->onResponseHead(*stream, evhttp_request_get_response_code(request),
                                  headersOf(request));
    return 0;
  }
  static std::string takeAll(evhttp_request* request) {
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string text(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, text.data(), text.size());
    return text;
  }
  static void onChunk(evhttp_request* request, void* argument) {
    auto* stream = static_cast<Stream*>(argument);
    std::string text = takeAll(request);
    stream->body += text;
    if (evhttp_request_get_response_code(request) != 200 || stream->pending->isUnary) return;
    stream->events.feed(text, [stream](const ServerSentEventParser::ServerSentEvent& event) {
      stream->owner->onEvent(*stream, event);
    });
  }
  static void onDone(evhttp_request* request, void* argument) {
    auto* raw = static_cast<Stream*>(argument);
    auto found = raw->owner->streams_.find(raw->id);
    if (found == raw->owner->streams_.end()) return;
    std::shared_ptr<Stream> stream = found->second;
    raw->owner->streams_.erase(found);
    int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (request != nullptr) stream->body += takeAll(request);
    raw->owner->loop_.runSoon([stream] { evhttp_connection_free(stream->connection); });
    raw->owner->onResponseEnd(stream, status, stream->body);
  }
};

RequesterProcess::RequesterProcess(EventLoop& loop, RequesterConfig config)
    : loop_(loop), config_(std::move(config)), random_(config_.seed) {}

void RequesterProcess::start(std::function<void(const Json&)> onDone) {
  onDone_ = std::move(onDone);
  startTime_ = lastTick_ = bootNow();
  loop_.runEvery(milliseconds(5), [this] { tick(); });
}

void RequesterProcess::tick() {
  if (finished_) return;
  MonotonicTime now = bootNow();
  bool sending = now - startTime_ < config_.duration;
  if (sending) {
    dueRequests_ += inSeconds(now - lastTick_) * config_.rate;
    for (; dueRequests_ >= 1; dueRequests_ -= 1) sendNewRequest();
  }
  lastTick_ = now;
  if (sending || openRequests_ > 0) return;
  finished_ = true;
  onDone_(makeReport());
}

void RequesterProcess::sendNewRequest() {
  auto pending = std::make_shared<PendingRequest>();
  pending->id = ++sentRequests_;
  auto rows = exampleTenants(config_.profile);
  double roll = random_.fraction();
  const ExampleTenant* row = &rows.front();
  for (const auto& candidate : rows) {
    row = &candidate;
    if (roll < candidate.trafficShare) break;
    roll -= candidate.trafficShare;
  }
  pending->tenant = row->name;
  pending->isUnary = random_.below(12) == 0;
  pending->resumable = !pending->isUnary && random_.below(2) == 0;
  pending->pieceCount = pending->isUnary ? 1 : 4 + random_.below(12);
  if (!pending->isUnary)
    pending->texts =
        sharedPrefix(row->name, row->prefixSizeClass, pickDocument(random_, config_.documentCount));
  pending->texts.push_back("question " + std::to_string(random_.next()));
  pending->startTime = bootNow();
  pending->deadline = pending->startTime + seconds(5 + 5 * random_.fraction());
  ++openRequests_;
  send(pending);
}

void RequesterProcess::send(const std::shared_ptr<PendingRequest>& pending) {
  auto stream = std::make_shared<Stream>();
  stream->owner = this;
  stream->pending = pending;
  stream->id = ++lastStreamId_;
  const Address& router = config_.routers[random_.below(config_.routers.size())];
  auto colon = router.value.find(':');
  stream->connection = evhttp_connection_base_new(
      loop_.base(), nullptr, router.value.substr(0, colon).c_str(),
      static_cast<std::uint16_t>(std::atoi(router.value.c_str() + colon + 1)));
  evhttp_connection_set_timeout(stream->connection, 15);
  streams_[stream->id] = stream;
  evhttp_request* request = evhttp_request_new(&RequesterCallbacks::onDone, stream.get());
  evhttp_request_set_chunked_cb(request, &RequesterCallbacks::onChunk);
  evhttp_request_set_header_cb(request, &RequesterCallbacks::onHead);
  evkeyvalq* output = evhttp_request_get_output_headers(request);
  evhttp_add_header(output, "Host", router.value.c_str());
  evhttp_add_header(output, "Connection", "close");
  evhttp_add_header(output, "X-Api-Key", Callers::keyOf(pending->tenant).c_str());
  auto timeLeftMs = std::max<std::int64_t>(1, inMilliseconds(pending->deadline - bootNow()));
  evhttp_add_header(output, "X-Deadline-Ms", std::to_string(timeLeftMs).c_str());
  Json parts = Json::array();
  for (std::size_t part = 0; part < pending->texts.size(); ++part)
    parts.push_back({{"text", pending->texts[part]}, {"shared", part + 1 < pending->texts.size()}});
  Json body{{"parts", parts}, {"pieces", pending->pieceCount}, {"resumable", pending->resumable}};
  if (pending->nextPiece > 0)
    body.update({{"resumeFrom", pending->nextPiece}, {"resumeWeights", pending->weights}});
  std::string text = body.dump();
  evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
  evhttp_make_request(stream->connection, request, EVHTTP_REQ_POST,
                      pending->isUnary ? "/v1/desk" : "/v1/stream");
}

void RequesterProcess::onResponseHead(Stream& stream, int status, const Headers& headers) {
  auto id = headers.find("X-Request-Id");
  if (id != headers.end()) stream.requestId = id->second;
  auto weights = headers.find("X-Weights");
  if (status != 200 || weights == headers.end()) return;
  std::uint64_t version = std::strtoull(weights->second.c_str(), nullptr, 10);
  if (stream.pending->weights != 0 && stream.pending->weights != version)
    recordViolation("resumed-under-other-weights");
  stream.pending->weights = version;
}

void RequesterProcess::onEvent(Stream& stream,
                               const ServerSentEventParser::ServerSentEvent& event) {
  PendingRequest& pending = *stream.pending;
  if (!stream.finalEvent.empty()) recordViolation("event-after-the-end");
  if (event.event != "piece") {
    stream.finalEvent = event.event;
    Json data = Json::parse(event.data, nullptr, false);
    if (data.is_object()) stream.error = data.value("error", "");
    return;
  }
  if (pending.firstEventTime == kForever) {
    pending.firstEventTime = bootNow();
    firstEventSeconds_.push_back(inSeconds(pending.firstEventTime - pending.startTime));
  }
  PieceIndex number{std::strtoull(event.id.c_str(), nullptr, 10)};
  if (number.value != pending.nextPiece) recordViolation("piece-lost-or-repeated");
  else if (event.data.substr(0, event.data.find('#')) !=
           expectedPieceText(promptDigest(pending.texts), {pending.weights}, number))
    recordViolation("piece-of-another-answer");
  std::string runId(runIdOf(event.data));
  if (!pending.resumable && !pending.runId.empty() && pending.runId != runId)
    recordViolation("two-runs-glued");
  pending.runId = runId;
  ++pending.nextPiece;
}

void RequesterProcess::onResponseEnd(const std::shared_ptr<Stream>& stream, int status,
                                     const std::string& body) {
  PendingRequest& pending = *stream->pending;
  Json answer = Json::parse(body, nullptr, false);
  if (status == 200 && pending.isUnary) {
    std::string expected = expectedPieceText(promptDigest(pending.texts), {0}, {0}).substr(3);
    std::string actual = answer.is_object() ? answer.value("answer", "") : std::string();
    actual = actual.substr(0, actual.find('#'));
    bool matches =
        actual.size() > expected.size() && actual.ends_with(expected) && actual.starts_with("w");
    if (!matches) recordViolation("piece-of-another-answer");
    return recordOutcome(matches ? "whole" : "foreign");
  }
  if (status == 200 && stream->finalEvent == "end") {
    if (pending.nextPiece != pending.pieceCount) recordViolation("cut-answer-looks-whole");
    return recordOutcome("whole");
  }
  if (status != 200 && status != 0) {
    std::string kind = answer.is_object() ? answer.value("error", "untyped") : "untyped";
    if (kind == "untyped") recordViolation("untyped-error");
    else if (!answer.value("mayHaveRun", true) && !stream->requestId.empty())
      reportedNotRun_.push_back(stream->requestId);
    return recordOutcome("declined." + kind);
  }
  // Interrupted: a resumable stream is resumed once, at a randomly chosen router.
  bool mayResume = pending.resumable && !pending.resumed && pending.nextPiece > 0 &&
                   stream->error != "deadline" && stream->error != "key-withdrawn";
  if (!mayResume) return recordOutcome(stream->error.empty() ? "lost" : "cut." + stream->error);
  pending.resumed = true;
  loop_.runAfter(milliseconds(300), [this, pending = stream->pending] { send(pending); });
}

void RequesterProcess::recordOutcome(const std::string& outcome) {
  ++outcomes_[outcome];
  --openRequests_;
}

Json RequesterProcess::makeReport() {
  std::ranges::sort(firstEventSeconds_);
  auto quantile = [this](double fraction) {
    if (firstEventSeconds_.empty()) return 0.0;
    return firstEventSeconds_[static_cast<std::size_t>(
        fraction * static_cast<double>(firstEventSeconds_.size() - 1))];
  };
  return {{"sent", sentRequests_},
          {"ends", outcomes_},
          {"violations", violations_},
          {"toldNotRun", reportedNotRun_},
          {"firstEventSeconds",
           {{"median", quantile(0.5)}, {"p90", quantile(0.9)}, {"p99", quantile(0.99)}}}};
}

}  // namespace peppergate
