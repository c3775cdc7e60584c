#include "standin/platform_process.h"

namespace peppergate {

PlatformProcess::PlatformProcess(EventLoop& loop, Address listen, Json engineList)
    : listen_(std::move(listen)),
      engineList_(std::move(engineList)),
      client_(loop),
      server_(loop,
              [this](const std::shared_ptr<WebRequest>& request) { handleRequest(request); }) {
  if (!engineList_.contains("version")) engineList_["version"] = 1;
}

absl::Status PlatformProcess::open() { return server_.listen(listen_, 1 << 20); }

void PlatformProcess::updateEngine(const std::string& id, bool draining, bool listed) {
  Json listedEngines = Json::array();
  for (auto& engine : engineList_["engines"]) {
    if (engine["id"] != id) {
      listedEngines.push_back(engine);
      continue;
    }
    engine["draining"] = draining;
    if (listed) listedEngines.push_back(engine);
    else unlistedEngines_[id] = engine;
    CallHttp call;
    call.address = {engine["address"].get<std::string>()};
    call.method = "POST";
    call.path = "/marked";
    call.timeout = seconds(1);
    call.body = Json{{"draining", draining}}.dump();
    client_.call(call, [](const WebResponse&) {});
  }
  if (listed && unlistedEngines_.contains(id)) {
    listedEngines.push_back(unlistedEngines_[id]);
    unlistedEngines_.erase(id);
  }
  engineList_["engines"] = listedEngines;
  engineList_["version"] = engineList_["version"].get<std::uint64_t>() + 1;
}

void PlatformProcess::handleRequest(const std::shared_ptr<WebRequest>& request) {
  const Headers jsonHeaders{{"Content-Type", "application/json"}};
  if (request->path == "/engines") {
    request->respond(200, jsonHeaders, engineList_.dump());
    return;
  }
  Json body = Json::parse(request->body, nullptr, false);
  if (request->path != "/mark" || !body.is_object() || !body.contains("id")) {
    request->respond(404, jsonHeaders, "{}");
    return;
  }
  updateEngine(body["id"], body.value("draining", false), body.value("listed", true));
  request->respond(200, jsonHeaders, Json{{"version", engineList_["version"]}}.dump());
}

}  // namespace peppergate
