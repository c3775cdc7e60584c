// Tests of the simulated disk: what a power loss keeps, and the order in which a process's disk
// task works on it.
#include "sim/sim_disk.h"

#include <optional>
#include <set>

#include "sim/sim_disk_task.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

constexpr std::uint64_t kSeeds = 300;

/// The contents of one file after a power loss, over many seeds; "-" where it is missing.
std::set<std::string> afterPowerLosses(const std::string& name,
                                       const std::function<void(SimDisk&)>& work) {
  std::set<std::string> found;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimDisk disk;
    work(disk);
    Random random(seed);
    disk.losePower(random);
    auto files = disk.files();
    found.insert(files.contains(name) ? files[name] : "-");
  }
  return found;
}

void writeWhole(SimDisk& disk, const std::string& name, const std::string& content) {
  disk.truncate(name);
  disk.append(name, content);
  disk.sync(name);
  disk.syncFolder();
}

using Found = std::set<std::string>;

}  // namespace

TEST_GROUP(SimulatedDisk){};

TEST(SimulatedDisk, SyncedFileInASyncedDirectorySurvives) {
  Found found = afterPowerLosses("a", [](SimDisk& disk) { writeWhole(disk, "a", "whole"); });
  CHECK(found == Found{"whole"});
}

TEST(SimulatedDisk, NameIsDurableOnlyAfterADirectorySync) {
  Found found = afterPowerLosses("a", [](SimDisk& disk) {
    disk.truncate("a");
    disk.append("a", "whole");
    disk.sync("a");
  });
  CHECK((found == Found{"-", "whole"}));
}

TEST(SimulatedDisk, UnsyncedWriteMayKeepAPrefixOrHaveAHole) {
  Found found = afterPowerLosses("a", [](SimDisk& disk) {
    writeWhole(disk, "a", "old");
    disk.append("a", "new");
  });
  CHECK(found.contains("old") && found.contains("oldnew"));
  CHECK(found.contains("oldne") || found.contains("oldn"));
  CHECK(found.contains(std::string("old\0ew", 6)));
}

TEST(SimulatedDisk, RenameIsCompleteAbsentOrLeavesBothNames) {
  auto work = [](SimDisk& disk) {
    writeWhole(disk, "a", "old");
    writeWhole(disk, "b", "new");
    disk.rename("b", "a");
  };
  CHECK((afterPowerLosses("a", work) == Found{"old", "new"}));
  CHECK((afterPowerLosses("b", work) == Found{"-", "new"}));
}

TEST(SimulatedDisk, RemovedFileMayReappearUntilTheDirectoryIsSynced) {
  auto removed = [](SimDisk& disk) {
    writeWhole(disk, "a", "old");
    disk.remove("a");
  };
  CHECK((afterPowerLosses("a", removed) == Found{"-", "old"}));
  auto synced = [&](SimDisk& disk) {
    removed(disk);
    disk.syncFolder();
  };
  CHECK((afterPowerLosses("a", synced) == Found{"-"}));
}

TEST(SimulatedDisk, UnsyncedDataSurvivesTheEndOfAProcess) {
  SimDisk disk;
  disk.truncate("a");
  disk.append("a", "unsynced");
  STRCMP_EQUAL("unsynced", disk.files()["a"].c_str());
}

TEST(SimulatedDisk, DirectoryChangesSurviveIndependently) {
  // Of two created files, either one alone may survive.
  Found pairs;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimDisk disk;
    for (const char* name : {"a", "b"}) {
      disk.truncate(name);
      disk.sync(name);
    }
    Random random(seed);
    disk.losePower(random);
    std::string pair;
    for (const auto& name : disk.names()) pair += name;
    pairs.insert(pair);
  }
  CHECK((pairs == Found{"", "a", "b", "ab"}));
}

/// A disk task with its disk and simulated time.
struct TaskBench {
  EventQueue queue{MonotonicTime{}};
  Random random;
  SimDrive drive;
  bool frozen = false;
  std::vector<FileWritten> answers;
  std::shared_ptr<SimDiskTask> task;
  explicit TaskBench(std::uint64_t seed) : random(seed) { begin(); }
  void begin() {
    task = std::make_shared<SimDiskTask>(
        queue, random, drive, [this] { return frozen; },
        [this](const FileWritten& written) { answers.push_back(written); });
  }
  void write(std::uint64_t ticket, const std::string& name, const std::string& content) {
    task->write({{ticket}, name, content});
  }
  bool answered(std::uint64_t ticket) const {
    for (const auto& answer : answers)
      if (answer.ticket.value == ticket && answer.synced) return true;
    return false;
  }
  /// Advances time.
  void run(Duration time) {
    bool over = false;
    queue.after(time, [&over] { over = true; });
    while (!over && queue.runNext()) {
    }
  }
  std::optional<std::string> content(const std::string& name) {
    auto files = drive.disk.files();
    if (!files.contains(name)) return std::nullopt;
    return files[name];
  }
};

TEST_GROUP(SimulatedDiskTask){};

