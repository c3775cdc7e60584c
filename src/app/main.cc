// The entry point: dispatches to the subcommands.
#include <glog/logging.h>

#include <array>
#include <cstdio>

#include "app/commands.h"

namespace peppergate {
namespace {

int frontCommand(const Arguments& arguments) { return daemonCommand("front", arguments); }
int coreCommand(const Arguments& arguments) { return daemonCommand("core", arguments); }
int versionCommand(const Arguments&) {
  std::printf("peppergate %s\n", PEPPERGATE_VERSION);
  return kExitSuccess;
}

struct CommandRow {
  std::string_view name;
  int (*run)(const Arguments&);
  std::string_view help;
};
constexpr std::array kCommands{
    CommandRow{"node", &nodeCommand, "run a daemon from the platform's settings file"},
    CommandRow{"front", &frontCommand, "run a router, which serves clients"},
    CommandRow{"core", &coreCommand, "run a core, which replicates the control state"},
    CommandRow{"setup", &setupCommand, "show or change the setup, weights and keys"},
    CommandRow{"trace", &traceCommand, "show on which daemons a change is in force"},
    CommandRow{"check", &checkCommand, "check a settings file and its options"},
#ifndef PEPPERGATE_DAEMONS_ONLY
    CommandRow{"rehearse", &rehearseCommand,
               "run scenarios in simulated time with ranges of seeds"},
    CommandRow{"rehearse-routers", &routerRehearseCommand,
               "run scenarios of router fleets in simulated time"},
    CommandRow{"model-check", &modelCheckCommand,
               "search schedules of a modelled fleet of cores for violations"},
    CommandRow{"rehearse-schedules", &scheduleRehearseCommand,
               "run random schedules of mixed failures in simulated time"},
    CommandRow{"place", &placeCommand, "solve the placement constraints in a file"},
    CommandRow{"hollow", &hollowCommand,
               "measure how costs grow with the size of a simulated fleet"},
    CommandRow{"standin", &standinCommand,
               "run a stand-in: engine, desk, store, platform or requester"},
    CommandRow{"check-history", &checkHistoryCommand,
               "check whether a recorded history of operator calls is linearizable"},
#endif
    CommandRow{"version", &versionCommand, "print the version"},
};

void printHelp(std::FILE* stream) {
  std::fprintf(stream, "usage: peppergate COMMAND [FLAGS]\n\ncommands:\n");
  for (const auto& row : kCommands)
    std::fprintf(stream, "  %-16.*s %.*s\n", static_cast<int>(row.name.size()), row.name.data(),
                 static_cast<int>(row.help.size()), row.help.data());
  std::fprintf(stream, "\n'peppergate COMMAND --help' prints the flags of a command.\n");
}

}  // namespace

namespace po = boost::program_options;

int parseArguments(const Arguments& arguments, const po::options_description& options,
                   po::variables_map& values, const std::vector<std::string>& positional) {
  po::positional_options_description positions;
  for (const auto& name : positional) positions.add(name.c_str(), 1);
  try {
    po::store(po::command_line_parser(arguments).options(options).positional(positions).run(),
              values);
    if (values.count("help") > 0) {
      std::stringstream text;
      text << options;
      std::printf("%s", text.str().c_str());
      return kExitSuccess;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kExitUsage;
  }
  return -1;
}

}  // namespace peppergate

int main(int argc, char** argv) {
  using namespace peppergate;
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "help") return printHelp(stdout), kExitSuccess;
  for (const auto& row : kCommands)
    if (row.name == name) return row.run(Arguments(argv + 2, argv + argc));
  printHelp(stderr);
  return kExitUsage;
}
