// One program; the role is a subcommand.
#include <glog/logging.h>

#include <array>
#include <cstdio>

#include "app/commands.h"

namespace peppergate {
namespace {

int frontCommand(const Words& words) { return daemonCommand("front", words); }
int coreCommand(const Words& words) { return daemonCommand("core", words); }
int versionCommand(const Words&) {
  std::printf("peppergate %s\n", PEPPERGATE_VERSION);
  return kExitGood;
}

struct CommandRow {
  std::string_view name;
  int (*run)(const Words&);
  std::string_view help;
};
constexpr std::array kCommands{
    CommandRow{"node", &nodeCommand, "run a daemon by the platform's settings file"},
    CommandRow{"front", &frontCommand, "run a front: the callers' listener, one of many"},
    CommandRow{"core", &coreCommand, "run a core machine: control state, votes and holds"},
    CommandRow{"setup", &setupCommand,
               "apply, change, show or stamp the setup; name weights; keys"},
    CommandRow{"trace", &traceCommand, "follow one change through all daemons"},
    CommandRow{"check", &checkCommand, "check a settings file and its props"},
#ifndef PEPPERGATE_DAEMONS_ONLY
    CommandRow{"rehearse", &rehearseCommand, "run scenarios on simulated time, over seeds"},
    CommandRow{"rehearse-routers", &routerRehearseCommand,
               "run scenarios of fleets of routers on simulated time"},
    CommandRow{"model-check", &modelCheckCommand,
               "search the schedules of a modelled fleet of control machines"},
    CommandRow{"rehearse-schedules", &scheduleRehearseCommand,
               "run random schedules of every trouble on simulated time"},
    CommandRow{"place", &placeCommand, "solve placements in districts from constraints in a file"},
    CommandRow{"hollow", &hollowCommand, "measure a hollow fleet's slopes on simulated time"},
    CommandRow{"standin", &standinCommand,
               "run a stand-in: engine, store, desk, platform, requester"},
    CommandRow{"check-history", &checkHistoryCommand,
               "decide whether a recorded history of operators' calls is linearizable"},
#endif
    CommandRow{"version", &versionCommand, "print the version"},
};

void printHelp(std::FILE* to) {
  std::fprintf(to, "usage: peppergate COMMAND [FLAGS]\n\ncommands:\n");
  for (const auto& row : kCommands)
    std::fprintf(to, "  %-16.*s %.*s\n", static_cast<int>(row.name.size()), row.name.data(),
                 static_cast<int>(row.help.size()), row.help.data());
  std::fprintf(to, "\n'peppergate COMMAND --help' tells a command's flags.\n");
}

}  // namespace

namespace po = boost::program_options;

int parseWords(const Words& words, const po::options_description& options,
               po::variables_map& values, const std::vector<std::string>& positional) {
  po::positional_options_description places;
  for (const auto& name : positional) places.add(name.c_str(), 1);
  try {
    po::store(po::command_line_parser(words).options(options).positional(places).run(), values);
    if (values.count("help") > 0) {
      std::stringstream text;
      text << options;
      std::printf("%s", text.str().c_str());
      return kExitGood;
    }
    po::notify(values);
  } catch (const po::error& wrong) {
    std::fprintf(stderr, "%s\n", wrong.what());
    return kExitUsage;
  }
  return -1;
}

}  // namespace peppergate

int main(int count, char** words) {
  using namespace peppergate;
  google::InitGoogleLogging(words[0]);
  FLAGS_logtostderr = true;
  std::string_view name = count > 1 ? words[1] : "";
  if (name == "--help" || name == "help") return printHelp(stdout), kExitGood;
  for (const auto& row : kCommands)
    if (row.name == name) return row.run(Words(words + 2, words + count));
  printHelp(stderr);
  return kExitUsage;
}
