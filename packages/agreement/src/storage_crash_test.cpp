#include "cluster_fake.hpp"
#include "environment.hpp"
#include "fighold/agreement/storage.hpp"
#include "folder_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

namespace fighold::agreement {
namespace {

/// A data folder whose process is killed at any operation on its files, and what it must hold.
struct StorageCrashFixture : testing::FolderFixture
{
  std::mt19937_64 mRandom;
  RecoveredState mStored; ///< after the last write that was reported as stored
  int mLeft = 0;          ///< operations until the process is killed

  std::size_t Draw(std::size_t aBelow) { return mRandom() % aBelow; }

  /// Operations that fail once mLeft is used up, like those of a killed process.
  FileOps Ops()
  {
    const auto tick = [this] {
      if (--mLeft < 0) {
        throw StorageError("killed");
      }
    };
    FileOps ops = PosixFileOps();
    ops.mWrite = [tick, write = ops.mWrite](int aFile, const std::string& aBytes) {
      tick();
      write(aFile, aBytes);
    };
    // The system is not lost with the process, so that nothing has to be synced.
    ops.mSync = [tick](int) { tick(); };
    return ops;
  }

  static Index LastIndex(const RecoveredState& aState)
  {
    return aState.mSnapshot->mIndex + aState.mLog.size();
  }

  std::vector<LogEntry> Entries(Index aFirst, Term aTerm)
  {
    std::vector<LogEntry> entries;
    for (std::size_t n = 1 + Draw(4); n > 0; --n) {
      entries.push_back({ aFirst++, aTerm, std::string(Draw(20), 'x') });
    }
    return entries;
  }

  /// @return a random write that fits a state, as a leader or a follower makes it
  Write NextWrite(const RecoveredState& aState)
  {
    const Index snapshot = aState.mSnapshot->mIndex;
    const Term term = aState.mTermVote.mTerm + Draw(2);
    const TermVote vote{ term, std::nullopt };
    switch (Draw(5)) {
      case 0:
        return { 1, vote, std::nullopt, {} };
      case 1: { // own snapshot
        const std::size_t kept = Draw(aState.mLog.size() + 1);
        const std::size_t covered = aState.mLog.size() - kept;
        if (covered == 0) {
          return { 1, vote, std::nullopt, {} };
        }
        const Term last = aState.mLog[covered - 1].mTerm;
        return { 1,
                 aState.mTermVote,
                 SharedValue(Snapshot{ snapshot + covered, last, {}, "own" }),
                 { aState.mLog.begin() + static_cast<std::ptrdiff_t>(covered),
                   aState.mLog.end() } };
      }
      case 2: // snapshot of a leader, ahead of the log or in conflict with it
        return { 1,
                 vote,
                 SharedValue(
                   Snapshot{ snapshot + 1 + Draw(aState.mLog.size() + 5), term + 1, {}, "l" }),
                 {} };
      default: // entries, which may replace the end of the log
        const Index first = snapshot + 1 + Draw(aState.mLog.size() + 1);
        return { 1, std::nullopt, std::nullopt, Entries(first, std::max<Term>(1, term)) };
    }
  }

  static RecoveredState After(const RecoveredState& aState, const Write& aWrite)
  {
    test::Disk disk{ aState, { aWrite } };
    disk.SyncOldestWrite();
    return disk.mDurable;
  }

  /// A crash within the write of a snapshot may leave the new snapshot, and of the log what agrees
  /// with it.
  static RecoveredState HalfWay(RecoveredState aState, const Write& aWrite)
  {
    const Snapshot& snapshot = **aWrite.mSnapshot;
    const Index before = aState.mSnapshot->mIndex;
    std::vector<LogEntry> rest;
    if (snapshot.mIndex <= LastIndex(aState) &&
        aState.mLog[snapshot.mIndex - before - 1].mTerm == snapshot.mTerm) {
      rest.assign(aState.mLog.begin() + static_cast<std::ptrdiff_t>(snapshot.mIndex - before),
                  aState.mLog.end());
    }
    aState.mLog = rest;
    aState.mSnapshot = *aWrite.mSnapshot;
    return aState;
  }

  /// Runs a process until it is killed at one of its next operations.
  void RunOnce()
  {
    mLeft = static_cast<int>(Draw(24));
    RecoveredState expected = mStored;
    std::vector<RecoveredState> possible{ mStored };
    Storage storage;
    try {
      RecoveredState recovered;
      storage = OpenStorage(mFolder, Ops(), 7, recovered);
      while (true) {
        const Write write = NextWrite(expected);
        possible = { expected, After(expected, write) };
        if (write.mSnapshot) {
          possible.push_back(HalfWay(expected, write));
        } else if (write.mTermVote && !write.mEntries.empty()) {
          FAIL("a write of both is not made here");
        }
        PerformWrite(storage, write);
        expected = After(expected, write);
        possible = { expected };
      }
    } catch (const StorageError& error) {
      CHECK(std::string(error.what()) == "killed");
    }
    CloseStorage(storage);
    RecoveredState recovered;
    storage = OpenStorage(mFolder, PosixFileOps(), 7, recovered);
    CloseStorage(storage);
    recovered.mIncarnation = 0;
    const auto found = std::find(possible.begin(), possible.end(), recovered);
    REQUIRE(found != possible.end());
    mStored = recovered;
  }
};

// Guards against a data folder that a kill at any moment, also between the replacement of snapshot
// and log (review/9), makes unreadable, then or after later writes, or from which stored entries
// vanish. FIGHOLD_SCHEDULES sets a longer run.
TEST_CASE_METHOD(StorageCrashFixture,
                 "OpenStorage, killed at random operations again and again, keeps what was stored",
                 "[agreement]")
{
  const std::uint64_t seeds = testing::FromEnvironment("FIGHOLD_SCHEDULES", 60);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    std::filesystem::remove_all(mFolder);
    mRandom.seed(seed);
    mStored = {};
    for (int n = 0; n < 25; ++n) {
      RunOnce();
    }
  }
}

} // namespace
} // namespace fighold::agreement
