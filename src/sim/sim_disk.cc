#include "sim/sim_disk.h"

#include <algorithm>
#include <utility>

namespace peppergate {

void SimDisk::apply(const Write& write, std::string& content) {
  if (write.truncates) {
    content.clear();
    return;
  }
  // A later write may have survived where an earlier one didn't: the gap reads as zeros.
  std::size_t end = write.offset + write.bytes.size();
  if (content.size() < end) content.resize(end, '\0');
  content.replace(write.offset, write.bytes.size(), write.bytes);
}

void SimDisk::truncate(const std::string& name) {
  InodePointer& inode = names_[name];
  if (inode == nullptr) {
    inode = std::make_shared<Inode>();
    unsyncedNames_.push_back({NameChangeKind::kCreated, name, {}, inode});
    return;
  }
  Write write;
  write.truncates = true;
  apply(write, inode->content);
  inode->unsynced.push_back(std::move(write));
}

void SimDisk::append(const std::string& name, std::string_view bytes) {
  auto found = names_.find(name);
  if (found == names_.end()) return;
  Inode& inode = *found->second;
  Write write;
  write.offset = inode.content.size();
  write.bytes = bytes;
  apply(write, inode.content);
  inode.unsynced.push_back(std::move(write));
}

void SimDisk::sync(const std::string& name) {
  auto found = names_.find(name);
  if (found == names_.end()) return;
  Inode& inode = *found->second;
  inode.synced = inode.content;
  inode.unsynced.clear();
}

bool SimDisk::rename(const std::string& from, const std::string& to) {
  auto found = names_.find(from);
  if (found == names_.end()) return false;
  InodePointer inode = found->second;
  names_.erase(found);
  names_[to] = inode;
  unsyncedNames_.push_back({NameChangeKind::kRenamed, to, from, inode});
  return true;
}

bool SimDisk::remove(const std::string& name) {
  if (names_.erase(name) == 0) return false;
  unsyncedNames_.push_back({NameChangeKind::kRemoved, name, {}, nullptr});
  return true;
}

void SimDisk::syncFolder() {
  syncedNames_ = names_;
  unsyncedNames_.clear();
}

void SimDisk::syncAll() {
  for (const auto& [name, inode] : names_) sync(name);
  syncFolder();
}

std::map<std::string, std::string> SimDisk::files() const {
  std::map<std::string, std::string> files;
  for (const auto& [name, inode] : names_) files[name] = inode->content;
  return files;
}

std::vector<std::string> SimDisk::names() const {
  std::vector<std::string> names;
  for (const auto& [name, inode] : names_) names.push_back(name);
  return names;
}

std::string SimDisk::contentAfterPowerLoss(const Inode& inode, PowerLossOutcome outcome,
                                           Random& random) {
  std::string content = inode.synced;
  for (const Write& write : inode.unsynced) {
    std::uint64_t fate = outcome == PowerLossOutcome::kIndependent ? random.below(4) : 0;
    if (outcome == PowerLossOutcome::kAllLost || fate == 3) continue;
    Write kept = write;
    if (fate == 1) {  // only a prefix was written
      kept.bytes.resize(random.below(kept.bytes.size() + 1));
    } else if (fate == 2 && !kept.bytes.empty()) {  // a range within it was not written
      std::size_t from = random.below(kept.bytes.size());
      std::size_t size = 1 + random.below(kept.bytes.size() - from);
      std::fill_n(kept.bytes.begin() + static_cast<std::ptrdiff_t>(from), size, '\0');
    }
    apply(kept, content);
  }
  return content;
}

void SimDisk::applyAfterPowerLoss(const NameChange& change, PowerLossOutcome outcome,
                                  Random& random, Names& names) {
  std::uint64_t fate = outcome == PowerLossOutcome::kIndependent ? random.below(4) : 0;
  if (outcome == PowerLossOutcome::kAllLost || fate == 3) return;
  if (change.kind == NameChangeKind::kRemoved) {
    names.erase(change.name);
    return;
  }
  // A torn rename leaves both names.
  if (change.kind == NameChangeKind::kRenamed && fate != 2) names.erase(change.from);
  names[change.name] = change.inode;
}

void SimDisk::losePower(Random& random) {
  std::uint64_t drawn = random.below(4);
  PowerLossOutcome outcome = drawn == 0   ? PowerLossOutcome::kAllLost
                             : drawn == 1 ? PowerLossOutcome::kAllSurvive
                                          : PowerLossOutcome::kIndependent;
  Names names = syncedNames_;
  for (const NameChange& change : unsyncedNames_)
    applyAfterPowerLoss(change, outcome, random, names);
  names_.clear();
  std::map<const Inode*, InodePointer> kept;  // two names of one file still share it
  for (const auto& [name, inode] : names) {
    InodePointer& after = kept[inode.get()];
    if (after == nullptr) {
      after = std::make_shared<Inode>();
      after->content = after->synced = contentAfterPowerLoss(*inode, outcome, random);
    }
    names_[name] = after;
  }
  syncedNames_ = names_;
  unsyncedNames_.clear();
}

void SimDisk::wipe() {
  names_.clear();
  syncedNames_.clear();
  unsyncedNames_.clear();
}

}  // namespace peppergate
