#include "cluster_fake.hpp"

#include <algorithm>

/// Processes that join a group without being configured with all its members.
namespace fighold::agreement::test {
namespace {

constexpr std::size_t kSize = 5;
constexpr std::size_t kConfiguredCount = 3;

struct JoinFixture
{
  Cluster mCluster{ kSize, 7, kConfiguredCount };

  std::set<ControlId> Voters() const
  {
    std::set<ControlId> voters;
    for (const auto& [id, incarnation] : mCluster.Leader()->mMembership.mVoters) {
      voters.insert(id);
    }
    return voters;
  }

  /// Runs until all processes are voters, or fails.
  void RunUntilJoined()
  {
    for (int n = 0; n < 60 && !mCluster.Converged(); ++n) {
      mCluster.Run(std::chrono::seconds(1));
    }
    REQUIRE(mCluster.Converged());
  }
};

// Guards against processes that are not configured and never become voters: the log would then be
// lost with two disks.
TEST_CASE_METHOD(JoinFixture,
                 "Group, five processes of which three are configured, all become voters",
                 "[agreement]")
{
  RunUntilJoined();
  CHECK(Voters().size() == kSize);
}

// Guards against a group that keeps a voter which is gone for good, and so tolerates one failure
// less.
TEST_CASE_METHOD(JoinFixture,
                 "Group, voter replaced by an empty process elsewhere, admits it",
                 "[agreement]")
{
  RunUntilJoined();
  const std::string payload = mCluster.Propose(mCluster.mIds.front());
  mCluster.Run(std::chrono::seconds(2));
  // First a configured process, then the leader.
  for (int n = 0; n < 2; ++n) {
    const ControlId lost = n == 0 ? mCluster.mIds.front() : mCluster.Leader()->mOptions.mSelf;
    const ControlId added = mCluster.Replace(lost);
    RunUntilJoined();
    CHECK(Voters().count(lost) == 0);
    CHECK(Voters().count(added) == 1);
    CHECK(Voters().size() == kSize);
  }
  CHECK(mCluster.mProcesses.at(mCluster.mIds.back()).mApplied.front().second == payload);
}

// Guards against removing a voter that was down for some seconds while no other process was waiting
// to replace it.
TEST_CASE_METHOD(JoinFixture,
                 "Group, voter down without a replacement, stays a voter",
                 "[agreement]")
{
  RunUntilJoined();
  const ControlId away = mCluster.mIds.back();
  mCluster.Crash(away);
  mCluster.Run(std::chrono::seconds(30));
  CHECK(Voters().count(away) == 1);
}

// Guards against a second group, bootstrapped by processes that lost their disks.
TEST_CASE_METHOD(JoinFixture,
                 "Group, all configured processes lose their disks later, form no second group",
                 "[agreement]")
{
  RunUntilJoined();
  const Incarnation group = mCluster.Leader()->mMembership.mGroup;
  mCluster.mOptions.mMayBootstrap = false;
  const std::vector<ControlId> ids = mCluster.mIds;
  for (std::size_t n = 0; n < kConfiguredCount; ++n) {
    mCluster.Crash(ids[n]);
    mCluster.LoseDisk(ids[n]);
    mCluster.Start(ids[n]);
  }
  mCluster.Run(std::chrono::seconds(20));
  for (const ControlId& it : ids) {
    const Node& node = *mCluster.mProcesses.at(it).mNode;
    CHECK((node.mMembership.mGroup == 0 || node.mMembership.mGroup == group));
  }
}

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
      const auto& applied = mCluster.mProcesses.at(aId).mApplied;
      return std::any_of(applied.begin(), applied.end(), [&](const auto& aChange) {
        return aChange.second == aPayload;
      });
    });
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
};

// Guards against a group that waits for its lost voter longer than a deployment waits for the
// replacement: with two more disks lost, it then never has a majority again.
TEST_CASE("Group, two disks and all power lost after a voter was replaced, keeps every change",
          "[agreement]")
{
  for (std::uint64_t seed = 1; seed <= kPowerSeeds; ++seed) {
    INFO("seed " << seed);
    PowerFixture fixture(seed);
    Cluster& cluster = fixture.mCluster;
    const ControlId lost = cluster.mIds[cluster.RandomBelow(kSize)];
    cluster.Crash(lost);
    cluster.Run(std::chrono::seconds(1));
    cluster.Replace(lost);
    cluster.Run(kCatchUpTime);
    const std::string payload = fixture.CommitChange();
    fixture.LosePowerAndTwoDisks();
    REQUIRE(fixture.Recovers());
    CHECK(fixture.IsCommitted(payload));
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
    Cluster& cluster = fixture.mCluster;
    const ControlId lost = cluster.mIds[cluster.RandomBelow(kSize)];
    cluster.Crash(lost);
    fixture.RunWithChanges(std::chrono::seconds(1));
    cluster.Replace(lost);
    fixture.RunWithChanges(kCatchUpTime);
    const std::string payload = fixture.CommitChange();
    fixture.LosePowerAndTwoDisks();
    REQUIRE(fixture.Recovers());
    CHECK(fixture.IsCommitted(payload));
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
      CHECK(fixture.IsCommitted(payload));
    }
    const std::string payload = fixture.CommitChange();
    fixture.LosePowerAndTwoDisks();
    REQUIRE(fixture.Recovers());
    CHECK(fixture.IsCommitted(payload));
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

// Guards against lost or duplicated changes, and a group that does not recover, when processes
// restart, lose disks and are replaced in any order. The cluster checks its invariants after each
// step.
TEST_CASE("Group, random restarts, lost disks and replacements, loses nothing and recovers",
          "[agreement]")
{
  constexpr std::uint64_t kSchedules = 200;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    INFO("seed " << seed);
    Cluster cluster(kSize, seed, kConfiguredCount);
    cluster.mFaults = { 20, 20, 20 };
    cluster.Run(std::chrono::seconds(12));
    for (int n = 0; n < 5; ++n) {
      cluster.Propose(cluster.mIds[cluster.RandomBelow(kSize)]);
      const ControlId victim = cluster.mIds[cluster.RandomBelow(kSize)];
      switch (cluster.RandomBelow(3)) {
        case 0:
          cluster.Replace(victim);
          break;
        case 1:
          cluster.Crash(victim);
          cluster.LoseDisk(victim);
          break;
        default:
          cluster.Crash(victim);
          break;
      }
      cluster.Run(Millis(cluster.RandomBelow(3000)));
      const bool gone =
        std::find(cluster.mIds.begin(), cluster.mIds.end(), victim) == cluster.mIds.end();
      if (!gone) {
        cluster.Start(victim);
      }
      // Time to catch up, as a deployment allows.
      cluster.Run(std::chrono::seconds(20));
    }
    cluster.Heal();
    for (int n = 0; n < 60 && !cluster.Converged(); ++n) {
      cluster.Run(std::chrono::seconds(1));
    }
    REQUIRE(cluster.Converged());
  }
}

} // namespace
} // namespace fighold::agreement::test
