#include "standin/requester_process.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

#include "sim/engine_model.h"

namespace peppergate {

struct RequesterProcess::Stream {
  RequesterProcess* owner = nullptr;
  std::uint64_t id = 0;
  std::shared_ptr<Ask> ask;
  evhttp_connection* connection = nullptr;
  EventReader events;
  std::string end;  // type of the final event, "end" or "error"; empty before
  std::string error;
  std::string body;
  std::string requestId;
};

/// The libevent callbacks; a friend so that they can reach the requester's private members.
struct RequesterBacks {
  using Stream = RequesterProcess::Stream;
  static Headers headersOf(evhttp_request* request) {
    Headers headers;
    evkeyvalq* input = evhttp_request_get_input_headers(request);
    for (evkeyval* header = input->tqh_first; header != nullptr; header = header->next.tqe_next)
      headers[header->key] = header->value;
    return headers;
  }
  static int head(evhttp_request* request, void* argument) {
    auto* stream = static_cast<Stream*>(argument);
    stream->owner->streamHead(*stream, evhttp_request_get_response_code(request),
                              headersOf(request));
    return 0;
  }
  static std::string drained(evhttp_request* request) {
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string text(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, text.data(), text.size());
    return text;
  }
  static void chunk(evhttp_request* request, void* argument) {
    auto* stream = static_cast<Stream*>(argument);
    std::string text = drained(request);
    stream->body += text;
    if (evhttp_request_get_response_code(request) != 200 || stream->ask->unary) return;
    stream->events.feed(text, [stream](const EventReader::OneEvent& event) {
      stream->owner->piece(*stream, event);
    });
  }
  static void done(evhttp_request* request, void* argument) {
    auto* raw = static_cast<Stream*>(argument);
    auto found = raw->owner->streams_.find(raw->id);
    if (found == raw->owner->streams_.end()) return;
    std::shared_ptr<Stream> stream = found->second;
    raw->owner->streams_.erase(found);
    int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (request != nullptr) stream->body += drained(request);
    raw->owner->loop_.soon([stream] { evhttp_connection_free(stream->connection); });
    raw->owner->done(stream, status, stream->body);
  }
};

RequesterProcess::RequesterProcess(Loop& loop, RequesterSetup setup)
    : loop_(loop), setup_(std::move(setup)), random_(setup_.seed) {}

void RequesterProcess::start(std::function<void(const Json&)> done) {
  done_ = std::move(done);
  began_ = last_ = bootNow();
  loop_.every(milliseconds(5), [this] { tick(); });
}

void RequesterProcess::tick() {
  if (over_) return;
  MonotonicTime now = bootNow();
  bool sending = now - began_ < setup_.length;
  if (sending) {
    due_ += inSeconds(now - last_) * setup_.rate;
    for (; due_ >= 1; due_ -= 1) sendOne();
  }
  last_ = now;
  if (sending || open_ > 0) return;
  over_ = true;
  done_(verdict());
}

void RequesterProcess::sendOne() {
  auto ask = std::make_shared<Ask>();
  ask->id = ++sent_;
  auto rows = tenantRows(setup_.profile);
  double roll = random_.fraction();
  const TenantRow* row = &rows.front();
  for (const auto& candidate : rows) {
    row = &candidate;
    if (roll < candidate.share) break;
    roll -= candidate.share;
  }
  ask->tenant = row->name;
  ask->unary = random_.below(12) == 0;
  ask->resumable = !ask->unary && random_.below(2) == 0;
  ask->pieces = ask->unary ? 1 : 4 + random_.below(12);
  if (!ask->unary)
    ask->texts = sharedPrefix(row->name, row->prefix, pickDocument(random_, setup_.documents));
  ask->texts.push_back("question " + std::to_string(random_.next()));
  ask->asked = bootNow();
  ask->deadline = ask->asked + seconds(5 + 5 * random_.fraction());
  ++open_;
  send(ask);
}

void RequesterProcess::send(const std::shared_ptr<Ask>& ask) {
  auto stream = std::make_shared<Stream>();
  stream->owner = this;
  stream->ask = ask;
  stream->id = ++lastStream_;
  const Address& front = setup_.fronts[random_.below(setup_.fronts.size())];
  auto colon = front.value.find(':');
  stream->connection = evhttp_connection_base_new(
      loop_.base(), nullptr, front.value.substr(0, colon).c_str(),
      static_cast<std::uint16_t>(std::atoi(front.value.c_str() + colon + 1)));
  evhttp_connection_set_timeout(stream->connection, 15);
  streams_[stream->id] = stream;
  evhttp_request* request = evhttp_request_new(&RequesterBacks::done, stream.get());
  evhttp_request_set_chunked_cb(request, &RequesterBacks::chunk);
  evhttp_request_set_header_cb(request, &RequesterBacks::head);
  evkeyvalq* output = evhttp_request_get_output_headers(request);
  evhttp_add_header(output, "Host", front.value.c_str());
  evhttp_add_header(output, "Connection", "close");
  evhttp_add_header(output, "X-Api-Key", Callers::keyOf(ask->tenant).c_str());
  auto left = std::max<std::int64_t>(1, inMilliseconds(ask->deadline - bootNow()));
  evhttp_add_header(output, "X-Deadline-Ms", std::to_string(left).c_str());
  Json parts = Json::array();
  for (std::size_t part = 0; part < ask->texts.size(); ++part)
    parts.push_back({{"text", ask->texts[part]}, {"shared", part + 1 < ask->texts.size()}});
  Json body{{"parts", parts}, {"pieces", ask->pieces}, {"resumable", ask->resumable}};
  if (ask->next > 0) body.update({{"resumeFrom", ask->next}, {"resumeWeights", ask->weights}});
  std::string text = body.dump();
  evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
  evhttp_make_request(stream->connection, request, EVHTTP_REQ_POST,
                      ask->unary ? "/v1/desk" : "/v1/stream");
}

void RequesterProcess::streamHead(Stream& stream, int status, const Headers& headers) {
  auto id = headers.find("X-Request-Id");
  if (id != headers.end()) stream.requestId = id->second;
  auto weights = headers.find("X-Weights");
  if (status != 200 || weights == headers.end()) return;
  std::uint64_t version = std::strtoull(weights->second.c_str(), nullptr, 10);
  if (stream.ask->weights != 0 && stream.ask->weights != version)
    violation("resumed-under-other-weights");
  stream.ask->weights = version;
}

void RequesterProcess::piece(Stream& stream, const EventReader::OneEvent& event) {
  Ask& ask = *stream.ask;
  if (!stream.end.empty()) violation("event-after-the-end");
  if (event.event != "piece") {
    stream.end = event.event;
    Json data = Json::parse(event.data, nullptr, false);
    if (data.is_object()) stream.error = data.value("error", "");
    return;
  }
  if (ask.first == kForever) {
    ask.first = bootNow();
    firsts_.push_back(inSeconds(ask.first - ask.asked));
  }
  Piece number{std::strtoull(event.id.c_str(), nullptr, 10)};
  if (number.value != ask.next) violation("piece-lost-or-repeated");
  else if (event.data.substr(0, event.data.find('#')) !=
           rightPiece(promptDigest(ask.texts), {ask.weights}, number))
    violation("piece-of-another-answer");
  std::string run(runOf(event.data));
  if (!ask.resumable && !ask.run.empty() && ask.run != run) violation("two-runs-glued");
  ask.run = run;
  ++ask.next;
}

void RequesterProcess::done(const std::shared_ptr<Stream>& stream, int status,
                            const std::string& body) {
  Ask& ask = *stream->ask;
  Json answer = Json::parse(body, nullptr, false);
  if (status == 200 && ask.unary) {
    std::string right = rightPiece(promptDigest(ask.texts), {0}, {0}).substr(3);
    std::string said = answer.is_object() ? answer.value("answer", "") : std::string();
    said = said.substr(0, said.find('#'));
    bool good = said.size() > right.size() && said.ends_with(right) && said.starts_with("w");
    if (!good) violation("piece-of-another-answer");
    return finish(good ? "whole" : "foreign");
  }
  if (status == 200 && stream->end == "end") {
    if (ask.next != ask.pieces) violation("cut-answer-looks-whole");
    return finish("whole");
  }
  if (status != 200 && status != 0) {
    std::string kind = answer.is_object() ? answer.value("error", "untyped") : "untyped";
    if (kind == "untyped") violation("untyped-error");
    else if (!answer.value("mayHaveRun", true) && !stream->requestId.empty())
      toldNotRun_.push_back(stream->requestId);
    return finish("declined." + kind);
  }
  // Interrupted: a resumable stream is resumed once, at a randomly chosen router.
  bool again = ask.resumable && !ask.resumed && ask.next > 0 && stream->error != "deadline" &&
               stream->error != "key-withdrawn";
  if (!again) return finish(stream->error.empty() ? "lost" : "cut." + stream->error);
  ask.resumed = true;
  loop_.after(milliseconds(300), [this, ask = stream->ask] { send(ask); });
}

void RequesterProcess::finish(const std::string& end) {
  ++ends_[end];
  --open_;
}

Json RequesterProcess::verdict() {
  std::ranges::sort(firsts_);
  auto quantile = [this](double share) {
    if (firsts_.empty()) return 0.0;
    return firsts_[static_cast<std::size_t>(share * static_cast<double>(firsts_.size() - 1))];
  };
  return {{"sent", sent_},
          {"ends", ends_},
          {"violations", violations_},
          {"toldNotRun", toldNotRun_},
          {"firstEventSeconds",
           {{"median", quantile(0.5)}, {"p90", quantile(0.9)}, {"p99", quantile(0.99)}}}};
}

}  // namespace peppergate
