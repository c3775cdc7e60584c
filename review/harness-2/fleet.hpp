// A small deployment on loopback for the cases of this review: settings files and processes of the
// project, and stand-ins for engines, the platform's engine list, the operator and clients.
// Threads and blocking sockets; it needs the C++ library and POSIX only.
#pragma once
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline double now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void sleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

// ---- record.txt ----
inline std::mutex recordMutex;
inline FILE* recordFile = nullptr;
inline void record(const std::string& text) {
  std::lock_guard lock(recordMutex);
  if (recordFile == nullptr) return;
  std::fprintf(recordFile, "%9.3f %s\n", now(), text.c_str());
  std::fflush(recordFile);
}
inline void openRecord(const std::string& path) {
  recordFile = std::fopen(path.c_str(), "w");
  if (recordFile == nullptr) std::exit(2);
}

inline std::string lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}
inline std::string trim(std::string text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.erase(0, 1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
    text.pop_back();
  return text;
}

// ---- sockets ----
inline sockaddr_in addressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}
inline bool canBind(const std::string& ip, int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = addressOf(ip, port);
  bool free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  close(fd);
  return free;
}

/// One connection with buffered, time-limited reads.
class Stream {
 public:
  enum class End { kOpen, kFin, kReset, kTimeout };
  explicit Stream(int fd = -1) : fd_(fd) {}
  Stream(const Stream&) = delete;
  ~Stream() { shut(); }
  bool connectTo(const std::string& ip, int port, double timeout) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = addressOf(ip, port);
    int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      if (errno != EINPROGRESS) return shut(), false;
      pollfd waiting{fd_, POLLOUT, 0};
      int error = 0;
      socklen_t size = sizeof error;
      if (poll(&waiting, 1, static_cast<int>(timeout * 1000)) != 1 ||
          getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        return shut(), false;
    }
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) & ~O_NONBLOCK);
    return true;
  }
  bool write(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      ssize_t size = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) return false;
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }
  /// Reads more bytes into the buffer; false at an end, which `end` then names.
  bool more(double until) {
    while (true) {
      pollfd waiting{fd_, POLLIN, 0};
      double left = until - now();
      int ready = poll(&waiting, 1, left <= 0 ? 0 : static_cast<int>(left * 1000) + 1);
      if (ready < 0 && errno == EINTR) continue;
      if (ready <= 0) return end = End::kTimeout, false;
      char bytes[16384];
      ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
      if (size > 0) return buffer.append(bytes, static_cast<std::size_t>(size)), true;
      if (size == 0) return end = End::kFin, false;
      if (errno == EINTR) continue;
      return end = End::kReset, false;
    }
  }
  bool line(std::string& text, double until) {
    std::size_t at;
    while ((at = buffer.find('\n')) == std::string::npos)
      if (!more(until)) return false;
    text = buffer.substr(0, at);
    if (!text.empty() && text.back() == '\r') text.pop_back();
    buffer.erase(0, at + 1);
    return true;
  }
  bool bytes(std::string& text, std::size_t count, double until) {
    while (buffer.size() < count)
      if (!more(until)) return text += buffer, buffer.clear(), false;
    text += buffer.substr(0, count);
    buffer.erase(0, count);
    return true;
  }
  /// True if the peer has closed or reset the connection.
  bool peerClosed() {
    char byte;
    ssize_t size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
  }
  void reset() {
    linger zero{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &zero, sizeof zero);
    shut();
  }
  void shut() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  std::string buffer;
  End end = End::kOpen;

 private:
  int fd_;
};

