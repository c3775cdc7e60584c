#pragma once
// Executes a process's file commands on its machine's simulated disk, one after the other and in
// the steps of io/disk_task: write a temporary file, sync it, rename it, sync the directory.
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "core/outbox.h"
#include "sim/event_queue.h"
#include "sim/sim_disk.h"

namespace peppergate {

/// A machine's disk with its fault state.
struct SimDrive {
  SimDisk disk;
  DiskMode mode = DiskMode::kGood;
  double slowdownFactor = 0;  // slowdown factor of `kSlow`; 0: 150 to 650 ms for each file
};

/// The queue of one process's file commands. It ends with the process; completed steps remain on
/// the disk. Its owner holds it in a shared pointer, so that scheduled steps notice its end.
class SimDiskTask : public std::enable_shared_from_this<SimDiskTask> {
 public:
  using Answer = std::function<void(const FileWritten&)>;
  /// No new step begins while `isFrozen` returns true.
  SimDiskTask(EventQueue& queue, Random& random, SimDrive& drive, std::function<bool()> isFrozen,
              Answer answer);

  void write(WriteFile command);
  void removeOlderFiles(RemoveOlderFiles command);

 private:
  using Job = std::variant<WriteFile, RemoveOlderFiles>;
  enum class Step : std::uint8_t { kFirstHalf, kSecondHalf, kSync, kRename, kSyncFolder };

  void enqueue(Job job);
  void runNext();
  void beginWrite();
  void schedule(Step step, Duration delay);
  void execute(Step step);
  void execute(const RemoveOlderFiles& command);
  void finishWrite(bool synced);
  Duration drawWriteTime();
  const WriteFile& currentWrite() const { return std::get<WriteFile>(jobs_.front()); }

  EventQueue& queue_;
  Random& random_;
  SimDrive& drive_;
  std::function<bool()> isFrozen_;
  Answer answer_;
  std::deque<Job> jobs_;
  bool writing_ = false;
  Duration stepTime_, lastStepTime_;
};

/// Loads the files at the start of a process as the product's loader does: removes temporary files
/// and syncs everything before reading it.
std::map<std::string, std::string> loadFiles(SimDisk& disk);

}  // namespace peppergate
