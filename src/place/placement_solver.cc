#include "place/placement_solver.h"

#include <z3++.h>

#include <algorithm>
#include <set>

#include "core/schemas.h"

namespace peppergate {
namespace {

/// The solver's input: one integer variable per engine and tenant, whose value is a zone's index.
struct PlacementModel {
  z3::context context;
  z3::solver solver{context};
  std::vector<std::string> zones;
  std::map<std::string, z3::expr> variables;
  std::map<std::string, std::int64_t> weight;  // an engine's capacity or a tenant's usage
  std::vector<std::string> engines, tenants;

  z3::expr intValue(std::int64_t value) {
    return context.int_val(static_cast<std::int64_t>(value));
  }
  z3::expr isInZone(const std::string& id, std::size_t zone) {
    return variables.at(id) == intValue(static_cast<std::int64_t>(zone));
  }
  /// Adds a constraint that is tracked by its name, so that an unsat core can report it.
  void addTracked(const std::string& name, const z3::expr& constraint) {
    solver.add(constraint, context.bool_const(name.c_str()));
  }
};

absl::Status fieldError(const std::string& field, const std::string& detail) {
  return absl::InvalidArgumentError(field + ": " + detail);
}

absl::Status addVariables(PlacementModel& model, const Json& file, const char* kind,
                          const char* weight, std::vector<std::string>& ids) {
  auto count = static_cast<std::int64_t>(model.zones.size());
  for (const auto& entry : file.value(kind, Json::array())) {
    std::string id = entry.at("id");
    if (model.variables.contains(id))
      return fieldError(std::string("[") + kind + "]", "'" + id + "' is declared twice");
    z3::expr variable = model.context.int_const(("thing " + id).c_str());
    model.variables.emplace(id, variable);
    model.weight[id] = entry.value(weight, std::int64_t{1});
    ids.push_back(id);
    model.solver.add(variable >= 0 && variable < model.intValue(count));
  }
  return absl::OkStatus();
}

/// The capacity of a zone's engines has to cover the usage of its tenants.
void addCapacity(PlacementModel& model) {
  for (std::size_t zone = 0; zone < model.zones.size(); ++zone) {
    z3::expr places = model.intValue(0), usage = model.intValue(0);
    for (const auto& engine : model.engines)
      places = places + z3::ite(model.isInZone(engine, zone), model.intValue(model.weight[engine]),
                                model.intValue(0));
    for (const auto& tenant : model.tenants)
      usage = usage + z3::ite(model.isInZone(tenant, zone), model.intValue(model.weight[tenant]),
                              model.intValue(0));
    if (!model.tenants.empty())
      model.addTracked("capacity of " + model.zones[zone], usage <= places);
  }
}

absl::Status addConstraint(PlacementModel& model, const Json& entry, std::size_t index) {
  std::string field = "[constraints][" + std::to_string(index) + "]";
  std::string name = entry.at("name"), kind = entry.at("kind");
  std::vector<std::string> ids = entry.value("of", std::vector<std::string>{});
  for (const auto& id : ids)
    if (!model.variables.contains(id))
      return fieldError(field + "[of]", "no engine or tenant is named '" + id + "'");
  std::size_t zone = 0;
  if (entry.contains("district")) {
    auto found = std::ranges::find(model.zones, entry["district"].get<std::string>());
    if (found == model.zones.end()) return fieldError(field + "[district]", "no such district");
    zone = static_cast<std::size_t>(found - model.zones.begin());
  }
  bool needsDistrict = kind == "in" || kind == "not-in" || kind == "at-most" || kind == "at-least";
  if (needsDistrict && !entry.contains("district"))
    return fieldError(field + "[district]", "is required for this kind of constraint");
  z3::expr all = model.context.bool_val(true);
  z3::expr count = model.intValue(0);
  for (const auto& id : ids)
    count = count + z3::ite(model.isInZone(id, zone), model.intValue(1), model.intValue(0));
  for (std::size_t firstIndex = 0; firstIndex < ids.size(); ++firstIndex) {
    const z3::expr& first = model.variables.at(ids[firstIndex]);
    if (kind == "in") all = all && model.isInZone(ids[firstIndex], zone);
    if (kind == "not-in") all = all && !model.isInZone(ids[firstIndex], zone);
    for (std::size_t secondIndex = firstIndex + 1; secondIndex < ids.size(); ++secondIndex) {
      const z3::expr& second = model.variables.at(ids[secondIndex]);
      if (kind == "apart") all = all && first != second;
      if (kind == "together") all = all && first == second;
    }
  }
  std::int64_t number = entry.value("count", std::int64_t{0});
  if (kind == "at-most") all = count <= model.intValue(number);
  if (kind == "at-least") all = count >= model.intValue(number);
  model.addTracked(name, all);
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<PlacementSolution> solvePlacement(std::string_view text) {
  Json file = Json::parse(text, nullptr, false);
  if (file.is_discarded()) return fieldError("<root>", "is no JSON");
  if (auto fault = checkSchema(SchemaName::kPlacement, file))
    return fieldError(fault->field, fault->detail);
  PlacementModel model;
  model.zones = file["districts"].get<std::vector<std::string>>();
  for (auto [kind, weight, names] : {std::tuple{"engines", "places", &model.engines},
                                     std::tuple{"tenants", "usage", &model.tenants}})
    if (auto status = addVariables(model, file, kind, weight, *names); !status.ok()) return status;
  addCapacity(model);
  std::size_t index = 0;
  std::set<std::string> names;
  for (const auto& entry : file.value("constraints", Json::array())) {
    if (!names.insert(entry["name"].get<std::string>()).second)
      return fieldError("[constraints][" + std::to_string(index) + "][name]",
                        "is used by another constraint");
    if (auto status = addConstraint(model, entry, index++); !status.ok()) return status;
  }
  PlacementSolution placement;
  z3::check_result result = model.solver.check();
  if (result == z3::unknown) return absl::DeadlineExceededError("the solver returned no result");
  if (result == z3::unsat) {
    z3::expr_vector core = model.solver.unsat_core();
    for (unsigned coreIndex = 0; coreIndex < core.size(); ++coreIndex) {
      std::string name = core[static_cast<int>(coreIndex)].decl().name().str();
      placement.conflict.push_back(name);
    }
    std::ranges::sort(placement.conflict);
    return placement;
  }
  placement.possible = true;
  z3::model solved = model.solver.get_model();
  for (const auto& [id, variable] : model.variables) {
    auto zone = static_cast<std::size_t>(solved.eval(variable, true).get_numeral_int());
    bool engine = std::ranges::find(model.engines, id) != model.engines.end();
    (engine ? placement.engines : placement.tenants)[id] = model.zones.at(zone);
  }
  return placement;
}

}  // namespace peppergate
