#pragma once
// The engine, desk and store stand-ins as processes round the engine model.
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
  double link = 60;  // megabytes a second
  double partBytesPerCharacter = 200;
};

/// Example: `EngineProcess engine(loop, setup); engine.open(); loop.run();`
class EngineProcess {
 public:
  EngineProcess(Loop& loop, EngineProcessSetup setup);
  absl::Status open();

 private:
  struct Run {
    std::shared_ptr<WebRequest> request;
    RunAsk ask;
    std::size_t waiting = 0;  // parts still to come from the source
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
  double fetching_ = 0;  // rates now on this engine's link
  double factor_ = 1;    // a slowed link
  bool reportsOff_ = false;
};

}  // namespace peppergate
