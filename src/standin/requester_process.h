#pragma once
// Load generator: sends a deployment's mix of requests to real routers and checks every answer.
#include <map>
#include <set>

#include "core/random.h"
#include "io/web_client.h"
#include "sim/callers.h"
#include "wire/json_fields.h"

namespace peppergate {

struct RequesterSetup {
  std::string profile = "hutline";
  double rate = 50;
  Duration length = seconds(10);
  std::vector<Address> fronts;
  std::uint64_t seed = 1;
  std::uint64_t documents = 4;
  std::set<std::string> withdrawn;  // tenants whose key was withdrawn
};

/// Sends requests at a constant rate and reports outcomes, latencies and violated guarantees.
class RequesterProcess {
 public:
  RequesterProcess(Loop& loop, RequesterSetup setup);
  /// Starts to send; calls `done` with the report after the last answer.
  void start(std::function<void(const Json&)> done);

 private:
  struct Ask {
    std::uint64_t id = 0;
    std::string tenant;
    std::vector<std::string> texts;
    bool unary = false, resumable = false, resumed = false;
    std::uint64_t pieces = 8, next = 0, weights = 0;
    MonotonicTime asked, deadline, first = kForever;
    std::string body;
    std::string run;  // id of the engine's run that produced the pieces
  };
  struct Stream;
  friend struct RequesterBacks;
  void tick();
  void sendOne();
  void send(const std::shared_ptr<Ask>& ask);
  void streamHead(Stream& stream, int status, const Headers& headers);
  void piece(Stream& stream, const EventReader::OneEvent& event);
  void done(const std::shared_ptr<Stream>& stream, int status, const std::string& body);
  void finish(const std::string& end);
  void violation(const std::string& kind) { ++violations_[kind]; }
  Json verdict();

  Loop& loop_;
  RequesterSetup setup_;
  Random random_;
  MonotonicTime began_, last_;
  double due_ = 0;
  std::uint64_t sent_ = 0, open_ = 0;
  std::map<std::string, std::uint64_t> ends_, violations_;
  std::vector<double> firsts_;
  std::vector<std::string> toldNotRun_;
  std::function<void(const Json&)> done_;
  std::map<std::uint64_t, std::shared_ptr<Stream>> streams_;
  std::uint64_t lastStream_ = 0;
  bool over_ = false;
};

}  // namespace peppergate
