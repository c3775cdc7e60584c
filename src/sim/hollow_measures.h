#pragma once
// Measurements on a hollow fleet and on single tables, each as one JSON object.
#include "sim/hollow_fleet.h"

namespace peppergate {

/// What is done with a fleet once it is whole.
struct HollowPlan {
  Duration window = seconds(10);  // of quiet, over which rates are taken
  int changes = 3;                // of the configuration, one after another
  int stops = 1;                  // fronts that lose power together, then come back
  int cutRegion = -1;             // a region that is cut off
  int cutZone = -1;               // or a zone
  Duration cutFor = seconds(30);
};

/// Runs a plan on a fleet. Example: `measureFleet(shape, plan)["roles"]["front"]["bytesOut"]`.
Json measureFleet(const HollowShape& shape, const HollowPlan& plan);
/// Bytes and processor time of tables and messages filled to a size.
/// Example: `measureTables()["tenants"]`.
Json measureTables();
/// The process's resident memory in bytes. Example: its growth over a call.
double residentBytes();
/// Bytes that the process has allocated and not freed. Example: its growth over a call.
double allocatedBytes();

}  // namespace peppergate
