// The part of Leadership that has a majority of the voters hold what is acknowledged.
#include "core/leadership.h"

namespace peppergate {

const ControlState* Leadership::intactCopy(const View& view) const {
  bool intact = isMember(view, self()) && copy_.tag.value != 0 && copy_.tag >= view.base && !suspect_;
  return intact ? &copy_.state : nullptr;
}

bool Leadership::held(const ControlState& state) const {
  return heldState_ && heldState_->version() == state.version() &&
         majority(holders_, view_.voters);
}

void Leadership::askHolders(const ControlState& state, Outbox& outbox) {
  heldState_ = state;
  holders_ = {self()};
  if (!unconfirmed_ && allSynced(view_)) holders_.insert(view_.backups.begin(), view_.backups.end());
  tellHolders(false, outbox);
}

void Leadership::tellHolders(bool whole, Outbox& outbox) {
  HolderAsk ask;
  ask.epoch = view_.epoch;
  ask.version = heldState_->version();
  ask.now = heldState_->sections();
  // What was published before is with most voters already; who lacks it says so.
  SectionVersions before = whole ? SectionVersions{} : published_.sections();
  if (ask.now.setup > before.setup) ask.setup = heldState_->setupText();
  if (ask.now.keys > before.keys) ask.keys = heldState_->keysText();
  if (ask.now.weights > before.weights) ask.weights = heldState_->weightsText();
  for (CoreId voter : view_.voters)
    if (voter != self() && !holders_.contains(voter))
      outbox.send(membership_.addressOf(voter), ask);
  outbox.count("holders.asked");
}

void Leadership::hear(const HolderAnswer& answer, MonotonicTime now, Outbox& outbox) {
  if (!settledHere_ || !heldState_ || answer.version != heldState_->version()) return;
  const SectionVersions wanted = heldState_->sections();
  bool whole = answer.have.setup >= wanted.setup && answer.have.keys >= wanted.keys &&
               answer.have.weights >= wanted.weights;
  if (!whole) return;  // it gets everything with the next renewal
  holders_.insert(answer.voter);
  if (!majority(holders_, view_.voters)) return;
  if (heldState_->version() == published_.version() && !named_) {
    named_ = true;
    outbox.count("holders.named");
  }
  if (batchState_ && heldState_->version() == batchState_->version()) finishBatch(now, outbox);
}

}  // namespace peppergate
