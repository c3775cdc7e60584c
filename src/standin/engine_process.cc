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

EngineProcess::EngineProcess(Loop& loop, EngineProcessSetup setup)
    : loop_(loop),
      setup_(std::move(setup)),
      model_(setup_.options, {setup_.id}, setup_.weights,
             static_cast<std::uint64_t>(bootNow().microseconds)),
      client_(loop),
      server_(loop, [this](const std::shared_ptr<WebRequest>& request) { take(request); }) {}

absl::Status EngineProcess::open() {
  loop_.every(milliseconds(50), [this] { model_.tick(bootNow()); });
  return server_.listen(setup_.listen, 4 << 20);
}

Json EngineProcess::report() const {
  Json violations = Json::object();
  for (const auto& [kind, count] : model_.violations()) violations[kind] = count;
  return {{"id", setup_.id},
          {"violations", violations},
          {"begun", model_.begun()},
          {"began", model_.began()},
          {"firstShots", model_.firstShots()},
          {"secondShots", model_.secondShots()},
          {"weights", model_.weights().value}};
}

void EngineProcess::take(const std::shared_ptr<WebRequest>& request) {
  const std::string& path = request->path;
  Json body = request->body.empty() ? Json() : Json::parse(request->body, nullptr, false);
  if (path == "/run") {
    start(request);
  } else if (path == "/health") {
    request->answer(200, kJson, model_.health().dump());
  } else if (path == "/kept") {
    request->answer(reportsOff_ ? 503 : 200, kJson, model_.kept().dump());
  } else if (path == "/order" && body.is_object()) {
    auto verdict = model_.order(body, bootNow());
    request->answer(verdict.status, kJson, Json{{"reason", verdict.reason}}.dump());
  } else if (path == "/part" && request->method == "POST") {
    putPart(*request);
  } else if (path == "/part") {
    getPart(*request);
  } else if (path == "/marked" && body.is_object()) {
    model_.marked(body.value("draining", false), bootNow());
    request->answer(200, kJson, "{}");
  } else if (path == "/named" && body.is_object()) {
    model_.named({body.value("weights", std::uint64_t{0})}, bootNow());
    request->answer(200, kJson, "{}");
  } else if (path == "/fault" && body.is_object()) {
    factor_ = body.value("link", factor_);
    reportsOff_ = body.value("reportsOff", reportsOff_);
    request->answer(200, kJson, "{}");
  } else if (path == "/report") {
    request->answer(200, kJson, report().dump());
  } else {
    request->answer(404, kJson, R"({"reason":"no such path"})");
  }
}

void EngineProcess::putPart(const WebRequest& request) {
  Json body = Json::parse(request.body, nullptr, false);
  auto& answerable = const_cast<WebRequest&>(request);
  if (!body.is_object()) return answerable.answer(400, kJson, "{}");
  RealPart part;
  part.told.name = {body.value("name", "")};
  part.told.wall = {body.value("wall", "")};
  part.told.weights = {body.value("weights", std::uint64_t{0})};
  part.wall = {body.value("realWall", "")};
  part.madeUnder = {body.value("madeUnder", std::uint64_t{0})};
  model_.collected(part);
  answerable.answer(200, kJson, "{}");
}

void EngineProcess::getPart(WebRequest& request) {
  const RealPart* part = model_.part({queryValue(request.query, "name")});
  if (part == nullptr) return request.answer(404, kJson, "{}");
  request.answer(200, kJson,
                 Json{{"name", part->told.name.value},
                      {"wall", part->told.wall.value},
                      {"weights", part->told.weights.value},
                      {"realWall", part->wall.value},
                      {"madeUnder", part->madeUnder.value},
                      {"room", setup_.link * factor_}}
                     .dump());
}

void EngineProcess::start(const std::shared_ptr<WebRequest>& request) {
  auto run = std::make_shared<Run>();
  run->request = request;
  run->ask = parseRun(request->headers, request->body);
  run->began = bootNow();
  run->next = run->ask.from;
  run->ask.run = model_.freshRun();
  auto verdict = model_.begin(run->ask, run->began);
  if (verdict.status != 200) {
    Headers headers = kJson;
    headers["X-Did-Not-Run"] = "1";
    request->answer(verdict.status, headers, Json{{"reason", verdict.reason}}.dump());
    return;
  }
  request->start({{"X-Request-Id", run->ask.requestId}});
  collect(run);
}

void EngineProcess::collect(const std::shared_ptr<Run>& run) {
  auto names = model_.lacking(run->ask);
  run->waiting = names.size();
  if (run->ask.source.value.empty()) run->waiting = 0;
  if (run->waiting == 0) return collected(run);
  for (const auto& name : names) {
    CallWeb call;
    call.address = run->ask.source;
    call.method = "GET";
    call.path = "/part?name=" + name.value;
    call.timeout = seconds(2);
    client_.call(call, [this, run, name](const WebResult& result) {
      Json body = result.status == 200 ? Json::parse(result.body, nullptr, false) : Json();
      if (body.is_object()) {
        RealPart part;
        part.told = {name, {body.value("wall", "")}, {body.value("weights", std::uint64_t{0})}};
        part.wall = {body.value("realWall", "")};
        part.madeUnder = {body.value("madeUnder", std::uint64_t{0})};
        model_.collected(part);
        for (const auto& asked : run->ask.parts)
          if (asked.name == name)
            run->megabytes +=
                static_cast<double>(asked.characters) * setup_.partBytesPerCharacter / 1e6;
      }
      if (--run->waiting == 0) collected(run);
    });
  }
}

void EngineProcess::collected(const std::shared_ptr<Run>& run) {
  // The bytes of blocks are not transferred; only their transfer time on this link is simulated.
  double rate = std::max(0.001, run->ask.rate);
  Duration collecting{};
  if (run->megabytes > 0) {
    fetching_ += rate;
    double share = std::min(1.0, setup_.link * factor_ / fetching_);
    collecting = seconds(run->megabytes / (rate * share));
    loop_.after(collecting, [this, rate] { fetching_ -= rate; });
  }
  std::vector<RealPart> made;
  Duration time = collecting + model_.prefill(run->ask, made);
  if (!run->ask.deposit.value.empty())
    for (const auto& part : made) {
      CallWeb call;
      call.address = run->ask.deposit;
      call.method = "POST";
      call.path = "/part";
      call.timeout = seconds(2);
      call.body = Json{{"name", part.told.name.value},
                       {"wall", part.told.wall.value},
                       {"weights", part.told.weights.value},
                       {"realWall", part.wall.value},
                       {"madeUnder", part.madeUnder.value}}
                      .dump();
      client_.call(call, [](const WebResult&) {});
    }
  loop_.after(time, [this, run] { generate(run); });
}

void EngineProcess::generate(const std::shared_ptr<Run>& run) {
  if (run->request->gone()) {  // the client has disconnected
    model_.end(bootNow());
    return;
  }
  run->request->event(std::to_string(run->next.value), "piece",
                      model_.pieceText(run->ask, run->next));
  if (++run->next.value >= static_cast<std::uint64_t>(run->ask.pieces)) {
    run->request->event("", "end", "{}");
    run->request->end();
    model_.end(bootNow());
    return;
  }
  loop_.after(model_.options().pieceEvery, [this, run] { generate(run); });
}

}  // namespace peppergate
