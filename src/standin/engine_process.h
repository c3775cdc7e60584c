#pragma once
// Serves the engine model over HTTP as a process; stands in for engines, unary engines and stores.
#include <memory>

#include "io/web_client.h"
#include "io/web_server.h"
#include "sim/engine_model.h"

namespace peppergate {

struct EngineProcessSetup {
  Address listen;
  std::string id = "engine";
  WeightsVersion weights{1};
  EngineOptions options;
  double link = 60;  // megabytes per second
  double partBytesPerCharacter = 200;
};

/// A simulated engine that listens for HTTP requests once `open` was called.
class EngineProcess {
 public:
  EngineProcess(Loop& loop, EngineProcessSetup setup);
  absl::Status open();

 private:
  struct Run {
    std::shared_ptr<WebRequest> request;
    RunAsk ask;
    std::size_t waiting = 0;  // requests to the source that are still unanswered
    double megabytes = 0;
    MonotonicTime began;
    Piece next;
  };
  void take(const std::shared_ptr<WebRequest>& request);
  void start(const std::shared_ptr<WebRequest>& request);
  void collect(const std::shared_ptr<Run>& run);
  void collected(const std::shared_ptr<Run>& run);
  void generate(const std::shared_ptr<Run>& run);
  void putPart(const WebRequest& request);
  void getPart(WebRequest& request);
  Json report() const;

  Loop& loop_;
  EngineProcessSetup setup_;
  EngineModel model_;
  WebClient client_;
  WebServer server_;
  double fetching_ = 0;  // sum of the rates of fetches that use this engine's link now
  double factor_ = 1;    // share of the link that is available; below 1 for an injected slow link
  bool reportsOff_ = false;
};

}  // namespace peppergate
