// Losses that overlap beyond what is tolerated, without more lost disks than that; then, once every
// machine is back for longer than catchup_s, the loss of one more disk. Several deployments of five
// registrars that tolerate two lost machines go through it side by side, again and again.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int kDeployments = 20;
constexpr double kCatchUp = 4.03, kRecovery = 12, kLastStart = 72;

struct Deployment {
  Fleet fleet;
  std::mt19937 random{std::random_device{}()};
  std::string name;
  long edition = 3;
  int rounds = 0;
  bool broken = false, unable = false;

  double upTo(double seconds) { return std::uniform_real_distribution<double>(0, seconds)(random); }
  void start(Node& node) { fleet.start(node); }
  /// The registrar that leads, by its status page; only used to choose whom the trouble meets.
  int leader() {
    for (std::size_t at = 0; at < fleet.cores.size(); ++at) {
      Stream stream;
      if (!stream.connectTo(fleet.cores[at].ip, fleet.controlPort(), 0.3)) continue;
      stream.write("GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      if (readMessage(stream, now() + 0.3, true).body.find("\"leads\":true") != std::string::npos)
        return static_cast<int>(at);
    }
    return -1;
  }
  std::vector<int> othersThan(const std::vector<int>& without) {
    std::vector<int> others;
    for (int at = 0; at < static_cast<int>(fleet.cores.size()); ++at)
      if (std::ranges::find(without, at) == without.end()) others.push_back(at);
    std::ranges::shuffle(others, random);
    return others;
  }
  /// Sends one valid change until it is acknowledged; false if it never is.
  bool change(double timeout) {
    std::string body = "{\"edition\":" + std::to_string(edition + 1) + "}";
    int status = 0;
    for (double until = now() + timeout; now() < until && status == 0;)
      status = fleet.order("/peppergate/Config.Amend", body, std::to_string(edition), 2);
    if (status == 200) ++edition;
    record(name + ": change to " + std::to_string(edition) + (status == 200 ? " acknowledged" : " NOT acknowledged"));
    return status == 200;
  }

  bool setUp() {
    fleet.tolerated = 2;
    if (!fleet.setUp(1, 5, 1)) return false;
    for (auto* list : {&fleet.routers, &fleet.cores})
      for (auto& node : *list) node.name = name.substr(11) + "-" + node.name;
    fleet.startAll();
    return fleet.order("/peppergate/Config.Replace", configText(3, {{"tenant-a", {"key-of-a"}}}), "0", 20) == 200 &&
           fleet.awaitReady(20);
  }

  void round(bool trouble) {
    int first = leader();
    if (first < 0) return sleepFor(0.2);
    ++rounds;
    std::vector<int> wiped{first, othersThan({first})[0]};
    if (trouble) {
      // Two disks at once, as many as are tolerated. The machines are back at once, with empty disks.
      for (int at : wiped) fleet.loseDisk(fleet.cores[static_cast<std::size_t>(at)]);
      sleepFor(upTo(0.1));
      for (int at : wiped) start(fleet.cores[static_cast<std::size_t>(at)]);
    }
    if (!change(20)) return judge();
    if (!trouble) return sleepFor(9);
    // Two others freeze, the leader's process is killed as they wake: no disk is lost.
    int leads = leader();
    std::vector<int> rest = othersThan(wiped);
    if (leads >= 0) std::erase(rest, leads);
    else leads = rest.back(), rest.pop_back();
    Node& one = fleet.cores[static_cast<std::size_t>(rest[0])];
    Node& other = fleet.cores[static_cast<std::size_t>(rest[1])];
    Node& victim = fleet.cores[static_cast<std::size_t>(leads)];
    fleet.signalTo(one, SIGSTOP, "SIGSTOP");
    sleepFor(0.65 + upTo(0.2));
    fleet.signalTo(other, SIGSTOP, "SIGSTOP");
    sleepFor(1.2 + upTo(0.2));
    fleet.signalTo(one, SIGCONT, "SIGCONT");
    sleepFor(upTo(0.04));
    fleet.signalTo(other, SIGCONT, "SIGCONT");
    fleet.signalTo(victim, SIGKILL, "SIGKILL");
    if (victim.pid > 0) waitpid(victim.pid, nullptr, 0);
    victim.pid = -1;
    sleepFor(0.3 + upTo(0.15));
    start(victim);
    // All are back. After catchup_s none counts as lost any more, and one more disk is lost.
    sleepFor(kCatchUp);
    fleet.loseDisk(victim);
    sleepFor(upTo(0.4));
    start(victim);
    record(name + ": all machines are back");
    if (!change(kRecovery + 4)) return judge();
    sleepFor(kCatchUp);
  }

  /// Nothing was acknowledged for longer than recovery_s: is what was acknowledged still to be read?
  void judge() {
    std::string config;
    int status = fleet.order("/peppergate/Config.Read", "", "", 5, &config);
    record(name + ": Config.Read " + std::to_string(status));
    broken = status != 200;
  }
};

}  // namespace

int main(int, char** arguments) {
  openRecord(arguments[1]);
  const bool trouble = troubleWanted();
  std::vector<std::unique_ptr<Deployment>> deployments;
  for (int at = 0; at < kDeployments; ++at) {
    deployments.push_back(std::make_unique<Deployment>());
    deployments.back()->name = "deployment " + std::to_string(at + 1);
  }
  auto endAll = [&] {
    for (auto& one : deployments) one->fleet.endAll();
  };
  std::thread([&] {
    sleepFor(117);
    record("the run takes too long");
    endAll();
    _exit(2);
  }).detach();
  std::vector<std::thread> threads;
  for (auto& one : deployments)
    threads.emplace_back([&] {
      one->unable = !one->setUp();
      sleepFor(4);
      while (!one->unable && !one->broken && now() < kLastStart) one->round(trouble);
    });
  for (auto& thread : threads) thread.join();
  int rounds = 0, broken = 0, unable = 0;
  for (auto& one : deployments) {
    rounds += one->rounds;
    broken += one->broken;
    unable += one->unable;
  }
  std::string verdict = "CONFIG: in " + std::to_string(broken) + " of " + std::to_string(kDeployments) +
                        " deployments the acknowledged configuration didn't come any more, in " +
                        std::to_string(rounds) + " rounds; " + std::to_string(unable) + " couldn't be set up";
  record(verdict);
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  endAll();
  // A deployment that couldn't be set up says nothing about the others.
  _exit(broken > 0 ? 1 : unable > 0 ? 2 : 0);
}
