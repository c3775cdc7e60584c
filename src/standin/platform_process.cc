#include "standin/platform_process.h"

namespace peppergate {

PlatformProcess::PlatformProcess(Loop& loop, Address listen, Json list)
    : listen_(std::move(listen)),
      list_(std::move(list)),
      client_(loop),
      server_(loop, [this](const std::shared_ptr<WebRequest>& request) { take(request); }) {
  if (!list_.contains("version")) list_["version"] = 1;
}

absl::Status PlatformProcess::open() { return server_.listen(listen_, 1 << 20); }

void PlatformProcess::mark(const std::string& id, bool draining, bool listed) {
  Json kept = Json::array();
  for (auto& engine : list_["engines"]) {
    if (engine["id"] != id) {
      kept.push_back(engine);
      continue;
    }
    engine["draining"] = draining;
    if (listed) kept.push_back(engine);
    else away_[id] = engine;
    CallWeb call;
    call.address = {engine["address"].get<std::string>()};
    call.method = "POST";
    call.path = "/marked";
    call.timeout = seconds(1);
    call.body = Json{{"draining", draining}}.dump();
    client_.call(call, [](const WebResult&) {});
  }
  if (listed && away_.contains(id)) {
    kept.push_back(away_[id]);
    away_.erase(id);
  }
  list_["engines"] = kept;
  list_["version"] = list_["version"].get<std::uint64_t>() + 1;
}

void PlatformProcess::take(const std::shared_ptr<WebRequest>& request) {
  const Headers json{{"Content-Type", "application/json"}};
  if (request->path == "/engines") {
    request->answer(200, json, list_.dump());
    return;
  }
  Json body = Json::parse(request->body, nullptr, false);
  if (request->path != "/mark" || !body.is_object() || !body.contains("id")) {
    request->answer(404, json, "{}");
    return;
  }
  mark(body["id"], body.value("draining", false), body.value("listed", true));
  request->answer(200, json, Json{{"version", list_["version"]}}.dump());
}

}  // namespace peppergate