// ---- HTTP messages ----
struct Message {
  std::string first, second, third;  // method, target, version; or version, status, reason
  std::map<std::string, std::string> headers;
  std::string body;
  bool complete = false;
  Stream::End end = Stream::End::kOpen;  // how the connection ended before the message did
  int status() const { return std::atoi(second.c_str()); }
  std::string header(const std::string& name) const {
    auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

/// Reads one message. A response with no length ends with its connection.
inline Message readMessage(Stream& stream, double until, bool isResponse) {
  Message message;
  std::string text;
  auto failed = [&] { return message.end = stream.end, message; };
  if (!stream.line(text, until)) return failed();
  std::istringstream start(text);
  start >> message.first >> message.second;
  std::getline(start, message.third);
  while (true) {
    if (!stream.line(text, until)) return failed();
    if (text.empty()) break;
    auto colon = text.find(':');
    if (colon == std::string::npos) continue;
    message.headers[lower(text.substr(0, colon))] = trim(text.substr(colon + 1));
  }
  if (lower(message.header("transfer-encoding")) == "chunked") {
    while (true) {
      if (!stream.line(text, until)) return failed();
      std::size_t size = std::strtoul(text.c_str(), nullptr, 16);
      if (!stream.bytes(message.body, size, until)) return failed();
      if (!stream.line(text, until)) return failed();
      if (size == 0) break;
    }
  } else if (message.headers.contains("content-length")) {
    std::size_t size = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    if (!stream.bytes(message.body, size, until)) return failed();
  } else if (isResponse && message.status() != 204 && message.status() != 304) {
    while (stream.more(until)) {
    }
    message.body = std::move(stream.buffer);
    stream.buffer.clear();
    message.end = stream.end;
    message.complete = stream.end == Stream::End::kFin;
    return message;
  }
  message.complete = true;
  return message;
}

inline std::string responseText(int status, const std::string& body,
                                const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " Any\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

/// Serves each connection in a thread of its own.
class Server {
 public:
  virtual ~Server() { stop(); }
  bool listenAt(const std::string& ip, int port) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = addressOf(ip, port);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) return false;
    if (listen(fd_, 256) != 0) return false;
    std::thread([this] {
      while (!stopped_) {
        pollfd waiting{fd_, POLLIN, 0};
        if (poll(&waiting, 1, 100) != 1) continue;
        int connection = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) continue;
        std::thread([this, connection] {
          int on = 1;
          setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
          Stream stream(connection);
          while (!stopped_) {
            Message request = readMessage(stream, now() + 60, false);
            if (!request.complete || !answer(request, stream)) return;
          }
        }).detach();
      }
    }).detach();
    return true;
  }
  void stop() { stopped_ = true; }

 protected:
  /// Answers one request; false closes the connection.
  virtual bool answer(const Message& request, Stream& stream) = 0;
  std::atomic<bool> stopped_{false};

 private:
  int fd_ = -1;
};

// ---- engines ----
struct Run {
  double at = 0;
  std::string engine, attempt, target, tenant, salt, body;
  bool hadKey = false;
  std::vector<std::string> usedFrom;  // attempts whose memory it used
  bool whole = false;                 // its answer was written whole
  bool unframed = false;              // with no length
};

struct Part {
  std::string madeBy, tenant;
  long tokens = 0;
};

class Engine : public Server {
 public:
  std::string id, ip, zone = "z1", service = "model";
  int port = 0;
  std::string model = "m0";
  long version = 1;
  /// The share of answers with no length, which end with their connection, as an engine's may.
  std::atomic<double> unframedShare{0};
  double workSeconds = 0.03;
  int events = 6;
  double eventSeconds = 0.02;
  std::string address() const { return ip + ":" + std::to_string(port); }

  std::string listEntry() const {
    return "{\"line\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone +
           "\",\"edition\":\"v1\",\"berths\":32,\"state\":\"accepting\",\"warmup_left_ms\":0,"
           "\"stage\":\"whole_route\",\"models\":[{\"name\":\"" + model + "\",\"edition\":" +
           std::to_string(version) + ",\"adapters\":[]}],\"id\":\"" + id + "\"}";
  }
  std::vector<Run> runs() {
    std::lock_guard lock(mutex_);
    return runs_;
  }

 protected:
  bool answer(const Message& request, Stream& stream) override {
    std::string path = request.second.substr(0, request.second.find('?'));
    if (path == "/peppergate/report")
      return stream.write(responseText(
          200, "{\"stage\":\"whole_route\",\"models\":[{\"name\":\"" + model + "\",\"edition\":" +
                   std::to_string(version) + ",\"adapters\":[]}],\"busy\":false,\"call_count\":0,"
                   "\"queued\":0,\"in_transit\":0,\"kv_in_use\":0,\"kv_capacity\":200000,"
                   "\"handles\":0}"));
    if (path == "/peppergate/order") return stream.write(responseText(200, "{}"));
    if (path == "/peppergate/kv-events") return answerEvents(request, stream);
    if (path == "/peppergate/kv-list") return answerList(stream);
    if (path == "/health")
      return stream.write(responseText(200, "", "X-Delivered-By: " + id + "\r\n"));
    return run(request, stream);
  }

