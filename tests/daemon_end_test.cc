// A daemon that is stopped while operators wait for responses must exit cleanly: their connections
// are closed while the daemon's members are destroyed.
#include <signal.h>
#include <sys/wait.h>

#include <filesystem>

#include "io/daemon.h"
#include "tests/http_testing.h"

using namespace peppergate;

namespace {

constexpr int kWaiting = 6;

/// One core of three, alone: without a leader, a read of the newest configuration waits.
DaemonSetup loneCore(const Address& pages, const std::string& folder) {
  DaemonSetup setup;
  setup.member = freeAddress();
  setup.pages = pages;
  setup.seeds = {freeAddress(), freeAddress()};
  setup.dataFolder = folder;
  setup.bootstrap.first = true;
  setup.bootstrap.voters = {setup.member, setup.seeds[0], setup.seeds[1]};
  return setup;
}

/// Runs the daemon in this process until SIGTERM; returns its exit code.
int runUntilTerm(const Address& pages, const std::string& folder) {
  Daemon daemon(Role::kCore, loneCore(pages, folder));
  if (!daemon.open().ok()) return 3;
  return daemon.run([]() -> absl::StatusOr<Options> { return Options{}; });
}

}  // namespace

TEST_GROUP(DaemonEnds){};

TEST(DaemonEnds, CleanlyWhileOperatorsWait) {
  std::string folder = "/tmp/peppergate-daemon-end-" + std::to_string(getpid());
  Address pages = freeAddress();
  pid_t child = fork();
  if (child == 0) _exit(runUntilTerm(pages, folder));
  TestLoop loop;
  std::vector<std::unique_ptr<TestPeer>> operators;
  for (int number = 0; number < kWaiting; ++number) {
    std::unique_ptr<TestPeer> peer;
    for (int attempt = 0; attempt < 100; ++attempt) {  // until the daemon listens
      peer = std::make_unique<TestPeer>(loop, pages);
      peer->send("GET /config HTTP/1.1\r\nHost: here\r\n\r\n");
      loop.turn();
      if (!peer->ended && !peer->failed) break;
      usleep(20'000);
    }
    operators.push_back(std::move(peer));
  }
  usleep(300'000);  // the daemon reads them
  loop.turn();
  kill(child, SIGTERM);
  int status = 0;
  waitpid(child, &status, 0);
  CHECK_TRUE(WIFEXITED(status));
  LONGS_EQUAL(0, WEXITSTATUS(status));
  std::filesystem::remove_all(folder);
}
