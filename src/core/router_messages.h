#pragma once
// Messages between routers about engines, links and cached prefix blocks. Any of them may be lost,
// delayed or duplicated.
#include <string>
#include <vector>

#include "core/message_fields.h"
#include "core/types.h"

namespace peppergate {

struct LinkUsage {
  LinkId link;
  double rate = 0;                 // that this router sends over the link, in megabytes per second
  double demand = 0;               // the rate if its streams ran at their top rungs
  double undeliveredFraction = 0;  // fraction of the expected transfer that was not delivered
  double usableFraction = 0;  // fraction of the announced link size that is usable for this router
  double capacityReduction = 0;  // reduction of it after short deliveries, which recovers over time
  std::uint64_t streams = 0;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(link) PEPPERGATE_FIELD(rate) PEPPERGATE_FIELD(demand)
                        PEPPERGATE_FIELD_AS(undeliveredFraction, "missing")
                            PEPPERGATE_FIELD_AS(usableFraction, "fraction")
                                PEPPERGATE_FIELD_AS(capacityReduction, "cut")
                                    PEPPERGATE_FIELD(streams))
};

/// The number of streams of one kind that a router has over one path, smoothed over the duration of
/// several fetches.
struct StreamMix {
  std::string className;
  std::int64_t floorRung = 0, topRung = 0;
  std::vector<LinkId> path;
  double count = 0;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(className) PEPPERGATE_FIELD(floorRung)
                        PEPPERGATE_FIELD(topRung) PEPPERGATE_FIELD(path) PEPPERGATE_FIELD(count))
};

struct LinkUsageNotification {
  MemberId router;
  std::vector<LinkUsage> links;
  std::vector<StreamMix> streamMixes;
  bool relay = false;  // the receiver forwards it to the routers of its zone
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD_AS(router, "front") PEPPERGATE_FIELD(links)
                        PEPPERGATE_FIELD_AS(streamMixes, "mixes") PEPPERGATE_FIELD(relay))
};

/// Changes to the prefix blocks that one engine caches, or the complete list of them, as reported
/// by its watcher. A salt equal to the one before it is sent as an empty string.
struct PrefixBlockUpdate {
  EngineId engine;
  std::uint64_t epoch = 0;  // the engine's own; a restart changes it
  std::uint64_t firstSequence = 0,
                nextSequence = 0;  // sequence numbers of the first change and after the last
  bool isComplete = false;         // the complete list instead of changes
  std::vector<std::string> salts, blocks;  // parallel lists, together with tokens
  std::vector<std::int64_t> tokens;        // cached tokens of the block; 0: evicted
  bool relay = false;                      // the receiver forwards it to the routers of its zone
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(engine) PEPPERGATE_FIELD(epoch)
                        PEPPERGATE_FIELD_AS(firstSequence, "from")
                            PEPPERGATE_FIELD_AS(nextSequence, "next")
                                PEPPERGATE_FIELD_AS(isComplete, "whole") PEPPERGATE_FIELD(salts)
                                    PEPPERGATE_FIELD_AS(blocks, "parts") PEPPERGATE_FIELD(tokens)
                                        PEPPERGATE_FIELD(relay))
};

/// The engine list, sent by the core that discovers engines to every router. Resent without a list,
/// it confirms that the list is still current.
struct DiscoveredEnginesUpdate {
  ListVersion version;  // the sender's view epoch, then its own counter
  Duration age;         // since the list was requested from the platform
  std::string list;     // empty: unchanged
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(version) PEPPERGATE_FIELD(age) PEPPERGATE_FIELD(list))
};

/// Requests the complete engine list.
struct DiscoveredEnginesRequest {
  ListVersion have;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(have))
};

/// Failures that one router observed at an engine. Other routers weigh it, but don't rule the
/// engine out on its word.
struct EngineFailureReport {
  EngineId engine;
  std::uint64_t failures = 0, answers = 0;  // since the last report
  bool unreachable = false;                 // connections could not be established
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(engine) PEPPERGATE_FIELD(failures) PEPPERGATE_FIELD(answers)
                        PEPPERGATE_FIELD(unreachable))
};

/// The requests that a router has at each engine, so that other routers avoid the busy ones.
struct EngineUsageNotification {
  MemberId router;
  std::vector<EngineId> engines;
  std::vector<std::int64_t> running, prefillTokens;
  bool relay = false;  // the receiver forwards it to the routers of its zone
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD_AS(router, "front") PEPPERGATE_FIELD(engines)
                        PEPPERGATE_FIELD(running) PEPPERGATE_FIELD(prefillTokens)
                            PEPPERGATE_FIELD(relay))
};

/// Requests all known blocks of an engine from another router, after missed changes.
struct PrefixBlockRequest {
  EngineId engine;
  std::uint64_t epoch = 0, nextSequence = 0;  // what the requester has
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(engine) PEPPERGATE_FIELD(epoch)
                        PEPPERGATE_FIELD_AS(nextSequence, "next"))
};

}  // namespace peppergate
