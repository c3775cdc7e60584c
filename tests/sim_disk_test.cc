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

void writeDurably(SimDisk& disk, const std::string& name, const std::string& content) {
  disk.truncate(name);
  disk.append(name, content);
  disk.sync(name);
  disk.syncFolder();
}

using Contents = std::set<std::string>;

}  // namespace

TEST_GROUP(SimulatedDisk){};

TEST(SimulatedDisk, SyncedFileInASyncedDirectorySurvives) {
  Contents found = afterPowerLosses("a", [](SimDisk& disk) { writeDurably(disk, "a", "whole"); });
  CHECK(found == Contents{"whole"});
}

TEST(SimulatedDisk, NameIsDurableOnlyAfterADirectorySync) {
  Contents found = afterPowerLosses("a", [](SimDisk& disk) {
    disk.truncate("a");
    disk.append("a", "whole");
    disk.sync("a");
  });
  CHECK((found == Contents{"-", "whole"}));
}

TEST(SimulatedDisk, UnsyncedWriteMayKeepAPrefixOrHaveAHole) {
  Contents found = afterPowerLosses("a", [](SimDisk& disk) {
    writeDurably(disk, "a", "old");
    disk.append("a", "new");
  });
  CHECK(found.contains("old") && found.contains("oldnew"));
  CHECK(found.contains("oldne") || found.contains("oldn"));
  CHECK(found.contains(std::string("old\0ew", 6)));
}

TEST(SimulatedDisk, RenameIsCompleteAbsentOrLeavesBothNames) {
  auto work = [](SimDisk& disk) {
    writeDurably(disk, "a", "old");
    writeDurably(disk, "b", "new");
    disk.rename("b", "a");
  };
  CHECK((afterPowerLosses("a", work) == Contents{"old", "new"}));
  CHECK((afterPowerLosses("b", work) == Contents{"-", "new"}));
}

TEST(SimulatedDisk, RemovedFileMayReappearUntilTheDirectoryIsSynced) {
  auto removed = [](SimDisk& disk) {
    writeDurably(disk, "a", "old");
    disk.remove("a");
  };
  CHECK((afterPowerLosses("a", removed) == Contents{"-", "old"}));
  auto synced = [&](SimDisk& disk) {
    removed(disk);
    disk.syncFolder();
  };
  CHECK((afterPowerLosses("a", synced) == Contents{"-"}));
}

TEST(SimulatedDisk, UnsyncedDataSurvivesTheEndOfAProcess) {
  SimDisk disk;
  disk.truncate("a");
  disk.append("a", "unsynced");
  STRCMP_EQUAL("unsynced", disk.files()["a"].c_str());
}

TEST(SimulatedDisk, DirectoryChangesSurviveIndependently) {
  // Of two created files, either one alone may survive.
  Contents pairs;
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
  CHECK((pairs == Contents{"", "a", "b", "ab"}));
}

/// A disk task with its disk and simulated time.
struct DiskTaskFixture {
  EventQueue queue{MonotonicTime{}};
  Random random;
  SimDrive drive;
  bool frozen = false;
  std::vector<FileWritten> answers;
  std::shared_ptr<SimDiskTask> task;
  explicit DiskTaskFixture(std::uint64_t seed) : random(seed) { startTask(); }
  void startTask() {
    task = std::make_shared<SimDiskTask>(
        queue, random, drive, [this] { return frozen; },
        [this](const FileWritten& written) { answers.push_back(written); });
  }
  void write(std::uint64_t ticket, const std::string& name, const std::string& content) {
    task->write({{ticket}, name, content});
  }
  bool isAcknowledged(std::uint64_t ticket) const {
    for (const auto& answer : answers)
      if (answer.ticket.value == ticket && answer.synced) return true;
    return false;
  }
  /// Advances time.
  void run(Duration time) {
    bool over = false;
    queue.scheduleAfter(time, [&over] { over = true; });
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
    DiskTaskFixture fixture(seed);
    fixture.write(1, "state.1", "first content");
    fixture.run(milliseconds(20));
    CHECK(fixture.isAcknowledged(1));
    fixture.write(2, "state.2", "second content");
    fixture.run(Duration{static_cast<std::int64_t>(fixture.random.below(6000))});
    bool answered = fixture.isAcknowledged(2);
    fixture.task.reset();
    fixture.drive.disk.losePower(fixture.random);
    auto files = loadFiles(fixture.drive.disk);
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
    DiskTaskFixture fixture(seed);
    fixture.write(1, "voter.1", "promise");
    fixture.run(Duration{static_cast<std::int64_t>(fixture.random.below(5000))});
    fixture.task.reset();
    auto read = loadFiles(fixture.drive.disk);
    fixture.drive.disk.losePower(fixture.random);
    CHECK(loadFiles(fixture.drive.disk) == read);
  }
}

