#pragma once

#include "fighold/agreement/message.hpp"
#include "fighold/chart/bound_chart.hpp"
#include "fighold/core/decision_record.hpp"
#include "fighold/core/time.hpp"

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Decisions of one control process about the replicated log; no I/O and no clock.
namespace fighold::agreement {

/// Time between two heartbeat rounds of a leader.
constexpr Millis kHeartbeatInterval{ 250 };

/// Shortest time without a leader after which an election begins, and longest time that a leader
/// goes on without a majority. Three heartbeat rounds and a round trip between regions fit in.
constexpr Millis kElectionTimeout{ 850 };

/// Random part of the election timeout, so that two processes seldom begin at the same time.
constexpr Millis kElectionJitter{ 600 };

/// Shortest time without a leader before the first election of a process that has heard of none
/// since its start, and its random part. When all were restarted nobody leads, and a pre-vote
/// disturbs no leader that others hear; two round trips between regions pass before the next one.
constexpr Millis kInitialElectionTimeout{ 100 };
constexpr Millis kInitialElectionJitter{ 300 };

/// Voters beyond which a process that asks to join only replaces one that is lost. Two of five may
/// lose their disks at once.
constexpr std::size_t kMaxVoters = 5;

/// Time without a message after which a voter counts as lost when another process waits to take its
/// place. A voter that is killed or frozen for some seconds is back before.
constexpr Millis kReplaceVoterAfter{ 6000 };

/// Time after which a process that is no voter and is not heard of is no longer sent anything.
constexpr Millis kForgetPeerAfter{ 30'000 };

/// Writes of entries that may wait for the storage. A leader drops proposals beyond that, and a
/// follower drops entries, which the leader repeats.
constexpr std::size_t kMaxPendingWrites = 512;

/// States of charts/control_role.scxml, in the order of its registry.
enum class Role : std::uint8_t
{
  Learner,
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  Halted,
};

struct Context;

using RoleChart = chart::BoundChart<Context>;

/// Loads charts/control_role.scxml.
/// @param aFolder folder of the charts
/// @throws FindingsError with every finding
std::shared_ptr<const RoleChart>
LoadRoleChart(const std::filesystem::path& aFolder);

/// Settings of a node.
struct Options
{
  ControlId mSelf;
  /// Control processes that are known from the start. The empty ones among them, all together, form
  /// the group; others join it.
  std::set<ControlId> mConfigured;
  bool mMayForm = true; ///< the deployment starts for the first time, so that a group may be formed
  std::uint64_t mSeed = 1;                   ///< of the random part of election timeouts
  std::uint64_t mSnapshotInterval = 1000;    ///< entries
  std::uint64_t mSnapshotChunkSize = 65'536; ///< bytes of a part of a snapshot
  std::shared_ptr<const RoleChart> mChart;
};

/// Term, and the vote given in it.
struct TermVote
{
  Term mTerm = 0;
  std::optional<Member> mVotedFor;

  friend auto operator<=>(const TermVote&, const TermVote&) = default;
};

/// What the storage holds at start, all synced.
struct RecoveredState
{
  Incarnation mIncarnation = 0;
  TermVote mTermVote;
  SharedValue<Snapshot> mSnapshot; ///< index 0: none
  std::vector<LogEntry> mLog;      ///< entries after the snapshot

  friend bool operator==(const RecoveredState&, const RecoveredState&) = default;
};

/// Time passed.
struct Tick
{
  friend auto operator<=>(const Tick&, const Tick&) = default;
};

/// A payload to append to the replicated log, wherever the leader is. It is dropped when no leader
/// is known, and it may be appended twice.
struct Propose
{
  std::string mPayload;

  friend auto operator<=>(const Propose&, const Propose&) = default;
};

/// A message of another control process arrived.
struct Received
{
  ControlId mFrom;
  Message mMessage;

  friend auto operator<=>(const Received&, const Received&) = default;
};

/// The storage synced everything up to a write.
struct Stored
{
  std::uint64_t mWrite = 0;

  friend auto operator<=>(const Stored&, const Stored&) = default;
};

/// The state machine's answer to TakeSnapshot.
struct SnapshotTaken
{
  Index mIndex = 0;
  std::string mState;

  friend auto operator<=>(const SnapshotTaken&, const SnapshotTaken&) = default;
};

using Event = std::variant<Tick, Propose, Received, Stored, SnapshotTaken>;

/// Send a message.
struct Send
{
  ControlId mTo;
  Message mMessage;

  friend auto operator<=>(const Send&, const Send&) = default;
};

/// Write and sync; answered by Stored with the same number. Writes are carried out in order.
struct Write
{
  std::uint64_t mWrite = 0;
  std::optional<TermVote> mTermVote;
  std::optional<SharedValue<Snapshot>>
    mSnapshot;                    ///< replaces the snapshot; mEntries then replace the whole log
  std::vector<LogEntry> mEntries; ///< replace whatever the log holds from the first one's index on

  friend bool operator==(const Write&, const Write&) = default;
};

/// Apply a committed change to the state machine; emitted in order, each index once.
struct Commit
{
  LogEntry mEntry;

  friend auto operator<=>(const Commit&, const Commit&) = default;
};

/// Replace the state of the state machine by a snapshot of the leader.
struct Restore
{
  SharedValue<Snapshot> mSnapshot;

  friend bool operator==(const Restore&, const Restore&) = default;
};

/// Encode the state of the state machine as it is now; answered by SnapshotTaken.
struct TakeSnapshot
{
  Index mIndex = 0;

  friend auto operator<=>(const TakeSnapshot&, const TakeSnapshot&) = default;
};

/// Log a change of role or membership.
struct Record
{
  DecisionRecord mRecord;

  friend auto operator<=>(const Record&, const Record&) = default;
};

using Effect = std::variant<Send, Write, Commit, Restore, TakeSnapshot, Record>;

/// What a leader knows of another process.
struct Peer
{
  Incarnation mIncarnation = 0;
  Index mMatchIndex = 0;
  Index mNextIndex = 1;
  Instant mHeardAt{};
  bool mMatched = false;         ///< the log is known to match up to mMatchIndex
  std::uint64_t mRound = 0;      ///< last heartbeat round it acknowledged
  std::uint64_t mFirstRound = 0; ///< first round begun after this incarnation was first heard
  Index mSnapshotIndex = 0;      ///< snapshot in transfer
  std::uint64_t mSnapshotOffset = 0;

  friend auto operator<=>(const Peer&, const Peer&) = default;
};

/// Parts of a snapshot received so far.
struct IncomingSnapshot
{
  Term mTerm = 0; ///< of the sending leader; two leaders may encode the same state differently
  Index mIndex = 0;
  std::string mBytes;

  friend auto operator<=>(const IncomingSnapshot&, const IncomingSnapshot&) = default;
};

/// State of one control process.
struct Node
{
  Options mOptions;
  Incarnation mIncarnation = 0;
  Role mRole = Role::Learner;
  TermVote mTermVote;
  std::optional<ControlId> mLeader;
  Instant mHeardLeaderAt{};
  Instant mElectionDeadline{};
  std::uint64_t mRandom = 0;

  SharedValue<Snapshot> mSnapshot;
  std::vector<LogEntry> mLog; ///< entries after the snapshot
  Index mSyncedIndex = 0;
  Index mCommitIndex = 0;
  Membership mMembership; ///< newest in the log, committed or not
  Index mMembershipIndex = 0;
  IncomingSnapshot mIncomingSnapshot;

  std::uint64_t mNextWrite = 1;
  std::uint64_t mStoredWrite = 0;
  std::uint64_t mTermWrite = 0;                     ///< write that holds mTermVote
  std::map<std::uint64_t, Index> mPendingWrites;    ///< last entry that is synced with a write
  std::multimap<std::uint64_t, Send> mPendingSends; ///< sent once the write is synced

  std::set<ControlId> mVotes;                   ///< for the candidate or pre-candidate
  std::set<ControlId> mReportedVoters;          ///< processes that were named as voters by others
  std::map<ControlId, Incarnation> mEmptyPeers; ///< processes known to have empty folders
  std::map<ControlId, Peer> mPeers;
  Index mTermStartIndex = 0; ///< first entry of the leader's term
  std::uint64_t mRound = 0;
  std::map<std::uint64_t, Instant> mRoundTimes;
  Instant mNextHeartbeat{};
  Instant mLeaderSince{};
  Instant mQuorumConfirmedAt{};
};

/// @param aOptions settings
/// @param aRecovered contents of the storage
/// @return node at start; its state machine holds the recovered snapshot
Node
MakeNode(Options aOptions, RecoveredState aRecovered);

/// @return true while the node acts as the leader
bool
IsLeader(const Node& aNode);

/// @return the leader, as far as the node knows
std::optional<ControlId>
Leader(const Node& aNode);

/// @return true when this incarnation is one of the first members of the group, and the log still
///         reaches back to the founding
bool
IsInitialMember(const Node& aNode);

/// @return start of the last heartbeat round that a majority acknowledged; leases that a leader
/// grants rest on it. The epoch while the node does not lead or has not yet committed an entry of
/// its term, because its state machine may be behind until then.
Instant
QuorumConfirmedAt(const Node& aNode);

/// @return time at which the node needs its next tick
Instant
NextTimer(const Node& aNode);

/// @return name of a role, as in the chart
std::string
RoleName(Role aRole);

/// Handles one event.
/// @param aNode state, changed in place
/// @param aEvent event
/// @param aNow monotonic time
/// @return effects, in the order in which they must be carried out
std::vector<Effect>
Step(Node& aNode, const Event& aEvent, Instant aNow);

} // namespace fighold::agreement
