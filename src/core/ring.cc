#include "core/ring.h"

#include <algorithm>

#include "core/random.h"

namespace peppergate {
namespace {

std::uint64_t pointOf(const EngineId& engine) {
  std::uint64_t point = 1469598103934665603ULL;
  for (char letter : engine.value)
    point = (point ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
  return Random(point).next();
}

}  // namespace

Ring::Ring(std::span<const MemberRecord> members) {
  for (const auto& record : members) {
    members_.push_back(record.member);
    Random random(record.member.value);
    for (int index = 0; index < kPlacesEach; ++index)
      places_.push_back({random.next(), record.member});
  }
  std::ranges::sort(places_, {}, &Place::point);
}

std::vector<MemberId> Ring::owners(const EngineId& engine, std::size_t count) const {
  std::vector<MemberId> owners;
  if (places_.empty()) return owners;
  auto place = std::ranges::lower_bound(places_, pointOf(engine), {}, &Place::point);
  for (std::size_t step = 0; step < places_.size() && owners.size() < count; ++step, ++place) {
    if (place == places_.end()) place = places_.begin();
    if (std::ranges::find(owners, place->member) == owners.end()) owners.push_back(place->member);
  }
  return owners;
}

bool Ring::isFor(std::span<const MemberRecord> members) const {
  return std::ranges::equal(members_, members, {}, {}, &MemberRecord::member);
}

}  // namespace peppergate
