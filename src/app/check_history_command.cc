// The check-history subcommand: checks whether a recorded history of calls is linearizable.
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "app/commands.h"
#include "history/check_history.h"

namespace peppergate {
namespace {

namespace po = boost::program_options;

std::string readAll(std::istream& stream) {
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

int report(const std::string& file, const std::vector<history::OperatorCall>& calls) {
  const history::Violations verdict = history::checkHistory(calls);
  for (const auto& violation : verdict)
    std::printf("%s: %s: %s\n", violation.registerName.c_str(),
                std::string(history::violationKindName(violation.kind)).c_str(),
                violation.detail.c_str());
  std::printf("%s: %zu calls, %s\n", file.c_str(), calls.size(),
              verdict.empty() ? "linearizable" : "NOT linearizable");
  return verdict.empty() ? kExitSuccess : kExitFailed;
}

}  // namespace

int checkHistoryCommand(const Arguments& arguments) {
  std::string file;
  po::options_description options("check-history FILE");
  options.add_options()("help", "print this help")(
      "file", po::value(&file)->required(), "JSON lines with one call each; - for standard input");
  po::variables_map values;
  if (int code = parseArguments(arguments, options, values, {"file"}); code >= 0) return code;
  std::ifstream opened(file);
  if (file != "-" && !opened) {
    std::fprintf(stderr, "%s: cannot read the file\n", file.c_str());
    return kExitUsage;
  }
  const history::ReadResult read = history::readHistory(readAll(file == "-" ? std::cin : opened));
  if (const auto* error = std::get_if<history::ReadError>(&read)) {
    std::fprintf(stderr, "%s:%zu: [%s]: %s\n", file.c_str(), error->line, error->field.c_str(),
                 error->detail.c_str());
    return kExitUsage;
  }
  return report(file, std::get<std::vector<history::OperatorCall>>(read));
}

}  // namespace peppergate
