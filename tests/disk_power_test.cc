// Tests of the real disk task with system calls that work on a simulated disk: power loss after
// each call, process exit after each call, and failure of each call in turn.
#include <errno.h>
#include <fcntl.h>

#include <algorithm>
#include <filesystem>
#include <future>
#include <optional>
#include <set>

#include "io/disk_writer.h"
#include "sim/sim_disk.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

constexpr long kNoCall = -1;
constexpr std::uint64_t kSeeds = 12;

/// The state behind the fake system calls. The calls are plain functions without state of their
/// own, so one instance is active at a time.
struct FakeMachine {
  SimDisk disk;
  std::map<int, std::string> open;  // names of open files; empty for the directory
  int lastDescriptor = 2;
  long remainingCalls = kNoCall;  // until a power loss or process exit; later calls fail
  long failingCall = kNoCall;     // the number of the call that fails, counted from 1
  long calls = 0;
  int error = EIO;
  std::size_t maxWriteBytes = SIZE_MAX;  // maximum bytes that one write accepts
  std::vector<std::string> log;

  /// Returns whether the next call succeeds; sets errno if it doesn't.
  bool beginCall(const std::string& call) {
    log.push_back(call);
    ++calls;
    if (remainingCalls == 0 || calls == failingCall) {
      errno = remainingCalls == 0 ? EIO : error;
      return false;
    }
    if (remainingCalls > 0) --remainingCalls;
    return true;
  }
};
FakeMachine* machine = nullptr;

std::string nameOf(const char* path) { return std::filesystem::path(path).filename().string(); }

int openFile(const char* path, int flags, unsigned) {
  if (!machine->beginCall("open")) return -1;
  bool folder = (flags & O_DIRECTORY) != 0;
  if ((flags & O_TRUNC) != 0) machine->disk.truncate(nameOf(path));
  machine->open[++machine->lastDescriptor] = folder ? "" : nameOf(path);
  return machine->lastDescriptor;
}

long writeSome(int descriptor, const void* data, std::size_t size) {
  if (!machine->beginCall("write")) return -1;
  std::size_t taken = std::min(size, machine->maxWriteBytes);
  machine->disk.append(machine->open.at(descriptor),
                       std::string_view(static_cast<const char*>(data), taken));
  return static_cast<long>(taken);
}

int syncFile(int descriptor) {
  if (!machine->beginCall("sync")) return -1;
  const std::string& name = machine->open.at(descriptor);
  if (name.empty()) machine->disk.syncFolder();
  else machine->disk.sync(name);
  return 0;
}

int closeFile(int descriptor) {
  machine->open.erase(descriptor);
  return machine->beginCall("close") ? 0 : -1;
}

int renameFile(const char* from, const char* to) {
  if (!machine->beginCall("rename")) return -1;
  return machine->disk.rename(nameOf(from), nameOf(to)) ? 0 : -1;
}

int removeFile(const char* path) {
  if (!machine->beginCall("remove")) return -1;
  return machine->disk.remove(nameOf(path)) ? 0 : -1;
}

std::vector<std::string> listFolder(const char*) { return machine->disk.names(); }

std::string readFile(const char* path) { return machine->disk.files()[nameOf(path)]; }

constexpr FileCalls kFake{&openFile,   &writeSome,  &syncFile,   &closeFile,
                          &renameFile, &removeFile, &listFolder, &readFile};

using Files = std::map<std::string, std::string>;

/// The writes of a core: each name sorts after the one before.
struct Written {
  std::string name, content;
};
const std::vector<Written> kWrites{{"voter.1", "the first promise"},
                                   {"voter.2", "the second promise, longer"},
                                   {"voter.3", "the third"}};

/// Lets the real task write all files and remove older ones in between. Returns the number of
/// acknowledged writes.
std::size_t writeAll(const std::string& folder) {
  std::vector<std::promise<bool>> answers(kWrites.size());
  std::size_t acknowledged = 0;
  DiskWriter disk(
      folder,
      [&](const FileWritten& written) { answers[written.ticket.value].set_value(written.synced); },
      kFake);
  for (std::size_t index = 0; index < kWrites.size(); ++index) {
    disk.write({{index}, kWrites[index].name, kWrites[index].content});
    // Like a voter, writes nothing more after a failed sync.
    if (!answers[index].get_future().get()) break;
    acknowledged = index + 1;
    // Not after the last write: nothing would wait for the removal, and the number of calls would
    // vary.
    if (acknowledged < kWrites.size()) disk.removeOlderFiles({"voter", 1});
  }
  return acknowledged;
}

Files loadAll(const std::string& folder) {
  auto loaded = DiskWriter::load(folder, kFake);
  CHECK_TEXT(loaded.ok(), std::string(loaded.status().message()).c_str());
  return loaded.ok() ? *loaded : Files{};
}

