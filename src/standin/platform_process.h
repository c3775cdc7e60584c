#pragma once
// The platform's stand-in: keeps the engine list and tells engines what it marked.
#include "io/web_client.h"
#include "io/web_server.h"
#include "wire/json_fields.h"

namespace peppergate {

/// Example: `PlatformProcess platform(loop, listen, Json::parse(list)); platform.open();`
class PlatformProcess {
 public:
  PlatformProcess(Loop& loop, Address listen, Json list);
  absl::Status open();

 private:
  void take(const std::shared_ptr<WebRequest>& request);
  void mark(const std::string& id, bool draining, bool listed);

  Address listen_;
  Json list_;
  Json away_ = Json::object();  // entries that are off the list for now
  WebClient client_;
  WebServer server_;
};

}  // namespace peppergate
