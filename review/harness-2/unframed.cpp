// Some answers of engines have no length and end with their connection. Clients send requests that
// must not be repeated, on kept connections; no process of the project is disturbed.
#include "fleet.hpp"

using namespace review;

int main(int, char** arguments) {
  openRecord(arguments[1]);
  const bool trouble = troubleWanted();
  Fleet fleet;
  limitRun(fleet, 110);
  if (!fleet.setUp(2, 4, 4)) return finish(fleet, 2, "no free addresses");
  for (auto& engine : fleet.engines) engine->workSeconds = 0.03;
  fleet.startAll();
  std::vector<Tenant> tenants{{"tenant-a", {"key-of-a"}}};
  if (fleet.order("/peppergate/Config.Replace", configText(3, tenants), "0", 20) != 200)
    return finish(fleet, 2, "the first configuration was not taken");
  if (!fleet.awaitReady(20)) return finish(fleet, 2, "the counters were never ready");
  sleepFor(4);  // contact_ms is 3,000
  struct Sent {
    std::string attempt;
    Message answer;
    bool kept;  // not the first request on its connection
  };
  std::mutex mutex;
  std::vector<Sent> sent;
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (int client = 0; client < 16; ++client)
    clients.emplace_back([&, client] {
      for (int number = 0; !stop;) {
        Stream stream;
        const Node& router = fleet.routers[static_cast<std::size_t>(client) % 2];
        if (!stream.connectTo(router.ip, fleet.frontPort(), 1)) {
          sleepFor(0.2);
          continue;
        }
        for (bool kept = false; !stop; kept = true) {
          Request request;
          request.attempt = "c" + std::to_string(client) + "-" + std::to_string(++number);
          request.target = "/once/" + request.attempt;
          request.key = "key-of-a";
          // Prompts of its own for each client, so that all engines get requests.
          request.prompt = "c0de" + std::to_string(100 + client) + ":1200,e4402b7d:260";
          Sent entry{request.attempt, {}, kept};
          record("client sends " + request.attempt + " to " + router.name);
          if (stream.write(requestText(request))) entry.answer = readMessage(stream, now() + 9, true);
          record("client has for " + request.attempt + " " + std::to_string(entry.answer.status()) +
                 (entry.answer.complete          ? " complete"
                  : entry.answer.second.empty() ? " no answer"
                                                : " INCOMPLETE, the connection ended"));
          std::lock_guard lock(mutex);
          sent.push_back(entry);
          if (!entry.answer.complete || lower(entry.answer.header("connection")) == "close") break;
        }
        sleepFor(0.02);
      }
    });
  sleepFor(2);
  if (trouble) {  // half of the engines, 2 in 100 of their answers, 5 s
    fleet.engines[0]->unframedShare = fleet.engines[1]->unframedShare = 0.02;
    record("two of four engines answer with no length, 2 in 100");
  }
  sleepFor(5);
  fleet.engines[0]->unframedShare = fleet.engines[1]->unframedShare = 0;
  sleepFor(1);
  stop = true;
  for (auto& client : clients) client.join();
  std::map<std::string, Run> whole;
  int unframed = 0;
  for (const auto& engine : fleet.engines)
    for (const auto& run : engine->runs())
      if (run.whole) {
        whole[run.attempt] = run;
        unframed += run.unframed;
      }
  int lost = 0, served = 0;
  for (const auto& entry : sent) {
    served += entry.answer.complete && entry.answer.status() == 200;
    if (entry.answer.complete || !entry.kept || !whole.contains(entry.attempt)) continue;
    ++lost;
    record("LOST: " + entry.attempt + " came on a kept connection and was run and answered whole, its "
           "connection ended without a complete answer");
  }
  return finish(fleet, lost > 3 ? 1 : 0,
                "LOST: " + std::to_string(lost) + " of " + std::to_string(sent.size()) + " requests; " +
                    std::to_string(unframed) + " answers had no length, " + std::to_string(served) +
                    " requests were served");
}
