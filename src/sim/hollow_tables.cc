// Measures single tables and messages: bytes and microseconds per entry.
#include <malloc.h>

#include "core/control_state.h"
#include "core/digest.h"
#include "core/engine_list.h"
#include "core/prefix_index.h"
#include "sim/hollow_measures.h"
#include "wire/frame.h"

namespace peppergate {
namespace {

struct Growth {
  double allocated = allocatedBytes(), micros = threadMicros();
  Json told(double entries) const {
    double time = threadMicros() - micros;
    return {{"entries", entries},
            {"bytesEach", (allocatedBytes() - allocated) / entries},
            {"microsEach", time / entries}};
  }
};

MemberRecord anyMember(std::uint64_t number) {
  MemberRecord record;
  record.member = {Random(number).next() >> 1};
  record.address = record.pages = {"10.0.1." + std::to_string(number % 250) + ":7100"};
  record.zone = {"zone1"};
  return record;
}

KeptPart anyPart(std::uint64_t number) {
  return {{digestText(std::to_string(number))}, {"wall-" + std::to_string(number % 97)}, {1}};
}

Json tenantsTable(int tenants) {
  Options options;
  options.largestSetup = 64 << 20;
  ControlState state = ControlState::founded({1});
  std::string change = firstChange(tenants, "1.1").dump();
  double before = threadMicros();
  ChangeReply answer = state.apply(change, "c1", {1}, options);
  double applied = threadMicros() - before;
  ControlState defaults = ControlState::founded({1});
  bool fits = defaults.apply(change, "c1", {1}, Options{}).outcome == ChangeOutcome::kDone;
  before = threadMicros();
  ChangeReply one =
      state.apply(changeBody(1, versionText(answer.version)).dump(), "c2", {1}, options);
  double appliedOne = threadMicros() - before;
  std::string text = state.setupText(), keys = state.keysText(), whole = state.text();
  malloc_trim(0);
  Growth growth;
  auto setup = readSetup(text);
  auto read = readKeys(keys);
  Json told = growth.told(tenants);
  bool good = setup.ok() && read.ok() && one.outcome == ChangeOutcome::kDone;
  told.update({{"good", good},
               {"fitsDefaultLimit", fits},
               {"setupBytes", text.size()},
               {"keysBytes", keys.size()},
               {"stateBytes", whole.size()},
               {"applyAllMicros", applied},
               {"applyOneMicros", appliedOne}});
  return told;
}

Json indexTable(int engines, int partsEach) {
  Options options;
  Random random(3);
  Membership membership(options, anyMember(1), {}, random);
  PrefixIndex index(options, membership);
  std::vector<IndexPut> puts;
  std::uint64_t number = 0;
  for (int engine = 0; engine < engines; ++engine) {
    IndexPut put{{"engine" + std::to_string(engine)}, {7}, 1, {}};
    for (int part = 0; part < partsEach; ++part) put.parts.push_back(anyPart(number++));
    puts.push_back(std::move(put));
  }
  double frame = 0, coded = threadMicros();
  frame = static_cast<double>(encodeFrame(1, Message{puts[0]}).size());
  coded = threadMicros() - coded;
  Growth growth;
  for (auto& put : puts) {
    index.noteLife(put.engine, put.life, put.revision);
    index.report(put);
  }
  Json told = growth.told(static_cast<double>(number));
  double before = threadMicros();
  std::size_t found = 0;
  constexpr int kLookups = 200;
  for (std::uint64_t look = 0; look < kLookups; ++look) {
    KeptPart part = anyPart(look * 7919 % number);
    found += index.holders(part.name, part.wall, part.weights).size();
  }
  told.update({{"engines", engines},
               {"partsEach", partsEach},
               {"putFrameBytes", frame},
               {"putFrameFits", frame <= static_cast<double>(kLargestFrame)},
               {"putEncodeMicros", coded},
               {"found", found},
               {"lookupMicros", (threadMicros() - before) / kLookups}});
  return told;
}

template <class Maker>
Json messageSlope(Maker maker, int few, int many) {
  auto micros = [&](int entries, std::size_t& size) {
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
      (void)decodeBody(static_cast<std::uint16_t>(message.index()), bytes.subspan(kFrameHeadSize));
    return std::pair{sending, (threadMicros() - before) / kTimes};
  };
  std::size_t small = 0, large = 0;
  auto first = micros(few, small);
  auto second = micros(many, large);
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

UsageNotification usageOf(int links) {
  UsageNotification note{{Random(5).next() >> 1}, {}, {}};
  for (int link = 0; link < links; ++link) {
    LinkId id{"engine:engine" + std::to_string(link)};
    note.links.push_back({id, 12.5, 25, 0, 0.75, 0, 3});
    note.mixes.push_back({"desk", 1, 3, {id, {"rack:rack7"}}, 0.4});
  }
  return note;
}

PrefixBlockUpdate newsOf(int events) {
  PrefixBlockUpdate news{{"engine17"}, 4, 100, 100, false, {}, {}, {}};
  for (int event = 0; event < events; ++event) {
    news.salts.push_back("wall-" + std::to_string(event % 97) + "/3");
    news.parts.push_back(digestText(std::to_string(event)));
    news.tokens.push_back(event % 3 == 0 ? 0 : 512);
  }
  return news;
}

EngineUse useOf(int engines) {
  EngineUse use{{Random(6).next() >> 1}, {}, {}, {}};
  for (int engine = 0; engine < engines; ++engine) {
    use.engines.push_back({"engine" + std::to_string(engine)});
    use.running.push_back(engine % 5);
    use.prefillTokens.push_back(engine * 100);
  }
  return use;
}

EngineSnapshotNotification picturesOf(int engines) {
  EngineSnapshotNotification note{{Random(8).next() >> 1}, {}};
  for (int engine = 0; engine < engines; ++engine)
    note.pictures.push_back({{"engine" + std::to_string(engine)},
                             {static_cast<std::uint64_t>(engine) + 70000},
                             {9},
                             12345,
                             milliseconds(300),
                             20,
                             true});
  return note;
}

Shuffle shuffleOf(int records) {
  Shuffle shuffle;
  shuffle.sender = anyMember(9);
  for (int record = 0; record < records; ++record)
    shuffle.records.push_back(anyMember(static_cast<std::uint64_t>(record) + 10));
  return shuffle;
}

Json listTable(int engines) {
  HollowShape shape;
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
  Growth growth;
  auto read = parseEngineList(text);
  Json told = growth.told(engines);
  told.update({{"good", read.ok()}, {"listBytes", text.size()}});
  return told;
}

}  // namespace

Json measureTables() {
  Json told = Json::object();
  for (int tenants : {8, 1000, 10000}) told["tenants"].push_back(tenantsTable(tenants));
  for (auto [engines, parts] :
       {std::pair{6, 1000}, {60, 1000}, {600, 294}, {6, 29412}, {2, 100000}})
    told["index"].push_back(indexTable(engines, parts));
  for (int engines : {30, 600}) told["engineList"].push_back(listTable(engines));
  told["messages"] = {{"UsageNote", messageSlope(usageOf, 0, 100)},
                      {"PartNews", messageSlope(newsOf, 1, 200)},
                      {"EngineUse", messageSlope(useOf, 0, 600)},
                      {"PictureNote", messageSlope(picturesOf, 1, 100)},
                      {"Shuffle", messageSlope(shuffleOf, 0, 32)}};
  return told;
}

}  // namespace peppergate
