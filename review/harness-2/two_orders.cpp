// The operator has two orders under way on one kept connection: it sends the second one without
// waiting for the answer to the first. Processes that end by themselves are started again, as the
// platform does.
#include "fleet.hpp"

using namespace review;

int main(int, char** arguments) {
  openRecord(arguments[1]);
  const bool trouble = troubleWanted();
  Fleet fleet;
  limitRun(fleet, 110);
  if (!fleet.setUp(2, 4, 2)) return finish(fleet, 2, "no free addresses");
  fleet.startAll();
  std::vector<Tenant> tenants{{"tenant-a", {"key-of-a"}}};
  if (fleet.order("/peppergate/Config.Replace", configText(3, tenants), "0", 20) != 200)
    return finish(fleet, 2, "the first configuration was not taken");
  if (!fleet.awaitReady(20)) return finish(fleet, 2, "the counters were never ready");
  sleepFor(4);
  std::map<std::string, int> ends;
  auto restartEnded = [&] {
    for (auto* list : {&fleet.cores, &fleet.routers})
      for (auto& node : *list) {
        int status = 0;
        if (node.pid <= 0 || !fleet.ended(node, status)) continue;
        record(node.name + " ended by itself, " +
               (WIFEXITED(status) ? "exit status " + std::to_string(WEXITSTATUS(status))
                                  : "signal " + std::to_string(WTERMSIG(status))));
        ++ends[node.name];
        sleepFor(0.3);
        fleet.start(node);
      }
  };
  auto oftenEnough = [&] {  // three times or more, on half of the core
    return std::ranges::count_if(fleet.cores, [&](const Node& node) { return ends[node.name] >= 3; }) * 2 >=
           static_cast<long>(fleet.cores.size());
  };
  int edition = 3, done = 0, unanswered = 0;
  for (int round = 0; round < 24 && !oftenEnough(); ++round) {
    // The four daemons in turn; a daemon that was started again has some seconds to come back.
    const Node& core = fleet.cores[static_cast<std::size_t>(round) % 4];
    Stream stream;
    if (stream.connectTo(core.ip, fleet.controlPort(), 1)) {
      std::string body = "{\"edition\":" + std::to_string(edition + 2) +
                         ",\"upsert\":{\"senders\":[{\"name\":\"tenant-b\",\"access_keys\":[\"key-" +
                         std::to_string(edition) + "\"],\"urgency\":1,\"isolated\":false}]}}";
      std::string change = "POST /peppergate/Config.Amend HTTP/1.1\r\nHost: " + core.ip +
                           "\r\nContent-Type: application/json\r\nX-Based-On: " + std::to_string(edition) +
                           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      std::string read = "GET /peppergate/Config.Read HTTP/1.1\r\nHost: " + core.ip + "\r\n\r\n";
      record("operator: Config.Amend to " + std::to_string(edition + 2) + " at " + core.name);
      stream.write(change);
      Message first, second;
      if (trouble) {
        sleepFor(0.001);
        record("operator: Config.Read at " + core.name + ", on the same connection");
        stream.write(read);
        first = readMessage(stream, now() + 3, true);
      } else {
        first = readMessage(stream, now() + 3, true);
        record("operator: Config.Read at " + core.name + ", on the same connection");
        stream.write(read);
      }
      second = readMessage(stream, now() + 3, true);
      for (const Message* answer : {&first, &second}) {
        record("operator has " + (answer->complete ? std::to_string(answer->status()) : "no answer"));
        (answer->complete ? done : unanswered) += 1;
      }
    }
    restartEnded();
    sleepFor(2.5);
    restartEnded();
    // The newest version, by an order of its own.
    std::string config;
    if (fleet.order("/peppergate/Config.Read", "", "", 10, &config) == 200) {
      auto at = config.find("\"edition\":");
      if (at != std::string::npos) edition = std::atoi(config.c_str() + at + 10);
    }
  }
  int all = 0;
  for (const auto& node : fleet.cores) all += ends[node.name];
  return finish(fleet, oftenEnough() ? 1 : 0,
                "Fault: registrars ended by themselves " + std::to_string(all) + " times; " +
                    std::to_string(done) + " orders were answered, " + std::to_string(unanswered) + " not");
}
