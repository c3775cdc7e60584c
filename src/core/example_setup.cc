// Example tenants, prompt prefixes and initial setups of the two deployments.
#include "core/example_setup.h"

#include <algorithm>
#include <array>

#include "core/digest.h"
#include "wire/json_fields.h"

namespace peppergate {
namespace {

constexpr std::array<ExampleTenant, 8> kHutline{{{"rescue", 0, 0.10, 1},
                                                 {"guides-north", 1, 0.28, 2},
                                                 {"guides-south", 1, 0.24, 2},
                                                 {"climbers", 2, 0.18, 1},
                                                 {"ski-touring", 2, 0.10, 1},
                                                 {"huts-east", 2, 0.05, 0},
                                                 {"huts-west", 3, 0.03, 0},
                                                 {"archive", 3, 0.02, 2}}};
constexpr std::array<ExampleTenant, 8> kFjordsyn{{{"scheduling", 0, 0.12, 1},
                                                  {"subtitles", 1, 0.34, 2},
                                                  {"submissions", 1, 0.22, 1},
                                                  {"hall-asker", 2, 0.10, 0},
                                                  {"hall-bygd", 2, 0.08, 0},
                                                  {"hall-nes", 2, 0.06, 0},
                                                  {"summaries", 3, 0.06, 2},
                                                  {"trial", 3, 0.02, 0}}};
constexpr std::array<std::size_t, 3> kPrefixSizes{2000, 6000, 16000};

std::string fillerText(std::string_view phrase, std::size_t size) {
  std::string text;
  while (text.size() < size) {
    text += phrase;
    text += " paragraph " + std::to_string(text.size()) + ". ";
  }
  text.resize(size);
  return text;
}

}  // namespace

std::vector<ExampleTenant> exampleTenants(std::string_view profile) {
  const auto& rows = profile == "fjordsyn" ? kFjordsyn : kHutline;
  return {rows.begin(), rows.end()};
}

std::uint64_t pickDocument(Random& random, std::uint64_t documents) {
  return std::min(random.below(documents), random.below(documents));
}

std::vector<std::string> sharedPrefix(std::string_view tenant, int size, std::uint64_t document) {
  // Two blocks: one that the whole tenant shares, and one of its documents.
  std::size_t totalSize = kPrefixSizes.at(static_cast<std::size_t>(size));
  return {fillerText(std::string(tenant) + " house rules", totalSize / 4),
          fillerText(std::string(tenant) + " rulebook " + std::to_string(document),
                     totalSize - totalSize / 4)};
}

std::string initialSetupChange(std::string_view profile, const std::string& basedOn) {
  Json tenants = Json::object();
  for (const auto& row : exampleTenants(profile)) {
    std::string name(row.name);
    tenants[name] = {{"template", row.rank <= 1 ? "steady" : "plain"},
                     {"parameters",
                      {{"rank", row.rank},
                       {"wall", "wall-" + name},
                       {"keys", Json::array({keyDigest(exampleKey(name)).value})}}}};
  }
  Json setup{{"rungs", Json::array({{{"name", "thin"}, {"rate", 4}},
                                    {{"name", "half"}, {"rate", 8}},
                                    {{"name", "most"}, {"rate", 16}},
                                    {{"name", "whole"}, {"rate", 32}}})},
             {"classes",
              {{"desk", {{"a", -0.8}, {"b", -0.5}, {"c", 1.0}, {"floor", 1}}},
               {"trail", {{"a", -1.2}, {"b", -0.5}, {"c", 1.0}, {"floor", 0}}}}},
             {"templates",
              {{"steady", {{"class", "desk"}, {"defaults", {{"topRung", 3}}}}},
               {"plain", {{"class", "trail"}, {"defaults", {{"topRung", 3}}}}}}},
             {"tenants", tenants},
             {"partBytesPerCharacter", 200}};
  return Json{{"kind", "apply"}, {"basedOn", basedOn}, {"setup", setup}}.dump();
}

}  // namespace peppergate
