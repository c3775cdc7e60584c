// The placement solver: solutions satisfy every constraint, and a conflict names the constraints
// that contradict each other.
#include "place/placement_solver.h"

#include "tests/testing.h"

using namespace peppergate;

TEST_GROUP(Place){};

TEST(Place, ASolutionSatisfiesEveryConstraint) {
  auto placement = solvePlacement(R"({
    "districts": ["north", "south"],
    "engines": [{"id": "a", "places": 10}, {"id": "b", "places": 10}, {"id": "c", "places": 5}],
    "tenants": [{"id": "rescue", "usage": 9}, {"id": "guides", "usage": 12}],
    "constraints": [
      {"name": "spread", "kind": "apart", "of": ["a", "b"]},
      {"name": "home", "kind": "in", "of": ["rescue"], "district": "north"},
      {"name": "split", "kind": "apart", "of": ["rescue", "guides"]}]})");
  CHECK(placement.ok());
  CHECK(placement->possible);
  CHECK(placement->engines["a"] != placement->engines["b"]);
  STRCMP_EQUAL("north", placement->tenants["rescue"].c_str());
  STRCMP_EQUAL("south", placement->tenants["guides"].c_str());
  STRCMP_EQUAL("south",
               placement->engines["c"].c_str());  // a usage of 12 needs c and one more engine
}

TEST(Place, AConflictNamesTheContradictingConstraints) {
  auto placement = solvePlacement(R"({
    "districts": ["north", "south"], "engines": [{"id": "a"}, {"id": "b"}, {"id": "c"}],
    "constraints": [
      {"name": "apart", "kind": "apart", "of": ["a", "b"]},
      {"name": "harmless", "kind": "in", "of": ["c"], "district": "south"},
      {"name": "both-north", "kind": "in", "of": ["a", "b"], "district": "north"}]})");
  CHECK(placement.ok());
  CHECK_FALSE(placement->possible);
  LONGS_EQUAL(2, placement->conflict.size());
  STRCMP_EQUAL("apart", placement->conflict[0].c_str());
  STRCMP_EQUAL("both-north", placement->conflict[1].c_str());
}

TEST(Place, ErrorsOfInvalidFilesNameTheField) {
  CHECK_FALSE(solvePlacement("{").ok());
  auto unknown = solvePlacement(R"({"districts":["n"],"engines":[{"id":"a"}],
    "constraints":[{"name":"x","kind":"in","of":["zzz"],"district":"n"}]})");
  CHECK(std::string(unknown.status().message()).find("[constraints][0][of]") == 0);
  CHECK_FALSE(solvePlacement(R"({"districts":["n"],"engines":[{"id":"a"},{"id":"a"}]})").ok());
}
