#pragma once
// Carries out a process's file commands on its machine's simulated disk, step by step and one after
// the other, as io/disk_task does on a real one: write aside, sync, rename, sync the folder.
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

/// A machine's disk with its condition.
struct SimDrive {
  SimDisk disk;
  DiskMode mode = DiskMode::kGood;
  double slowness = 0;  // the factor of `kSlow`; 0: 150 to 650 ms for each file
};

/// One process's file commands. It ends with the process: what was done by then stays done. Its
/// owner keeps it in a shared pointer, so that steps under way notice its end.
class SimDiskTask : public std::enable_shared_from_this<SimDiskTask> {
 public:
  using Answer = std::function<void(const FileWritten&)>;
  /// `isFrozen` tells whether the process stands still; no new step is begun then.
  SimDiskTask(EventQueue& queue, Random& random, SimDrive& drive, std::function<bool()> isFrozen,
              Answer answer);

  void write(WriteFile command);
  void dropOlder(DropOlder command);

 private:
  using Job = std::variant<WriteFile, DropOlder>;
  enum class Step : std::uint8_t { kFirstHalf, kSecondHalf, kSync, kRename, kSyncFolder };

  void push(Job job);
  void next();
  void begin();
  void schedule(Step step, Duration delay);
  void carryOut(Step step);
  void carryOut(const DropOlder& command);
  void finish(bool synced);
  Duration drawTime();
  const WriteFile& current() const { return std::get<WriteFile>(jobs_.front()); }

  EventQueue& queue_;
  Random& random_;
  SimDrive& drive_;
  std::function<bool()> isFrozen_;
  Answer answer_;
  std::deque<Job> jobs_;
  bool writing_ = false;
  Duration stepTime_, lastStepTime_;
};

/// The files that a process finds at its start, as the product's loader leaves them: what never got
/// its name is removed, and what is read is made to last first.
std::map<std::string, std::string> loadFiles(SimDisk& disk);

}  // namespace peppergate
