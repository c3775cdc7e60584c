#pragma once
// A simulated disk with one folder, at the level of system calls. A process that reads sees every
// call that was made. A power loss keeps what a sync covered; of everything else, each write and
// each change of the folder survives, vanishes or is torn by itself.
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"

namespace peppergate {

/// How a disk behaves. The caller that simulates time carries out `kSlow` and `kHanging`.
enum class DiskMode : std::uint8_t {
  kGood,
  kSlow,         // each call takes longer by a factor
  kHanging,      // calls don't return until the mode ends; then they are carried out
  kFailingSync,  // a sync returns an error and may have covered anything or nothing
  kFull,         // every write is refused, nothing else
};

/// One folder of files. It belongs to a machine: files outlive its processes. Not thread-safe.
class SimDisk {
 public:
  /// Opens a file for writing with no content; makes it if there is none.
  void truncate(const std::string& name);
  /// Adds bytes at the end of a file that exists; does nothing to one that doesn't.
  void append(const std::string& name, std::string_view bytes);
  /// Makes a file's content last. The name lasts only once the folder is synced.
  void sync(const std::string& name);
  /// Gives a file another name; a file that had that name is gone. False if there is none.
  bool rename(const std::string& from, const std::string& to);
  /// Removes a name. False if there is none.
  bool remove(const std::string& name);
  /// Makes all names, and the absence of those removed, last.
  void syncFolder();
  /// Makes everything last, as a loader does that must not act on what a power loss can take back.
  void syncAll();

  /// The files as a process reads them now.
  std::map<std::string, std::string> files() const;
  /// Their names, in order.
  std::vector<std::string> names() const;
  bool empty() const { return names_.empty(); }
  /// Power is lost: each change that no sync covered survives, vanishes or is torn by itself. At
  /// one loss of four all such changes vanish, and at one of four all survive.
  void losePower(Random& random);
  /// The disk is replaced by an empty one.
  void wipe();

 private:
  struct Write {
    bool truncates = false;
    std::size_t offset = 0;
    std::string bytes;
  };
  struct Inode {
    std::string content;  // as read now
    std::string synced;   // as the last sync left it
    std::vector<Write> unsynced;
  };
  using InodePointer = std::shared_ptr<Inode>;
  using Names = std::map<std::string, InodePointer>;
  enum class NameChangeKind : std::uint8_t { kMade, kRenamed, kRemoved };
  struct NameChange {
    NameChangeKind kind;
    std::string name;  // that was made or removed, or the new one
    std::string from;  // the old one of a rename
    InodePointer inode;
  };
  enum class Luck : std::uint8_t { kAllVanish, kAllSurvive, kEachAlone };

  static void apply(const Write& write, std::string& content);
  static std::string afterPowerLoss(const Inode& inode, Luck luck, Random& random);
  static void survive(const NameChange& change, Luck luck, Random& random, Names& names);

  Names names_;        // as read now
  Names syncedNames_;  // as the last sync of the folder left them
  std::vector<NameChange> unsyncedNames_;
};

}  // namespace peppergate
