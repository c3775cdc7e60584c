#include "io/daemon.h"

#include <glog/logging.h>
#include <signal.h>

#include "core/front_node.h"
#include "io/random_identity.h"
#include "requests/router_node.h"

namespace peppergate {
namespace {

constexpr std::size_t kPauseAboveBytes = 256 << 10;
constexpr std::size_t kResumeBelowBytes = 64 << 10;
constexpr std::size_t kMaxOperatorBodyBytes = 8 << 20;  // a body may hold a complete configuration
constexpr Duration kLateTick = milliseconds(100), kVeryLateTick = milliseconds(500);
constexpr Duration kLagLogInterval = seconds(1);

sigset_t handledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  return signals;
}

}  // namespace

/// Carries out one command of any kind.
struct CommandExecutor {
  Daemon& daemon;
  void operator()(const Send& command) const {
    daemon.transport_->send(command.to, command.message);
  }
  void operator()(const Broadcast& command) const {
    daemon.transport_->broadcast(command.to, *command.message);
  }
  void operator()(const WriteFile& command) const { daemon.disk_->write(command); }
  void operator()(const RemoveOlderFiles& command) const {
    daemon.disk_->removeOlderFiles(command);
  }
  void operator()(const CallHttp& command) const {
    daemon.client_->call(command,
                         [&daemon = daemon, ticket = command.ticket](const WebResponse& response) {
                           daemon.step(HttpCallAnswered{ticket, response.status, response.body});
                         });
  }
  void operator()(const OpenStreamAttempt& command) const {
    if (!daemon.isCallerConnected(command.attempt)) return;
    daemon.client_->openStream(command, [&daemon = daemon](const StreamAttemptEvent& attemptEvent) {
      daemon.step(attemptEvent);
    });
  }
  void operator()(const CancelStreamAttempt& command) const {
    daemon.client_->cancel(command.attempt);
  }
  void operator()(const StartStreamAnswer& command) const {
    auto found = daemon.pendingResponses_.find(command.stream);
    if (found == daemon.pendingResponses_.end()) return;
    found->second.requestId = command.requestId;
    if (found->second.isUnary) return;
    found->second.request->startEventStream({{"X-Request-Id", command.requestId},
                                             {"X-Weights", std::to_string(command.weights.value)}});
  }
  void operator()(const SendPiece& command) const {
    auto found = daemon.pendingResponses_.find(command.stream);
    if (found == daemon.pendingResponses_.end()) return;
    if (found->second.isUnary) found->second.collectedText += command.text;
    else
      found->second.request->sendEvent(std::to_string(command.piece.value), "piece", command.text);
  }
  void operator()(const EndStreamAnswer& command) const {
    auto owned = daemon.pendingResponses_.extract(command.stream);
    if (owned.empty()) return;
    auto& [request, isUnary, collectedText, requestId, attempt, paused] = owned.mapped();
    if (isUnary) {  // a unary response is sent only when it is complete
      request->respond(200, {{"Content-Type", "application/json"}, {"X-Request-Id", requestId}},
                       Json{{"answer", collectedText}}.dump());
      return;
    }
    if (command.end == StreamAnswerEnd::kComplete)
      request->sendEvent("", "end", Json{{"pieces", command.next.value}}.dump());
    else
      request->sendEvent("", "error",
                         Json{{"error", command.kind},
                              {"mayHaveRun", command.mayHaveRun},
                              {"next", command.next.value}}
                             .dump());
    request->endStream();
  }
  void operator()(const DeclineStream& command) const {
    auto owned = daemon.pendingResponses_.extract(command.stream);
    if (owned.empty()) return;
    Headers headers{{"Content-Type", "application/json"}};
    if (command.retryAfter.microseconds > 0)
      headers["Retry-After"] =
          std::to_string(std::max<std::int64_t>(1, inMilliseconds(command.retryAfter) / 1000));
    if (!command.requestId.empty()) headers["X-Request-Id"] = command.requestId;
    Json body{{"error", command.kind}, {"mayHaveRun", command.mayHaveRun}};
    if (!command.field.empty()) body["field"] = command.field;
    owned.mapped().request->respond(command.status, headers, body.dump());
  }
  void operator()(const AnswerHttp& command) const {
    auto owned = daemon.operatorRequests_.extract(command.ticket);
    if (owned.empty()) return;
    AnswerHttp answer = daemon.endpoints_ ? daemon.endpoints_->operatorResponse(command) : command;
    owned.mapped()->respond(answer.status, answer.headers, answer.body);
  }
  void operator()(const LogState& command) const { LOG(INFO) << command.text; }
  /// Commands that need a dialect.
  template <class UnhandledCommand>
  void operator()(const UnhandledCommand& command) const {
    if (daemon.endpoints_) daemon.endpoints_->execute(command);
  }
};

