// The hollow subcommand: measures simulated fleets without traffic, or full tables, for the
// capacity page. Prints one line of JSON.
#include <cstdio>

#include "app/commands.h"
#include "sim/fleet_measurements.h"

namespace peppergate {

namespace po = boost::program_options;

int hollowCommand(const Arguments& arguments) {
  MeasurementFleetOptions shape;
  MeasurementPlan plan;
  double window = 10, cutFor = 30;
  po::options_description options("peppergate hollow");
  options.add_options()("help", "print this help")(
      "tables", po::bool_switch(), "measure full tables and messages instead of a fleet")(
      "fronts", po::value(&shape.routers)->default_value(9), "number of routers")(
      "cores", po::value(&shape.cores)->default_value(4), "number of cores")(
      "regions", po::value(&shape.regions)->default_value(2), "regions")(
      "zones", po::value(&shape.zones)->default_value(5), "number of zones in all regions")(
      "engines", po::value(&shape.engines)->default_value(0),
      "number of listed engines; 0: no list")(
      "kept", po::value(&shape.cachedBlocksPerEngine)->default_value(0),
      "cached prefix blocks of each engine")("tenants", po::value(&shape.tenants)->default_value(8),
                                             "number of tenants in the first configuration")(
      "seed", po::value(&shape.seed)->default_value(1), "random seed")(
      "window", po::value(&window)->default_value(10),
      "simulated seconds to measure while nothing changes")(
      "changes", po::value(&plan.changes)->default_value(3), "number of configuration changes")(
      "stops", po::value(&plan.stoppedRouters)->default_value(1),
      "number of routers that lose power and restart")(
      "cut-region", po::value(&plan.partitionedRegion)->default_value(-1),
      "region to partition; -1: none")("cut-zone",
                                       po::value(&plan.partitionedZone)->default_value(-1),
                                       "zone to partition; -1: none")(
      "cut-for", po::value(&cutFor)->default_value(30), "simulated seconds of the partition");
  po::variables_map values;
  if (int code = parseArguments(arguments, options, values); code >= 0) return code;
  bool valid = shape.routers >= 2 && shape.routers <= 2000 && shape.cores >= 3 &&
               shape.cores <= 16 && shape.regions >= 1 && shape.zones >= shape.regions &&
               shape.engines >= 0 && window > 0 && plan.stoppedRouters >= 0 &&
               plan.stoppedRouters < shape.routers - 1;
  if (!valid) {
    std::fprintf(stderr,
                 "hollow requires 2-2000 fronts, 3-16 cores, zones >= regions >= 1, "
                 "a window above 0 and fewer stops than fronts - 1\n");
    return kExitUsage;
  }
  plan.window = seconds(window);
  plan.partitionTime = seconds(cutFor);
  Json report = values["tables"].as<bool>() ? measureTables() : measureFleet(shape, plan);
  std::printf("%s\n", report.dump().c_str());
  return kExitSuccess;
}

}  // namespace peppergate
