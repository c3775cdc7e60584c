#pragma once
// Durable file writes on a thread of their own: each file is written under a temporary name, synced
// and renamed, then the folder is synced.
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

/// An injected fault of the disk.
enum class DiskFault : std::uint8_t { kNone, kSlow, kStall, kFull, kFailSync };

/// The file system calls that are used, so that a test can make each of them fail.
struct FileCalls {
  int (*openFile)(const char* path, int flags, unsigned mode);
  long (*writeSome)(int descriptor, const void* data, std::size_t size);
  int (*syncFile)(int descriptor);
  int (*closeFile)(int descriptor);
  int (*renameFile)(const char* from, const char* to);
  int (*removeFile)(const char* path) = &removePath;
  std::vector<std::string> (*listFolder)(const char* path) = &listDirectory;
  std::string (*readFile)(const char* path) = &readWholeFile;

 private:
  static int removePath(const char* path);
  static std::vector<std::string> listDirectory(const char* path);
  static std::string readWholeFile(const char* path);
};
/// The operating system's file system calls.
const FileCalls& systemCalls();
/// Replaces a file durably: writes a temporary file, syncs it, renames it, syncs the folder. The
/// error is `kResourceExhausted` if the disk was full and nothing was changed; after any other
/// error the contents of the disk are unknown.
absl::Status writeFile(const FileCalls& calls, const std::string& folder, const std::string& name,
                       std::string_view content);

/// Carries out write commands in order on its own thread, which also calls the completion handler.
class DiskWriter {
 public:
  using WrittenHandler = std::function<void(const FileWritten&)>;
  /// The file system calls must outlive it; only tests replace the system's.
  DiskWriter(std::string folder, WrittenHandler onWritten, const FileCalls& calls = systemCalls());
  ~DiskWriter();
  DiskWriter(const DiskWriter&) = delete;
  DiskWriter& operator=(const DiskWriter&) = delete;

  /// Checks that the folder is writable, removes temporary files that were never renamed, and reads
  /// the others. The folder is synced before the contents are returned: an earlier process may have
  /// ended between a rename and the sync of the folder, and contents that are acted on must not be
  /// undone by a power loss. A full disk is no error.
  static absl::StatusOr<std::map<std::string, std::string>> load(
      const std::string& folder, const FileCalls& calls = systemCalls());
  /// Writes one file on the calling thread; used for the identity file of a new disk.
  static absl::Status writeNow(const std::string& folder, const std::string& name,
                               const std::string& content);
  void write(WriteFile command);
  void removeOlderFiles(RemoveOlderFiles command);
  /// Injects a fault into all later writes.
  void injectFault(DiskFault fault);

 private:
  using Job = std::variant<WriteFile, RemoveOlderFiles>;
  void run();
  void enqueue(Job job);
  absl::Status execute(const WriteFile& command);
  absl::Status tryWrite(const WriteFile& command);
  void execute(const RemoveOlderFiles& command);

  std::string folder_;
  WrittenHandler onWritten_;
  const FileCalls& calls_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  DiskFault injectedFault_ = DiskFault::kNone;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace peppergate
