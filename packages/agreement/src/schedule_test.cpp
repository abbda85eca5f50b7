#include "cluster_fake.hpp"
#include "environment.hpp"

#include <algorithm>
#include <set>

namespace fighold::agreement::test {
namespace {

/// Number of random schedules per test; FIGHOLD_SCHEDULES overrides it.
std::uint64_t
ScheduleCount()
{
  return testing::FromEnvironment("FIGHOLD_SCHEDULES", 1500);
}

struct ScheduleFixture
{
  /// Waits until a group has elected a leader.
  static void AwaitGroup(Cluster& aCluster)
  {
    aCluster.Run(Millis(4000));
    REQUIRE(aCluster.Leader() != nullptr);
  }

  /// Checks that after the faults end the group accepts changes and all processes agree.
  static void CheckRecovery(Cluster& aCluster)
  {
    aCluster.Heal();
    // Lets the messages in flight arrive.
    aCluster.Run(Millis(4000));
    for (int n = 0; n < 40 && !aCluster.Converged(); ++n) {
      aCluster.Run(Millis(1000));
    }
    REQUIRE(aCluster.Converged());
    const std::string payload = aCluster.Propose(aCluster.mIds.back());
    aCluster.Run(Millis(1500));
    CHECK(std::any_of(aCluster.mCommittedChanges.begin(),
                      aCluster.mCommittedChanges.end(),
                      [&](const auto& it) { return it.second == payload; }));
    CHECK(aCluster.Converged());
  }

  static void CutRandomLink(Cluster& aCluster)
  {
    const ControlId& from = aCluster.mIds[aCluster.RandomBelow(aCluster.mIds.size())];
    const ControlId& to = aCluster.mIds[aCluster.RandomBelow(aCluster.mIds.size())];
    const bool cut = aCluster.RandomBelow(2) == 0;
    aCluster.mCutLinks[{ from, to }] = cut;
    if (aCluster.RandomBelow(2) == 0) {
      aCluster.mCutLinks[{ to, from }] = cut;
    }
  }

  /// Injects one random fault or repair.
  static void InjectFault(Cluster& aCluster)
  {
    const ControlId& id = aCluster.mIds[aCluster.RandomBelow(aCluster.mIds.size())];
    switch (aCluster.RandomBelow(8)) {
      case 0:
      case 1:
        CutRandomLink(aCluster);
        break;
      case 2:
        aCluster.Crash(id);
        break;
      case 3:
      case 4:
        aCluster.Start(id);
        break;
      case 5:
        aCluster.mProcesses[id].mSuspended = !aCluster.mProcesses[id].mSuspended;
        break;
      case 6:
        aCluster.mCutLinks.clear();
        break;
      default:
        break;
    }
  }

  static void RunWithFaults(Cluster& aCluster, int aSteps)
  {
    for (int n = 0; n < aSteps; ++n) {
      if (aCluster.RandomBelow(3) == 0) {
        InjectFault(aCluster);
      }
      aCluster.Propose(aCluster.mIds[aCluster.RandomBelow(aCluster.mIds.size())]);
      aCluster.Run(Millis(50 + aCluster.RandomBelow(500)));
    }
  }
};

// Guards against lost, duplicated and conflicting entries, and a group that does not recover.
TEST_CASE_METHOD(ScheduleFixture,
                 "Step, messages lost, delayed, duplicated and reordered, crashes and partitions, "
                 "keeps one history and recovers",
                 "[agreement][schedule]")
{
  std::size_t restores = 0;
  for (std::uint64_t seed = 1; seed <= ScheduleCount(); ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed % 3 == 0 ? 5 : 3, seed);
    AwaitGroup(cluster);
    cluster.mFaults = { cluster.RandomBelow(150),
                        cluster.RandomBelow(150),
                        cluster.RandomBelow(150) };
    RunWithFaults(cluster, 25);
    CheckRecovery(cluster);
    restores += cluster.mRestores;
  }
  // Some lagging processes must have caught up through snapshots.
  CHECK(restores > ScheduleCount() / 10);
}

// Guards against a VM with an empty or older disk that counts as the member it was before, and
// against a group that tolerates one failure less after a repair.
TEST_CASE_METHOD(
  ScheduleFixture,
  "Step, one disk after another lost or swapped, replaces the member each time and loses "
  "nothing",
  "[agreement][schedule]")
{
  for (std::uint64_t seed = 1; seed <= ScheduleCount(); ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed % 3 == 0 ? 5 : 3, seed);
    AwaitGroup(cluster);
    for (int n = 0; n < 4; ++n) {
      cluster.mFaults = { cluster.RandomBelow(100),
                          cluster.RandomBelow(100),
                          cluster.RandomBelow(100) };
      RunWithFaults(cluster, 5);
      // The next disk is lost only after the previous loss has been repaired.
      cluster.Heal();
      for (int wait = 0; wait < 40 && !cluster.Converged(); ++wait) {
        cluster.Run(Millis(1000));
      }
      REQUIRE(cluster.Converged());
      cluster.mFaults = { cluster.RandomBelow(100),
                          cluster.RandomBelow(100),
                          cluster.RandomBelow(100) };
      const ControlId lost = cluster.mIds[cluster.RandomBelow(cluster.mIds.size())];
      if (cluster.RandomBelow(2) == 0 || !cluster.RestoreDisk(lost)) {
        cluster.LoseDisk(lost);
      }
      cluster.Run(Millis(cluster.RandomBelow(3000)));
      cluster.Start(lost);
      RunWithFaults(cluster, 3);
    }
    CheckRecovery(cluster);
    CHECK(cluster.mMembershipChanges > 0);
  }
}

