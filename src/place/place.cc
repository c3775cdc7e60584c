#include "place/place.h"

#include <z3++.h>

#include <algorithm>
#include <set>

#include "core/schemas.h"

namespace peppergate {
namespace {

/// The solver's input: one integer variable per engine and tenant, whose value is a zone's index.
struct Model {
  z3::context context;
  z3::solver solver{context};
  std::vector<std::string> zones;
  std::map<std::string, z3::expr> things;
  std::map<std::string, std::int64_t> weight;  // an engine's capacity or a tenant's usage
  std::vector<std::string> engines, tenants;

  z3::expr number(std::int64_t value) { return context.int_val(static_cast<std::int64_t>(value)); }
  z3::expr in(const std::string& thing, std::size_t zone) {
    return things.at(thing) == number(static_cast<std::int64_t>(zone));
  }
  /// Adds a constraint that is tracked by its name, so that an unsat core can report it.
  void rule(const std::string& name, const z3::expr& what) {
    solver.add(what, context.bool_const(name.c_str()));
  }
};

absl::Status wrong(const std::string& field, const std::string& what) {
  return absl::InvalidArgumentError(field + ": " + what);
}

absl::Status addThings(Model& model, const Json& file, const char* kind, const char* weight,
                       std::vector<std::string>& names) {
  auto count = static_cast<std::int64_t>(model.zones.size());
  for (const auto& entry : file.value(kind, Json::array())) {
    std::string id = entry.at("id");
    if (model.things.contains(id))
      return wrong(std::string("[") + kind + "]", "'" + id + "' is declared twice");
    z3::expr variable = model.context.int_const(("thing " + id).c_str());
    model.things.emplace(id, variable);
    model.weight[id] = entry.value(weight, std::int64_t{1});
    names.push_back(id);
    model.solver.add(variable >= 0 && variable < model.number(count));
  }
  return absl::OkStatus();
}

/// The capacity of a zone's engines has to cover the usage of its tenants.
void addCapacity(Model& model) {
  for (std::size_t zone = 0; zone < model.zones.size(); ++zone) {
    z3::expr places = model.number(0), usage = model.number(0);
    for (const auto& engine : model.engines)
      places = places +
               z3::ite(model.in(engine, zone), model.number(model.weight[engine]), model.number(0));
    for (const auto& tenant : model.tenants)
      usage = usage +
              z3::ite(model.in(tenant, zone), model.number(model.weight[tenant]), model.number(0));
    if (!model.tenants.empty()) model.rule("capacity of " + model.zones[zone], usage <= places);
  }
}

absl::Status addConstraint(Model& model, const Json& entry, std::size_t index) {
  std::string field = "[constraints][" + std::to_string(index) + "]";
  std::string name = entry.at("name"), kind = entry.at("kind");
  std::vector<std::string> things = entry.value("of", std::vector<std::string>{});
  for (const auto& thing : things)
    if (!model.things.contains(thing))
      return wrong(field + "[of]", "no engine or tenant is named '" + thing + "'");
  std::size_t zone = 0;
  if (entry.contains("district")) {
    auto found = std::ranges::find(model.zones, entry["district"].get<std::string>());
    if (found == model.zones.end()) return wrong(field + "[district]", "no such district");
    zone = static_cast<std::size_t>(found - model.zones.begin());
  }
  bool needsDistrict = kind == "in" || kind == "not-in" || kind == "at-most" || kind == "at-least";
  if (needsDistrict && !entry.contains("district"))
    return wrong(field + "[district]", "is required for this kind of constraint");
  z3::expr all = model.context.bool_val(true);
  z3::expr count = model.number(0);
  for (const auto& thing : things)
    count = count + z3::ite(model.in(thing, zone), model.number(1), model.number(0));
  for (std::size_t one = 0; one < things.size(); ++one) {
    const z3::expr& first = model.things.at(things[one]);
    if (kind == "in") all = all && model.in(things[one], zone);
    if (kind == "not-in") all = all && !model.in(things[one], zone);
    for (std::size_t other = one + 1; other < things.size(); ++other) {
      const z3::expr& second = model.things.at(things[other]);
      if (kind == "apart") all = all && first != second;
      if (kind == "together") all = all && first == second;
    }
  }
  std::int64_t number = entry.value("count", std::int64_t{0});
  if (kind == "at-most") all = count <= model.number(number);
  if (kind == "at-least") all = count >= model.number(number);
  model.rule(name, all);
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<PlacementSolution> solvePlacement(std::string_view text) {
  Json file = Json::parse(text, nullptr, false);
  if (file.is_discarded()) return wrong("<root>", "is no JSON");
  if (auto fault = checkSchema(SchemaName::kPlacement, file))
    return wrong(fault->field, fault->detail);
  Model model;
  model.zones = file["districts"].get<std::vector<std::string>>();
  for (auto [kind, weight, names] : {std::tuple{"engines", "places", &model.engines},
                                     std::tuple{"tenants", "usage", &model.tenants}})
    if (auto status = addThings(model, file, kind, weight, *names); !status.ok()) return status;
  addCapacity(model);
  std::size_t index = 0;
  std::set<std::string> names;
  for (const auto& entry : file.value("constraints", Json::array())) {
    if (!names.insert(entry["name"].get<std::string>()).second)
      return wrong("[constraints][" + std::to_string(index) + "][name]",
                   "is used by another constraint");
    if (auto status = addConstraint(model, entry, index++); !status.ok()) return status;
  }
  PlacementSolution placement;
  z3::check_result result = model.solver.check();
  if (result == z3::unknown) return absl::DeadlineExceededError("the solver returned no result");
  if (result == z3::unsat) {
    z3::expr_vector core = model.solver.unsat_core();
    for (unsigned one = 0; one < core.size(); ++one) {
      std::string name = core[static_cast<int>(one)].decl().name().str();
      placement.conflict.push_back(name);
    }
    std::ranges::sort(placement.conflict);
    return placement;
  }
  placement.possible = true;
  z3::model solved = model.solver.get_model();
  for (const auto& [thing, variable] : model.things) {
    auto zone = static_cast<std::size_t>(solved.eval(variable, true).get_numeral_int());
    bool engine = std::ranges::find(model.engines, thing) != model.engines.end();
    (engine ? placement.engines : placement.tenants)[thing] = model.zones.at(zone);
  }
  return placement;
}

}  // namespace peppergate
