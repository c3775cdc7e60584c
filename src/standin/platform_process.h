#pragma once
// Simulated platform: serves the engine list and notifies engines of changes to their entries.
#include "io/web_client.h"
#include "io/web_server.h"
#include "wire/json_fields.h"

namespace peppergate {

/// Serves the given engine list over HTTP once `open` was called.
class PlatformProcess {
 public:
  PlatformProcess(Loop& loop, Address listen, Json list);
  absl::Status open();

 private:
  void take(const std::shared_ptr<WebRequest>& request);
  void mark(const std::string& id, bool draining, bool listed);

  Address listen_;
  Json list_;
  Json away_ = Json::object();  // entries that are removed from the list for now, by engine id
  WebClient client_;
  WebServer server_;
};

}  // namespace peppergate
