#pragma once
// The messages between the system's own processes. Any of them may be lost, delayed or duplicated.
#include <variant>
#include <vector>

#include "core/message_fields.h"
#include "core/router_messages.h"
#include "core/types.h"

namespace peppergate {

/// A member as gossip describes it. The heartbeat counter increases while the member is alive.
struct MemberRecord {
  MemberId member;
  Address address;
  Address pagesAddress;  // of its HTTP status and operator pages
  Role role = Role::kRouter;
  Zone zone;
  CoreId core;
  std::uint64_t heartbeat = 0;
  bool leaving = false;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(member) PEPPERGATE_FIELD(address)
                        PEPPERGATE_FIELD_AS(pagesAddress, "pages") PEPPERGATE_FIELD(role)
                            PEPPERGATE_FIELD(zone) PEPPERGATE_FIELD(core)
                                PEPPERGATE_FIELD(heartbeat) PEPPERGATE_FIELD(leaving))
};

/// A configuration of the control side: the primary, its backups and the voters. Epoch 0 means that
/// no fleet was bootstrapped yet. A view without backups is a bootstrap view, in which nothing was
/// ever acknowledged.
struct View {
  Epoch epoch;
  CoreId primary;
  std::vector<CoreId> backups;  // in order of succession
  Epoch baseEpoch;  // replicas written for this epoch or later hold every acknowledged change
  std::vector<CoreId> voters;
  /// The voters of the preceding view, if they differ. Until this view is known to be settled, a
  /// majority of them is required as well; empty afterwards.
  std::vector<CoreId> formerVoters = {};
  bool operator==(const View&) const = default;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD(primary) PEPPERGATE_FIELD(backups)
                        PEPPERGATE_FIELD_AS(baseEpoch, "base") PEPPERGATE_FIELD(voters)
                            PEPPERGATE_FIELD(formerVoters))
};

struct Shuffle {
  MemberRecord sender;
  std::vector<MemberRecord> records;
  std::vector<KeyDigest> withdrawn;  // recent tombstones of withdrawn keys
  ListVersion engineList;
  bool wantsAnswer = false;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(sender) PEPPERGATE_FIELD(records) PEPPERGATE_FIELD(withdrawn)
                        PEPPERGATE_FIELD(engineList) PEPPERGATE_FIELD(wantsAnswer))
};

enum class PrepareKind : std::uint8_t {
  kLease = 0,  // a promise and a lease in one; repeated, it renews the lease
  kBootstrap,  // the same, from a core that bootstraps the fleet
  kRelease,    // the candidate, or with epoch 0 the read-only leader, gave up its lease; no reply
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

struct ReplicateRequest {  // the whole state, for a joining replica or for each new version
  Epoch epoch;
  CoreId sender;
  SectionVersion version;
  bool joining = false;
  std::string state;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD_AS(sender, "from")
                        PEPPERGATE_FIELD(version) PEPPERGATE_FIELD(joining) PEPPERGATE_FIELD(state))
};

struct ReplicateReply {
  Epoch epoch;
  CoreId sender;
  SectionVersion version;
  bool synced = false;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(epoch) PEPPERGATE_FIELD_AS(sender, "from")
                        PEPPERGATE_FIELD(version) PEPPERGATE_FIELD(synced))
};

/// The versions of the three sections of the control state that a daemon has.
struct SectionVersions {
  SectionVersion setup, keys, weights;
  auto operator<=>(const SectionVersions&) const = default;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(setup) PEPPERGATE_FIELD(keys) PEPPERGATE_FIELD(weights))
};

struct StateRequest {
  MemberId requester;
  MonotonicTime sentAt;
  SectionVersions have;
  bool relayed = false;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD_AS(requester, "asker") PEPPERGATE_FIELD(sentAt)
                        PEPPERGATE_FIELD(have) PEPPERGATE_FIELD(relayed))
};

/// The `sentAt` of an unsolicited StateReply. Its content may be installed, but it proves no
/// freshness.
inline constexpr MonotonicTime kUnsolicited{-1};

struct StateReply {
  MonotonicTime sentAt;   // of the request, echoed
  bool proof = false;     // derived from a primary or read-only leader that held its lease
  bool attested = false;  // derived from a read-only leader instead of a primary
  Duration proofAge;      // of the proof when the reply was sent
  View view;
  SectionVersions now;
  SectionVersions
      publishedByLeader;  // versions that the leader itself published in the newest proof
  std::string setup, keys, weights;  // empty where the requester is up to date
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(sentAt) PEPPERGATE_FIELD(proof) PEPPERGATE_FIELD(attested)
                        PEPPERGATE_FIELD_AS(proofAge, "age") PEPPERGATE_FIELD(view)
                            PEPPERGATE_FIELD(now) PEPPERGATE_FIELD_AS(publishedByLeader, "named")
                                PEPPERGATE_FIELD(setup) PEPPERGATE_FIELD(keys)
                                    PEPPERGATE_FIELD(weights))
};

/// The state that primary and backup have synced, sent to the other voters: a change is
/// acknowledged once a majority of the voters holds it.
struct WitnessUpdateRequest {
  Epoch epoch;
  SectionVersion version;
  SectionVersions now;
  std::string setup, keys, weights;  // empty where the voter is known to have it
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

struct ReadLeaseRequest {  // sent to the voters of the last accepted view
  View view;               // as the requester accepted it
  CoreId readOnlyLeader;
  MonotonicTime sentAt;
  SectionVersions have;
  bool requestsGrant = false;  // false: only probes which voters answer
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(view) PEPPERGATE_FIELD(readOnlyLeader) PEPPERGATE_FIELD(sentAt)
                        PEPPERGATE_FIELD(have) PEPPERGATE_FIELD_AS(requestsGrant, "grant"))
};

