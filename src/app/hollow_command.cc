// Hollow fleets and filled tables, for the capacity page: one line of JSON for each run.
#include <cstdio>

#include "app/commands.h"
#include "sim/hollow_measures.h"

namespace peppergate {

namespace po = boost::program_options;

int hollowCommand(const Words& words) {
  HollowShape shape;
  HollowPlan plan;
  double window = 10, cutFor = 30;
  po::options_description options("peppergate hollow");
  options.add_options()("help", "this text")(
      "tables", po::bool_switch(), "measure filled tables and messages instead of a fleet")(
      "fronts", po::value(&shape.fronts)->default_value(9), "members of the data plane")(
      "cores", po::value(&shape.cores)->default_value(4), "control machines")(
      "regions", po::value(&shape.regions)->default_value(2), "regions")(
      "zones", po::value(&shape.zones)->default_value(5), "zones of all regions")(
      "engines", po::value(&shape.engines)->default_value(0), "listed engines; 0: no list")(
      "kept", po::value(&shape.keptParts)->default_value(0), "kept parts of each engine")(
      "tenants", po::value(&shape.tenants)->default_value(8), "tenants of the first configuration")(
      "seed", po::value(&shape.seed)->default_value(1), "of all that is drawn")(
      "window", po::value(&window)->default_value(10), "simulated seconds of quiet to measure")(
      "changes", po::value(&plan.changes)->default_value(3), "changes of the configuration")(
      "stops", po::value(&plan.stops)->default_value(1), "fronts that lose power and come back")(
      "cut-region", po::value(&plan.cutRegion)->default_value(-1), "a region cut off; -1: none")(
      "cut-zone", po::value(&plan.cutZone)->default_value(-1), "a zone cut off; -1: none")(
      "cut-for", po::value(&cutFor)->default_value(30), "simulated seconds of the cut");
  po::variables_map values;
  if (int code = parseWords(words, options, values); code >= 0) return code;
  bool sane = shape.fronts >= 2 && shape.fronts <= 2000 && shape.cores >= 3 && shape.cores <= 16 &&
              shape.regions >= 1 && shape.zones >= shape.regions && shape.engines >= 0 &&
              window > 0 && plan.stops >= 0 && plan.stops < shape.fronts - 1;
  if (!sane) {
    std::fprintf(stderr,
                 "hollow wants 2-2000 fronts, 3-16 cores, zones >= regions >= 1, "
                 "a window above 0 and fewer stops than fronts\n");
    return kExitUsage;
  }
  plan.window = seconds(window);
  plan.cutFor = seconds(cutFor);
  Json told = values["tables"].as<bool>() ? measureTables() : measureFleet(shape, plan);
  std::printf("%s\n", told.dump().c_str());
  return kExitGood;
}

}  // namespace peppergate
