#pragma once
// The process of a core or a router: passes events from sockets, timers and the disk to the node
// and carries out the node's commands.
#include <absl/status/status.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/core_node.h"
#include "io/dialect_endpoints.h"
#include "io/disk_task.h"
#include "io/loop_lag.h"
#include "io/member_hub.h"
#include "io/web_client.h"
#include "io/web_server.h"

namespace peppergate {

/// The settings of a daemon, from its flags and its settings file.
struct DaemonSetup {
  std::string fleet = "peppergate";
  Address member;    // for frames between members
  Address pages;     // for operators' calls
  Address callers;   // for clients' requests, of a router
  Address platform;  // serves the engine list, of a router
  Zone zone;
  std::vector<Address> seeds;
  std::string dataFolder;  // of a core
  Bootstrap bootstrap;     // of a core
  Duration countersEvery;  // 0: counters are logged only at the end
  bool rehearsal = false;  // operators may inject faults
  // Null for the product's own interface. With a dialect, readiness checks arrive at the operators'
  // address, too.
  std::shared_ptr<const Dialect> dialect;
  std::map<Zone, std::string> regions;  // region of each zone, of a router
  Options options;
};

/// Runs one member of the fleet on an event loop.
class Daemon {
 public:
  Daemon(Role role, DaemonSetup setup);
  ~Daemon();
  /// Opens the data folder and the listening sockets.
  absl::Status open();
  /// Runs until a drain has ended and returns the exit code. SIGTERM and SIGINT start the drain;
  /// SIGHUP reads the options again.
  int run(std::function<absl::StatusOr<Options>()> reread);

 private:
  friend struct DaemonRunner;
  static constexpr Duration kTickEvery = milliseconds(50);
  struct Answering {
    std::shared_ptr<WebRequest> request;
    bool unary = false;
    std::string gathered;
    std::string requestId;
    std::optional<ShotId> shot;
    bool paused = false;
  };
  void step(const Event& event);
  void carryOut();
  void callerAsked(std::shared_ptr<WebRequest> request);
  bool callerPresent(ShotId shot);
  void operatorAsked(std::shared_ptr<WebRequest> request);
  void rehearse(std::shared_ptr<WebRequest> request);
  void watchSlowCallers();
  absl::Status openCore(const MemberRecord& self);
  absl::Status openFront(const MemberRecord& self);
  absl::Status openRouter(const MemberRecord& self);
  void logCounters();
  void leaveWhenDone();
  bool answerReady(const std::shared_ptr<WebRequest>& request);
  void noteConfig();
  void noteLoopLag(MonotonicTime now);

  Role role_;
  DaemonSetup setup_;
  Loop loop_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<MemberHub> hub_;
  std::unique_ptr<DiskTask> disk_;
  std::unique_ptr<WebClient> client_;
  std::unique_ptr<WebServer> pages_, callers_;
  std::unique_ptr<DialectEndpoints> endpoints_;  // null without a dialect
  std::uint64_t changesSeen_ = 0;
  MonotonicTime leaving_ = kForever;  // when the drain started
  std::map<StreamId, Answering> answering_;
  std::map<TicketId, std::shared_ptr<WebRequest>> operators_;
  std::uint64_t lastStream_ = 0, lastTicket_ = std::uint64_t{1} << 40;
  LoopLag loopLag_{kTickEvery};
  MonotonicTime lagNotedAt_ = kNever;
  bool stepping_ = false;
};

}  // namespace peppergate
