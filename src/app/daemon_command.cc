// The front, core and check subcommands: parse flags, the settings file and options.
#include <glog/logging.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

#include "app/commands.h"
#include "io/daemon.h"

namespace peppergate {
namespace {

namespace po = boost::program_options;

po::options_description settingsOptions() {
  po::options_description options("Settings (as flags, or as 'name = value' lines in a file)");
  options.add_options()("fleet", po::value<std::string>()->default_value("peppergate"),
                        "name of the fleet; frames of other fleets are ignored")(
      "member", po::value<std::string>()->default_value(""), "IP:PORT for traffic between members")(
      "pages", po::value<std::string>()->default_value(""), "IP:PORT of the operator interface")(
      "callers", po::value<std::string>()->default_value(""),
      "IP:PORT of the client listener (front)")("platform",
                                                po::value<std::string>()->default_value(""),
                                                "IP:PORT of the platform's engine list (front)")(
      "district", po::value<std::string>()->default_value(""), "zone of this machine")(
      "seed", po::value<std::vector<std::string>>()->composing(),
      "IP:PORT of another member; up to three")("data", po::value<std::string>()->default_value(""),
                                                "data folder (core)")(
      "found", po::value<std::size_t>()->default_value(0),
      "create a new fleet when this many cores are seen (core; on one machine, once)")(
      "rehearsal", po::bool_switch(), "allow POST /rehearsal to inject faults")(
      "prop", po::value<std::vector<std::string>>()->composing(),
      "an option as NAME=NUMBER; times in seconds");
  return options;
}

absl::Status readAddress(const po::variables_map& values, const char* name, bool required,
                         Address& address) {
  address.value = values[name].as<std::string>();
  sockaddr_in parsed{};
  if (address.value.empty() && !required) return absl::OkStatus();
  if (!parseAddress(address.value, parsed))
    return absl::InvalidArgumentError(std::string(name) + ": '" + address.value +
                                      "' is not IP:PORT");
  return absl::OkStatus();
}

absl::StatusOr<Options> readOptions(const po::variables_map& values) {
  Options options;
  if (values.count("prop") > 0)
    for (const auto& text : values["prop"].as<std::vector<std::string>>()) {
      auto equals = text.find('=');
      if (equals == std::string::npos)
        return absl::InvalidArgumentError("prop '" + text + "' is not NAME=NUMBER");
      if (auto status = setOption(options, text.substr(0, equals), text.substr(equals + 1));
          !status.ok())
        return status;
    }
  if (auto status = checkOptions(options); !status.ok()) return status;
  return options;
}

absl::StatusOr<DaemonSetup> readSetup(std::string_view role, const po::variables_map& values) {
  DaemonSetup setup;
  bool isRouter = role == "front";
  setup.fleet = values["fleet"].as<std::string>();
  for (auto [name, required, address] : {std::tuple{"member", true, &setup.memberAddress},
                                         std::tuple{"pages", true, &setup.operatorAddress},
                                         std::tuple{"callers", isRouter, &setup.clientAddress},
                                         std::tuple{"platform", isRouter, &setup.platformAddress}})
    if (auto status = readAddress(values, name, required, *address); !status.ok()) return status;
  setup.zone = {values["district"].as<std::string>()};
  if (values.count("seed") > 0)
    for (const auto& seed : values["seed"].as<std::vector<std::string>>()) {
      sockaddr_in parsed{};
      if (!parseAddress(seed, parsed))
        return absl::InvalidArgumentError("seed: '" + seed + "' is not IP:PORT");
      setup.seeds.push_back({seed});
    }
  setup.dataFolder = values["data"].as<std::string>();
  if (!isRouter && setup.dataFolder.empty())
    return absl::InvalidArgumentError("data: a core requires a data folder");
  setup.bootstrap.expectedCores = values["found"].as<std::size_t>();
  setup.allowsFaultInjection = values["rehearsal"].as<bool>();
  auto options = readOptions(values);
  if (!options.ok()) return options.status();
  setup.options = *options;
  return setup;
}

/// Reads the flags and the file that they name; flags take precedence over the file.
int readFlagsAndFile(const Arguments& arguments, po::variables_map& values, std::string& file) {
  po::options_description all("Flags");
  all.add_options()("help", "print this help")("settings", po::value<std::string>(),
                                               "path of the settings file");
  all.add(settingsOptions());
  if (int code = parseArguments(arguments, all, values); code >= 0) return code;
  if (values.count("settings") == 0) return -1;
  file = values["settings"].as<std::string>();
  std::ifstream stream(file);
  if (!stream) {
    std::fprintf(stderr, "settings: cannot read '%s'\n", file.c_str());
    return kExitUsage;
  }
  // Parsed again into an empty map, since the flags' default values would hide those of the file.
  po::variables_map merged;
  try {
    po::store(po::command_line_parser(arguments).options(all).run(), merged);
    po::store(po::parse_config_file(stream, settingsOptions()), merged);
    po::notify(merged);
  } catch (const po::error& error) {
    std::fprintf(stderr, "%s: %s\n", file.c_str(), error.what());
    return kExitUsage;
  }
  values = merged;
  return -1;
}

}  // namespace

int daemonCommand(std::string_view role, const Arguments& arguments) {
  po::variables_map values;
  std::string file;
  if (int code = readFlagsAndFile(arguments, values, file); code >= 0) return code;
  auto setup = readSetup(role, values);
  if (!setup.ok()) {
    std::fprintf(stderr, "%s\n", std::string(setup.status().message()).c_str());
    return kExitUsage;
  }
  Daemon daemon(role == "core" ? Role::kCore : Role::kRouter, *setup);
  if (auto status = daemon.open(); !status.ok()) {
    std::fprintf(stderr, "%s\n", std::string(status.message()).c_str());
    return kExitCannotStart;
  }
  Options running = setup->options;
  return daemon.run([arguments, running]() -> absl::StatusOr<Options> {
    po::variables_map rereadValues;
    std::string unused;
    if (readFlagsAndFile(arguments, rereadValues, unused) >= 0)
      return absl::InvalidArgumentError("cannot read the settings");
    auto options = readOptions(rereadValues);
    if (!options.ok()) return options.status();
    // Options that the protocols between members depend on change only with a restart.
    return withReloadedOptions(running, *options);
  });
}

int checkCommand(const Arguments& arguments) {
  if (arguments.size() == 2 && arguments[0] == "--node") return checkNodeSettings(arguments[1]);
  po::variables_map values;
  std::string file;
  if (int code = readFlagsAndFile(arguments, values, file); code >= 0) return code;
  bool isRouter = !values["callers"].as<std::string>().empty();
  auto setup = readSetup(isRouter ? "front" : "core", values);
  if (!setup.ok()) {
    std::fprintf(stderr, "%s\n", std::string(setup.status().message()).c_str());
    return kExitUsage;
  }
  std::printf("settings are valid for a %s\n", isRouter ? "front" : "core");
  return kExitSuccess;
}

}  // namespace peppergate