 private:
  bool answerEvents(const Message& request, Stream& stream) {
    auto at = request.second.find("since=");
    std::size_t since = at == std::string::npos
                            ? 0
                            : std::strtoul(request.second.c_str() + at + 6, nullptr, 10);
    double wait = std::min(1000.0, std::atof(request.header("wait-ms").c_str())) / 1000;
    double until = now() + wait;
    std::string text;
    std::size_t next;
    {
      std::unique_lock lock(mutex_);
      while (events_.size() <= since && now() < until)
        changed_.wait_for(lock, std::chrono::milliseconds(20));
      for (std::size_t index = since; index < events_.size(); ++index)
        text += (text.empty() ? "" : ",") + events_[index];
      next = events_.size();
    }
    return stream.write(responseText(
        200, "{\"epoch\":77,\"next_token\":" + std::to_string(next) + ",\"lost\":false,\"events\":[" +
                 text + "]}"));
  }
  bool answerList(Stream& stream) {
    std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& [salt, parts] : memory_)
      for (const auto& [part, made] : parts)
        text += (text.empty() ? "" : ",") + ("[\"" + salt + "\",\"" + part + "\"," +
                                             std::to_string(made.tokens) + ",\"" + model + "\"]");
    return stream.write(responseText(200, "{\"epoch\":77,\"next_token\":" +
                                              std::to_string(events_.size()) + ",\"held\":[" +
                                              text + "]}"));
  }
  /// Uses the parts that are kept under the request's salt and keeps those that it reads anew.
  void useMemory(const Message& request, Run& run) {
    std::stringstream prompt(request.header("x-prompt-prefix"));
    std::string entry;
    bool all = true;
    while (std::getline(prompt, entry, ',')) {
      auto colon = entry.find(':');
      if (colon == std::string::npos) continue;
      std::string part = trim(entry.substr(0, colon));
      long tokens = std::atol(entry.c_str() + colon + 1);
      auto& parts = memory_[run.salt];
      auto found = parts.find(part);
      if (all && found != parts.end()) {
        run.usedFrom.push_back(found->second.madeBy);
        continue;
      }
      all = false;
      parts[part] = {run.attempt, run.tenant, tokens};
      events_.push_back("[" + std::to_string(events_.size() + 1) + ",\"+\",\"" + run.salt + "\",\"" +
                        part + "\"," + std::to_string(tokens) + ",\"" + model + "\"]");
    }
    changed_.notify_all();
  }
  bool refuse(int status, const std::string& attempt, Stream& stream) {
    return stream.write(responseText(status, "", "X-Attempt-Id: " + attempt +
                                                     "\r\nX-Not-Delivered: 1\r\nX-Weight-Versions: " +
                                                     std::to_string(version) + "\r\n"));
  }
  bool run(const Message& request, Stream& stream) {
    Run run;
    run.attempt = request.header("x-attempt-id");
    if (run.attempt.empty()) return refuse(400, "", stream);
    if (request.headers.contains("x-deliver-to") && request.header("x-deliver-to") != id)
      return refuse(421, run.attempt, stream);
    if (request.headers.contains("x-expect-version") &&
        request.header("x-expect-version") != std::to_string(version))
      return refuse(421, run.attempt, stream);
    run.at = now();
    run.engine = id;
    run.target = request.second;
    run.tenant = request.header("x-tenant");
    run.salt = request.header("x-cache-salt");
    run.body = request.body;
    run.hadKey = request.headers.contains("authorization");
    std::size_t index;
    {
      std::lock_guard lock(mutex_);
      if (request.headers.contains("x-prompt-prefix")) useMemory(request, run);
      index = runs_.size();
      runs_.push_back(run);
    }
    std::string used;
    for (const auto& from : run.usedFrom) used += " " + from;
    record("engine " + id + " runs " + run.attempt + " " + run.target + " tenant=" + run.tenant +
           " salt=" + run.salt + (used.empty() ? "" : " uses memory made by" + used));
    bool unframed = drawUnframed();
    bool whole = writeAnswer(request, run, stream, unframed);
    {
      std::lock_guard lock(mutex_);
      runs_[index].whole = whole;
      runs_[index].unframed = unframed;
    }
    record("engine " + id + (whole ? " wrote the whole answer to " : " could not write the answer to ") +
           run.attempt + (unframed ? ", with no length" : ""));
    return whole && !unframed;
  }
  bool drawUnframed() {
    std::lock_guard lock(mutex_);
    return std::uniform_real_distribution<double>(0, 1)(random_) < unframedShare;
  }
  bool writeAnswer(const Message& request, const Run& run, Stream& stream, bool unframed) {
    bool isStream = request.second.find("/stream/") != std::string::npos;
    std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + run.attempt + "\r\nX-Postmark: p." +
                       run.attempt + "\r\nX-Weight-Versions: " + std::to_string(version) +
                       "\r\nX-Engine-Load: 1,0,32\r\n";
    if (!isStream) {
      sleepFor(workSeconds);
      std::string body = "result of " + run.attempt;
      if (unframed) head += "Connection: close\r\n\r\n";
      else head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
      return stream.write(head + body);
    }
    head += "Content-Type: text/event-stream\r\n";
    head += unframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
    sleepFor(workSeconds);
    if (!stream.write(head)) return false;
    long first = std::atol(request.header("last-event-id").c_str()) + 1;
    for (long event = first; event <= events; ++event) {
      std::string text = "id: " + std::to_string(event) + "\ndata: " + run.attempt + "\n\n";
      if (!unframed) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        text = size + text + "\r\n";
      }
      if (!stream.write(text)) return false;
      sleepFor(eventSeconds);
    }
    return unframed || stream.write("0\r\n\r\n");
  }

  std::mutex mutex_;
  std::mt19937 random_{std::random_device{}()};
  std::condition_variable changed_;
  std::vector<Run> runs_;
  std::map<std::string, std::map<std::string, Part>> memory_;  // by salt, then by part
  std::vector<std::string> events_;
};