// Guards against a VM with a lost disk that bootstraps a second group, or helps to, before the
// membership of the first group has been replicated.
TEST_CASE_METHOD(ScheduleFixture,
                 "Step, disk lost during bootstrap, never forms a second group",
                 "[agreement][schedule]")
{
  std::size_t formed = 0;
  for (std::uint64_t seed = 1; seed <= ScheduleCount(); ++seed) {
    CAPTURE(seed);
    Cluster cluster(3, seed);
    cluster.mFaults = { cluster.RandomBelow(300),
                        cluster.RandomBelow(300),
                        cluster.RandomBelow(300) };
    cluster.Run(Millis(cluster.RandomBelow(3000)));
    const ControlId lost = cluster.mIds[cluster.RandomBelow(cluster.mIds.size())];
    cluster.LoseDisk(lost);
    cluster.Run(Millis(cluster.RandomBelow(2000)));
    cluster.Start(lost);
    RunWithFaults(cluster, 10);
    cluster.Heal();
    cluster.Run(Millis(15'000));
    std::set<Incarnation> groups;
    for (const ControlId& it : cluster.mIds) {
      const Node& node = *cluster.mProcesses[it].mNode;
      if (node.mCommitIndex > 0) {
        groups.insert(node.mMembership.mGroup);
      }
    }
    CHECK(groups.size() <= 1);
    formed += cluster.Converged() ? 1 : 0;
  }
  // Losing the bootstrapping process, or a second one, before the membership has been replicated
  // needs an operator.
  CHECK(formed * 10 >= ScheduleCount() * 8);
}

// Guards against a leader that was suspended and grants leases based on an old majority.
TEST_CASE_METHOD(
  ScheduleFixture,
  "QuorumConfirmedAt, leader suspended and resumed, is not renewed and it steps down",
  "[agreement][schedule]")
{
  Cluster cluster(3, 5);
  AwaitGroup(cluster);
  cluster.Propose(cluster.mIds.front());
  cluster.Run(Millis(1000));
  const ControlId oldLeader = cluster.Leader()->mOptions.mSelf;
  Process& process = cluster.mProcesses[oldLeader];
  const Instant before = QuorumConfirmedAt(*process.mNode);
  CHECK(before > Instant{});
  process.mSuspended = true;
  cluster.Run(Millis(4000));
  process.mSuspended = false;
  CHECK(QuorumConfirmedAt(*process.mNode) == before);
  cluster.Run(Millis(25));
  CHECK(!IsLeader(*process.mNode));
  CHECK(QuorumConfirmedAt(*process.mNode) == Instant{});
  REQUIRE(cluster.Leader() != nullptr);
  CHECK(cluster.Leader()->mOptions.mSelf != oldLeader);
}

// Guards against a reconnected VM that ends the term of a healthy leader.
TEST_CASE_METHOD(ScheduleFixture,
                 "Step, partitioned follower reconnects, keeps leader and term",
                 "[agreement][schedule]")
{
  Cluster cluster(3, 6);
  AwaitGroup(cluster);
  const ControlId leader = cluster.Leader()->mOptions.mSelf;
  const Term term = cluster.Leader()->mTermVote.mTerm;
  const ControlId isolated =
    cluster.mIds.front() == leader ? cluster.mIds.back() : cluster.mIds.front();
  for (const ControlId& it : cluster.mIds) {
    cluster.mCutLinks[{ it, isolated }] = cluster.mCutLinks[{ isolated, it }] = true;
  }
  cluster.Run(Millis(20'000));
  cluster.mCutLinks.clear();
  cluster.Run(Millis(5000));
  REQUIRE(cluster.Leader() != nullptr);
  CHECK(cluster.Leader()->mOptions.mSelf == leader);
  CHECK(cluster.Leader()->mTermVote.mTerm == term);
}

// Guards against a leader that can send but not receive: it must step down.
TEST_CASE_METHOD(ScheduleFixture,
                 "Step, leader receives no messages, steps down and another is elected within 2 s",
                 "[agreement][schedule]")
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    Cluster cluster(3, seed);
    AwaitGroup(cluster);
    const ControlId oldLeader = cluster.Leader()->mOptions.mSelf;
    for (const ControlId& it : cluster.mIds) {
      cluster.mCutLinks[{ it, oldLeader }] = true;
    }
    cluster.Run(Millis(1200));
    CHECK(!IsLeader(*cluster.mProcesses[oldLeader].mNode));
    cluster.Run(Millis(2000));
    CHECK(cluster.Leader() != nullptr);
  }
}

} // namespace
} // namespace fighold::agreement::test