TEST(SimulatedDiskTask, CommandsRunInOrder) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    DiskTaskFixture fixture(seed);
    for (std::uint64_t ticket = 1; ticket <= 5; ++ticket)
      fixture.write(ticket, "state." + std::to_string(ticket), "content");
    fixture.task->removeOlderFiles({"state", 2});
    fixture.run(milliseconds(60));
    CHECK_EQUAL(5, fixture.answers.size());
    for (std::uint64_t ticket = 1; ticket <= 5; ++ticket)
      CHECK_EQUAL(ticket, fixture.answers[ticket - 1].ticket.value);
    CHECK((fixture.drive.disk.names() == std::vector<std::string>{"state.4", "state.5"}));
  }
}

TEST(SimulatedDiskTask, FullDiskKeepsTheOldFileAndTheWriteIsRetried) {
  DiskTaskFixture fixture(7);
  fixture.write(1, "voter.1", "before");
  fixture.run(milliseconds(20));
  fixture.drive.mode = DiskMode::kFull;
  fixture.write(2, "voter.1", "after");
  fixture.run(seconds(2));
  CHECK(!fixture.isAcknowledged(2));
  STRCMP_EQUAL("before", fixture.content("voter.1")->c_str());
  fixture.drive.mode = DiskMode::kGood;
  fixture.run(milliseconds(250));
  CHECK(fixture.isAcknowledged(2));
  STRCMP_EQUAL("after", fixture.content("voter.1")->c_str());
}

TEST(SimulatedDiskTask, WriteCompletesAfterAHang) {
  DiskTaskFixture fixture(7);
  fixture.drive.mode = DiskMode::kStalled;
  fixture.write(1, "voter.1", "content");
  fixture.run(seconds(8));
  CHECK(fixture.answers.empty());
  fixture.drive.mode = DiskMode::kGood;
  fixture.run(milliseconds(150));
  CHECK(fixture.isAcknowledged(1));
}

TEST(SimulatedDiskTask, SlowDiskTakesLongerByItsFactor) {
  DiskTaskFixture fixture(7);
  fixture.drive.mode = DiskMode::kSlow;
  fixture.drive.slowdownFactor = 30;
  fixture.write(1, "voter.1", "content");
  fixture.run(milliseconds(29));
  CHECK(fixture.answers.empty());
  fixture.run(milliseconds(100));
  CHECK(fixture.isAcknowledged(1));
}

TEST(SimulatedDiskTask, FailedSyncIsNotAcknowledgedAndMayLeaveEitherContent) {
  Contents found;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    DiskTaskFixture fixture(seed);
    fixture.write(1, "voter.1", "before");
    fixture.run(milliseconds(20));
    fixture.drive.mode = DiskMode::kFailingSync;
    fixture.write(2, "voter.1", "after");
    fixture.run(milliseconds(20));
    CHECK_EQUAL(2, fixture.answers.size());
    CHECK(!fixture.isAcknowledged(2));
    fixture.task.reset();
    fixture.drive.disk.losePower(fixture.random);
    found.insert(loadFiles(fixture.drive.disk)["voter.1"]);
  }
  CHECK((found == Contents{"before", "after"}));
}

TEST(SimulatedDiskTask, FrozenProcessBeginsNoStep) {
  DiskTaskFixture fixture(7);
  fixture.frozen = true;
  fixture.write(1, "voter.1", "content");
  fixture.run(seconds(3));
  CHECK(fixture.drive.disk.empty());
  fixture.frozen = false;
  fixture.run(milliseconds(150));
  CHECK(fixture.isAcknowledged(1));
}