// ---- the platform's list ----
class Platform : public Server {
 public:
  std::vector<Engine*> engines;

 protected:
  bool answer(const Message&, Stream& stream) override {
    std::string text;
    for (const Engine* engine : engines) text += (text.empty() ? "" : ",") + engine->listEntry();
    return stream.write(responseText(200, "{\"stations\":[" + text + "],\"next_token\":null}",
                                     "Content-Type: application/json\r\n"));
  }
};

// ---- the project's processes ----
struct Node {
  std::string name, ip, folder;
  bool router = false, firstStart = true;
  pid_t pid = -1;
};

struct Fleet {
  std::string folder, block;
  int base = 0;
  std::vector<Node> routers, cores;
  std::vector<std::unique_ptr<Engine>> engines;
  Platform platform;
  std::string platformAddress;
  int tolerated = 1;  // machines that may be lost at once

  int memberPort() const { return base; }
  int frontPort() const { return base + 20; }
  int readyPort() const { return base + 21; }
  int controlPort() const { return base + 30; }

  ~Fleet() { endAll(); }

  bool setUp(int routerCount, int coreCount, int engineCount) {
    char name[] = "/tmp/peppergate-review-XXXXXX";
    if (mkdtemp(name) == nullptr) return false;
    folder = name;
    std::mt19937 random(static_cast<unsigned>(getpid()) ^
                        static_cast<unsigned>(Clock::now().time_since_epoch().count()));
    for (int tries = 0; tries < 50; ++tries) {
      block = "127." + std::to_string(20 + random() % 200);
      base = 20000 + static_cast<int>(random() % 10000);
      bool free = true;
      for (int at = 1; at <= std::max({routerCount, coreCount, engineCount}); ++at)
        for (int kind = 1; kind <= 4; ++kind)
          for (int port : {base, base + 20, base + 21, base + 30, base + 40, base + 50})
            free = free && canBind(block + "." + std::to_string(kind) + "." + std::to_string(at), port);
      if (free) break;
      if (tries == 49) return false;
    }
    for (int at = 1; at <= routerCount; ++at)
      routers.push_back({"counter-z1-" + std::to_string(at), block + ".1." + std::to_string(at),
                         folder + "/counter" + std::to_string(at), true});
    for (int at = 1; at <= coreCount; ++at)
      cores.push_back({"sorting-z1-" + std::to_string(at), block + ".2." + std::to_string(at),
                       folder + "/sorting" + std::to_string(at), false});
    platformAddress = block + ".4.1:" + std::to_string(base + 50);
    for (int at = 1; at <= engineCount; ++at) {
      auto engine = std::make_unique<Engine>();
      engine->id = "i-" + std::to_string(at);
      engine->ip = block + ".3." + std::to_string(at);
      engine->port = base + 40;
      if (!engine->listenAt(engine->ip, engine->port)) return false;
      platform.engines.push_back(engine.get());
      engines.push_back(std::move(engine));
    }
    return platform.listenAt(block + ".4.1", base + 50);
  }

