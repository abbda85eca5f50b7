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