/// Checks that the newest file by name is complete and no older than the last acknowledged one.
void checkNewest(const Files& files, std::size_t acknowledged, const std::string& where) {
  if (files.empty()) {
    CHECK_TEXT(acknowledged == 0, where.c_str());
    return;
  }
  const auto& [name, content] = *files.rbegin();
  auto found = std::ranges::find(kWrites, name, &Written::name);
  CHECK_TEXT(found != kWrites.end(), (where + ": " + name).c_str());
  CHECK_TEXT(content == found->content, (where + ": torn " + name).c_str());
  auto number = static_cast<std::size_t>(found - kWrites.begin()) + 1;
  CHECK_TEXT(number >= acknowledged, (where + ": " + name + " is too old").c_str());
}

}  // namespace

TEST_GROUP(DiskPower) {
  FakeMachine fake;
  std::string folder;
  void setup() override {
    std::string pattern = std::filesystem::temp_directory_path() / "peppergate-power-XXXXXX";
    folder = mkdtemp(pattern.data());
    machine = &fake;
  }
  void teardown() override {
    machine = nullptr;
    std::filesystem::remove_all(folder);
  }
  void resetMachine() { fake = FakeMachine{}; }
  /// The number of calls of all writes when nothing fails.
  long countAllCalls() {
    resetMachine();
    CHECK_EQUAL(kWrites.size(), writeAll(folder));
    return fake.calls;
  }
  void clearFaults() { fake.remainingCalls = fake.failingCall = kNoCall; }
};

TEST(DiskPower, AcknowledgedWritesSurvivePowerLossAfterAnyCall) {
  long calls = countAllCalls();
  CHECK(calls >= 24);
  std::set<std::size_t> seen;  // numbers of acknowledged writes
  for (long last = 0; last <= calls; ++last) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      resetMachine();
      fake.maxWriteBytes = seed % 2 == 0 ? 5 : SIZE_MAX;  // short writes every other time
      fake.remainingCalls = last;
      std::size_t acknowledged = writeAll(folder);
      seen.insert(acknowledged);
      Random random(seed);
      fake.disk.losePower(random);
      clearFaults();
      checkNewest(loadAll(folder), acknowledged,
                  "call " + std::to_string(last) + " seed " + std::to_string(seed));
    }
  }
  CHECK_EQUAL(kWrites.size() + 1, seen.size());
}

TEST(DiskPower, PowerLossDoesNotUndoWhatTheNextProcessRead) {
  // A process exits after any call. The next one acts on what it read, so a power loss after that
  // must not undo it.
  long calls = countAllCalls();
  for (long last = 0; last <= calls; ++last) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      resetMachine();
      fake.remainingCalls = last;
      std::size_t acknowledged = writeAll(folder);
      clearFaults();
      Files read = loadAll(folder);
      std::string where = "call " + std::to_string(last) + " seed " + std::to_string(seed);
      checkNewest(read, acknowledged, where);
      Random random(seed);
      fake.disk.losePower(random);
      CHECK_TEXT(loadAll(folder) == read, where.c_str());
    }
  }
}

TEST(DiskPower, NoWriteIsAcknowledgedWithoutItsFileIfAnyCallFails) {
  long calls = countAllCalls();
  for (int error : {EIO, ENOSPC}) {
    for (long failing = 1; failing <= calls; ++failing) {
      resetMachine();
      fake.failingCall = failing;
      fake.error = error;
      std::size_t acknowledged = writeAll(folder);
      std::string where = "call " + std::to_string(failing) + " " +
                          fake.log.at(static_cast<std::size_t>(failing - 1));
      Random random(static_cast<std::uint64_t>(failing));
      fake.disk.losePower(random);
      clearFaults();
      checkNewest(loadAll(folder), acknowledged, where);
    }
  }
}

TEST(DiskPower, FullDiskCanBeReadAtStart) {
  resetMachine();
  CHECK_EQUAL(kWrites.size(), writeAll(folder));
  fake.error = ENOSPC;
  fake.failingCall = fake.calls + 2;  // the loader's test write
  Files read = loadAll(folder);
  checkNewest(read, kWrites.size(), "full");
  CHECK_EQUAL(2, read.size());
}

TEST(DiskPower, LoadFailsIfAnySyncFails) {
  resetMachine();
  CHECK_EQUAL(kWrites.size(), writeAll(folder));
  long before = fake.calls;
  loadAll(folder);
  long calls = fake.calls - before;
  for (long call = 1; call <= calls; ++call) {
    auto index = static_cast<std::size_t>(before + call - 1);
    if (fake.log[index] != "sync") continue;
    FakeMachine whole = fake;
    fake.failingCall = fake.calls + call;
    CHECK_TEXT(!DiskWriter::load(folder, kFake).ok(), ("sync at " + std::to_string(call)).c_str());
    fake = whole;
  }
}
