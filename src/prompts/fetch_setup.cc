#include "prompts/fetch_setup.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace peppergate {
namespace {

struct DefaultRung {
  std::string_view name;
  double linkFraction;  // fraction of the slowest link's rate
};
// A fetch reserves its rate until its stream's first event, many times longer than the transfer
// takes: the lowest rate level lets about two hundred fetches share a link.
constexpr std::array kDefaultRungs{DefaultRung{"thin", 1.0 / 256}, DefaultRung{"half", 1.0 / 64},
                                   DefaultRung{"most", 1.0 / 16}, DefaultRung{"whole", 1.0 / 4}};

/// The steepness of a class's utility function: the lower the utility of a rate, the higher the
/// rate level that balances a common level of utility.
struct DefaultClass {
  std::string_view name;
  int urgencyBelow;
  double steepness;
};
constexpr std::array kDefaultClasses{DefaultClass{"urgent", 2, 1.0}, DefaultClass{"usual", 6, 0.8},
                                     DefaultClass{"patient", 1000, 0.6}};

}  // namespace

std::string_view className(int urgency) {
  return std::ranges::find_if(kDefaultClasses,
                              [&](const DefaultClass& one) { return urgency < one.urgencyBelow; })
      ->name;
}

Setup fetchSetup(const Setup& operators, const FleetConfig& fleet) {
  Setup setup;
  double link = 0;
  for (const auto& [name, service] : fleet.services)
    for (double megabits : {service.engine ? service.engine->linkMbps : 0,
                            service.store ? service.store->linkMbps : 0})
      if (megabits > 0)
        link = link > 0 ? std::min(link, megabytesFromMegabits(megabits))
                        : megabytesFromMegabits(megabits);
  bool hasOwnRungs = operators.rungs.size() > 1;
  if (hasOwnRungs) setup.rungs = operators.rungs;
  else if (link > 0)
    for (const auto& [name, linkFraction] : kDefaultRungs)
      setup.rungs.push_back({std::string(name), link * linkFraction});
  if (hasOwnRungs) setup.classes = operators.classes;
  if (setup.rungs.empty()) return setup;
  // The utility of the lowest rate level is 1 less the steepness, whatever the link rates.
  double scale = std::sqrt(setup.rungs.front().rate);
  for (const auto& [name, below, steepness] : kDefaultClasses)
    setup.classes.try_emplace(std::string(name), TenantClass{-steepness * scale, -0.5, 1, 0});
  return setup;
}

}  // namespace peppergate
