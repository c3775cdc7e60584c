#pragma once
// Serves the engine model over HTTP as a process; stands in for engines, unary engines and stores.
#include <memory>

#include "io/web_client.h"
#include "io/web_server.h"
#include "sim/engine_model.h"

namespace peppergate {

struct EngineProcessConfig {
  Address listen;
  std::string id = "engine";
  WeightsVersion weights{1};
  EngineModelOptions options;
  double linkMegabytesPerSecond = 60;  // megabytes per second
  double blockBytesPerCharacter = 200;
};

/// A simulated engine that listens for HTTP requests once `open` was called.
class EngineProcess {
 public:
  EngineProcess(EventLoop& loop, EngineProcessConfig config);
  absl::Status open();

 private:
  struct Run {
    std::shared_ptr<WebRequest> request;
    RunRequest runRequest;
    std::size_t pendingFetches = 0;  // requests to the source that are still unanswered
    double fetchedMegabytes = 0;
    MonotonicTime startTime;
    PieceIndex nextPiece;
  };
  void handleRequest(const std::shared_ptr<WebRequest>& request);
  void startRun(const std::shared_ptr<WebRequest>& request);
  void fetchMissingBlocks(const std::shared_ptr<Run>& run);
  void onBlocksFetched(const std::shared_ptr<Run>& run);
  void generate(const std::shared_ptr<Run>& run);
  void storeBlock(const WebRequest& request);
  void sendBlock(WebRequest& request);
  Json report() const;

  EventLoop& loop_;
  EngineProcessConfig config_;
  EngineModel model_;
  WebClient client_;
  WebServer server_;
  double activeFetchRate_ = 0;  // sum of the rates of fetches that use this engine's link now
  double linkFactor_ = 1;  // share of the link that is available; below 1 for an injected slow link
  bool reportsDisabled_ = false;
};

}  // namespace peppergate
