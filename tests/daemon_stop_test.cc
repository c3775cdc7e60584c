// A daemon that is stopped while operators wait for responses must exit cleanly: their connections
// are closed while the daemon's members are destroyed.
#include <signal.h>
#include <sys/wait.h>

#include <filesystem>

#include "io/daemon.h"
#include "tests/http_testing.h"

using namespace peppergate;

namespace {

constexpr int kWaitingOperators = 6;

/// One core of three, alone: without a leader, a read of the newest configuration waits.
DaemonSetup coreWithoutPeers(const Address& operatorAddress, const std::string& folder) {
  DaemonSetup setup;
  setup.memberAddress = freeAddress();
  setup.operatorAddress = operatorAddress;
  setup.seeds = {freeAddress(), freeAddress()};
  setup.dataFolder = folder;
  setup.bootstrap.createsFleet = true;
  setup.bootstrap.voters = {setup.memberAddress, setup.seeds[0], setup.seeds[1]};
  return setup;
}

/// Runs the daemon in this process until SIGTERM; returns its exit code.
int runUntilTerm(const Address& operatorAddress, const std::string& folder) {
  Daemon daemon(Role::kCore, coreWithoutPeers(operatorAddress, folder));
  if (!daemon.open().ok()) return 3;
  return daemon.run([]() -> absl::StatusOr<Options> { return Options{}; });
}

}  // namespace

TEST_GROUP(DaemonEnds){};

TEST(DaemonEnds, CleanlyWhileOperatorsWait) {
  std::string folder = "/tmp/peppergate-daemon-end-" + std::to_string(getpid());
  Address operatorAddress = freeAddress();
  pid_t child = fork();
  if (child == 0) _exit(runUntilTerm(operatorAddress, folder));
  TestLoop loop;
  std::vector<std::unique_ptr<TestPeer>> operators;
  for (int number = 0; number < kWaitingOperators; ++number) {
    std::unique_ptr<TestPeer> peer;
    for (int attempt = 0; attempt < 100; ++attempt) {  // until the daemon listens
      peer = std::make_unique<TestPeer>(loop, operatorAddress);
      peer->send("GET /config HTTP/1.1\r\nHost: here\r\n\r\n");
      loop.runPending();
      if (!peer->ended && !peer->failed) break;
      usleep(20'000);
    }
    operators.push_back(std::move(peer));
  }
  usleep(300'000);  // the daemon reads them
  loop.runPending();
  kill(child, SIGTERM);
  int status = 0;
  waitpid(child, &status, 0);
  CHECK_TRUE(WIFEXITED(status));
  LONGS_EQUAL(0, WEXITSTATUS(status));
  std::filesystem::remove_all(folder);
}