  std::string settings(const Node& node) const {
    std::ostringstream text;
    std::string control = ":" + std::to_string(controlPort());
    text << "node_name = \"" << node.name << "\"\nrole = \""
         << (node.router ? "router" : "registrar") << "\"\nmachine_class = \""
         << (node.router ? "counter" : "sorting") << "\"\nserves = [\""
         << (node.router ? "counter" : "control") << "\"]\nip_addr = \"" << node.ip
         << "\"\nzone = \"z1\"\nregion = \"r1\"\ninner_ports = [" << base << "," << base + 15
         << "]\nseed_nodes = [";
    for (std::size_t at = 0; at < std::min<std::size_t>(3, cores.size()); ++at)
      text << (at ? "," : "") << "\"" << cores[at].ip << control << "\"";
    text << "]\nfirst_start = " << (node.firstStart ? "true" : "false")
         << "\ncounted = " << (node.router ? "false" : "true")
         << "\ndiscovery = \"platform\"\nentry = \"vip\"\nbeat_ms = 1200\n";
    if (!node.router) text << "data_dir = \"" << node.folder << "\"\n";
    text << "in_force = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\","
            "\"stream\",\"engine\",\"tenants\"]\n[zones]\nz1 = \"r1\"\n[listen]\n";
    if (node.router)
      text << "front_desk = \"" << node.ip << ":" << frontPort() << "\"\nreadiness = \"" << node.ip
           << ":" << readyPort() << "\"\n";
    else text << "control = \"" << node.ip << control << "\"\n";
    text << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_handles = 4100\n"
            "link_mbps = 1000.0\ndisk_mb = " << (node.router ? 0 : 128)
         << "\n[tolerate]\nmachines = " << tolerated << "\nzones = 0\nregions = 0\n[bounds]\nroster_lag_s = 3\n"
            "address_reuse_s = 2\ncontact_ms = 3000\nreceipt_ms = 4000\ncatchup_s = 4\n"
            "drain_ms = 3000\ngrace_s = 8\nloss_slack_ms = 200\nedition_apply_ms = 2000\n"
            "return_slack_ms = 250\nstretch_ms = 5000\nrevocation_closed = true\nrevoke_ms = 5000\n"
            "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\nrecovery_s = 12\n"
            "transit_ms = 120\nfenced = true\nlease_ms = 3000\nthaw_slack_ms = 300\n"
            "edition_ms = 15000\n[cloud_api]\naddress = \"" << platformAddress
         << "\"\nrate_per_s = 47.0\nduty_list = []\nlag_ms = 800\n";
    return text.str();
  }