// Signals are blocked until the loop runs, so that none is lost or ends the process before.
Daemon::Daemon(Role role, DaemonSetup setup) : role_(role), setup_(std::move(setup)) {
  sigset_t signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Connections report their close while their owners are destroyed. Nothing may be done about it any
// more, as the objects that it concerns may be destroyed already.
Daemon::~Daemon() {
  isExecuting_ = true;  // the node may still get events, but its commands are not carried out
  for (auto& [ticket, request] : operatorRequests_) request->onDisconnect = nullptr;
  for (auto& [stream, response] : pendingResponses_) response.request->onDisconnect = nullptr;
}

absl::Status Daemon::open() {
  MemberRecord self;
  self.member = {randomIdentity()};
  self.address = setup_.memberAddress;
  self.pagesAddress = setup_.operatorAddress;
  self.role = role_;
  self.zone = setup_.zone;
  client_ = std::make_unique<WebClient>(loop_);
  transport_ = std::make_unique<MemberTransport>(loop_, setup_.memberAddress, setup_.fleet,
                                                 [this](const Address& from, Message message) {
                                                   step(MessageReceived{from, std::move(message)});
                                                 });
  operatorServer_ = std::make_unique<WebServer>(loop_, [this](std::shared_ptr<WebRequest> request) {
    handleOperatorRequest(std::move(request));
  });
  if (setup_.dialect)
    endpoints_ = std::make_unique<DialectEndpoints>(loop_, *setup_.dialect,
                                                    [this](const Event& event) { step(event); });
  absl::Status opened = role_ == Role::kCore ? openCore(self)
                        : endpoints_         ? openRouter(self)
                                             : openFront(self);
  if (!opened.ok()) return opened;
  if (!setup_.operatorAddress.value.empty())
    if (auto status = operatorServer_->listen(setup_.operatorAddress, kMaxOperatorBodyBytes);
        !status.ok())
      return status;
  return transport_->listen();
}

absl::Status Daemon::openCore(const MemberRecord& self) {
  auto files = DiskWriter::load(setup_.dataFolder);
  if (!files.ok()) return files.status();
  DiskContents contents{*files};
  if (readIdentity(contents).value == 0) {
    std::string identity = identityFileContent({randomIdentity()}, setup_.bootstrap);
    if (auto status = DiskWriter::writeNow(setup_.dataFolder, "identity", identity); !status.ok())
      return status;
    contents.files["identity"] = identity;
  }
  node_ = std::make_unique<CoreNode>(setup_.options, self, setup_.seeds, contents, randomIdentity(),
                                     bootNow(), setup_.bootstrap);
  if (endpoints_) static_cast<CoreNode&>(*node_).enableEngineDuties();
  disk_ = std::make_unique<DiskWriter>(setup_.dataFolder, [this](const FileWritten& written) {
    loop_.post([this, written] { step(written); });
  });
  return absl::OkStatus();
}

absl::Status Daemon::openFront(const MemberRecord& self) {
  node_ = std::make_unique<FrontNode>(setup_.options, self, setup_.seeds, setup_.platformAddress,
                                      randomIdentity());
  callerServer_ = std::make_unique<WebServer>(loop_, [this](std::shared_ptr<WebRequest> request) {
    handleStreamRequest(std::move(request));
  });
  return callerServer_->listen(setup_.clientAddress,
                               static_cast<std::size_t>(setup_.options.largestBody) + 4096);
}

absl::Status Daemon::openRouter(const MemberRecord& self) {
  node_ = std::make_unique<RouterNode>(setup_.options, self, setup_.seeds, setup_.zoneRegions,
                                       randomIdentity());
  return endpoints_->listen(setup_.clientAddress);
}

void Daemon::step(const Event& event) {
  node_->step(event, bootNow());
  executeCommands();
}

void Daemon::executeCommands() {
  // Carrying out a command may raise another event at once; the outer call handles its commands.
  if (isExecuting_) return;
  isExecuting_ = true;
  for (auto commands = node_->outbox().takeCommands(); !commands.empty();
       commands = node_->outbox().takeCommands())
    for (const auto& command : commands) std::visit(CommandExecutor{*this}, command);
  isExecuting_ = false;
}

void Daemon::handleStreamRequest(std::shared_ptr<WebRequest> request) {
  bool isUnary = request->path == "/v1/desk";
  if (request->method != "POST" || (!isUnary && request->path != "/v1/stream")) {
    request->respond(request->method == "POST" ? 404 : 405, {{"Content-Type", "application/json"}},
                     R"({"error":"no-such-path","mayHaveRun":false})");
    return;
  }
  StreamId stream{++lastStreamId_};
  request->onDisconnect = [this, stream] {
    pendingResponses_.erase(stream);
    step(StreamCallerGone{stream});
  };
  pendingResponses_[stream].request = request;
  pendingResponses_[stream].isUnary = isUnary;
  step(StreamRequest{stream, request->headers, request->body, isUnary});
}

// No engine is called for a caller that has disconnected; the node is notified here.
bool Daemon::isCallerConnected(StreamAttemptId attempt) {
  auto& front = static_cast<FrontNode&>(*node_);
  for (const auto& [stream, response] : pendingResponses_) {
    if (front.attemptOf(stream) != attempt) continue;
    if (response.request->isCallerConnected()) return true;
    StreamId leftStream = stream;
    pendingResponses_.erase(leftStream);
    step(StreamCallerGone{leftStream});
    return false;
  }
  return true;
}

void Daemon::handleOperatorRequest(std::shared_ptr<WebRequest> request) {
  if (request->path == "/rehearsal") {
    injectFaults(std::move(request));
    return;
  }
  if (respondToReadinessCheck(request)) return;
  TicketId ticket{++lastTicketId_};
  operatorRequests_[ticket] = request;
  request->onDisconnect = [this, ticket] { operatorRequests_.erase(ticket); };
  if (endpoints_) {
    auto call = endpoints_->operatorCall(ticket, request->method, request->path, request->headers,
                                         request->body);
    if (call && std::holds_alternative<AnswerHttp>(*call)) {
      const AnswerHttp& refusal = std::get<AnswerHttp>(*call);
      operatorRequests_.erase(ticket);
      return request->respond(refusal.status, refusal.headers, refusal.body);
    }
    if (call) return step(std::get<OperatorRequest>(*call));
  }
  step(OperatorRequest{ticket, request->method, request->path, request->body});
}

bool Daemon::respondToReadinessCheck(const std::shared_ptr<WebRequest>& request) {
  if (!endpoints_ || role_ != Role::kRouter ||
      request->path != endpoints_->dialect().readinessPath())
    return false;
  bool ready = static_cast<RouterNode&>(*node_).ready(bootNow());
  request->respond(ready ? 200 : 503, {}, "");
  return true;
}

void Daemon::stopWhenDrained() {
  auto stop = [this] { loop_.stop(); };
  if (!endpoints_ || role_ == Role::kCore) return loop_.runAfter(milliseconds(100), stop);
  // An open connection may bring a request at any moment, so the process ends after the last one.
  endpoints_->listener().stopAccepting();
  bool graceTimeOver = bootNow() - drainStartedAt_ > setup_.options.graceTime - seconds(0.6);
  if (graceTimeOver || endpoints_->listener().connectionCount() == 0) loop_.runSoon(stop);
}

void Daemon::logCounters() {
  std::string line;
  for (const auto& [name, value] : node_->outbox().counters())
    line += " " + name + "=" + std::to_string(value);
  LOG(INFO) << "counters" << line;
  line.clear();
  for (std::size_t kind = 0; kind < kMessageKinds; ++kind)
    if (const auto& sent = transport_->sentByKind()[kind]; sent.messages > 0)
      line += " " + std::string(messageKindName(kind)) + "=" + std::to_string(sent.messages) + "/" +
              std::to_string(sent.bytes);
  LOG(INFO) << "sent to members, messages/bytes" << line;
}

void Daemon::applyRequestLimits() {
  if (!endpoints_ || role_ != Role::kRouter) return;
  const Follower& follower = static_cast<RouterNode&>(*node_).follower();
  if (follower.changeCount() == appliedChanges_) return;
  appliedChanges_ = follower.changeCount();
  endpoints_->listener().setLimits(follower.setup().fleetConfig.limits);
}

// Data that waits for a late loop can't be told apart from data that arrived late. So a long delay
// is logged at once, and the counters say how often it happens.
void Daemon::recordLoopLag(MonotonicTime now) {
  Duration lag = loopLag_.tick(now);
  if (lag < kLateTick) return;
  node_->outbox().count("loop.late");
  if (lag < kVeryLateTick) return;
  node_->outbox().count("loop.veryLate");
  if (lagLoggedAt_ != kNever && now - lagLoggedAt_ < kLagLogInterval) return;
  lagLoggedAt_ = now;
  LOG(WARNING) << "the event loop is " << inMilliseconds(lag) << " ms behind";
}

void Daemon::injectFaults(std::shared_ptr<WebRequest> request) {
  Json body = Json::parse(request->body, nullptr, false);
  if (!setup_.allowsFaultInjection || !body.is_object()) {
    request->respond(403, {}, R"({"outcome":"no-rehearsal"})");
    return;
  }
  if (body.contains("cut")) {
    std::set<std::string> blockedAddresses = body["cut"].get<std::set<std::string>>();
    LOG(INFO) << "fault injection: blocking " << blockedAddresses.size() << " addresses";
    transport_->blockAddresses(blockedAddresses);
    client_->blockAddresses(blockedAddresses);
  }
  static constexpr std::array<std::pair<std::string_view, DiskFault>, 5> kFaults{
      {{"good", DiskFault::kNone},
       {"slow", DiskFault::kSlow},
       {"stall", DiskFault::kStall},
       {"full", DiskFault::kFull},
       {"fail", DiskFault::kFailSync}}};
  for (const auto& [name, fault] : kFaults)
    if (disk_ && body.value("disk", "") == name) disk_->injectFault(fault);
  request->respond(200, {}, R"({"outcome":"done"})");
}

void Daemon::pauseForSlowCallers() {
  if (endpoints_) return;  // the dialect's listener reports backpressure itself
  // A slow caller slows only its own stream: the engine's response isn't read meanwhile.
  for (auto& [stream, response] : pendingResponses_) {
    auto attempt = role_ == Role::kRouter ? static_cast<FrontNode&>(*node_).attemptOf(stream)
                                          : std::optional<StreamAttemptId>();
    if (!attempt) continue;
    std::size_t waiting = response.request->unsentBytes();
    if (!response.paused && waiting > kPauseAboveBytes) {
      response.paused = true;
      client_->pause(*attempt, true);
    } else if (response.paused && waiting < kResumeBelowBytes) {
      response.paused = false;
      client_->pause(*attempt, false);
    }
  }
}

int Daemon::run(std::function<absl::StatusOr<Options>()> readOptions) {
  LOG(INFO) << (role_ == Role::kCore ? "core" : "front") << " at " << setup_.memberAddress.value
            << ", pages at " << setup_.operatorAddress.value;
  loop_.runEvery(kTickInterval, [this] {
    recordLoopLag(bootNow());
    step(Tick{});
    applyRequestLimits();
    pauseForSlowCallers();
    if (node_->drained(bootNow())) stopWhenDrained();
  });
  if (setup_.counterLogInterval.microseconds > 0)
    loop_.runEvery(setup_.counterLogInterval, [this] { logCounters(); });
  auto drain = [this] {
    LOG(INFO) << "draining";
    drainStartedAt_ = std::min(drainStartedAt_, bootNow());
    if (endpoints_ && role_ == Role::kRouter) endpoints_->listener().drain();
    step(DrainRequest{});
  };
  loop_.onSignal(SIGTERM, drain);
  loop_.onSignal(SIGINT, drain);
  loop_.onSignal(SIGHUP, [this, readOptions] {
    auto options = readOptions();
    if (options.ok()) {
      LOG(INFO) << "props reread";
      node_->reload(*options);
    } else {
      LOG(WARNING) << "props kept: " << std::string(options.status().message());
    }
  });
  signal(SIGPIPE, SIG_IGN);
  sigset_t signals = handledSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
  loop_.run();
  logCounters();
  LOG(INFO) << "ended";
  return 0;
}

}  // namespace peppergate
