#include "fighold/agreement/node.hpp"

#include <catch2/catch.hpp>

namespace fighold::agreement {
namespace {

const ControlId kSelf{ "c1" };
const ControlId kSecond{ "c2" };
const ControlId kThird{ "c3" };

/// Process c1 of a group of c1, c2 and c3 with the incarnations 1, 2 and 3; the log ends with entry
/// 3 of term 2.
struct NodeFixture
{
  Node mNode;
  Instant mNow{ std::chrono::hours(1) };
  std::vector<Effect> mEffects;

  NodeFixture() { Start({ 2, std::nullopt }); }

  void Start(const TermVote& aTermVote)
  {
    static const auto kChart = LoadRoleChart(FIGHOLD_CHARTS_DIR);
    Options options;
    options.mSelf = kSelf;
    options.mConfigured = { kSelf, kSecond, kThird };
    options.mChart = kChart;
    const Membership membership{ 1, { { kSelf, 1 }, { kSecond, 2 }, { kThird, 3 } } };
    RecoveredState recovered{ 1,
                              aTermVote,
                              {},
                              { { 1, 1, EncodeMembership(membership), EntryKind::Membership },
                                { 2, 1, "a" },
                                { 3, 2, "b" } } };
    mNode = MakeNode(options, recovered);
    StepNode(Tick{});
    REQUIRE(mNode.mRole != Role::Learner);
  }

  void StepNode(const Event& aEvent) { mEffects = Step(mNode, aEvent, mNow); }

  void Receive(const Member& aFrom, Body aBody)
  {
    StepNode(Received{ aFrom.mId, Message{ aFrom.mIncarnation, 1, std::move(aBody) } });
  }

  /// Reports all writes as synced.
  void Sync() { StepNode(Stored{ mNode.mNextWrite - 1 }); }

  template<typename T>
  std::vector<T> Effects() const
  {
    std::vector<T> found;
    for (const Effect& it : mEffects) {
      if (const auto* effect = std::get_if<T>(&it)) {
        found.push_back(*effect);
      }
    }
    return found;
  }

  /// @return bodies of one type among the messages sent
  template<typename T>
  std::vector<T> Sent() const
  {
    std::vector<T> found;
    for (const Send& it : Effects<Send>()) {
      if (const auto* body = std::get_if<T>(&it.mMessage.mBody)) {
        found.push_back(*body);
      }
    }
    return found;
  }

  /// Makes the node a candidate of the next term, with its own vote synced.
  void BecomeCandidate()
  {
    mNow += kElectionTimeout + kElectionJitter;
    StepNode(Tick{});
    Receive({ kSecond, 2 }, VoteReply{ mNode.mTermVote.mTerm + 1, true, true });
    REQUIRE(mNode.mRole == Role::Candidate);
    Sync();
  }

  /// Makes the node the leader; the no-op of its term is entry 4.
  void BecomeLeader()
  {
    BecomeCandidate();
    Receive({ kSecond, 2 }, VoteReply{ mNode.mTermVote.mTerm, false, true });
    REQUIRE(IsLeader(mNode));
    Sync();
  }

  void Acknowledge(const Member& aFrom, Index aSynced)
  {
    Receive(aFrom, AppendEntriesReply{ mNode.mTermVote.mTerm, true, aSynced, mNode.mRound });
  }

