#pragma once
// What the system's own processes say to each other. All of it may be lost, late or doubled.
#include <variant>
#include <vector>

#include "core/message_fields.h"
#include "core/router_messages.h"
#include "core/types.h"

namespace peppergate {

/// One member as its fellows know it; heartbeat rises while it lives.
struct MemberRecord {
  MemberId member;
  Address address;
  Address pages;  // where its HTTP pages are
  Role role = Role::kFront;
  Zone zone;
  CoreId core;
  std::uint64_t heartbeat = 0;
  bool leaving = false;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(member) PEPPERGATE_FIELD(address) PEPPERGATE_FIELD(pages)
                        PEPPERGATE_FIELD(role) PEPPERGATE_FIELD(zone) PEPPERGATE_FIELD(core)
                            PEPPERGATE_FIELD(heartbeat) PEPPERGATE_FIELD(leaving))
};

/// Who leads, who copies, who votes. Epoch 0 means that nothing was founded yet; a view without
/// backups is a bootstrap view, in which nothing was ever acknowledged.
struct View {
  Epoch epoch;
  CoreId primary;
  std::vector<CoreId> backups;  // in the order in which they take over
  Epoch base;  // copies made for this epoch or later hold all that was acknowledged
  std::vector<CoreId> voters;
  /// The voters of the view that it follows, where they are others, until it is known to be
  /// settled: so long a majority of these is asked, too. Empty afterwards.
  std::vector<CoreId> formerVoters = {};
  bool operator==(const View&) const = default;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD(primary) PEPPERGATE_FIELD(backups)
                        PEPPERGATE_FIELD(base) PEPPERGATE_FIELD(voters)
                            PEPPERGATE_FIELD(formerVoters))
};

struct Shuffle {
  MemberRecord sender;
  std::vector<MemberRecord> records;
  std::vector<KeyDigest> withdrawn;  // tombstones heard lately
  ListVersion engineList;
  bool wantsAnswer = false;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(sender) PEPPERGATE_FIELD(records) PEPPERGATE_FIELD(withdrawn)
                        PEPPERGATE_FIELD(engineList) PEPPERGATE_FIELD(wantsAnswer))
};

enum class PrepareKind : std::uint8_t {
  kLease = 0,  // a promise and a hold in one; asked again, it renews the hold
  kBootstrap,  // the same, of a core that founds the fleet
  kRelease,    // the candidate, or with epoch 0 the read-only leader, gave up its hold; no answer
};

struct PrepareRequest {
  Epoch epoch;
  CoreId candidate;
  MonotonicTime sentAt;
  PrepareKind kind = PrepareKind::kLease;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD(candidate) PEPPERGATE_FIELD(sentAt)
                        PEPPERGATE_FIELD(kind))
};

struct PrepareReply {
  Epoch epoch;
  CoreId voter;
  MonotonicTime sentAt;
  bool granted = false;
  Epoch promised;
  View accepted;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD(voter) PEPPERGATE_FIELD(sentAt)
                        PEPPERGATE_FIELD(granted) PEPPERGATE_FIELD(promised)
                            PEPPERGATE_FIELD(accepted))
};

struct AcceptRequest {
  View view;
  bool bootstrap = false;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(view) PEPPERGATE_FIELD(bootstrap))
};

struct AcceptReply {
  Epoch epoch;
  CoreId voter;
  bool accepted = false;
  Epoch promised;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD(voter) PEPPERGATE_FIELD(accepted)
                        PEPPERGATE_FIELD(promised))
};

struct ReplicateRequest {  // the whole state, for a recruit or for each new version
  Epoch epoch;
  CoreId from;
  SectionVersion version;
  bool joining = false;
  std::string state;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD(from) PEPPERGATE_FIELD(version)
                        PEPPERGATE_FIELD(joining) PEPPERGATE_FIELD(state))
};

struct ReplicateReply {
  Epoch epoch;
  CoreId from;
  SectionVersion version;
  bool synced = false;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD(from) PEPPERGATE_FIELD(version)
                        PEPPERGATE_FIELD(synced))
};