struct ReadLeaseReply {
  CoreId voter;
  MonotonicTime sentAt;
  bool granted = false;
  bool canVote = false;           // its disk is usable, so it takes part in votes
  bool hasIntactReplica = false;  // it belongs to the view and has a replica written for it
  bool hadPrimaryProof = false;   // it had a primary's proof since its process started
  CoreId conflictingHolder;       // the holder of a conflicting lease, if any
  SectionVersions now;
  std::string setup, keys, weights;  // where the requester is behind
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(voter) PEPPERGATE_FIELD(sentAt) PEPPERGATE_FIELD(granted)
                        PEPPERGATE_FIELD_AS(canVote, "votes")
                            PEPPERGATE_FIELD_AS(hasIntactReplica, "intact")
                                PEPPERGATE_FIELD_AS(hadPrimaryProof, "proven")
                                    PEPPERGATE_FIELD_AS(conflictingHolder, "grantedTo")
                                        PEPPERGATE_FIELD(now) PEPPERGATE_FIELD(setup)
                                            PEPPERGATE_FIELD(keys) PEPPERGATE_FIELD(weights))
};

struct ReadLeaderNotification {  // announces a read-only leader where no primary is reachable
  CoreId readOnlyLeader;
  Epoch epoch;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(readOnlyLeader) PEPPERGATE_FIELD_AS(epoch, "view"))
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
  kDryRun,
  kReadOnly,
};

struct ChangeRequest {
  TicketId ticket;
  std::string changeId;
  std::string change;  // JSON; contains key digests, never keys
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(ticket) PEPPERGATE_FIELD(changeId) PEPPERGATE_FIELD(change))
};

struct ChangeReply {
  TicketId ticket;       // of the requesting daemon, possibly from before its restart
  std::string changeId;  // of the change that this replies to
  ChangeOutcome outcome = ChangeOutcome::kLost;
  SectionVersion version;
  std::string field;  // path of the invalid field, if any
  std::string detail;
  std::uint64_t currentConfigVersion =
      0;  // current configuration version, if the change had another base
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(ticket) PEPPERGATE_FIELD(changeId) PEPPERGATE_FIELD(outcome)
                        PEPPERGATE_FIELD(version) PEPPERGATE_FIELD(field) PEPPERGATE_FIELD(detail)
                            PEPPERGATE_FIELD_AS(currentConfigVersion, "newest"))
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

/// A prefix block that an engine caches, as reported by the member that watches the engine.
struct CachedPrefixBlock {
  PrefixBlockName name;
  CacheDomain cacheDomain;
  WeightsVersion weights;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(name) PEPPERGATE_FIELD_AS(cacheDomain, "wall")
                        PEPPERGATE_FIELD(weights))
};

struct EngineSnapshot {
  EngineId engine;
  EngineLife life;
  WeightsVersion weights;
  std::uint64_t revision = 0;        // the engine's own change counter
  Duration age;                      // since this state was observed
  std::uint64_t runningStreams = 0;  // running streams
  bool ready = false;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(engine) PEPPERGATE_FIELD(life) PEPPERGATE_FIELD(weights)
                        PEPPERGATE_FIELD(revision) PEPPERGATE_FIELD(age)
                            PEPPERGATE_FIELD_AS(runningStreams, "usage") PEPPERGATE_FIELD(ready))
};

struct EngineSnapshotNotification {  // the state of the watched engines, sent to every router
  MemberId watcher;
  std::vector<EngineSnapshot> snapshots;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(watcher) PEPPERGATE_FIELD_AS(snapshots, "pictures"))
};

struct PrefixIndexUpdate {  // the blocks that an engine caches, sent to the replicas of its index
                            // entries
  EngineId engine;
  EngineLife life;
  std::uint64_t revision = 0;
  std::vector<CachedPrefixBlock> blocks;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(engine) PEPPERGATE_FIELD(life) PEPPERGATE_FIELD(revision)
                        PEPPERGATE_FIELD_AS(blocks, "parts"))
};

struct PrefixIndexRequest {  // requests entries newer than this, for anti-entropy sweeps and reads
  EngineId engine;
  EngineLife life;
  std::uint64_t revision = 0;
  PEPPERGATE_FIELDS(PEPPERGATE_FIELD(engine) PEPPERGATE_FIELD(life) PEPPERGATE_FIELD(revision))
};

using Message =
    std::variant<Shuffle, PrepareRequest, PrepareReply, AcceptRequest, AcceptReply,
                 ReplicateRequest, ReplicateReply, StateRequest, StateReply, ChangeRequest,
                 ChangeReply, EngineLeaseRequest, EngineLeaseReply, EngineListUpdate,
                 EngineListRequest, EngineSnapshotNotification, PrefixIndexUpdate,
                 PrefixIndexRequest, LinkUsageNotification, WitnessUpdateRequest,
                 WitnessUpdateReply, ReadLeaseRequest, ReadLeaseReply, ReadLeaderNotification,
                 PrefixBlockUpdate, DiscoveredEnginesUpdate, DiscoveredEnginesRequest,
                 EngineFailureReport, EngineUsageNotification, PrefixBlockRequest>;

}  // namespace peppergate
