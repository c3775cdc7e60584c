#pragma once
// What routers say to each other of engines, links and kept parts. All of it may be lost, late or
// doubled.
#include <string>
#include <vector>

#include "core/message_fields.h"
#include "core/types.h"

namespace peppergate {

struct LinkUsage {
  LinkId link;
  double rate = 0;      // megabytes a second this front sends over it
  double demand = 0;    // the same at its streams' top rungs
  double missing = 0;   // share of the expected delivery that did not come
  double fraction = 0;  // of the told size that this front finds usable
  double cut = 0;       // share cut off that after short deliveries, as eased by now
  std::uint64_t streams = 0;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(link) PEPPERGATE_FIELD(rate) PEPPERGATE_FIELD(demand)
                        PEPPERGATE_FIELD(missing) PEPPERGATE_FIELD(fraction) PEPPERGATE_FIELD(cut)
                            PEPPERGATE_FIELD(streams))
};

/// How many streams of one kind a front has over one path, smoothed over some lives of a fetch.
struct StreamMix {
  std::string className;
  std::int64_t floorRung = 0, topRung = 0;
  std::vector<LinkId> path;
  double count = 0;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(className) PEPPERGATE_FIELD(floorRung)
                        PEPPERGATE_FIELD(topRung) PEPPERGATE_FIELD(path) PEPPERGATE_FIELD(count))
};

struct UsageNotification {
  MemberId front;
  std::vector<LinkUsage> links;
  std::vector<StreamMix> mixes;
  bool relay = false;  // the receiver passes it on to its zone
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(front) PEPPERGATE_FIELD(links) PEPPERGATE_FIELD(mixes)
                        PEPPERGATE_FIELD(relay))
};

/// What changed in the kept parts of one engine, by its watcher's word; whole: all that it keeps.
/// A salt that is the same as the one before it is left empty.
struct PrefixBlockUpdate {
  EngineId engine;
  std::uint64_t epoch = 0;           // the engine's own: a restart changes it
  std::uint64_t from = 0, next = 0;  // numbers of the first change here and after the last
  bool whole = false;
  std::vector<std::string> salts, parts;  // of the same length, as are all below
  std::vector<std::int64_t> tokens;       // kept now; 0: dropped
  bool relay = false;                     // the receiver passes it on to its zone
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(engine) PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD(from)
                        PEPPERGATE_FIELD(next) PEPPERGATE_FIELD(whole) PEPPERGATE_FIELD(salts)
                            PEPPERGATE_FIELD(parts) PEPPERGATE_FIELD(tokens)
                                PEPPERGATE_FIELD(relay))
};

/// The engine list as its lister has it, to every front; also as proof that it is still this one.
struct DiscoveredEnginesUpdate {
  ListVersion version;  // the lister's view epoch, then its own count
  Duration age;         // since the list was asked for
  std::string list;     // empty: the same as before
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(version) PEPPERGATE_FIELD(age) PEPPERGATE_FIELD(list))
};

/// A front that lacks a list asks for it whole.
struct DiscoveredEnginesRequest {
  ListVersion have;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(have))
};

/// What one front saw of an engine in traffic: worth something to others, no verdict.
struct EngineTrouble {
  EngineId engine;
  std::uint64_t failures = 0, answers = 0;  // since the last note
  bool unreachable = false;                 // no connection came up
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(engine) PEPPERGATE_FIELD(failures) PEPPERGATE_FIELD(answers)
                        PEPPERGATE_FIELD(unreachable))
};

/// How many requests a front has at each engine, so that others don't choose the same one.
struct EngineUse {
  MemberId front;
  std::vector<EngineId> engines;
  std::vector<std::int64_t> running, prefillTokens;
  bool relay = false;  // the receiver passes it on to its zone
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(front) PEPPERGATE_FIELD(engines) PEPPERGATE_FIELD(running)
                        PEPPERGATE_FIELD(prefillTokens) PEPPERGATE_FIELD(relay))
};

/// A front that lacks changes asks another for all that it knows of an engine.
struct PrefixBlockRequest {
  EngineId engine;
  std::uint64_t epoch = 0, next = 0;  // what the asker has
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(engine) PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD(next))
};

}  // namespace peppergate