/// The versions of the three parts of the state that a daemon has.
struct SectionVersions {
  SectionVersion setup, keys, weights;
  auto operator<=>(const SectionVersions&) const = default;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(setup) PEPPERGATE_FIELD(keys) PEPPERGATE_FIELD(weights))
};

struct StateRequest {
  MemberId asker;
  MonotonicTime sentAt;
  SectionVersions have;
  bool relayed = false;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(asker) PEPPERGATE_FIELD(sentAt) PEPPERGATE_FIELD(have)
                        PEPPERGATE_FIELD(relayed))
};

/// The stamp of news that nobody asked for: it may be installed, but it proves nothing.
inline constexpr MonotonicTime kUnsolicited{-1};

struct StateReply {
  MonotonicTime sentAt;   // the asker's own stamp, sent back
  bool proof = false;     // traceable to a primary, or a read-only leader, under its hold
  bool attested = false;  // to a read-only leader, not to a primary
  Duration age;           // how old the proof was when it left
  View view;
  SectionVersions now;
  SectionVersions named;             // what the leader itself showed in the newest proof
  std::string setup, keys, weights;  // empty where the asker had the newest
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(sentAt) PEPPERGATE_FIELD(proof) PEPPERGATE_FIELD(attested)
                        PEPPERGATE_FIELD(age) PEPPERGATE_FIELD(view) PEPPERGATE_FIELD(now)
                            PEPPERGATE_FIELD(named) PEPPERGATE_FIELD(setup) PEPPERGATE_FIELD(keys)
                                PEPPERGATE_FIELD(weights))
};

/// What both copies have synced, for the other voters: a change is acknowledged once a majority of
/// the voters holds it.
struct WitnessUpdateRequest {
  Epoch epoch;
  SectionVersion version;
  SectionVersions now;
  std::string setup, keys, weights;  // empty where the voter surely has it
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD(version) PEPPERGATE_FIELD(now)
                        PEPPERGATE_FIELD(setup) PEPPERGATE_FIELD(keys) PEPPERGATE_FIELD(weights))
};

struct WitnessUpdateReply {
  Epoch epoch;
  CoreId voter;
  SectionVersion version;
  SectionVersions have;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD(voter) PEPPERGATE_FIELD(version)
                        PEPPERGATE_FIELD(have))
};

struct ReadLeaseRequest {  // to the voters of the last accepted view
  View view;               // as the asker accepted it
  CoreId readOnlyLeader;
  MonotonicTime sentAt;
  SectionVersions have;
  bool grant = false;  // else it only looks who answers
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(view) PEPPERGATE_FIELD(readOnlyLeader) PEPPERGATE_FIELD(sentAt)
                        PEPPERGATE_FIELD(have) PEPPERGATE_FIELD(grant))
};

struct ReadLeaseReply {
  CoreId voter;
  MonotonicTime sentAt;
  bool granted = false;
  bool votes = false;   // its disk is good
  bool intact = false;  // it is a member of the view with a copy made for it
  bool proven = false;  // it had a primary's proof in this life
  CoreId grantedTo;     // who stands in the way, if one does
  SectionVersions now;
  std::string setup, keys, weights;  // where the asker has less
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(voter) PEPPERGATE_FIELD(sentAt) PEPPERGATE_FIELD(granted)
                        PEPPERGATE_FIELD(votes) PEPPERGATE_FIELD(intact) PEPPERGATE_FIELD(proven)
                            PEPPERGATE_FIELD(grantedTo) PEPPERGATE_FIELD(now)
                                PEPPERGATE_FIELD(setup) PEPPERGATE_FIELD(keys)
                                    PEPPERGATE_FIELD(weights))
};

struct ReadLeaderNotification {  // whom to ask where no primary is heard
  CoreId readOnlyLeader;
  Epoch view;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(readOnlyLeader) PEPPERGATE_FIELD(view))
};

enum class ChangeOutcome : std::uint8_t {
  kDone = 0,
  kStale,
  kInvalid,
  kNotPrimary,
  kNoBackup,
  kTooLarge,
  kLost,
  kUnsynced,
  kBusy,
  kWould,
  kReadOnly,
};

