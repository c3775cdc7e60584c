// Tenants are taken out of the configuration one after the other. No key that was taken away, and
// no key that no configuration ever held, may start a run later than revoke_ms after the
// acknowledgement.
#include "fleet.hpp"

using namespace review;

int main(int, char** arguments) {
  openRecord(arguments[1]);
  const bool trouble = troubleWanted();
  Fleet fleet;
  limitRun(fleet, 110);
  if (!fleet.setUp(2, 4, 2)) return finish(fleet, 2, "no free addresses");
  fleet.startAll();
  std::vector<Tenant> tenants{{"tenant-a", {"key-of-a"}}, {"tenant-b", {"key-of-b"}}};
  if (fleet.order("/peppergate/Config.Replace", configText(3, tenants), "0", 20) != 200)
    return finish(fleet, 2, "the first configuration was not taken");
  if (!fleet.awaitReady(20)) return finish(fleet, 2, "the counters were never ready");
  auto ranFor = [&](const std::string& attempt) {
    for (const auto& engine : fleet.engines)
      for (const auto& run : engine->runs())
        if (run.attempt == attempt) return true;
    return false;
  };
  // Before any change: both keys work, an unknown one doesn't.
  int number = 0;
  auto ask = [&](const std::string& label, const std::string& key) {
    std::vector<std::string> attempts;
    for (const auto& router : fleet.routers) {
      Request request;
      request.attempt = label + "-" + std::to_string(++number);
      request.target = "/once/" + std::to_string(number);
      request.key = key;
      send(fleet, router, request);
      attempts.push_back(request.attempt);
    }
    return std::ranges::count_if(attempts, ranFor);
  };
  if (ask("first-a", "key-of-a") != 2 || ask("first-b", "key-of-b") != 2)
    return finish(fleet, 2, "the fleet does not serve");
  long taken = 0, unknown = ask("first-unknown", "key-of-nobody");
  if (trouble) {
    if (fleet.order("/peppergate/Config.Amend", R"({"edition":5,"remove":{"senders":["tenant-a"]}})", "3",
                    20) != 200)
      return finish(fleet, 2, "the first amendment was not taken");
    sleepFor(5.5);
    taken += ask("second-a-taken", "key-of-a");
    ask("second-b", "key-of-b");
    if (fleet.order("/peppergate/Config.Amend", R"({"edition":7,"remove":{"senders":["tenant-b"]}})", "5",
                    20) != 200)
      return finish(fleet, 2, "the second amendment was not taken");
    record("acknowledged: no tenant is left");
    sleepFor(5.5);
    std::string config;
    fleet.order("/peppergate/Config.Read", "", "", 5, &config);
    auto senders = config.find("\"senders\"");
    record("the configuration read back has " +
           (senders == std::string::npos ? "no senders" : config.substr(senders, 14)));
    taken += ask("third-a-taken", "key-of-a");
    taken += ask("third-b-taken", "key-of-b");
  } else {
    sleepFor(11);
    ask("third-a", "key-of-a");
    ask("third-b", "key-of-b");
  }
  unknown += ask("third-unknown", "key-of-nobody");
  return finish(fleet, taken + unknown > 0 ? 1 : 0,
                "CONFIG: " + std::to_string(taken) + " runs with a key that was taken away; ROUTE: " +
                    std::to_string(unknown) + " runs with a key that no configuration held");
}
