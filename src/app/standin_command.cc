// The standin subcommand: runs a stand-in for an external service or for clients.
#include <csignal>
#include <cstdio>
#include <fstream>

#include "app/commands.h"
#include "standin/engine_process.h"
#include "standin/platform_process.h"
#include "standin/requester_process.h"

namespace peppergate {
namespace {

namespace po = boost::program_options;

int runUntilSignal(EventLoop& loop, const absl::Status& opened) {
  if (!opened.ok()) {
    std::fprintf(stderr, "%s\n", std::string(opened.message()).c_str());
    return kExitCannotStart;
  }
  for (int signal : {SIGTERM, SIGINT}) loop.onSignal(signal, [&loop] { loop.stop(); });
  signal(SIGPIPE, SIG_IGN);
  loop.run();
  return kExitSuccess;
}

int runEngine(const std::string& kind, const po::variables_map& values) {
  EngineProcessConfig setup;
  setup.listen = {values["listen"].as<std::string>()};
  setup.id = values["id"].as<std::string>();
  setup.weights = {values["weights"].as<std::uint64_t>()};
  setup.linkMegabytesPerSecond = values["link"].as<double>();
  setup.options.cacheBlocks = kind == "store" ? 4000 : values["cache"].as<std::size_t>();
  EventLoop loop;
  EngineProcess process(loop, setup);
  return runUntilSignal(loop, process.open());
}

int runPlatform(const po::variables_map& values) {
  std::ifstream file(values["list"].as<std::string>());
  Json list = Json::parse(file, nullptr, false);
  if (list.is_discarded()) {
    std::fprintf(stderr, "--list: not readable JSON\n");
    return kExitUsage;
  }
  EventLoop loop;
  PlatformProcess process(loop, {values["listen"].as<std::string>()}, list);
  return runUntilSignal(loop, process.open());
}

int runRequester(const po::variables_map& values) {
  RequesterConfig setup;
  setup.profile = values["profile"].as<std::string>();
  setup.rate = values["rate"].as<double>();
  setup.duration = seconds(values["seconds"].as<double>());
  setup.seed = values["seed"].as<std::uint64_t>();
  setup.documentCount = values["documents"].as<std::uint64_t>();
  if (values.count("front") > 0)
    for (const auto& front : values["front"].as<std::vector<std::string>>())
      setup.routers.push_back({front});
  if (setup.routers.empty()) {
    std::fprintf(stderr, "--front is required\n");
    return kExitUsage;
  }
  signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  RequesterProcess process(loop, setup);
  bool passed = false;
  process.start([&](const Json& verdict) {
    std::printf("%s\n", verdict.dump(2).c_str());
    passed = verdict["violations"].empty();
    loop.stop();
  });
  loop.run();
  return passed ? kExitSuccess : kExitFailed;
}

}  // namespace

int standinCommand(const Arguments& arguments) {
  po::options_description options("peppergate standin engine|desk|store|platform|requester");
  options.add_options()("help", "print this help")("kind", po::value<std::string>()->required(),
                                                   "kind of the stand-in")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:9000"), "IP:PORT")(
      "id", po::value<std::string>()->default_value("engine"), "the engine's id")(
      "weights", po::value<std::uint64_t>()->default_value(1),
      "weights version that an engine starts with")(
      "link", po::value<double>()->default_value(60),
      "bandwidth of the engine's link in megabytes per second")(
      "cache", po::value<std::size_t>()->default_value(24),
      "number of prefix blocks that an engine caches")("documents",
                                                       po::value<std::uint64_t>()->default_value(4),
                                                       "requester: number of documents per tenant")(
      "list", po::value<std::string>()->default_value(""),
      "platform: JSON file with the engine list")(
      "profile", po::value<std::string>()->default_value("hutline"),
      "requester: hutline or fjordsyn")("rate", po::value<double>()->default_value(50),
                                        "requester: streams per second")(
      "seconds", po::value<double>()->default_value(10), "requester: duration")(
      "seed", po::value<std::uint64_t>()->default_value(1), "requester: random seed")(
      "front", po::value<std::vector<std::string>>()->composing(),
      "requester: IP:PORT of a router's client listener; may be repeated");
  po::variables_map values;
  if (int code = parseArguments(arguments, options, values, {"kind"}); code >= 0) return code;
  std::string kind = values["kind"].as<std::string>();
  if (kind == "engine" || kind == "desk" || kind == "store") return runEngine(kind, values);
  if (kind == "platform") return runPlatform(values);
  if (kind == "requester") return runRequester(values);
  std::fprintf(stderr, "unknown stand-in '%s'\n", kind.c_str());
  return kExitUsage;
}

}  // namespace peppergate
