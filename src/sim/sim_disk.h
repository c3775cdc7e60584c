#pragma once
// A simulated disk with one directory, at the level of system calls. Reads see every earlier call.
// A power loss keeps what a sync covered; each other write and each other change of the directory
// independently survives, is lost or is torn.
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"

namespace peppergate {

/// How a disk behaves. The caller, which simulates time, implements `kSlow` and `kStalled`.
enum class DiskMode : std::uint8_t {
  kGood,
  kSlow,         // each call takes longer by a factor
  kStalled,      // calls block until the mode ends and are then carried out
  kFailingSync,  // a sync returns an error and may have covered anything or nothing
  kFull,         // every write fails; other calls succeed
};

/// One directory of files. It belongs to a machine: files outlive its processes. Not thread-safe.
class SimDisk {
 public:
  /// Truncates a file; creates it if there is none.
  void truncate(const std::string& name);
  /// Appends bytes to a file; does nothing if there is none.
  void append(const std::string& name, std::string_view bytes);
  /// Makes a file's content durable. Its name is durable only after `syncFolder`.
  void sync(const std::string& name);
  /// Renames a file and replaces any file of the new name. Returns false if there is no such file.
  bool rename(const std::string& from, const std::string& to);
  /// Removes a file. Returns false if there is none.
  bool remove(const std::string& name);
  /// Makes all names, and the removal of names, durable.
  void syncFolder();
  /// Makes everything durable, for a loader that must not act on what a power loss can undo.
  void syncAll();

  /// The files as a process reads them.
  std::map<std::string, std::string> files() const;
  /// The sorted names of the files.
  std::vector<std::string> names() const;
  bool empty() const { return names_.empty(); }
  /// Simulates a power loss: each change that no sync covered independently survives, is lost or is
  /// torn. In one of four losses all such changes are lost, and in one of four all survive.
  void losePower(Random& random);
  /// Replaces the disk by an empty one.
  void wipe();

 private:
  struct Write {
    bool truncates = false;
    std::size_t offset = 0;
    std::string bytes;
  };
  struct Inode {
    std::string content;  // as read by a process
    std::string synced;   // as of the last sync
    std::vector<Write> unsynced;
  };
  using InodePointer = std::shared_ptr<Inode>;
  using Names = std::map<std::string, InodePointer>;
  enum class NameChangeKind : std::uint8_t { kCreated, kRenamed, kRemoved };
  struct NameChange {
    NameChangeKind kind;
    std::string name;  // the name made or removed, or the new name of a rename
    std::string from;  // the old name of a rename
    InodePointer inode;
  };
  enum class PowerLossOutcome : std::uint8_t { kAllLost, kAllSurvive, kIndependent };

  static void apply(const Write& write, std::string& content);
  static std::string contentAfterPowerLoss(const Inode& inode, PowerLossOutcome outcome,
                                           Random& random);
  static void applyAfterPowerLoss(const NameChange& change, PowerLossOutcome outcome,
                                  Random& random, Names& names);

  Names names_;        // as read by a process
  Names syncedNames_;  // as of the last sync of the directory
  std::vector<NameChange> unsyncedNames_;
};

}  // namespace peppergate
