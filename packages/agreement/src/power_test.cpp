#include "cluster_fake.hpp"

#include <algorithm>
#include <functional>

/// Voters that are replaced, and disks that are lost together with all power.
namespace fighold::agreement::test {
namespace {

constexpr std::size_t kSize = 5;
constexpr std::size_t kConfiguredCount = 3;

/// Time in which a process with an empty disk must count again; the deployments' bound.
constexpr Millis kCatchUpTime{ 4000 };

/// Time in which a deployment recovers after all VMs have lost power; the deployments' bound.
constexpr Millis kRecoveryTime{ 15'000 };

constexpr std::uint64_t kPowerSeeds = 50;

/// Five voters. At the end two disks are lost right after a change was committed, and all other VMs
/// lose power with them.
struct PowerFixture
{
  std::uint64_t mSeed = 1;
  Cluster mCluster{ kSize, mSeed, kConfiguredCount };

  explicit PowerFixture(std::uint64_t aSeed)
    : mSeed(aSeed)
  {
    // Snapshots of the size and at the distance of a deployment.
    mCluster.mOptions.mSnapshotInterval = 200;
    mCluster.mOptions.mSnapshotChunkSize = Options{}.mSnapshotChunkSize;
    for (const ControlId& it : mCluster.mIds) {
      mCluster.Crash(it);
      mCluster.Start(it);
    }
    for (int n = 0; n < 60 && !mCluster.Converged(); ++n) {
      mCluster.Run(std::chrono::seconds(1));
    }
    REQUIRE(mCluster.Converged());
  }

  bool IsCommitted(const std::string& aPayload) const
  {
    return std::any_of(mCluster.mCommittedChanges.begin(),
                       mCluster.mCommittedChanges.end(),
                       [&](const auto& aChange) { return aChange.second == aPayload; });
  }

  /// @return payload of a change that has just been committed
  std::string CommitChange()
  {
    std::string payload;
    for (int n = 0; n < 200 && !IsCommitted(payload); ++n) {
      if (n % 40 == 0 && mCluster.Leader() != nullptr) {
        payload = mCluster.Propose(mCluster.Leader()->mOptions.mSelf);
      }
      mCluster.Run(Millis(25));
    }
    REQUIRE(IsCommitted(payload));
    return payload;
  }

  /// Runs while the leader gets a change every 25 ms.
  void RunWithChanges(Millis aTime)
  {
    for (Millis time{ 0 }; time < aTime; time += Millis(25)) {
      if (const Node* leader = mCluster.Leader()) {
        mCluster.Propose(leader->mOptions.mSelf);
      }
      mCluster.Run(Millis(25));
    }
  }

  /// Two disks are lost at random, and all processes are without power for some seconds.
  void LosePowerAndTwoDisks()
  {
    const std::vector<ControlId>& ids = mCluster.mIds;
    const std::size_t first = mCluster.RandomBelow(kSize);
    const std::size_t second = (first + 1 + mCluster.RandomBelow(kSize - 1)) % kSize;
    LosePowerAndDisks({ ids[first], ids[second] });
  }

  /// Cuts two voters other than the leader off from all others, in both directions.
  void CutOffTwo()
  {
    std::vector<ControlId> away;
    for (const ControlId& it : mCluster.mIds) {
      if (it != mCluster.Leader()->mOptions.mSelf && away.size() < 2) {
        away.push_back(it);
      }
    }
    for (const ControlId& it : away) {
      for (const ControlId& other : mCluster.mIds) {
        mCluster.mCutLinks[{ it, other }] = mCluster.mCutLinks[{ other, it }] = true;
      }
    }
  }

  /// @return processes whose disks hold a change that no snapshot covers
  std::vector<ControlId> Holders(const std::string& aPayload) const
  {
    std::vector<ControlId> holders;
    for (const ControlId& id : mCluster.mIds) {
      const std::vector<LogEntry>& log = mCluster.mProcesses.at(id).mDisk.mDurable.mLog;
      if (std::any_of(log.begin(), log.end(), [&](const LogEntry& aEntry) {
            return aEntry.mPayload == aPayload;
          })) {
        holders.push_back(id);
      }
    }
    return holders;
  }

  /// @return true if all processes have applied a change
  bool IsAppliedEverywhere(const std::string& aPayload) const
  {
    return std::all_of(mCluster.mIds.begin(), mCluster.mIds.end(), [&](const ControlId& aId) {
      return HasApplied(mCluster.mProcesses.at(aId), aPayload);
    });
  }

  /// @return true if a majority of the processes have applied a change
  bool IsAppliedByMajority(const std::string& aPayload) const
  {
    const auto holders =
      std::count_if(mCluster.mIds.begin(), mCluster.mIds.end(), [&](const ControlId& aId) {
        return HasApplied(mCluster.mProcesses.at(aId), aPayload);
      });
    return holders > static_cast<std::ptrdiff_t>(kSize / 2);
  }

  static bool HasApplied(const Process& aProcess, const std::string& aPayload)
  {
    return std::any_of(aProcess.mApplied.begin(),
                       aProcess.mApplied.end(),
                       [&](const auto& aChange) { return aChange.second == aPayload; });
  }

  /// Two disks are lost, and all processes are without power for some seconds.
  void LosePowerAndDisks(const std::vector<ControlId>& aLost)
  {
    for (const ControlId& it : mCluster.mIds) {
      if (std::find(aLost.begin(), aLost.end(), it) != aLost.end()) {
        mCluster.LoseDisk(it);
      } else {
        mCluster.Crash(it);
      }
    }
    mCluster.Run(std::chrono::seconds(3));
    for (const ControlId& it : mCluster.mIds) {
      mCluster.Start(it);
    }
  }

  bool Recovers()
  {
    for (Millis time{ 0 }; time < kRecoveryTime && !mCluster.Converged(); time += Millis(500)) {
      mCluster.Run(Millis(500));
    }
    return mCluster.Converged();
  }

  /// Loses a voter for good; an empty process starts elsewhere 1 s later and has its time to catch
  /// up.
  /// @param aRun lets the time pass
  void ReplaceVoter(const std::function<void(Millis)>& aRun)
  {
    const ControlId lost = mCluster.mIds[mCluster.RandomBelow(kSize)];
    mCluster.Crash(lost);
    aRun(std::chrono::seconds(1));
    mCluster.Replace(lost);
    aRun(kCatchUpTime);
  }

  /// Checks that a change which has just been committed is still there afterwards.
  void CheckLossOfPowerAndTwoDisks()
  {
    const std::string payload = CommitChange();
    LosePowerAndTwoDisks();
    REQUIRE(Recovers());
    CHECK(IsAppliedEverywhere(payload));
  }
};

// Guards against a group that waits for its lost voter longer than a deployment waits for the
// replacement: with two more disks lost, it then never has a majority again.
TEST_CASE("Group, two disks and all power lost after a voter was replaced, keeps every change",
          "[agreement]")
{
  for (std::uint64_t seed = 1; seed <= kPowerSeeds; ++seed) {
    INFO("seed " << seed);
    PowerFixture fixture(seed);
    fixture.ReplaceVoter([&](Millis aTime) { fixture.mCluster.Run(aTime); });
    fixture.CheckLossOfPowerAndTwoDisks();
  }
}

// Guards against a replacement that never counts as caught up because the log grows all the time.
TEST_CASE(
  "Group, voter replaced while changes go on, keeps every change when disks and power are lost",
  "[agreement]")
{
  for (std::uint64_t seed = 1; seed <= kPowerSeeds; ++seed) {
    INFO("seed " << seed);
    PowerFixture fixture(seed);
    fixture.ReplaceVoter([&](Millis aTime) { fixture.RunWithChanges(aTime); });
    fixture.CheckLossOfPowerAndTwoDisks();
  }
}

// Guards against two voters that come back with empty disks and do not count again in time.
TEST_CASE("Group, two disks lost and two more after the time to catch up, keeps every change",
          "[agreement]")
{
  for (std::uint64_t seed = 1; seed <= kPowerSeeds; ++seed) {
    INFO("seed " << seed);
    PowerFixture fixture(seed);
    Cluster& cluster = fixture.mCluster;
    for (int n = 0; n < 3; ++n) {
      const std::string payload = fixture.CommitChange();
      const std::size_t first = cluster.RandomBelow(kSize);
      const std::size_t second = (first + 1 + cluster.RandomBelow(kSize - 1)) % kSize;
      cluster.LoseDisk(cluster.mIds[first]);
      cluster.LoseDisk(cluster.mIds[second]);
      fixture.RunWithChanges(std::chrono::seconds(3));
      cluster.Start(cluster.mIds[first]);
      cluster.Start(cluster.mIds[second]);
      fixture.RunWithChanges(kCatchUpTime);
      CHECK(fixture.IsAppliedByMajority(payload));
    }
    fixture.CheckLossOfPowerAndTwoDisks();
  }
}

// Guards against a voter that was replaced while it was suspended, and then waits for votes that
// nobody gives: it would stay outside the group for good.
TEST_CASE("Group, voter replaced while suspended and its leader changed, returns as a learner",
          "[agreement]")
{
  for (std::uint64_t seed = 1; seed <= kPowerSeeds; ++seed) {
    INFO("seed " << seed);
    Cluster cluster(kSize + 1, seed, kConfiguredCount);
    cluster.Run(std::chrono::seconds(15));
    REQUIRE(cluster.Leader() != nullptr);
    REQUIRE(cluster.Leader()->mMembership.mVoters.size() == kSize);
    ControlId away;
    for (const ControlId& it : cluster.mIds) {
      const bool isVoter = cluster.Leader()->mMembership.mVoters.count(it) > 0;
      away = isVoter && it != cluster.Leader()->mOptions.mSelf ? it : away;
    }
    cluster.mProcesses.at(away).mSuspended = true;
    cluster.Run(std::chrono::seconds(3));
    REQUIRE(cluster.Leader() != nullptr);
    REQUIRE(cluster.Leader()->mMembership.mVoters.count(away) == 0);
    for (const ControlId& it : cluster.mIds) {
      cluster.Crash(it);
    }
    // What waited for the suspended process is lost with it.
    cluster.mProcesses.at(away).mSuspended = false;
    cluster.Run(std::chrono::seconds(1));
    cluster.Heal();
    for (int n = 0; n < 20; ++n) {
      if (cluster.Leader() != nullptr) {
        cluster.Propose(cluster.Leader()->mOptions.mSelf);
      }
      cluster.Run(std::chrono::seconds(1));
    }
    REQUIRE(cluster.Leader() != nullptr);
    CHECK(cluster.mProcesses.at(away).mNode->mMembership == cluster.Leader()->mMembership);
  }
}

// Guards against a group that starts to wait for its lost voter again with each new leader, and so
// does not have its replacement in time.
TEST_CASE("Group, leader replaced and its successor restarted, admits the replacement in time",
          "[agreement]")
{
  constexpr Millis kStep{ 50 };
  for (std::uint64_t seed = 1; seed <= kPowerSeeds; ++seed) {
    INFO("seed " << seed);
    PowerFixture fixture(seed);
    Cluster& cluster = fixture.mCluster;
    const ControlId lost = cluster.Leader()->mOptions.mSelf;
    cluster.Crash(lost);
    cluster.Run(std::chrono::seconds(1));
    const ControlId added = cluster.Replace(lost);
    std::optional<ControlId> restarted;
    for (Millis time{ 0 }; time < kCatchUpTime; time += kStep) {
      if (!restarted && time >= Millis(1500) && cluster.Leader() != nullptr) {
        restarted = cluster.Leader()->mOptions.mSelf;
        cluster.Crash(*restarted);
      }
      if (restarted && time >= Millis(2500)) {
        cluster.Start(*restarted);
      }
      cluster.Run(kStep);
    }
    // The next leader is elected by a majority, so that it has this membership as well.
    const auto holders =
      std::count_if(cluster.mIds.begin(), cluster.mIds.end(), [&](const ControlId& aId) {
        const Process& process = cluster.mProcesses.at(aId);
        return process.mNode && process.mNode->mMembership.mVoters.count(added) == 1;
      });
    CHECK(holders > static_cast<std::ptrdiff_t>(kSize / 2));
  }
}

// Guards against a change that is lost with two of the only three disks that hold it, because the
// two voters that missed it elect a leader without the third disk.
TEST_CASE("Group, two of the three disks that hold a change and all power lost, keeps the change",
          "[agreement]")
{
  for (std::uint64_t seed = 1; seed <= kPowerSeeds; ++seed) {
    INFO("seed " << seed);
    PowerFixture fixture(seed);
    Cluster& cluster = fixture.mCluster;
    fixture.CutOffTwo();
    fixture.RunWithChanges(Millis(cluster.RandomBelow(2000)));
    const std::string payload = fixture.CommitChange();
    std::vector<ControlId> lost = fixture.Holders(payload);
    REQUIRE(lost.size() == 3);
    lost.erase(lost.begin() + cluster.RandomBelow(3));
    cluster.mCutLinks.clear();
    fixture.LosePowerAndDisks(lost);
    REQUIRE(fixture.Recovers());
    CHECK(fixture.IsAppliedEverywhere(payload));
  }
}

} // namespace
} // namespace fighold::agreement::test