  /// Starts a process as the deploy file does: `target/peppergate node --counters-every 10`.
  void start(Node& node) {
    mkdir(node.folder.c_str(), 0755);
    std::string file = node.folder + ".toml", log = node.folder + ".log";
    std::ofstream(file) << settings(node);
    node.firstStart = false;
    pid_t child = fork();
    if (child == 0) {
      int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      std::string variable = "PEPPERGATE_NODE_FILE=" + file;
      std::string path = "PATH=/usr/bin:/bin";
      char* arguments[] = {const_cast<char*>("target/peppergate"), const_cast<char*>("node"),
                           const_cast<char*>("--counters-every"), const_cast<char*>("10"), nullptr};
      char* environment[] = {variable.data(), path.data(), nullptr};
      execve("target/peppergate", arguments, environment);
      _exit(127);
    }
    node.pid = child;
    record("starts " + node.name);
  }
  void startAll() {
    for (auto& node : cores) start(node);
    for (auto& node : routers) start(node);
  }
  void signalTo(Node& node, int number, const char* name) {
    if (node.pid > 0) kill(node.pid, number);
    record(std::string(name) + " to " + node.name);
  }
  /// Whether the process has ended; its exit status is then in `status`.
  bool ended(Node& node, int& status) {
    if (node.pid <= 0) return true;
    if (waitpid(node.pid, &status, WNOHANG) != node.pid) return false;
    node.pid = -1;
    return true;
  }
  void endAll() {
    for (auto* list : {&routers, &cores})
      for (auto& node : *list)
        if (node.pid > 0) {
          kill(node.pid, SIGCONT);
          kill(node.pid, SIGKILL);
          waitpid(node.pid, nullptr, 0);
          node.pid = -1;
        }
    for (auto& engine : engines) engine->stop();
    platform.stop();
    if (!folder.empty() && getenv("KEEP") == nullptr) {
      for (auto* list : {&routers, &cores})
        for (auto& node : *list) {
          unlink((node.folder + ".toml").c_str());
          unlink((node.folder + ".log").c_str());
        }
      // Data folders hold plain files only.
      for (auto& node : cores) removeFiles(node.folder);
      for (auto& node : routers) rmdir(node.folder.c_str());
      rmdir(folder.c_str());
    }
    folder.clear();
  }
  static void removeFiles(const std::string& path);
  /// A machine is killed and loses its disk; its process isn't started again yet.
  void loseDisk(Node& node) {
    signalTo(node, SIGKILL, "SIGKILL, and its disk is lost,");
    if (node.pid > 0) waitpid(node.pid, nullptr, 0);
    node.pid = -1;
    removeFiles(node.folder);
  }

  bool ready(const Node& node) const {
    Stream stream;
    if (!stream.connectTo(node.ip, readyPort(), 1)) return false;
    stream.write("GET /peppergate/ready HTTP/1.1\r\nHost: " + node.ip + "\r\nConnection: close\r\n\r\n");
    return readMessage(stream, now() + 1, true).status() == 200;
  }
  bool awaitReady(double timeout) {
    for (double until = now() + timeout; now() < until; sleepFor(0.1))
      if (std::ranges::all_of(routers, [&](const Node& node) { return ready(node); })) {
        record("all counters are ready");
        return true;
      }
    return false;
  }

  /// Sends an order as the operator does, until there is a clear answer. Returns its status.
  int order(const std::string& path, const std::string& body, const std::string& basedOn,
            double timeout, std::string* answerBody = nullptr) {
    double pause = 0.1;
    for (double until = now() + timeout; now() < until;) {
      const Node& core = cores[nextCore_++ % cores.size()];
      Stream stream;
      Message answer;
      if (stream.connectTo(core.ip, controlPort(), 1)) {
        std::string text = (body.empty() ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: " + core.ip +
                           "\r\nConnection: close\r\nContent-Type: application/json\r\n";
        if (!basedOn.empty()) text += "X-Based-On: " + basedOn + "\r\n";
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        stream.write(text);
        answer = readMessage(stream, now() + 2, true);
      }
      int status = answer.complete ? answer.status() : 0;
      record("operator: " + path + " at " + core.name + " -> " + std::to_string(status));
      if (answerBody) *answerBody = answer.body;
      if (status != 0 && status < 500 && status != 408 && status != 429) return status;
      sleepFor(pause);
      pause = std::min(1.0, pause * 1.5);
    }
    return 0;
  }

 private:
  std::size_t nextCore_ = 0;
};

}  // namespace review

