#pragma once
// The program's subcommands. Each takes the arguments after its name and returns the exit code.
#include <boost/program_options.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace peppergate {

using Arguments = std::vector<std::string>;

enum ExitCode : int {
  kExitSuccess = 0,
  kExitFailed = 1,       // the request was rejected, or a check failed
  kExitUsage = 2,        // invalid flags, settings or files
  kExitCannotStart = 3,  // for example, a port in use or a folder that can't be written
  kExitUnreachable = 4,  // no daemon answered
};

/// Runs a router ("front") or a core ("core").
/// Example: `daemonCommand("front", {"--member", "127.0.0.1:7101"})`.
int daemonCommand(std::string_view role, const Arguments& arguments);
/// Runs a daemon from the platform's settings file.
int nodeCommand(const Arguments& arguments);
/// Checks a settings file of the platform.
int checkNodeSettings(const std::string& file);
/// Checks a settings file in the same way as a daemon at its start.
/// Example: `checkCommand({"--settings", "a.ini"})`.
int checkCommand(const Arguments& arguments);
/// Shows or changes the setup. Example: `setupCommand({"show", "--at", "127.0.0.1:7201"})`.
int setupCommand(const Arguments& arguments);
/// Shows on which daemons a change is in force.
/// Example: `traceCommand({"--at", "127.0.0.1:7201", "--section", "keys"})`.
int traceCommand(const Arguments& arguments);
/// Runs simulated scenarios. Example: `rehearseCommand({"scenarios", "--seeds", "1-20"})`.
int rehearseCommand(const Arguments& arguments);
/// Runs simulated scenarios of router fleets.
/// Example: `routerRehearseCommand({"scenarios/routers", "--seeds", "1-20"})`.
int routerRehearseCommand(const Arguments& arguments);
/// Searches schedules of the control code for violations.
/// Example: `modelCheckCommand({"--machines", "3", "--departures", "2"})`.
int modelCheckCommand(const Arguments& arguments);
/// Runs random schedules that mix all kinds of failures.
/// Example: `scheduleRehearseCommand({"routers", "--seeds", "1-9"})`.
int scheduleRehearseCommand(const Arguments& arguments);
/// Solves placement constraints. Example: `placeCommand({"placement.json"})`.
int placeCommand(const Arguments& arguments);
/// Runs a stand-in for an external service.
/// Example: `standinCommand({"engine", "--listen", "127.0.0.1:9001"})`.
int standinCommand(const Arguments& arguments);
/// Measures a simulated fleet without traffic. Example: `hollowCommand({"--fronts", "40", "--seed",
/// "2"})`.
int hollowCommand(const Arguments& arguments);
/// Checks whether a history is linearizable. Example: `checkHistoryCommand({"history.jsonl"})`.
int checkHistoryCommand(const Arguments& arguments);

/// Parses the arguments. Returns an exit code if the command is done: after an error, which is
/// printed, or after --help; otherwise -1.
int parseArguments(const Arguments& arguments,
                   const boost::program_options::options_description& options,
                   boost::program_options::variables_map& values,
                   const std::vector<std::string>& positional = {});

}  // namespace peppergate
