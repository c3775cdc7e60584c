#pragma once
// Measurements of a whole fleet and of single tables, each reported as one JSON object.
#include "sim/measurement_fleet.h"

namespace peppergate {

/// The steps of a measurement once all members know each other.
struct MeasurementPlan {
  Duration window = seconds(10);  // undisturbed time over which rates are measured
  int changes = 3;                // configuration changes, one after another
  int stoppedRouters = 1;         // routers that stop at the same time and then restart
  int partitionedRegion = -1;     // a region to partition; -1: none
  int partitionedZone = -1;       // or a zone; -1: none
  Duration partitionTime = seconds(30);
};

/// Runs the steps of a plan on a new fleet and returns the figures.
Json measureFleet(const MeasurementFleetOptions& fleetOptions, const MeasurementPlan& plan);
/// Measures memory and processor time of tables and messages with given numbers of entries.
Json measureTables();
/// The process's resident memory in bytes.
double residentBytes();
/// Bytes that the process has allocated and not freed.
double allocatedBytes();

}  // namespace peppergate
