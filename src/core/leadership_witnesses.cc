// The part of Leadership that stores acknowledged state at a majority of the voters.
#include "core/leadership.h"

namespace peppergate {

const ControlState* Leadership::intactReplica(const View& view) const {
  bool intact =
      isMember(view, self()) && replica_.tag.value != 0 && replica_.tag >= view.base && !suspect_;
  return intact ? &replica_.state : nullptr;
}

bool Leadership::witnessed(const ControlState& state) const {
  return witnessedState_ && witnessedState_->version() == state.version() &&
         majority(witnesses_, view_.voters);
}

void Leadership::requestWitnesses(const ControlState& state, Outbox& outbox) {
  witnessedState_ = state;
  witnesses_ = {self()};
  if (!unconfirmed_ && allSynced(view_))
    witnesses_.insert(view_.backups.begin(), view_.backups.end());
  updateWitnesses(false, outbox);
}

void Leadership::updateWitnesses(bool whole, Outbox& outbox) {
  WitnessUpdateRequest ask;
  ask.epoch = view_.epoch;
  ask.version = witnessedState_->version();
  ask.now = witnessedState_->sections();
  // A majority of the voters has the state published before; a voter that lacks it says so.
  SectionVersions before = whole ? SectionVersions{} : published_.sections();
  if (ask.now.setup > before.setup) ask.setup = witnessedState_->setupText();
  if (ask.now.keys > before.keys) ask.keys = witnessedState_->keysText();
  if (ask.now.weights > before.weights) ask.weights = witnessedState_->weightsText();
  for (CoreId voter : view_.voters)
    if (voter != self() && !witnesses_.contains(voter))
      outbox.send(membership_.addressOf(voter), ask);
  outbox.count("holders.asked");
}

void Leadership::nameIfWitnessed(MonotonicTime now, Outbox& outbox) {
  if (named_ || !witnessed(published_)) return;
  named_ = true;
  publishedAt_ = now;  // a repeated change waits for the routers as the first one did
  outbox.count("holders.named");
}

void Leadership::hear(const WitnessUpdateReply& answer, MonotonicTime now, Outbox& outbox) {
  if (!leading_ || !witnessedState_ || answer.version != witnessedState_->version()) return;
  const SectionVersions wanted = witnessedState_->sections();
  bool whole = answer.have.setup >= wanted.setup && answer.have.keys >= wanted.keys &&
               answer.have.weights >= wanted.weights;
  if (!whole) return;  // it gets all sections with the next renewal
  witnesses_.insert(answer.voter);
  if (!majority(witnesses_, view_.voters)) return;
  nameIfWitnessed(now, outbox);
  if (batchState_ && witnessedState_->version() == batchState_->version()) finishBatch(now, outbox);
}

}  // namespace peppergate
