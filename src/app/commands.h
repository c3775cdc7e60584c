#pragma once
// The program's subcommands. Each gets the words after its name and gives the exit code.
#include <boost/program_options.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace peppergate {

using Words = std::vector<std::string>;

enum ExitCode : int {
  kExitGood = 0,
  kExitFailed = 1,       // it was declined, or an expectation failed
  kExitUsage = 2,        // wrong flags, settings or files
  kExitCannotStart = 3,  // a port in use, a folder that can't be written
  kExitUnreachable = 4,  // no daemon answered
};

/// Example: `daemonCommand("front", {"--member", "127.0.0.1:7101"})`.
int daemonCommand(std::string_view role, const Words& words);
/// Runs a daemon by the settings file that the environment names. Example: `nodeCommand({})`.
int nodeCommand(const Words& words);
/// Checks such a settings file. Example: `checkNode("/etc/peppergate/node.toml")`.
int checkNode(const std::string& file);
/// Checks a settings file as a daemon would. Example: `checkCommand({"--settings", "a.ini"})`.
int checkCommand(const Words& words);
/// Example: `setupCommand({"show", "--at", "127.0.0.1:7201"})`.
int setupCommand(const Words& words);
/// Example: `traceCommand({"--at", "127.0.0.1:7201", "--section", "keys"})`.
int traceCommand(const Words& words);
/// Example: `rehearseCommand({"scenarios", "--seeds", "1-20"})`.
int rehearseCommand(const Words& words);
/// Example: `routerRehearseCommand({"scenarios/routers", "--seeds", "1-20"})`.
int routerRehearseCommand(const Words& words);
/// Example: `modelCheckCommand({"--machines", "3", "--departures", "2"})`.
int modelCheckCommand(const Words& words);
/// Runs random schedules of every trouble. Example: `scheduleRehearseCommand({"routers", "--seeds",
/// "1-9"})`.
int scheduleRehearseCommand(const Words& words);
/// Example: `placeCommand({"placement.json"})`.
int placeCommand(const Words& words);
/// Example: `standinCommand({"engine", "--listen", "127.0.0.1:9001"})`.
int standinCommand(const Words& words);

/// Example: `hollowCommand({"--fronts", "40", "--seed", "2"})`.
int hollowCommand(const Words& words);
/// Example: `checkHistoryCommand({"history.jsonl"})`.
int checkHistoryCommand(const Words& words);

/// Parses words by the options; a wrong one prints why and gives kExitUsage. Example:
/// `if (int code = parseWords(words, options, values); code >= 0) return code;`
int parseWords(const Words& words, const boost::program_options::options_description& options,
               boost::program_options::variables_map& values,
               const std::vector<std::string>& positional = {});

}  // namespace peppergate