TEST(SimulatedDiskTask, AcknowledgedWritesSurvivePowerLossAtAnyInstant) {
  bool sawOld = false, sawNewUnanswered = false;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TaskBench bench(seed);
    bench.write(1, "state.1", "first content");
    bench.run(milliseconds(20));
    CHECK(bench.answered(1));
    bench.write(2, "state.2", "second content");
    bench.run(Duration{static_cast<std::int64_t>(bench.random.below(6000))});
    bool answered = bench.answered(2);
    bench.task.reset();
    bench.drive.disk.losePower(bench.random);
    auto files = loadFiles(bench.drive.disk);
    STRCMP_EQUAL("first content", files["state.1"].c_str());
    if (answered) CHECK(files.contains("state.2"));
    if (files.contains("state.2")) STRCMP_EQUAL("second content", files["state.2"].c_str());
    sawOld = sawOld || !files.contains("state.2");
    sawNewUnanswered = sawNewUnanswered || (files.contains("state.2") && !answered);
    CHECK(!files.contains("state.2.aside"));
  }
  CHECK(sawOld);
  CHECK(sawNewUnanswered);
}

TEST(SimulatedDiskTask, PowerLossDoesNotUndoWhatALoaderRead) {
  // A process ends between the rename and the sync of the directory. The next process reads the
  // file and acts on it, and then power is lost.
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TaskBench bench(seed);
    bench.write(1, "voter.1", "promise");
    bench.run(Duration{static_cast<std::int64_t>(bench.random.below(5000))});
    bench.task.reset();
    auto read = loadFiles(bench.drive.disk);
    bench.drive.disk.losePower(bench.random);
    CHECK(loadFiles(bench.drive.disk) == read);
  }
}

TEST(SimulatedDiskTask, CommandsRunInOrder) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    TaskBench bench(seed);
    for (std::uint64_t ticket = 1; ticket <= 5; ++ticket)
      bench.write(ticket, "state." + std::to_string(ticket), "content");
    bench.task->dropOlder({"state", 2});
    bench.run(milliseconds(60));
    CHECK_EQUAL(5, bench.answers.size());
    for (std::uint64_t ticket = 1; ticket <= 5; ++ticket)
      CHECK_EQUAL(ticket, bench.answers[ticket - 1].ticket.value);
    CHECK((bench.drive.disk.names() == std::vector<std::string>{"state.4", "state.5"}));
  }
}

TEST(SimulatedDiskTask, FullDiskKeepsTheOldFileAndTheWriteIsRetried) {
  TaskBench bench(7);
  bench.write(1, "voter.1", "before");
  bench.run(milliseconds(20));
  bench.drive.mode = DiskMode::kFull;
  bench.write(2, "voter.1", "after");
  bench.run(seconds(2));
  CHECK(!bench.answered(2));
  STRCMP_EQUAL("before", bench.content("voter.1")->c_str());
  bench.drive.mode = DiskMode::kGood;
  bench.run(milliseconds(250));
  CHECK(bench.answered(2));
  STRCMP_EQUAL("after", bench.content("voter.1")->c_str());
}

TEST(SimulatedDiskTask, WriteCompletesAfterAHang) {
  TaskBench bench(7);
  bench.drive.mode = DiskMode::kHanging;
  bench.write(1, "voter.1", "content");
  bench.run(seconds(8));
  CHECK(bench.answers.empty());
  bench.drive.mode = DiskMode::kGood;
  bench.run(milliseconds(150));
  CHECK(bench.answered(1));
}

TEST(SimulatedDiskTask, SlowDiskTakesLongerByItsFactor) {
  TaskBench bench(7);
  bench.drive.mode = DiskMode::kSlow;
  bench.drive.slowness = 30;
  bench.write(1, "voter.1", "content");
  bench.run(milliseconds(29));
  CHECK(bench.answers.empty());
  bench.run(milliseconds(100));
  CHECK(bench.answered(1));
}

TEST(SimulatedDiskTask, FailedSyncIsNotAcknowledgedAndMayLeaveEitherContent) {
  Found found;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TaskBench bench(seed);
    bench.write(1, "voter.1", "before");
    bench.run(milliseconds(20));
    bench.drive.mode = DiskMode::kFailingSync;
    bench.write(2, "voter.1", "after");
    bench.run(milliseconds(20));
    CHECK_EQUAL(2, bench.answers.size());
    CHECK(!bench.answered(2));
    bench.task.reset();
    bench.drive.disk.losePower(bench.random);
    found.insert(loadFiles(bench.drive.disk)["voter.1"]);
  }
  CHECK((found == Found{"before", "after"}));
}

TEST(SimulatedDiskTask, FrozenProcessBeginsNoStep) {
  TaskBench bench(7);
  bench.frozen = true;
  bench.write(1, "voter.1", "content");
  bench.run(seconds(3));
  CHECK(bench.drive.disk.empty());
  bench.frozen = false;
  bench.run(milliseconds(150));
  CHECK(bench.answered(1));
}
