// Durable file writes: the order of the file system calls, a failure of each of them, and a power
// loss between two of them.
#include "io/disk_writer.h"

#include <errno.h>
#include <fcntl.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>

#include "core/core_node.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

namespace fs = std::filesystem;

/// The recorded calls and the one that fails. Global, as the calls are plain functions.
struct FaultScript {
  std::vector<std::string> recordedCalls;
  std::string failingCall;  // the call that fails, such as "write" or "sync 2"
  int error = EIO;
  std::size_t maxWriteBytes = SIZE_MAX;  // limit of the bytes that one write accepts
  std::map<std::string, int> counts;
};
FaultScript script;

bool fails(const std::string& call) {
  script.recordedCalls.push_back(call);
  int count = ++script.counts[call];
  bool mustFail =
      script.failingCall == call || script.failingCall == call + " " + std::to_string(count);
  if (mustFail) errno = script.error;
  return mustFail;
}

int openFile(const char* path, int flags, unsigned mode) {
  bool isFolder = (flags & O_DIRECTORY) != 0;
  return fails(isFolder ? "open-folder" : "open") ? -1 : open(path, flags, mode);
}
long writeSome(int descriptor, const void* data, std::size_t size) {
  return fails("write") ? -1 : write(descriptor, data, std::min(size, script.maxWriteBytes));
}
int syncFile(int descriptor) { return fails("sync") ? -1 : fsync(descriptor); }
int closeFile(int descriptor) {
  int result = close(descriptor);
  return fails("close") ? -1 : result;
}
int renameFile(const char* from, const char* to) {
  return fails("rename") ? -1 : std::rename(from, to);
}
constexpr FileCalls kScriptedCalls{&openFile, &writeSome, &syncFile, &closeFile, &renameFile};

std::string contentOf(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string makeTemporaryFolder() {
  std::string pattern = fs::temp_directory_path() / "peppergate-disk-XXXXXX";
  return mkdtemp(pattern.data());
}

}  // namespace

TEST_GROUP(Disk) {
  std::string folder = makeTemporaryFolder();
  void setup() override { script = {}; }
  void teardown() override { fs::remove_all(folder); }
};

TEST(Disk, TheFileIsSyncedBeforeTheRenameAndTheFolderAfterIt) {
  CHECK(writeFile(kScriptedCalls, folder, "state.1", "content").ok());
  std::vector<std::string> expected{"open",   "write",       "sync", "close",
                                    "rename", "open-folder", "sync", "close"};
  CHECK(script.recordedCalls == expected);
  STRCMP_EQUAL("content", contentOf(folder + "/state.1").c_str());
}

TEST(Disk, ShortWritesAreContinued) {
  script.maxWriteBytes = 3;
  CHECK(writeFile(kScriptedCalls, folder, "state.1", "a longer content").ok());
  STRCMP_EQUAL("a longer content", contentOf(folder + "/state.1").c_str());
  CHECK_EQUAL(6, script.counts["write"]);
}

TEST(Disk, AFailureAtAnyStepIsReportedAndLeavesAWholeFile) {
  for (const char* step : {"open", "write", "sync 1", "rename", "open-folder", "sync 2"}) {
    CHECK(writeFile(systemCalls(), folder, "voter.1", "before").ok());
    script = {};
    script.failingCall = step;
    auto status = writeFile(kScriptedCalls, folder, "voter.1", "after");
    CHECK_TEXT(!status.ok(), step);
    CHECK_TEXT(!absl::IsResourceExhausted(status), step);  // the contents of the disk are unknown
    std::string now = contentOf(folder + "/voter.1");
    bool wasRenamed = script.counts["rename"] > 0 && script.failingCall != "rename";
    CHECK_TEXT(now == (wasRenamed ? "after" : "before"), step);  // the whole old or new content
  }
}

TEST(Disk, AFullDiskChangesNothingAndHasItsOwnError) {
  CHECK(writeFile(systemCalls(), folder, "voter.1", "before").ok());
  for (const char* step : {"open", "write", "write 2"}) {
    script = {};
    script.failingCall = step;
    script.error = ENOSPC;
    script.maxWriteBytes = 2;
    auto status = writeFile(kScriptedCalls, folder, "voter.1", "after");
    CHECK_TEXT(absl::IsResourceExhausted(status), step);
    STRCMP_EQUAL("before", contentOf(folder + "/voter.1").c_str());
    CHECK_FALSE(fs::exists(folder + "/voter.1.aside"));
  }
  // A sync that fails with ENOSPC is a failed sync: the contents of the disk are unknown.
  script = {};
  script.failingCall = "sync 1";
  script.error = ENOSPC;
  CHECK_FALSE(absl::IsResourceExhausted(writeFile(kScriptedCalls, folder, "voter.1", "after")));
}

TEST(Disk, APowerLossBetweenRenameAndFolderSyncLeavesAValidState) {
  // A core can start from the folder whether or not the rename has survived the power loss.
  std::string older = withChecksum(R"({"tag":1,"state":"x"})"),
              newer = withChecksum(R"({"tag":2,"state":"y"})");
  CHECK(writeFile(systemCalls(), folder, "state.1", older).ok());
  script.failingCall = "open-folder";  // the power fails here
  CHECK_FALSE(writeFile(kScriptedCalls, folder, "state.2", newer).ok());
  auto withName = DiskWriter::load(folder);
  CHECK(withName.ok() && verifiedContent(withName->at("state.2")).has_value());
  fs::rename(folder + "/state.2", folder + "/state.2.aside");  // the rename was lost
  auto without = DiskWriter::load(folder);
  CHECK(without.ok() && !without->contains("state.2") &&
        verifiedContent(without->at("state.1")).has_value());
  CHECK_FALSE(fs::exists(folder + "/state.2.aside"));
}

TEST(Disk, AWriteIsRetriedOnAFullDiskButNotAfterAFailedSync) {
  std::promise<bool> first, second;
  int answers = 0;
  DiskWriter disk(folder, [&](const FileWritten& written) {
    (++answers == 1 ? first : second).set_value(written.synced);
  });
  disk.injectFault(DiskFault::kFull);
  disk.write({{1}, "voter.1", "one"});
  disk.injectFault(DiskFault::kNone);  // space is freed, before or after the first try
  CHECK(first.get_future().get());
  STRCMP_EQUAL("one", contentOf(folder + "/voter.1").c_str());
  disk.injectFault(DiskFault::kFailSync);
  disk.write({{2}, "voter.2", "two"});
  CHECK_FALSE(second.get_future().get());
}
