#include "standin/engine_process.h"

#include <algorithm>

namespace peppergate {
namespace {

const Headers kJson{{"Content-Type", "application/json"}};

std::string queryValue(const std::string& query, const std::string& name) {
  auto at = query.find(name + "=");
  if (at == std::string::npos) return {};
  auto start = at + name.size() + 1;
  return query.substr(start, query.find('&', start) - start);
}

}  // namespace

EngineProcess::EngineProcess(EventLoop& loop, EngineProcessConfig config)
    : loop_(loop),
      config_(std::move(config)),
      model_(config_.options, {config_.id}, config_.weights,
             static_cast<std::uint64_t>(bootNow().microseconds)),
      client_(loop),
      server_(loop,
              [this](const std::shared_ptr<WebRequest>& request) { handleRequest(request); }) {}

absl::Status EngineProcess::open() {
  loop_.runEvery(milliseconds(50), [this] { model_.tick(bootNow()); });
  return server_.listen(config_.listen, 4 << 20);
}

Json EngineProcess::report() const {
  Json violations = Json::object();
  for (const auto& [kind, count] : model_.violations()) violations[kind] = count;
  return {{"id", config_.id},
          {"violations", violations},
          {"begun", model_.startedOnceIds()},
          {"began", model_.startedIds()},
          {"firstShots", model_.firstAttemptCount()},
          {"secondShots", model_.secondAttemptCount()},
          {"weights", model_.weights().value}};
}

void EngineProcess::handleRequest(const std::shared_ptr<WebRequest>& request) {
  const std::string& path = request->path;
  Json body = request->body.empty() ? Json() : Json::parse(request->body, nullptr, false);
  if (path == "/run") {
    startRun(request);
  } else if (path == "/health") {
    request->respond(200, kJson, model_.health().dump());
  } else if (path == "/kept") {
    request->respond(reportsDisabled_ ? 503 : 200, kJson, model_.cacheReport().dump());
  } else if (path == "/order" && body.is_object()) {
    auto verdict = model_.order(body, bootNow());
    request->respond(verdict.status, kJson, Json{{"reason", verdict.reason}}.dump());
  } else if (path == "/part" && request->method == "POST") {
    storeBlock(*request);
  } else if (path == "/part") {
    sendBlock(*request);
  } else if (path == "/marked" && body.is_object()) {
    model_.setDraining(body.value("draining", false), bootNow());
    request->respond(200, kJson, "{}");
  } else if (path == "/named" && body.is_object()) {
    model_.noteAcknowledgedWeights({body.value("weights", std::uint64_t{0})}, bootNow());
    request->respond(200, kJson, "{}");
  } else if (path == "/fault" && body.is_object()) {
    linkFactor_ = body.value("link", linkFactor_);
    reportsDisabled_ = body.value("reportsOff", reportsDisabled_);
    request->respond(200, kJson, "{}");
  } else if (path == "/report") {
    request->respond(200, kJson, report().dump());
  } else {
    request->respond(404, kJson, R"({"reason":"no such path"})");
  }
}

void EngineProcess::storeBlock(const WebRequest& request) {
  Json body = Json::parse(request.body, nullptr, false);
  auto& mutableRequest = const_cast<WebRequest&>(request);
  if (!body.is_object()) return mutableRequest.respond(400, kJson, "{}");
  EngineCacheBlock block;
  block.label.name = {body.value("name", "")};
  block.label.cacheDomain = {body.value("wall", "")};
  block.label.weights = {body.value("weights", std::uint64_t{0})};
  block.actualDomain = {body.value("realWall", "")};
  block.actualWeights = {body.value("madeUnder", std::uint64_t{0})};
  model_.addFetchedBlock(block);
  mutableRequest.respond(200, kJson, "{}");
}

void EngineProcess::sendBlock(WebRequest& request) {
  const EngineCacheBlock* block = model_.findBlock({queryValue(request.query, "name")});
  if (block == nullptr) return request.respond(404, kJson, "{}");
  request.respond(200, kJson,
                  Json{{"name", block->label.name.value},
                       {"wall", block->label.cacheDomain.value},
                       {"weights", block->label.weights.value},
                       {"realWall", block->actualDomain.value},
                       {"madeUnder", block->actualWeights.value},
                       {"room", config_.linkMegabytesPerSecond * linkFactor_}}
                      .dump());
}

void EngineProcess::startRun(const std::shared_ptr<WebRequest>& request) {
  auto run = std::make_shared<Run>();
  run->request = request;
  run->runRequest = parseRun(request->headers, request->body);
  run->startTime = bootNow();
  run->nextPiece = run->runRequest.firstPiece;
  run->runRequest.runId = model_.newRunId();
  auto verdict = model_.begin(run->runRequest, run->startTime);
  if (verdict.status != 200) {
    Headers headers = kJson;
    headers["X-Did-Not-Run"] = "1";
    request->respond(verdict.status, headers, Json{{"reason", verdict.reason}}.dump());
    return;
  }
  request->startEventStream({{"X-Request-Id", run->runRequest.requestId}});
  fetchMissingBlocks(run);
}

void EngineProcess::fetchMissingBlocks(const std::shared_ptr<Run>& run) {
  auto names = model_.missingBlocks(run->runRequest);
  run->pendingFetches = names.size();
  if (run->runRequest.fetchSource.value.empty()) run->pendingFetches = 0;
  if (run->pendingFetches == 0) return onBlocksFetched(run);
  for (const auto& name : names) {
    CallHttp call;
    call.address = run->runRequest.fetchSource;
    call.method = "GET";
    call.path = "/part?name=" + name.value;
    call.timeout = seconds(2);
    client_.call(call, [this, run, name](const WebResponse& result) {
      Json body = result.status == 200 ? Json::parse(result.body, nullptr, false) : Json();
      if (body.is_object()) {
        EngineCacheBlock block;
        block.label = {name, {body.value("wall", "")}, {body.value("weights", std::uint64_t{0})}};
        block.actualDomain = {body.value("realWall", "")};
        block.actualWeights = {body.value("madeUnder", std::uint64_t{0})};
        model_.addFetchedBlock(block);
        for (const auto& promptPart : run->runRequest.parts)
          if (promptPart.name == name)
            run->fetchedMegabytes +=
                static_cast<double>(promptPart.characters) * config_.blockBytesPerCharacter / 1e6;
      }
      if (--run->pendingFetches == 0) onBlocksFetched(run);
    });
  }
}

void EngineProcess::onBlocksFetched(const std::shared_ptr<Run>& run) {
  // The bytes of blocks are not transferred; only their transfer time on this link is simulated.
  double rate = std::max(0.001, run->runRequest.fetchRate);
  Duration fetchTime{};
  if (run->fetchedMegabytes > 0) {
    activeFetchRate_ += rate;
    double share = std::min(1.0, config_.linkMegabytesPerSecond * linkFactor_ / activeFetchRate_);
    fetchTime = seconds(run->fetchedMegabytes / (rate * share));
    loop_.runAfter(fetchTime, [this, rate] { activeFetchRate_ -= rate; });
  }
  std::vector<EngineCacheBlock> newBlocks;
  Duration delay = fetchTime + model_.prefill(run->runRequest, newBlocks);
  if (!run->runRequest.depositAddress.value.empty())
    for (const auto& block : newBlocks) {
      CallHttp call;
      call.address = run->runRequest.depositAddress;
      call.method = "POST";
      call.path = "/part";
      call.timeout = seconds(2);
      call.body = Json{{"name", block.label.name.value},
                       {"wall", block.label.cacheDomain.value},
                       {"weights", block.label.weights.value},
                       {"realWall", block.actualDomain.value},
                       {"madeUnder", block.actualWeights.value}}
                      .dump();
      client_.call(call, [](const WebResponse&) {});
    }
  loop_.runAfter(delay, [this, run] { generate(run); });
}

void EngineProcess::generate(const std::shared_ptr<Run>& run) {
  if (run->request->isDisconnected()) {  // the client has disconnected
    model_.end(bootNow());
    return;
  }
  run->request->sendEvent(std::to_string(run->nextPiece.value), "piece",
                          model_.pieceText(run->runRequest, run->nextPiece));
  if (++run->nextPiece.value >= static_cast<std::uint64_t>(run->runRequest.pieces)) {
    run->request->sendEvent("", "end", "{}");
    run->request->endStream();
    model_.end(bootNow());
    return;
  }
  loop_.runAfter(model_.options().pieceInterval, [this, run] { generate(run); });
}

}  // namespace peppergate
