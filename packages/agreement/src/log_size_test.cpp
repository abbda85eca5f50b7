#include "cluster_fake.hpp"
#include "environment.hpp"

#include <algorithm>
#include <limits>

namespace fighold::agreement::test {
namespace {

/// A group whose snapshots are due by the bytes of its log, not by the number of its entries.
struct LogSizeFixture
{
  static constexpr std::size_t kLogBytes = 4000;
  static constexpr std::size_t kLargest = 600; ///< payload of one change

  static std::unique_ptr<Cluster> MakeCluster(std::uint64_t aSeed)
  {
    // The processes take their options at their start.
    auto cluster = std::make_unique<Cluster>(3, aSeed);
    cluster->mOptions.mSnapshotInterval = 1'000'000;
    cluster->mOptions.mSnapshotBytes = kLogBytes;
    cluster->mOptions.mSnapshotChunkSize = 4096;
    for (const ControlId& it : cluster->mIds) {
      cluster->Crash(it);
      cluster->Start(it);
    }
    cluster->Run(Millis(4000));
    REQUIRE(cluster->Leader() != nullptr);
    return cluster;
  }

  static std::size_t SizeOf(const std::vector<LogEntry>& aLog, Index aLast)
  {
    std::size_t bytes = 0;
    for (const LogEntry& it : aLog) {
      bytes += it.mIndex <= aLast ? it.mPayload.size() : 0;
    }
    return bytes;
  }

  static std::size_t BoundOf(const Snapshot& aSnapshot)
  {
    return std::max(kLogBytes, kLogPerSnapshot * aSnapshot.mState.size());
  }

  /// Checks that the committed part of each running process's log stays within the bound.
  static void CheckLogs(const Cluster& aCluster)
  {
    for (const auto& [id, process] : aCluster.mProcesses) {
      if (process.mNode) {
        const Node& node = *process.mNode;
        CHECK(SizeOf(node.mLog, node.mCommitIndex) < BoundOf(*node.mSnapshot));
      }
    }
  }

  /// Checks that what a restart reads stays within the bound.
  /// @param aUncommitted largest payload that may not be committed
  static void CheckDisks(const Cluster& aCluster, std::size_t aUncommitted)
  {
    for (const auto& [id, process] : aCluster.mProcesses) {
      const RecoveredState& disk = process.mDisk.mDurable;
      CHECK(SizeOf(disk.mLog, std::numeric_limits<Index>::max()) <=
            BoundOf(*disk.mSnapshot) + aUncommitted);
    }
  }
};

// Guards against a log that grows with the size of the configuration times the number of changes,
// in memory, on the disk and after a restart (review/7).
TEST_CASE_METHOD(LogSizeFixture,
                 "Group, large changes, takes snapshots by the bytes of its log",
                 "[agreement]")
{
  const auto cluster = MakeCluster(1);
  const ControlId away = cluster->mIds.back();
  cluster->Crash(away);
  for (int n = 0; n < 100; ++n) {
    cluster->Propose(cluster->mIds.front(), kLargest);
    cluster->Run(Millis(100));
    CheckLogs(*cluster);
    CheckDisks(*cluster, 2 * kLargest);
  }
  CHECK(cluster->mCommittedChanges.size() == 100);
  // The process that was away gets a snapshot, since the entries are gone.
  cluster->Start(away);
  cluster->Run(Millis(3000));
  CHECK(cluster->mRestores > 0);
  CHECK(cluster->Converged());
}

// Guards against a bound that does not hold, or loses changes, under restarts and lost messages.
// FIGHOLD_SCHEDULES sets a longer run.
TEST_CASE_METHOD(LogSizeFixture,
                 "Group, changes of random size under faults, keeps its log within the bound",
                 "[agreement][schedule]")
{
  const std::uint64_t seeds = testing::FromEnvironment("FIGHOLD_SCHEDULES", 100);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    const auto cluster = MakeCluster(seed);
    cluster->mFaults = { cluster->RandomBelow(100), cluster->RandomBelow(100), 0 };
    for (int n = 0; n < 60; ++n) {
      const ControlId& id = cluster->mIds[cluster->RandomBelow(3)];
      if (cluster->RandomBelow(8) == 0) {
        cluster->Crash(id);
      }
      const ControlId& starting = cluster->mIds[cluster->RandomBelow(3)];
      if (cluster->RandomBelow(3) == 0) {
        cluster->Start(starting);
      }
      cluster->Propose(id, 1 + cluster->RandomBelow(kLargest));
      cluster->Run(Millis(50 + cluster->RandomBelow(300)));
      CheckLogs(*cluster);
    }
    cluster->Heal();
    for (int n = 0; n < 40 && !cluster->Converged(); ++n) {
      cluster->Run(Millis(1000));
    }
    REQUIRE(cluster->Converged());
    cluster->Propose(cluster->mIds.front(), kLargest);
    cluster->Run(Millis(1500));
    CheckLogs(*cluster);
    CheckDisks(*cluster, kLargest);
  }
}

} // namespace
} // namespace fighold::agreement::test
