#pragma once
// A task of its own for the disk: files are written aside, synced, renamed, the folder synced.
#include <absl/status/statusor.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <variant>
#include <vector>

#include "core/outbox.h"

namespace peppergate {

/// How the file layer is to fail in a rehearsal.
enum class DiskFault : std::uint8_t { kNone, kSlow, kStall, kFull, kFailSync };

/// The calls that writing a file is made of, so that a test can let each of them fail.
struct FileCalls {
  int (*openFile)(const char* path, int flags, unsigned mode);
  long (*writeSome)(int descriptor, const void* data, std::size_t size);
  int (*syncFile)(int descriptor);
  int (*closeFile)(int descriptor);
  int (*renameFile)(const char* from, const char* to);
  int (*removeFile)(const char* path) = &removeName;
  std::vector<std::string> (*listFolder)(const char* path) = &namesIn;
  std::string (*readFile)(const char* path) = &contentOf;

 private:
  static int removeName(const char* path);
  static std::vector<std::string> namesIn(const char* path);
  static std::string contentOf(const char* path);
};
/// The system's own. Example: `writeFile(systemCalls(), folder, "a", "b")`.
const FileCalls& systemCalls();
/// Writes aside, syncs, renames, syncs the folder; `kResourceExhausted` where there was no space
/// and nothing was changed, any other error where the disk can't be trusted any more.
/// Example: `writeFile(systemCalls(), "/var/lib/peppergate", "voter.1", text).ok()`.
absl::Status writeFile(const FileCalls& calls, const std::string& folder, const std::string& name,
                       std::string_view content);

/// Example: `DiskTask disk(folder, [&](FileWritten done) { loop.post(...); });`
class DiskTask {
 public:
  using Answer = std::function<void(const FileWritten&)>;
  /// `calls` must outlive it; only tests give others than the system's.
  DiskTask(std::string folder, Answer answer, const FileCalls& calls = systemCalls());
  ~DiskTask();
  DiskTask(const DiskTask&) = delete;
  DiskTask& operator=(const DiskTask&) = delete;

  /// Checks that the folder can be written, and reads its files. What never got its name is
  /// removed. The names that are read are made to last first: a process may have ended between a
  /// rename and the sync of the folder, and what is acted on from now on must not be undone by a
  /// power loss. A full disk is read all the same.
  static absl::StatusOr<std::map<std::string, std::string>> load(
      const std::string& folder, const FileCalls& calls = systemCalls());
  /// Writes one file at once, for a new disk's identity. Example: `writeNow(folder, "a", "b")`.
  static absl::Status writeNow(const std::string& folder, const std::string& name,
                               const std::string& content);
  void write(WriteFile command);
  void dropOlder(DropOlder command);
  /// Fails from now on as told. Example: in a rehearsal.
  void fault(DiskFault fault);

 private:
  using Job = std::variant<WriteFile, DropOlder>;
  void work();
  void push(Job job);
  absl::Status carryOut(const WriteFile& command);
  absl::Status writeOnce(const WriteFile& command);
  void carryOut(const DropOlder& command);

  std::string folder_;
  Answer answer_;
  const FileCalls& calls_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  DiskFault fault_ = DiskFault::kNone;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace peppergate
