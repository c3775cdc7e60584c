// Measures single tables and messages: bytes and microseconds per entry.
#include <malloc.h>

#include "core/control_state.h"
#include "core/digest.h"
#include "core/engine_list.h"
#include "core/prefix_index.h"
#include "sim/fleet_measurements.h"
#include "wire/frame.h"

namespace peppergate {
namespace {

struct ResourceGrowth {
  double allocated = allocatedBytes(), micros = threadMicros();
  Json figures(double entries) const {
    double time = threadMicros() - micros;
    return {{"entries", entries},
            {"bytesEach", (allocatedBytes() - allocated) / entries},
            {"microsEach", time / entries}};
  }
};

MemberRecord makeMember(std::uint64_t number) {
  MemberRecord record;
  record.member = {Random(number).next() >> 1};
  record.address = record.pagesAddress = {"10.0.1." + std::to_string(number % 250) + ":7100"};
  record.zone = {"zone1"};
  return record;
}

CachedPrefixBlock makeBlock(std::uint64_t number) {
  return {{digestText(std::to_string(number))}, {"wall-" + std::to_string(number % 97)}, {1}};
}

Json measureTenants(int tenants) {
  Options options;
  options.largestSetup = 64 << 20;
  ControlState state = ControlState::initial({1});
  std::string change = initialChange(tenants, "1.1").dump();
  double before = threadMicros();
  ChangeReply answer = state.apply(change, "c1", {1}, options);
  double applied = threadMicros() - before;
  ControlState defaults = ControlState::initial({1});
  bool fitsDefault = defaults.apply(change, "c1", {1}, Options{}).outcome == ChangeOutcome::kDone;
  before = threadMicros();
  ChangeReply one =
      state.apply(addTenantChange(1, versionText(answer.version)).dump(), "c2", {1}, options);
  double appliedOne = threadMicros() - before;
  std::string text = state.setupText(), keys = state.keysText(), whole = state.serialize();
  malloc_trim(0);
  ResourceGrowth growth;
  auto setup = readSetup(text);
  auto read = readKeys(keys);
  Json figures = growth.figures(tenants);
  bool valid = setup.ok() && read.ok() && one.outcome == ChangeOutcome::kDone;
  figures.update({{"good", valid},
                  {"fitsDefaultLimit", fitsDefault},
                  {"setupBytes", text.size()},
                  {"keysBytes", keys.size()},
                  {"stateBytes", whole.size()},
                  {"applyAllMicros", applied},
                  {"applyOneMicros", appliedOne}});
  return figures;
}

Json measureIndex(int engines, int blocksPerEngine) {
  Options options;
  Random random(3);
  Membership membership(options, makeMember(1), {}, random);
  PrefixIndex index(options, membership);
  std::vector<PrefixIndexUpdate> puts;
  std::uint64_t number = 0;
  for (int engine = 0; engine < engines; ++engine) {
    PrefixIndexUpdate put{{"engine" + std::to_string(engine)}, {7}, 1, {}};
    for (int block = 0; block < blocksPerEngine; ++block) put.blocks.push_back(makeBlock(number++));
    puts.push_back(std::move(put));
  }
  double frameBytes = 0, encodeMicros = threadMicros();
  frameBytes = static_cast<double>(encodeFrame(1, Message{puts[0]}).size());
  encodeMicros = threadMicros() - encodeMicros;
  ResourceGrowth growth;
  for (auto& put : puts) {
    index.noteLife(put.engine, put.life, put.revision);
    index.report(put);
  }
  Json figures = growth.figures(static_cast<double>(number));
  double before = threadMicros();
  std::size_t found = 0;
  constexpr int kLookups = 200;
  for (std::uint64_t look = 0; look < kLookups; ++look) {
    CachedPrefixBlock block = makeBlock(look * 7919 % number);
    found += index.holders(block.name, block.cacheDomain, block.weights).size();
  }
  figures.update({{"engines", engines},
                  {"partsEach", blocksPerEngine},
                  {"putFrameBytes", frameBytes},
                  {"putFrameFits", frameBytes <= static_cast<double>(kMaxFrameBytes)},
                  {"putEncodeMicros", encodeMicros},
                  {"found", found},
                  {"lookupMicros", (threadMicros() - before) / kLookups}});
  return figures;
}

template <class Maker>
Json measureMessage(Maker maker, int few, int many) {
  auto measureSize = [&](int entries, std::size_t& size) {
    Message message{maker(entries)};
    std::string frame;
    constexpr int kTimes = 200;
    double before = threadMicros();
    for (int time = 0; time < kTimes; ++time) frame = encodeFrame(1, message);
    double sending = (threadMicros() - before) / kTimes;
    size = frame.size() + 32;
    std::span<const char> bytes(frame);
    before = threadMicros();
    for (int time = 0; time < kTimes; ++time)
      (void)decodeBody(static_cast<std::uint16_t>(message.index()), bytes.subspan(kFrameHeadBytes));
    return std::pair{sending, (threadMicros() - before) / kTimes};
  };
  std::size_t small = 0, large = 0;
  auto first = measureSize(few, small);
  auto second = measureSize(many, large);
  double entries = many - few;
  return {{"few", few},
          {"many", many},
          {"fewBytes", small},
          {"manyBytes", large},
          {"bytesEach", static_cast<double>(large - small) / entries},
          {"sendMicrosFew", first.first},
          {"sendMicrosEach", (second.first - first.first) / entries},
          {"takeMicrosFew", first.second},
          {"takeMicrosEach", (second.second - first.second) / entries}};
}

LinkUsageNotification makeUsage(int links) {
  LinkUsageNotification notification{{Random(5).next() >> 1}, {}, {}};
  for (int link = 0; link < links; ++link) {
    LinkId id{"engine:engine" + std::to_string(link)};
    notification.links.push_back({id, 12.5, 25, 0, 0.75, 0, 3});
    notification.streamMixes.push_back({"desk", 1, 3, {id, {"rack:rack7"}}, 0.4});
  }
  return notification;
}

PrefixBlockUpdate makePrefixBlockUpdate(int events) {
  PrefixBlockUpdate update{{"engine17"}, 4, 100, 100, false, {}, {}, {}};
  for (int event = 0; event < events; ++event) {
    update.salts.push_back("wall-" + std::to_string(event % 97) + "/3");
    update.blocks.push_back(digestText(std::to_string(event)));
    update.tokens.push_back(event % 3 == 0 ? 0 : 512);
  }
  return update;
}

EngineUsageNotification makeEngineUsage(int engines) {
  EngineUsageNotification usage{{Random(6).next() >> 1}, {}, {}, {}};
  for (int engine = 0; engine < engines; ++engine) {
    usage.engines.push_back({"engine" + std::to_string(engine)});
    usage.running.push_back(engine % 5);
    usage.prefillTokens.push_back(engine * 100);
  }
  return usage;
}

EngineSnapshotNotification makeSnapshots(int engines) {
  EngineSnapshotNotification notification{{Random(8).next() >> 1}, {}};
  for (int engine = 0; engine < engines; ++engine)
    notification.snapshots.push_back({{"engine" + std::to_string(engine)},
                                      {static_cast<std::uint64_t>(engine) + 70000},
                                      {9},
                                      12345,
                                      milliseconds(300),
                                      20,
                                      true});
  return notification;
}

Shuffle makeShuffle(int records) {
  Shuffle shuffle;
  shuffle.sender = makeMember(9);
  for (int record = 0; record < records; ++record)
    shuffle.records.push_back(makeMember(static_cast<std::uint64_t>(record) + 10));
  return shuffle;
}

Json measureEngineList(int engines) {
  MeasurementFleetOptions fleetOptions;
  Json list{{"version", 1}, {"engines", Json::array()}};
  for (int engine = 0; engine < engines; ++engine)
    list["engines"].push_back({{"id", "engine" + std::to_string(engine)},
                               {"address", "10.100.0.1:8000"},
                               {"service", "model"},
                               {"rack", "rack" + std::to_string(engine / 20)},
                               {"district", "zone1"},
                               {"link", 100.0}});
  std::string text = list.dump();
  malloc_trim(0);
  ResourceGrowth growth;
  auto read = parseEngineList(text);
  Json figures = growth.figures(engines);
  figures.update({{"good", read.ok()}, {"listBytes", text.size()}});
  return figures;
}

}  // namespace

Json measureTables() {
  Json figures = Json::object();
  for (int tenants : {8, 1000, 10000}) figures["tenants"].push_back(measureTenants(tenants));
  for (auto [engines, parts] :
       {std::pair{6, 1000}, {60, 1000}, {600, 294}, {6, 29412}, {2, 100000}})
    figures["index"].push_back(measureIndex(engines, parts));
  for (int engines : {30, 600}) figures["engineList"].push_back(measureEngineList(engines));
  figures["messages"] = {{"UsageNote", measureMessage(makeUsage, 0, 100)},
                         {"PartNews", measureMessage(makePrefixBlockUpdate, 1, 200)},
                         {"EngineUse", measureMessage(makeEngineUsage, 0, 600)},
                         {"PictureNote", measureMessage(makeSnapshots, 1, 100)},
                         {"Shuffle", measureMessage(makeShuffle, 0, 32)}};
  return figures;
}

}  // namespace peppergate
