// The place subcommand: solves the placement constraints in a file.
#include <cstdio>
#include <fstream>
#include <sstream>

#include "app/commands.h"
#include "place/placement_solver.h"
#include "wire/json_fields.h"

namespace peppergate {

namespace po = boost::program_options;

int placeCommand(const Arguments& arguments) {
  po::options_description options("peppergate place FILE");
  options.add_options()("help", "print this help")(
      "file", po::value<std::string>()->required(),
      "JSON file with districts, engines, tenants and constraints");
  po::variables_map values;
  if (int code = parseArguments(arguments, options, values, {"file"}); code >= 0) return code;
  std::ifstream file(values["file"].as<std::string>());
  std::stringstream text;
  text << file.rdbuf();
  auto placement = solvePlacement(text.str());
  if (!placement.ok()) {
    std::fprintf(stderr, "%s\n", std::string(placement.status().message()).c_str());
    return kExitUsage;
  }
  if (!placement->possible) {
    std::printf("%s\n",
                Json{{"possible", false}, {"conflict", placement->conflict}}.dump(2).c_str());
    return kExitFailed;
  }
  std::printf(
      "%s\n",
      Json{{"possible", true}, {"engines", placement->engines}, {"tenants", placement->tenants}}
          .dump(2)
          .c_str());
  return kExitSuccess;
}

}  // namespace peppergate