  void StartNextRound()
  {
    mNow += kHeartbeatInterval;
    StepNode(Tick{});
  }
};

// Guards against two leaders in one term, and against a leader that lacks committed entries.
TEST_CASE_METHOD(NodeFixture, "Step, vote requested, follows the voting rules", "[agreement]")
{
  struct Row
  {
    const char* mName;
    TermVote mPersisted;
    VoteRequest mRequest;
    bool mGranted;
  };
  const Member second{ kSecond, 2 };
  const Member former{ kSecond, 9 };
  const Row rows[] = {
    { "newer term", { 2, {} }, { 3, false, 3, 2, 1 }, true },
    { "pre-vote", { 2, {} }, { 3, true, 3, 2, 1 }, true },
    { "longer log", { 2, {} }, { 3, false, 9, 2, 1 }, true },
    { "shorter log of a newer term", { 2, {} }, { 4, false, 1, 3, 1 }, true },
    { "shorter log", { 2, {} }, { 3, false, 2, 2, 1 }, false },
    { "longer log of an older term", { 2, {} }, { 3, false, 9, 1, 1 }, false },
    { "pre-vote, shorter log", { 2, {} }, { 3, true, 2, 2, 1 }, false },
    { "pre-vote, log of an older term", { 2, {} }, { 3, true, 9, 1, 1 }, false },
    { "same term, no vote yet", { 3, {} }, { 3, false, 3, 2, 1 }, true },
    { "same term, same vote", { 3, second }, { 3, false, 3, 2, 1 }, true },
    { "same term, other vote", { 3, Member{ kThird, 3 } }, { 3, false, 3, 2, 1 }, false },
    { "same term, vote for a former incarnation", { 3, former }, { 3, false, 3, 2, 1 }, false },
    { "older term", { 4, {} }, { 3, false, 3, 2, 1 }, false },
    { "pre-vote, own term", { 3, {} }, { 3, true, 3, 2, 1 }, false },
    { "asks a former incarnation", { 2, {} }, { 3, false, 3, 2, 8 }, false },
    { "pre-vote, asks a former incarnation", { 2, {} }, { 3, true, 3, 2, 8 }, false },
  };
  for (const Row& row : rows) {
    CAPTURE(row.mName);
    Start(row.mPersisted);
    Receive(second, row.mRequest);
    const bool writes = !Effects<Write>().empty();
    if (writes) {
      // The reply is sent only after the vote is synced.
      CHECK(Sent<VoteReply>().empty());
      Sync();
    }
    bool granted = false;
    for (const VoteReply& it : Sent<VoteReply>()) {
      granted = granted || it.mGranted;
    }
    CHECK(granted == row.mGranted);
    CHECK((!row.mRequest.mPreVote || !writes));
  }
}

// Guards against disruption by a reconnected process: it must not end the term of a leader that
// others follow.
TEST_CASE_METHOD(NodeFixture, "Step, recent contact with the leader, rejects votes", "[agreement]")
{
  Receive({ kThird, 3 }, AppendEntries{ 2, 3, 2, 0, 1, {} });
  for (const bool preVote : { true, false }) {
    Receive({ kSecond, 2 }, VoteRequest{ 3, preVote, 9, 2, 1 });
    REQUIRE(Sent<VoteReply>().size() == 1);
    CHECK_FALSE(Sent<VoteReply>().front().mGranted);
    CHECK(mNode.mTermVote.mTerm == 2);
  }
}

// Guards against an election won with votes of processes that are not voters.
TEST_CASE_METHOD(NodeFixture, "Step, vote of another incarnation, does not count", "[agreement]")
{
  BecomeCandidate();
  Receive({ kSecond, 9 }, VoteReply{ 3, false, true });
  Receive({ { "c9" }, 9 }, VoteReply{ 3, false, true });
  CHECK(mNode.mRole == Role::Candidate);
  Receive({ kThird, 3 }, VoteReply{ 3, false, true });
  CHECK(IsLeader(mNode));
}

TEST_CASE_METHOD(NodeFixture,
                 "Step, entries acknowledged, commits own-term entries synced by voters",
                 "[agreement]")
{
  struct Row
  {
    const char* mName;
    Member mFrom;
    Index mSyncedIndex;
    Index mCommitIndex;
  };
  const Row rows[] = {
    { "own term", { kSecond, 2 }, 4, 4 },
    // Entry 3 is of an earlier term; another leader may still overwrite it.
    { "older term", { kSecond, 2 }, 3, 0 },
    { "another incarnation", { kSecond, 9 }, 4, 0 },
    { "unknown process", { { "c9" }, 9 }, 4, 0 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.mName);
    Start({ 2, std::nullopt });
    BecomeLeader();
    Acknowledge(row.mFrom, row.mSyncedIndex);
    CHECK(mNode.mCommitIndex == row.mCommitIndex);
  }
}

// Guards against counting the leader's own copy before it is synced.
TEST_CASE_METHOD(NodeFixture, "Step, leader's write not synced, does not commit", "[agreement]")
{
  BecomeLeader();
  Acknowledge({ kSecond, 2 }, 4);
  StepNode(Propose{ "c" });
  Acknowledge({ kSecond, 2 }, 5);
  CHECK(mNode.mCommitIndex == 4);
  Sync();
  CHECK(Effects<Commit>() == std::vector<Commit>{ { { 5, 3, "c" } } });
}

// Guards against overflowing the bounded ring to the storage when the disk is slow.
TEST_CASE_METHOD(NodeFixture, "Step, storage far behind, accepts no more entries", "[agreement]")
{
  for (Index n = 4; n < 4 + 2 * kMaxPendingWrites; ++n) {
    Receive({ kSecond, 2 }, AppendEntries{ 3, n - 1, n == 4 ? 2U : 3U, 0, 7, { { n, 3, "x" } } });
  }
  CHECK(mNode.mPendingWrites.size() == kMaxPendingWrites);
  Sync();
  CHECK(mNode.mSyncedIndex == 3 + kMaxPendingWrites);
  BecomeLeader();
  for (std::size_t n = 0; n < 2 * kMaxPendingWrites; ++n) {
    StepNode(Propose{ "c" });
  }
  CHECK(mNode.mPendingWrites.size() == kMaxPendingWrites);
}

// Guards against memory that fills with large entries while the disk is slow, at a follower and at
// a leader whose followers commit without it.
TEST_CASE_METHOD(NodeFixture,
                 "Step, storage many bytes behind, accepts no more entries",
                 "[agreement]")
{
  const std::string payload(kMaxUnstoredBytes / 4, 'x');
  for (Index n = 4; n < 12; ++n) {
    Receive({ kSecond, 2 },
            AppendEntries{ 3, n - 1, n == 4 ? 2U : 3U, 0, 7, { { n, 3, payload } } });
  }
  CHECK(mNode.mLog.back().mIndex == 7);
  Sync();
  CHECK(mNode.mUnstoredBytes == 0);
  Receive({ kSecond, 2 }, AppendEntries{ 3, 7, 3, 0, 8, { { 8, 3, payload } } });
  CHECK(mNode.mLog.back().mIndex == 8);
}

// Guards against memory that fills with changes that operators repeat while no majority answers.
TEST_CASE_METHOD(NodeFixture,
                 "Step, many bytes not committed, accepts no more proposals",
                 "[agreement]")
{
  BecomeLeader();
  const Index first = mNode.mLog.back().mIndex;
  const std::string payload(kMaxUncommittedBytes / 4, 'x');
  for (int n = 0; n < 8; ++n) {
    StepNode(Propose{ payload });
    Sync();
  }
  CHECK(mNode.mLog.back().mIndex == first + 4);
  Acknowledge({ kSecond, 2 }, first + 4);
  StepNode(Propose{ payload });
  CHECK(mNode.mLog.back().mIndex == first + 5);
}

// Guards against overflowing the bounded ring to the storage with terms of a faulty or foreign
// sender.
TEST_CASE_METHOD(NodeFixture,
                 "Step, storage far behind and terms rise, queues a bounded number of writes",
                 "[agreement]")
{
  const std::uint64_t first = mNode.mNextWrite;
  for (Term term = 3; term < 3 + 2 * kMaxUnstoredWrites; ++term) {
    Receive({ kSecond, 2 }, VoteReply{ term, false, false });
  }
  CHECK(mNode.mNextWrite - first == kMaxUnstoredWrites);
  Sync();
  Receive({ kSecond, 2 }, VoteReply{ 5000, false, false });
  CHECK(mNode.mTermVote.mTerm == 5000);
}

// Guards against overflowing the bounded ring to the storage with snapshots.
TEST_CASE_METHOD(NodeFixture,
                 "Step, storage far behind and snapshots arrive, queues a bounded number of writes",
                 "[agreement]")
{
  const std::string membership =
    EncodeMembership({ 1, { { kSelf, 1 }, { kSecond, 2 }, { kThird, 3 } } });
  const std::uint64_t first = mNode.mNextWrite;
  for (Index n = 10; n < 10 + 2 * kMaxUnstoredWrites; ++n) {
    Receive({ kSecond, 2 }, SnapshotChunk{ 2, 1, n, 2, membership, 0, 1, "s" });
  }
  CHECK(mNode.mNextWrite - first == kMaxUnstoredWrites);
}

// Guards against acknowledging entries that a crash would lose.
TEST_CASE_METHOD(NodeFixture, "Step, entries received, acknowledges after the sync", "[agreement]")
{
  Receive({ kSecond, 2 }, AppendEntries{ 3, 3, 2, 0, 7, { { 4, 3, "x" } } });
  CHECK(Sent<AppendEntriesReply>().empty());
  Sync();
  CHECK(Sent<AppendEntriesReply>() == std::vector<AppendEntriesReply>{ { 3, true, 4, 7 } });
}

// Guards against counting an entry as synced after it was replaced.
TEST_CASE_METHOD(NodeFixture, "Step, unsynced entries replaced, do not count", "[agreement]")
{
  Receive({ kSecond, 2 }, AppendEntries{ 3, 3, 2, 0, 7, { { 4, 3, "x" }, { 5, 3, "y" } } });
  const std::uint64_t first = mNode.mNextWrite - 1;
  Receive({ kThird, 3 }, AppendEntries{ 4, 3, 2, 0, 8, { { 4, 4, "z" }, { 5, 4, "z" } } });
  StepNode(Stored{ first });
  CHECK(mNode.mSyncedIndex == 3);
  Sync();
  CHECK(mNode.mSyncedIndex == 5);
}

// Guards against two majorities without a common member, and against a returned process that counts
// before its log has caught up.
TEST_CASE_METHOD(NodeFixture,
                 "Step, disk of a voter lost, removes and then admits it once caught up",
                 "[agreement]")
{
  const Member returned{ kThird, 9 };
  BecomeLeader();
  Acknowledge({ kSecond, 2 }, 4);
  Acknowledge(returned, 3);
  StartNextRound();
  Acknowledge({ kSecond, 2 }, 4);
  Acknowledge(returned, 3);
  CHECK(mNode.mMembership.mVoters.at(kThird) == 3);

  Acknowledge(returned, 4);
  CHECK(mNode.mMembership.mVoters.count(kThird) == 0);
  Acknowledge(returned, 5);
  // One membership change at a time: the removal is not committed yet.
  CHECK(mNode.mMembership.mVoters.count(kThird) == 0);
  Sync();
  Acknowledge({ kSecond, 2 }, 5);
  CHECK(mNode.mCommitIndex == 5);
  CHECK(mNode.mMembership.mVoters.at(kThird) == 9);
  Sync();
  // As a voter it forms a majority together with the leader.
  Acknowledge(returned, 6);
  CHECK(mNode.mCommitIndex == 6);
}

// Guards against a delayed message of a former incarnation that displaces the current one.
TEST_CASE_METHOD(NodeFixture,
                 "Step, delayed message of a former incarnation, admits no voter",
                 "[agreement]")
{
  BecomeLeader();
  Acknowledge({ kSecond, 2 }, 4);
  StartNextRound();
  const std::uint64_t old = mNode.mRound - 1;
  Acknowledge({ kSecond, 2 }, 4);
  Receive({ kThird, 9 }, AppendEntriesReply{ 3, true, 4, old });
  Receive({ kThird, 9 }, AppendEntriesReply{ 3, true, 4, old });
  CHECK(mNode.mMembership.mVoters.at(kThird) == 3);
}

// Guards against leases based on a majority of an earlier leadership, or granted while the state
// machine is behind.
TEST_CASE_METHOD(NodeFixture,
                 "QuorumConfirmedAt, new leader, is unset until it has committed",
                 "[agreement]")
{
  BecomeLeader();
  Receive({ kSecond, 2 }, AppendEntriesReply{ 3, true, 3, mNode.mRound });
  CHECK(QuorumConfirmedAt(mNode) == Instant{});
  Acknowledge({ kSecond, 2 }, 4);
  CHECK(QuorumConfirmedAt(mNode) == mNode.mLeaderSince);
  const Instant first = mNode.mLeaderSince;
  mNow += kElectionTimeout;
  StepNode(Tick{});
  CHECK_FALSE(IsLeader(mNode));
  CHECK(QuorumConfirmedAt(mNode) == Instant{});
  BecomeLeader();
  Receive({ kSecond, 2 }, AppendEntriesReply{ 4, true, 5, 0 });
  REQUIRE(mNode.mCommitIndex == 5);
  CHECK(QuorumConfirmedAt(mNode) == Instant{});
  Acknowledge({ kSecond, 2 }, 5);
  CHECK(QuorumConfirmedAt(mNode) == mNode.mLeaderSince);
  CHECK(QuorumConfirmedAt(mNode) > first);
}

// Guards against a snapshot assembled from two encodings of the same state, one acknowledged before
// it is synced, and one older than what has been applied.
TEST_CASE_METHOD(NodeFixture,
                 "Step, snapshot chunks of two leaders, installs the snapshot of the later leader",
                 "[agreement]")
{
  const Membership membership{ 1, { { kSelf, 1 }, { kSecond, 2 }, { kThird, 3 } } };
  const std::string encoded = EncodeMembership(membership);
  Receive({ kSecond, 2 }, SnapshotChunk{ 3, 7, 9, 3, encoded, 0, 4, "aa" });
  Sync();
  CHECK(Sent<SnapshotChunkReply>() == std::vector<SnapshotChunkReply>{ { 3, 7, 9, 2 } });
  Receive({ kThird, 3 }, SnapshotChunk{ 4, 8, 9, 3, encoded, 2, 4, "bb" });
  Receive({ kThird, 3 }, SnapshotChunk{ 4, 8, 9, 3, encoded, 0, 4, "bb" });
  Receive({ kThird, 3 }, SnapshotChunk{ 4, 8, 9, 3, encoded, 0, 4, "bb" });
  CHECK(Effects<Restore>().empty());
  Receive({ kThird, 3 }, SnapshotChunk{ 4, 8, 9, 3, encoded, 2, 4, "bb" });
  REQUIRE(Effects<Restore>().size() == 1);
  CHECK(*Effects<Restore>().front().mSnapshot == Snapshot{ 9, 3, membership, "bbbb" });
  CHECK(Sent<AppendEntriesReply>().empty());
  Sync();
  CHECK(Sent<AppendEntriesReply>() == std::vector<AppendEntriesReply>{ { 4, true, 9, 8 } });

  Receive({ kThird, 3 }, SnapshotChunk{ 4, 8, 8, 3, encoded, 0, 1, "c" });
  CHECK(mEffects.size() == 1);
  CHECK(mNode.mCommitIndex == 9);
}

// Guards against accepting messages of a group that another process bootstrapped.
TEST_CASE_METHOD(NodeFixture, "Step, message of another group, is ignored", "[agreement]")
{
  const Node before = mNode;
  StepNode(Received{ kSecond, Message{ 2, 7, AppendEntries{ 9, 3, 2, 0, 1, { { 4, 9, "x" } } } } });
  CHECK(mEffects.empty());
  CHECK(mNode.mTermVote == before.mTermVote);
}

// Guards against a process that continues although its log conflicts with committed entries.
TEST_CASE_METHOD(NodeFixture, "Step, committed entry replaced, halts", "[agreement]")
{
  Receive({ kSecond, 2 }, AppendEntries{ 3, 3, 2, 3, 1, {} });
  REQUIRE(mNode.mCommitIndex == 3);
  Receive({ kSecond, 2 }, AppendEntries{ 3, 2, 1, 3, 2, { { 3, 3, "other" } } });
  CHECK(mNode.mRole == Role::Halted);
  REQUIRE(Effects<Record>().size() == 1);
  CHECK(Effects<Record>().front().mRecord.mChoice == "halted");
  StepNode(Propose{ "c" });
  CHECK(mEffects.empty());
}

} // namespace
} // namespace fighold::agreement
