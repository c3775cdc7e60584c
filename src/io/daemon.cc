#include "io/daemon.h"

#include <glog/logging.h>
#include <signal.h>

#include "core/front_node.h"
#include "io/fresh_number.h"
#include "requests/router_node.h"

namespace peppergate {
namespace {

constexpr std::size_t kSlowCaller = 256 << 10;
constexpr std::size_t kCallerTookEnough = 64 << 10;
constexpr std::size_t kLargestPage = 8 << 20;  // a body may hold a complete configuration
constexpr Duration kLateLoop = milliseconds(100), kVeryLateLoop = milliseconds(500);
constexpr Duration kLagNotedEvery = seconds(1);

sigset_t handledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  return signals;
}

}  // namespace

/// Carries out one command of any kind.
struct DaemonRunner {
  Daemon& daemon;
  void operator()(const Send& command) const { daemon.hub_->send(command.to, command.message); }
  void operator()(const Broadcast& command) const {
    daemon.hub_->broadcast(command.to, *command.message);
  }
  void operator()(const WriteFile& command) const { daemon.disk_->write(command); }
  void operator()(const DropOlder& command) const { daemon.disk_->dropOlder(command); }
  void operator()(const CallWeb& command) const {
    daemon.client_->call(command,
                         [&daemon = daemon, ticket = command.ticket](const WebResult& got) {
                           daemon.step(WebAnswered{ticket, got.status, got.body});
                         });
  }
  void operator()(const OpenShot& command) const {
    if (!daemon.callerPresent(command.shot)) return;
    daemon.client_->shoot(command,
                          [&daemon = daemon](const ShotTurned& turned) { daemon.step(turned); });
  }
  void operator()(const CancelShot& command) const { daemon.client_->cancel(command.shot); }
  void operator()(const StartAnswer& command) const {
    auto found = daemon.answering_.find(command.stream);
    if (found == daemon.answering_.end()) return;
    found->second.requestId = command.requestId;
    if (found->second.unary) return;
    found->second.request->start({{"X-Request-Id", command.requestId},
                                  {"X-Weights", std::to_string(command.weights.value)}});
  }
  void operator()(const SendPiece& command) const {
    auto found = daemon.answering_.find(command.stream);
    if (found == daemon.answering_.end()) return;
    if (found->second.unary) found->second.gathered += command.text;
    else found->second.request->event(std::to_string(command.piece.value), "piece", command.text);
  }
  void operator()(const EndAnswer& command) const {
    auto owned = daemon.answering_.extract(command.stream);
    if (owned.empty()) return;
    auto& [request, unary, gathered, requestId, shot, paused] = owned.mapped();
    if (unary) {  // a unary response is sent only when it is complete
      request->answer(200, {{"Content-Type", "application/json"}, {"X-Request-Id", requestId}},
                      Json{{"answer", gathered}}.dump());
      return;
    }
    if (command.end == AnswerEnd::kWhole)
      request->event("", "end", Json{{"pieces", command.next.value}}.dump());
    else
      request->event("", "error",
                     Json{{"error", command.kind},
                          {"mayHaveRun", command.mayHaveRun},
                          {"next", command.next.value}}
                         .dump());
    request->end();
  }
  void operator()(const DeclineStream& command) const {
    auto owned = daemon.answering_.extract(command.stream);
    if (owned.empty()) return;
    Headers headers{{"Content-Type", "application/json"}};
    if (command.retryAfter.microseconds > 0)
      headers["Retry-After"] =
          std::to_string(std::max<std::int64_t>(1, inMilliseconds(command.retryAfter) / 1000));
    if (!command.requestId.empty()) headers["X-Request-Id"] = command.requestId;
    Json body{{"error", command.kind}, {"mayHaveRun", command.mayHaveRun}};
    if (!command.field.empty()) body["field"] = command.field;
    owned.mapped().request->answer(command.status, headers, body.dump());
  }
  void operator()(const AnswerWeb& command) const {
    auto owned = daemon.operators_.extract(command.ticket);
    if (owned.empty()) return;
    AnswerWeb answer = daemon.endpoints_ ? daemon.endpoints_->operatorAnswer(command) : command;
    owned.mapped()->answer(answer.status, answer.headers, answer.body);
  }
  void operator()(const NoteState& command) const { LOG(INFO) << command.text; }
  /// Commands that need a dialect.
  template <class Other>
  void operator()(const Other& command) const {
    if (daemon.endpoints_) daemon.endpoints_->carryOut(command);
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
  stepping_ = true;  // the node may still get events, but its commands are not carried out
  for (auto& [ticket, request] : operators_) request->onGone = nullptr;
  for (auto& [stream, answering] : answering_) answering.request->onGone = nullptr;
}

absl::Status Daemon::open() {
  MemberRecord self;
  self.member = {freshNumber()};
  self.address = setup_.member;
  self.pages = setup_.pages;
  self.role = role_;
  self.zone = setup_.zone;
  client_ = std::make_unique<WebClient>(loop_);
  hub_ = std::make_unique<MemberHub>(loop_, setup_.member, setup_.fleet,
                                     [this](const Address& from, Message message) {
                                       step(Arrived{from, std::move(message)});
                                     });
  pages_ = std::make_unique<WebServer>(
      loop_, [this](std::shared_ptr<WebRequest> request) { operatorAsked(std::move(request)); });
  if (setup_.dialect)
    endpoints_ = std::make_unique<DialectEndpoints>(loop_, *setup_.dialect,
                                                    [this](const Event& event) { step(event); });
  absl::Status opened = role_ == Role::kCore ? openCore(self)
                        : endpoints_         ? openRouter(self)
                                             : openFront(self);
  if (!opened.ok()) return opened;
  if (!setup_.pages.value.empty())
    if (auto status = pages_->listen(setup_.pages, kLargestPage); !status.ok()) return status;
  return hub_->listen();
}

absl::Status Daemon::openCore(const MemberRecord& self) {
  auto files = DiskTask::load(setup_.dataFolder);
  if (!files.ok()) return files.status();
  DiskFound found{*files};
  if (identityOn(found).value == 0) {
    std::string identity = identityFile({freshNumber()}, setup_.bootstrap);
    if (auto status = DiskTask::writeNow(setup_.dataFolder, "identity", identity); !status.ok())
      return status;
    found.files["identity"] = identity;
  }
  node_ = std::make_unique<CoreNode>(setup_.options, self, setup_.seeds, found, freshNumber(),
                                     bootNow(), setup_.bootstrap);
  if (endpoints_) static_cast<CoreNode&>(*node_).takeEngineDuties();
  disk_ = std::make_unique<DiskTask>(setup_.dataFolder, [this](const FileWritten& written) {
    loop_.post([this, written] { step(written); });
  });
  return absl::OkStatus();
}

absl::Status Daemon::openFront(const MemberRecord& self) {
  node_ = std::make_unique<FrontNode>(setup_.options, self, setup_.seeds, setup_.platform,
                                      freshNumber());
  callers_ = std::make_unique<WebServer>(
      loop_, [this](std::shared_ptr<WebRequest> request) { callerAsked(std::move(request)); });
  return callers_->listen(setup_.callers,
                          static_cast<std::size_t>(setup_.options.largestBody) + 4096);
}

absl::Status Daemon::openRouter(const MemberRecord& self) {
  node_ = std::make_unique<RouterNode>(setup_.options, self, setup_.seeds, setup_.regions,
                                       freshNumber());
  return endpoints_->listen(setup_.callers);
}

void Daemon::step(const Event& event) {
  node_->step(event, bootNow());
  carryOut();
}

void Daemon::carryOut() {
  // Carrying out a command may raise another event at once; the outer call handles its commands.
  if (stepping_) return;
  stepping_ = true;
  for (auto commands = node_->outbox().take(); !commands.empty(); commands = node_->outbox().take())
    for (const auto& command : commands) std::visit(DaemonRunner{*this}, command);
  stepping_ = false;
}

void Daemon::callerAsked(std::shared_ptr<WebRequest> request) {
  bool unary = request->path == "/v1/desk";
  if (request->method != "POST" || (!unary && request->path != "/v1/stream")) {
    request->answer(request->method == "POST" ? 404 : 405, {{"Content-Type", "application/json"}},
                    R"({"error":"no-such-path","mayHaveRun":false})");
    return;
  }
  StreamId stream{++lastStream_};
  request->onGone = [this, stream] {
    answering_.erase(stream);
    step(CallerGone{stream});
  };
  answering_[stream].request = request;
  answering_[stream].unary = unary;
  step(StreamRequest{stream, request->headers, request->body, unary});
}

// No engine is called for a caller that has disconnected; the node is notified here.
bool Daemon::callerPresent(ShotId shot) {
  auto& front = static_cast<FrontNode&>(*node_);
  for (const auto& [stream, answering] : answering_) {
    if (front.shotOf(stream) != shot) continue;
    if (answering.request->callerPresent()) return true;
    StreamId gone = stream;
    answering_.erase(gone);
    step(CallerGone{gone});
    return false;
  }
  return true;
}

void Daemon::operatorAsked(std::shared_ptr<WebRequest> request) {
  if (request->path == "/rehearsal") {
    rehearse(std::move(request));
    return;
  }
  if (answerReady(request)) return;
  TicketId ticket{++lastTicket_};
  operators_[ticket] = request;
  request->onGone = [this, ticket] { operators_.erase(ticket); };
  if (endpoints_) {
    auto call = endpoints_->operatorCall(ticket, request->method, request->path, request->headers,
                                         request->body);
    if (call && std::holds_alternative<AnswerWeb>(*call)) {
      const AnswerWeb& refusal = std::get<AnswerWeb>(*call);
      operators_.erase(ticket);
      return request->answer(refusal.status, refusal.headers, refusal.body);
    }
    if (call) return step(std::get<OperatorRequest>(*call));
  }
  step(OperatorRequest{ticket, request->method, request->path, request->body});
}

bool Daemon::answerReady(const std::shared_ptr<WebRequest>& request) {
  if (!endpoints_ || role_ != Role::kFront || request->path != endpoints_->dialect().readyPath())
    return false;
  bool ready = static_cast<RouterNode&>(*node_).ready(bootNow());
  request->answer(ready ? 200 : 503, {}, "");
  return true;
}

void Daemon::leaveWhenDone() {
  auto stop = [this] { loop_.stop(); };
  if (!endpoints_ || role_ == Role::kCore) return loop_.after(milliseconds(100), stop);
  // An open connection may bring a request at any moment, so the process ends after the last one.
  endpoints_->listener().close();
  bool over = bootNow() - leaving_ > setup_.options.graceTime - seconds(0.6);
  if (over || endpoints_->listener().connections() == 0) loop_.soon(stop);
}

void Daemon::logCounters() {
  std::string line;
  for (const auto& [name, value] : node_->outbox().counters())
    line += " " + name + "=" + std::to_string(value);
  LOG(INFO) << "counters" << line;
  line.clear();
  for (std::size_t kind = 0; kind < kMessageKinds; ++kind)
    if (const auto& sent = hub_->sent()[kind]; sent.messages > 0)
      line += " " + std::string(messageKindName(kind)) + "=" + std::to_string(sent.messages) + "/" +
              std::to_string(sent.bytes);
  LOG(INFO) << "sent to members, messages/bytes" << line;
}

void Daemon::noteConfig() {
  if (!endpoints_ || role_ != Role::kFront) return;
  const Follower& follower = static_cast<RouterNode&>(*node_).follower();
  if (follower.changesSeen() == changesSeen_) return;
  changesSeen_ = follower.changesSeen();
  endpoints_->listener().limits(follower.setup().fleet.limits);
}

// Data that waits for a late loop can't be told apart from data that arrived late. So a long delay
// is logged at once, and the counters say how often it happens.
void Daemon::noteLoopLag(MonotonicTime now) {
  Duration late = loopLag_.tick(now);
  if (late < kLateLoop) return;
  node_->outbox().count("loop.late");
  if (late < kVeryLateLoop) return;
  node_->outbox().count("loop.veryLate");
  if (lagNotedAt_ != kNever && now - lagNotedAt_ < kLagNotedEvery) return;
  lagNotedAt_ = now;
  LOG(WARNING) << "the event loop is " << inMilliseconds(late) << " ms behind";
}

void Daemon::rehearse(std::shared_ptr<WebRequest> request) {
  Json body = Json::parse(request->body, nullptr, false);
  if (!setup_.rehearsal || !body.is_object()) {
    request->answer(403, {}, R"({"outcome":"no-rehearsal"})");
    return;
  }
  if (body.contains("cut")) {
    std::set<std::string> cut = body["cut"].get<std::set<std::string>>();
    LOG(INFO) << "fault injection: blocking " << cut.size() << " addresses";
    hub_->cut(cut);
    client_->cut(cut);
  }
  static constexpr std::array<std::pair<std::string_view, DiskFault>, 5> kFaults{
      {{"good", DiskFault::kNone},
       {"slow", DiskFault::kSlow},
       {"stall", DiskFault::kStall},
       {"full", DiskFault::kFull},
       {"fail", DiskFault::kFailSync}}};
  for (const auto& [name, fault] : kFaults)
    if (disk_ && body.value("disk", "") == name) disk_->fault(fault);
  request->answer(200, {}, R"({"outcome":"done"})");
}

void Daemon::watchSlowCallers() {
  if (endpoints_) return;  // the dialect's listener reports backpressure itself
  // A slow caller slows only its own stream: the engine's response isn't read meanwhile.
  for (auto& [stream, answering] : answering_) {
    auto shot = role_ == Role::kFront ? static_cast<FrontNode&>(*node_).shotOf(stream)
                                      : std::optional<ShotId>();
    if (!shot) continue;
    std::size_t waiting = answering.request->waiting();
    if (!answering.paused && waiting > kSlowCaller) {
      answering.paused = true;
      client_->pause(*shot, true);
    } else if (answering.paused && waiting < kCallerTookEnough) {
      answering.paused = false;
      client_->pause(*shot, false);
    }
  }
}

int Daemon::run(std::function<absl::StatusOr<Options>()> reread) {
  LOG(INFO) << (role_ == Role::kCore ? "core" : "front") << " at " << setup_.member.value
            << ", pages at " << setup_.pages.value;
  loop_.every(kTickEvery, [this] {
    noteLoopLag(bootNow());
    step(Ticked{});
    noteConfig();
    watchSlowCallers();
    if (node_->drained(bootNow())) leaveWhenDone();
  });
  if (setup_.countersEvery.microseconds > 0)
    loop_.every(setup_.countersEvery, [this] { logCounters(); });
  auto drain = [this] {
    LOG(INFO) << "draining";
    leaving_ = std::min(leaving_, bootNow());
    if (endpoints_ && role_ == Role::kFront) endpoints_->listener().leave();
    step(DrainRequest{});
  };
  loop_.onSignal(SIGTERM, drain);
  loop_.onSignal(SIGINT, drain);
  loop_.onSignal(SIGHUP, [this, reread] {
    auto options = reread();
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
