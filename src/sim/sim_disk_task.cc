#include "sim/sim_disk_task.h"

#include <utility>
#include <vector>

namespace peppergate {
namespace {

constexpr std::int64_t kSteps = 5;
constexpr std::uint64_t kMaxWriteMilliseconds = 4;      // longest write of a file on a healthy disk
constexpr Duration kRetryWhenFull = milliseconds(200);  // as io/disk_task does
constexpr Duration kStallPollInterval =
    milliseconds(100);  // polling interval for the end of a hang
constexpr std::string_view kTemporarySuffix = ".aside";

std::string temporaryName(const std::string& name) { return name + std::string(kTemporarySuffix); }

}  // namespace

SimDiskTask::SimDiskTask(EventQueue& queue, Random& random, SimDrive& drive,
                         std::function<bool()> isFrozen, Answer answer)
    : queue_(queue),
      random_(random),
      drive_(drive),
      isFrozen_(std::move(isFrozen)),
      answer_(std::move(answer)) {}

void SimDiskTask::write(WriteFile command) { enqueue(std::move(command)); }

void SimDiskTask::removeOlderFiles(RemoveOlderFiles command) { enqueue(std::move(command)); }

void SimDiskTask::enqueue(Job job) {
  jobs_.push_back(std::move(job));
  if (!writing_) runNext();
}

void SimDiskTask::runNext() {
  while (!jobs_.empty()) {
    if (std::holds_alternative<WriteFile>(jobs_.front())) return beginWrite();
    execute(std::get<RemoveOlderFiles>(jobs_.front()));
    jobs_.pop_front();
  }
}

Duration SimDiskTask::drawWriteTime() {
  Duration time = milliseconds(1 + static_cast<std::int64_t>(random_.below(kMaxWriteMilliseconds)));
  if (drive_.mode != DiskMode::kSlow) return time;
  if (drive_.slowdownFactor > 0) return time * drive_.slowdownFactor;
  return milliseconds(150 + static_cast<std::int64_t>(random_.below(500)));
}

void SimDiskTask::beginWrite() {
  writing_ = true;
  Duration time = drawWriteTime();
  stepTime_ = Duration{time.microseconds / kSteps};
  lastStepTime_ = time - stepTime_ * static_cast<double>(kSteps - 1);
  schedule(Step::kFirstHalf, stepTime_);
}

void SimDiskTask::schedule(Step step, Duration delay) {
  queue_.scheduleAfter(delay, [self = weak_from_this(), step] {
    if (auto task = self.lock()) task->execute(step);
  });
}

void SimDiskTask::execute(Step step) {
  if (drive_.mode == DiskMode::kStalled || isFrozen_()) return schedule(step, kStallPollInterval);
  const WriteFile& command = currentWrite();
  const std::string temporary = temporaryName(command.name);
  SimDisk& disk = drive_.disk;
  const std::size_t half = command.content.size() / 2;
  switch (step) {
    case Step::kFirstHalf:
      // On a full disk nothing changes; the write is retried until there is space.
      if (drive_.mode == DiskMode::kFull) return schedule(step, kRetryWhenFull);
      disk.truncate(temporary);
      disk.append(temporary, std::string_view(command.content).substr(0, half));
      return schedule(Step::kSecondHalf, stepTime_);
    case Step::kSecondHalf:
      if (drive_.mode == DiskMode::kFull) {
        disk.remove(temporary);  // frees its space
        return schedule(Step::kFirstHalf, kRetryWhenFull);
      }
      disk.append(temporary, std::string_view(command.content).substr(half));
      return schedule(Step::kSync, stepTime_);
    case Step::kSync:
      if (drive_.mode == DiskMode::kFailingSync && random_.below(2) == 0) return finishWrite(false);
      disk.sync(temporary);
      return schedule(Step::kRename, stepTime_);
    case Step::kRename:
      disk.rename(temporary, command.name);
      return schedule(Step::kSyncFolder, lastStepTime_);
    case Step::kSyncFolder:
      if (drive_.mode == DiskMode::kFailingSync) return finishWrite(false);
      disk.syncFolder();
      return finishWrite(true);
  }
}

void SimDiskTask::finishWrite(bool synced) {
  TicketId ticket = currentWrite().ticket;
  jobs_.pop_front();
  writing_ = false;
  auto self = shared_from_this();  // keeps this alive: the answer may end the process
  answer_(FileWritten{ticket, synced});
  if (!writing_) runNext();
}

void SimDiskTask::execute(const RemoveOlderFiles& command) {
  std::vector<std::string> names;
  for (const auto& name : drive_.disk.names())
    if (name.starts_with(command.prefix + ".") && !name.ends_with(kTemporarySuffix))
      names.push_back(name);
  for (std::size_t index = 0; index + command.keep < names.size(); ++index)
    drive_.disk.remove(names[index]);
}

std::map<std::string, std::string> loadFiles(SimDisk& disk) {
  for (const auto& name : disk.names())
    if (name.ends_with(kTemporarySuffix)) disk.remove(name);
  disk.syncAll();
  return disk.files();
}

}  // namespace peppergate