#include <dirent.h>
namespace review {
inline void Fleet::removeFiles(const std::string& path) {
  if (DIR* folder = opendir(path.c_str())) {
    while (dirent* entry = readdir(folder))
      if (entry->d_name[0] != '.' || entry->d_name[1] > '.') unlink((path + "/" + entry->d_name).c_str());
    closedir(folder);
  }
  rmdir(path.c_str());
}

// ---- configurations ----
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  bool isolated = false;
};

inline std::string tenantText(const Tenant& tenant) {
  std::string keys;
  for (const auto& key : tenant.keys) keys += (keys.empty() ? "\"" : ",\"") + key + "\"";
  return "{\"name\":\"" + tenant.name + "\",\"access_keys\":[" + keys +
         "],\"urgency\":1,\"isolated\":" + (tenant.isolated ? "true" : "false") + "}";
}
inline std::string tenantsText(const std::vector<Tenant>& tenants) {
  std::string text;
  for (const auto& tenant : tenants) text += (text.empty() ? "" : ",") + tenantText(tenant);
  return "[" + text + "]";
}
/// Three routes, one of each kind, to one service of model engines.
inline std::string configText(int edition, const std::vector<Tenant>& tenants) {
  auto route = [](const char* name, const char* kind, bool resume) {
    return std::string("{\"name\":\"") + name + "\",\"host\":\"desk.example\",\"path_prefix\":\"/" + name +
           "/\",\"kind\":\"" + kind +
           "\",\"deadline_ms\":8000,\"target_ms\":600,\"urgency\":1,\"line\":\"model\",\"tries\":2,"
           "\"public\":false,\"pinned\":true,\"resume\":" + (resume ? "true" : "false") +
           ",\"gap_target_ms\":400}";
  };
  return "{\"edition\":" + std::to_string(edition) + ",\"routes\":[" + route("safe", "safe", false) + "," +
         route("once", "unsafe", false) + "," + route("stream", "streamed", true) +
         "],\"service_lines\":[{\"name\":\"model\",\"health_path\":\"/health\",\"conn_limit\":630,"
         "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"berths\":32,\"kv_token_room\":200000,"
         "\"kv_token_bytes\":18432,\"link_mbps\":370000.0,\"stride\":1,\"max_in_flight\":12,"
         "\"models\":[{\"name\":\"m0\"}]}}],\"limits\":{\"header_bytes\":16384,"
         "\"parcel_bytes\":4194304,\"header_wait_ms\":3000,\"idle_ms\":15000},\"senders\":" +
         tenantsText(tenants) + "}";
}

// ---- clients ----
struct Request {
  std::string attempt, target, key, prompt = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";
  int deadlineMs = 8000;
};
inline std::string requestText(const Request& request, const std::string& extra = "") {
  std::string body = "body of " + request.attempt;
  std::string text = "POST " + request.target + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " +
                     request.attempt + "\r\nX-Model: m0\r\nX-Token-Count: 1460,80\r\nX-Prompt-Prefix: " +
                     request.prompt + "\r\nX-Time-Left-Ms: " + std::to_string(request.deadlineMs) + "\r\n";
  if (!request.key.empty()) text += "Authorization: Token " + request.key + "\r\n";
  return text + extra + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
/// Sends one request on a connection of its own and reads the answer.
inline Message send(const Fleet& fleet, const Node& router, const Request& request) {
  Stream stream;
  Message answer;
  record("client sends " + request.attempt + " " + request.target + " key=" + request.key + " to " + router.name);
  if (stream.connectTo(router.ip, fleet.frontPort(), 1) && stream.write(requestText(request)))
    answer = readMessage(stream, now() + request.deadlineMs / 1000.0 + 1, true);
  record("client has for " + request.attempt + " " + std::to_string(answer.status()) +
         (answer.complete ? " complete" : answer.second.empty() ? " no answer" : " INCOMPLETE"));
  return answer;
}

inline bool troubleWanted() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Ends the whole run, with its processes, if it lasts too long.
inline void limitRun(Fleet& fleet, double seconds) {
  std::thread([&fleet, seconds] {
    sleepFor(seconds);
    record("the run takes too long");
    fleet.endAll();
    _exit(2);
  }).detach();
}
inline int finish(Fleet& fleet, int code, const std::string& verdict) {
  record(verdict);
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  fleet.endAll();
  _exit(code);
}

}  // namespace review
