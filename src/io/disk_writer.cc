#include "io/disk_writer.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

namespace peppergate {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view kTemporarySuffix = ".aside";  // suffix of a file that is being written

absl::Status fileError(std::string_view what, const std::string& path) {
  return absl::UnavailableError(std::string(what) + " " + path + ": " + strerror(errno));
}

int openFile(const char* path, int flags, unsigned mode) { return open(path, flags, mode); }
long writeSome(int descriptor, const void* data, std::size_t size) {
  return ::write(descriptor, data, size);
}
const FileCalls kSystemCalls{&openFile, &writeSome, &fsync, &close, &std::rename};

bool isOutOfSpace() { return errno == ENOSPC || errno == EDQUOT; }

absl::Status syncFolder(const FileCalls& calls, const std::string& folder) {
  int descriptor = calls.openFile(folder.c_str(), O_RDONLY | O_DIRECTORY, 0);
  if (descriptor < 0) return fileError("open", folder);
  int result = calls.syncFile(descriptor);
  absl::Status status = result == 0 ? absl::OkStatus() : fileError("sync", folder);
  calls.closeFile(descriptor);
  return status;
}

absl::Status writeTemporaryFile(const FileCalls& calls, const std::string& path,
                                std::string_view content) {
  int descriptor = calls.openFile(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  if (descriptor < 0)
    return isOutOfSpace() ? absl::ResourceExhaustedError("no space left for " + path)
                          : fileError("create", path);
  while (!content.empty()) {
    long count = calls.writeSome(descriptor, content.data(), content.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) {  // writing no bytes is taken for a full disk, too
      absl::Status status = count == 0 || isOutOfSpace()
                                ? absl::ResourceExhaustedError("no space left for " + path)
                                : fileError("write", path);
      calls.closeFile(descriptor);
      return status;
    }
    content.remove_prefix(static_cast<std::size_t>(count));
  }
  // A failed sync is never reported as a full disk: the contents of the disk are unknown then.
  bool synced = calls.syncFile(descriptor) == 0;
  absl::Status status = synced ? absl::OkStatus() : fileError("sync", path);
  if (calls.closeFile(descriptor) != 0 && synced) status = fileError("close", path);
  return status;
}

}  // namespace

int FileCalls::removePath(const char* path) { return std::remove(path); }

std::vector<std::string> FileCalls::listDirectory(const char* path) {
  std::vector<std::string> names;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(path, error))
    names.push_back(entry.path().filename().string());
  return names;
}

std::string FileCalls::readWholeFile(const char* path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

absl::StatusOr<std::map<std::string, std::string>> DiskWriter::load(const std::string& folder,
                                                                    const FileCalls& calls) {
  std::error_code error;
  fs::create_directories(folder, error);
  if (error)
    return absl::FailedPreconditionError("cannot create data folder " + folder + ": " +
                                         error.message());
  const std::string probePath = folder + "/.probe";
  absl::Status probeStatus = writeTemporaryFile(calls, probePath, "probe");
  calls.removeFile(probePath.c_str());
  if (!probeStatus.ok() && !absl::IsResourceExhausted(probeStatus))
    return absl::FailedPreconditionError("data folder is not writable: " +
                                         std::string(probeStatus.message()));
  std::map<std::string, std::string> files;
  for (const std::string& name : calls.listFolder(folder.c_str())) {
    const std::string path = folder + "/" + name;
    if (name.ends_with(kTemporarySuffix)) {  // a write that was never renamed
      calls.removeFile(path.c_str());
      continue;
    }
    files[name] = calls.readFile(path.c_str());
  }
  if (absl::Status syncStatus = syncFolder(calls, folder); !syncStatus.ok()) return syncStatus;
  return files;
}

const FileCalls& systemCalls() { return kSystemCalls; }

absl::Status writeFile(const FileCalls& calls, const std::string& folder, const std::string& name,
                       std::string_view content) {
  std::string path = folder + "/" + name;
  std::string temporaryPath = path + std::string(kTemporarySuffix);
  if (absl::Status status = writeTemporaryFile(calls, temporaryPath, content); !status.ok()) {
    if (absl::IsResourceExhausted(status))
      calls.removeFile(temporaryPath.c_str());  // frees its space
    return status;
  }
  if (calls.renameFile(temporaryPath.c_str(), path.c_str()) != 0) return fileError("rename", path);
  return syncFolder(calls, folder);
}

absl::Status DiskWriter::writeNow(const std::string& folder, const std::string& name,
                                  const std::string& content) {
  return writeFile(kSystemCalls, folder, name, content);
}

DiskWriter::DiskWriter(std::string folder, WrittenHandler onWritten, const FileCalls& calls)
    : folder_(std::move(folder)),
      onWritten_(std::move(onWritten)),
      calls_(calls),
      thread_([this] { run(); }) {}

DiskWriter::~DiskWriter() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void DiskWriter::enqueue(Job job) {
  {
    std::lock_guard lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  wake_.notify_one();
}

void DiskWriter::write(WriteFile command) { enqueue(std::move(command)); }
void DiskWriter::removeOlderFiles(RemoveOlderFiles command) { enqueue(std::move(command)); }

void DiskWriter::injectFault(DiskFault fault) {
  {
    std::lock_guard lock(mutex_);
    injectedFault_ = fault;
  }
  wake_.notify_all();
}

absl::Status DiskWriter::tryWrite(const WriteFile& command) {
  DiskFault fault = DiskFault::kNone;
  {
    std::unique_lock lock(mutex_);
    // An injected stall blocks every write until the fault is removed.
    wake_.wait(lock, [this] { return stopping_ || injectedFault_ != DiskFault::kStall; });
    fault = injectedFault_;
  }
  if (fault == DiskFault::kSlow) std::this_thread::sleep_for(std::chrono::milliseconds(400));
  if (fault == DiskFault::kFull)
    return absl::ResourceExhaustedError("no space left (injected fault)");
  if (fault == DiskFault::kFailSync) return absl::DataLossError("sync failed (injected fault)");
  return writeFile(calls_, folder_, command.name, command.content);
}

absl::Status DiskWriter::execute(const WriteFile& command) {
  // A full disk changes nothing that was written: the write is retried until there is space. In the
  // meantime the core sees a stalled disk and gives up its duties; it resumes them afterwards.
  while (true) {
    absl::Status status = tryWrite(command);
    if (!absl::IsResourceExhausted(status)) return status;
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, std::chrono::milliseconds(200));
    if (stopping_) return status;
  }
}

void DiskWriter::execute(const RemoveOlderFiles& command) {
  std::vector<std::string> names;
  for (const std::string& name : calls_.listFolder(folder_.c_str()))
    if (name.starts_with(command.prefix + ".") && !name.ends_with(kTemporarySuffix))
      names.push_back(name);
  std::ranges::sort(names);
  for (std::size_t index = 0; index + command.keep < names.size(); ++index)
    calls_.removeFile((folder_ + "/" + names[index]).c_str());
}

void DiskWriter::run() {
  while (true) {
    Job job;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (stopping_) return;
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    if (auto* removal = std::get_if<RemoveOlderFiles>(&job)) execute(*removal);
    else {
      const auto& command = std::get<WriteFile>(job);
      onWritten_(FileWritten{command.ticket, execute(command).ok()});
    }
  }
}

}  // namespace peppergate
