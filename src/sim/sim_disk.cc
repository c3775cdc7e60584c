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
    unsyncedNames_.push_back({NameChangeKind::kMade, name, {}, inode});
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

std::string SimDisk::afterPowerLoss(const Inode& inode, Luck luck, Random& random) {
  std::string content = inode.synced;
  for (const Write& write : inode.unsynced) {
    std::uint64_t fate = luck == Luck::kEachAlone ? random.below(4) : 0;
    if (luck == Luck::kAllVanish || fate == 3) continue;
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

void SimDisk::survive(const NameChange& change, Luck luck, Random& random, Names& names) {
  std::uint64_t fate = luck == Luck::kEachAlone ? random.below(4) : 0;
  if (luck == Luck::kAllVanish || fate == 3) return;
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
  Luck luck = drawn == 0 ? Luck::kAllVanish : drawn == 1 ? Luck::kAllSurvive : Luck::kEachAlone;
  Names names = syncedNames_;
  for (const NameChange& change : unsyncedNames_) survive(change, luck, random, names);
  names_.clear();
  std::map<const Inode*, InodePointer> kept;  // two names of one file still share it
  for (const auto& [name, inode] : names) {
    InodePointer& after = kept[inode.get()];
    if (after == nullptr) {
      after = std::make_shared<Inode>();
      after->content = after->synced = afterPowerLoss(*inode, luck, random);
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
