// The part of Leadership that stores acknowledged state at a majority of the voters.
#include "core/leadership.h"

namespace peppergate {

const ControlState* Leadership::intactReplica(const View& view) const {
  bool intact = isMember(view, self()) && replica_.tag.value != 0 &&
                replica_.tag >= view.baseEpoch && !diskSuspect_;
  return intact ? &replica_.state : nullptr;
}

bool Leadership::isWitnessed(const ControlState& state) const {
  return witnessedState_ && witnessedState_->version() == state.version() &&
         isMajority(witnesses_, view_.voters);
}

void Leadership::requestWitnesses(const ControlState& state, Outbox& outbox) {
  witnessedState_ = state;
  witnesses_ = {self()};
  if (!unconfirmed_ && allSynced(view_))
    witnesses_.insert(view_.backups.begin(), view_.backups.end());
  sendWitnessUpdates(false, outbox);
}

void Leadership::sendWitnessUpdates(bool allSections, Outbox& outbox) {
  WitnessUpdateRequest request;
  request.epoch = view_.epoch;
  request.version = witnessedState_->version();
  request.now = witnessedState_->sections();
  // A majority of the voters has the state published before; a voter that lacks it says so.
  SectionVersions previousVersions = allSections ? SectionVersions{} : published_.sections();
  if (request.now.setup > previousVersions.setup) request.setup = witnessedState_->setupText();
  if (request.now.keys > previousVersions.keys) request.keys = witnessedState_->keysText();
  if (request.now.weights > previousVersions.weights)
    request.weights = witnessedState_->weightsText();
  for (CoreId voter : view_.voters)
    if (voter != self() && !witnesses_.contains(voter))
      outbox.send(membership_.addressOf(voter), request);
  outbox.count("holders.asked");
}

void Leadership::showIfWitnessed(MonotonicTime now, Outbox& outbox) {
  if (publishedIsWitnessed_ || !isWitnessed(published_)) return;
  publishedIsWitnessed_ = true;
  publishedAt_ = now;  // a repeated change waits for the routers as the first one did
  outbox.count("holders.named");
}

void Leadership::handle(const WitnessUpdateReply& reply, MonotonicTime now, Outbox& outbox) {
  if (!leading_ || !witnessedState_ || reply.version != witnessedState_->version()) return;
  const SectionVersions wanted = witnessedState_->sections();
  bool hasAllSections = reply.have.setup >= wanted.setup && reply.have.keys >= wanted.keys &&
                        reply.have.weights >= wanted.weights;
  if (!hasAllSections) return;  // it gets all sections with the next renewal
  witnesses_.insert(reply.voter);
  if (!isMajority(witnesses_, view_.voters)) return;
  showIfWitnessed(now, outbox);
  if (batchState_ && witnessedState_->version() == batchState_->version()) finishBatch(now, outbox);
}

}  // namespace peppergate