struct ChangeRequest {
  TicketId ticket;
  std::string changeId;
  std::string change;  // JSON, digests only
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(ticket) PEPPERGATE_FIELD(changeId) PEPPERGATE_FIELD(change))
};

struct ChangeReply {
  TicketId ticket;  // of the daemon that asked; it may belong to an earlier life of that daemon
  std::string changeId;  // the order that this answers
  ChangeOutcome outcome = ChangeOutcome::kLost;
  SectionVersion version;
  std::string field;  // which field was wrong, if one was
  std::string detail;
  std::uint64_t newest = 0;  // of the fleet's configuration, when a change built on another one
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(ticket) PEPPERGATE_FIELD(changeId) PEPPERGATE_FIELD(outcome)
                        PEPPERGATE_FIELD(version) PEPPERGATE_FIELD(field) PEPPERGATE_FIELD(detail)
                            PEPPERGATE_FIELD(newest))
};

struct EngineLeaseRequest {
  MemberId holder;
  MonotonicTime sentAt;
  std::vector<EngineId> engines;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(holder) PEPPERGATE_FIELD(sentAt) PEPPERGATE_FIELD(engines))
};

struct EngineLeaseReply {
  CoreId voter;
  MonotonicTime sentAt;
  std::vector<EngineId> granted;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(voter) PEPPERGATE_FIELD(sentAt) PEPPERGATE_FIELD(granted))
};

struct EngineListUpdate {
  ListVersion version;
  std::string list;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(version) PEPPERGATE_FIELD(list))
};

struct EngineListRequest {
  ListVersion have;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(have))
};

/// What one engine keeps, as its watcher knows it.
struct KeptPart {
  PartName name;
  Wall wall;
  WeightsVersion weights;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(name) PEPPERGATE_FIELD(wall) PEPPERGATE_FIELD(weights))
};

struct EngineSnapshot {
  EngineId engine;
  EngineLife life;
  WeightsVersion weights;
  std::uint64_t revision = 0;  // the engine's own count of changes
  Duration age;                // since the engine was seen so
  std::uint64_t usage = 0;     // streams it runs
  bool ready = false;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(engine) PEPPERGATE_FIELD(life) PEPPERGATE_FIELD(weights)
                        PEPPERGATE_FIELD(revision) PEPPERGATE_FIELD(age) PEPPERGATE_FIELD(usage)
                            PEPPERGATE_FIELD(ready))
};

struct EngineSnapshotNotification {  // the watcher's word on its engines, to every front
  MemberId watcher;
  std::vector<EngineSnapshot> pictures;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(watcher) PEPPERGATE_FIELD(pictures))
};

struct IndexPut {  // the kept parts of one engine, to the members that copy its entries
  EngineId engine;
  EngineLife life;
  std::uint64_t revision = 0;
  std::vector<KeptPart> parts;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(engine) PEPPERGATE_FIELD(life) PEPPERGATE_FIELD(revision)
                        PEPPERGATE_FIELD(parts))
};

struct IndexRequest {  // a sweep or a read: send what is newer than this
  EngineId engine;
  EngineLife life;
  std::uint64_t revision = 0;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(engine) PEPPERGATE_FIELD(life) PEPPERGATE_FIELD(revision))
};

using Message =
    std::variant<Shuffle, PrepareRequest, PrepareReply, AcceptRequest, AcceptReply,
                 ReplicateRequest, ReplicateReply, StateRequest, StateReply, ChangeRequest,
                 ChangeReply, EngineLeaseRequest, EngineLeaseReply, EngineListUpdate,
                 EngineListRequest, EngineSnapshotNotification, IndexPut, IndexRequest,
                 UsageNotification, WitnessUpdateRequest, WitnessUpdateReply, ReadLeaseRequest,
                 ReadLeaseReply, ReadLeaderNotification, PrefixBlockUpdate, DiscoveredEnginesUpdate,
                 DiscoveredEnginesRequest, EngineTrouble, EngineUse, PrefixBlockRequest>;

}  // namespace peppergate
