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
#include "io/disk_writer.h"
#include "io/event_loop_lag.h"
#include "io/member_transport.h"
#include "io/web_client.h"
#include "io/web_server.h"

namespace peppergate {

/// The settings of a daemon, from its flags and its settings file.
struct DaemonSetup {
  std::string fleet = "peppergate";
  Address memberAddress;    // for frames between members
  Address operatorAddress;  // for operators' calls
  Address clientAddress;    // for clients' requests, of a router
  Address platformAddress;  // serves the engine list, of a router
  Zone zone;
  std::vector<Address> seeds;
  std::string dataFolder;             // of a core
  Bootstrap bootstrap;                // of a core
  Duration counterLogInterval;        // 0: counters are logged only at the end
  bool allowsFaultInjection = false;  // operators may inject faults
  // Null for the product's own interface. With a dialect, readiness checks arrive at the operators'
  // address, too.
  std::shared_ptr<const Dialect> dialect;
  std::map<Zone, std::string> zoneRegions;  // region of each zone, of a router
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
  int run(std::function<absl::StatusOr<Options>()> readOptions);

 private:
  friend struct CommandExecutor;
  static constexpr Duration kTickInterval = milliseconds(50);
  struct PendingResponse {
    std::shared_ptr<WebRequest> request;
    bool isUnary = false;
    std::string collectedText;
    std::string requestId;
    std::optional<StreamAttemptId> attempt;
    bool paused = false;
  };
  void step(const Event& event);
  void executeCommands();
  void handleStreamRequest(std::shared_ptr<WebRequest> request);
  bool isCallerConnected(StreamAttemptId attempt);
  void handleOperatorRequest(std::shared_ptr<WebRequest> request);
  void injectFaults(std::shared_ptr<WebRequest> request);
  void pauseForSlowCallers();
  absl::Status openCore(const MemberRecord& self);
  absl::Status openFront(const MemberRecord& self);
  absl::Status openRouter(const MemberRecord& self);
  void logCounters();
  void stopWhenDrained();
  bool respondToReadinessCheck(const std::shared_ptr<WebRequest>& request);
  void applyRequestLimits();
  void recordLoopLag(MonotonicTime now);

  Role role_;
  DaemonSetup setup_;
  EventLoop loop_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<MemberTransport> transport_;
  std::unique_ptr<DiskWriter> disk_;
  std::unique_ptr<WebClient> client_;
  std::unique_ptr<WebServer> operatorServer_, callerServer_;
  std::unique_ptr<DialectEndpoints> endpoints_;  // null without a dialect
  std::uint64_t appliedChanges_ = 0;
  MonotonicTime drainStartedAt_ = kForever;  // when the drain started
  std::map<StreamId, PendingResponse> pendingResponses_;
  std::map<TicketId, std::shared_ptr<WebRequest>> operatorRequests_;
  std::uint64_t lastStreamId_ = 0, lastTicketId_ = std::uint64_t{1} << 40;
  LoopLag loopLag_{kTickInterval};
  MonotonicTime lagLoggedAt_ = kNever;
  bool isExecuting_ = false;
};

}  // namespace peppergate
