#pragma once
// Simulated platform: serves the engine list and notifies engines of changes to their entries.
#include "io/web_client.h"
#include "io/web_server.h"
#include "wire/json_fields.h"

namespace peppergate {

/// Serves the given engine list over HTTP once `open` was called.
class PlatformProcess {
 public:
  PlatformProcess(EventLoop& loop, Address listen, Json engineList);
  absl::Status open();

 private:
  void handleRequest(const std::shared_ptr<WebRequest>& request);
  void updateEngine(const std::string& id, bool draining, bool listed);

  Address listen_;
  Json engineList_;
  Json unlistedEngines_ =
      Json::object();  // entries that are removed from the list for now, by engine id
  WebClient client_;
  WebServer server_;
};

}  // namespace peppergate
