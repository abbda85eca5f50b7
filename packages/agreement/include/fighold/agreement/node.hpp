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

/// Replicated log (Raft): one control process as a state machine without I/O or clock.
namespace fighold::agreement {

/// Interval between two heartbeat rounds of a leader.
constexpr Millis kHeartbeatInterval{ 250 };

/// Minimum election timeout, and the time after which a leader that no majority acknowledges steps
/// down. It covers three heartbeat rounds and a round trip between regions.
constexpr Millis kElectionTimeout{ 850 };

/// Upper bound of the random part of the election timeout, which makes simultaneous elections
/// unlikely.
constexpr Millis kElectionJitter{ 600 };

/// Minimum election timeout, and its random part, of a process without contact to a leader since it
/// started. It can be short, because after a restart of all processes there is no leader, and a
/// pre-vote does not disrupt a leader that others still follow. Two round trips between regions,
/// for pre-vote and vote, fit in before the next election.
constexpr Millis kInitialElectionTimeout{ 100 };
constexpr Millis kInitialElectionJitter{ 300 };

/// Number of voters up to which a joining process is added; beyond it, it only replaces a voter
/// that is lost. Five voters tolerate the loss of two disks at once.
constexpr std::size_t kMaxVoters = 5;

/// Time without a message after which a voter counts as lost if another process is ready to replace
/// it. Deployments give a replacement 4 s after its start to become a voter, and may lose two more
/// disks from then on.
constexpr Millis kReplaceVoterAfter{ 2000 };

/// Same, for a voter of which a new leader has not heard yet. It may have been silent already
/// before the election, as a lost leader was; with kReplaceVoterAfter, two elections in a row would
/// take all of the time.
constexpr Millis kReplaceSilentVoterAfter{ 500 };

/// Time without a message after which the leader stops replicating to a process that is neither a
/// voter nor configured.
constexpr Millis kRemovePeerAfter{ 30'000 };

/// Maximum number of entry writes queued for the storage. Beyond it a leader drops proposals, and a
/// follower drops entries, which the leader resends.
constexpr std::size_t kMaxPendingWrites = 512;

/// Maximum number of writes of any kind that are not stored. Beyond it, messages are dropped as if
/// they were lost, and no election is started. One step adds at most three writes, so that a ring
/// of 1,024 places never fills.
constexpr std::uint64_t kMaxUnstoredWrites = 768;

/// Payload bytes beyond which no entry is accepted: of writes that are not stored, and of entries
/// that are not committed. One entry may exceed them, since its size is known only when it arrives.
constexpr std::size_t kMaxUnstoredBytes = 16U << 20U;
constexpr std::size_t kMaxUncommittedBytes = 16U << 20U;

/// The committed part of the log may be this much larger than the snapshot before the next snapshot
/// is taken. A process that loads a snapshot starts anew when the leader takes the next one, so
/// that a large one needs time.
constexpr std::size_t kLogPerSnapshot = 4;

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

/// Options of a node.
struct Options
{
  ControlId mSelf;
  /// Initially known control processes. Together they bootstrap the group if all have empty data
  /// folders; other processes join it.
  std::set<ControlId> mConfigured;
  bool mMayBootstrap = true; ///< first start of the deployment: a group may be bootstrapped
  std::uint64_t mSeed = 1;   ///< seed of the random part of election timeouts
  std::uint64_t mSnapshotInterval = 1000; ///< committed entries between snapshots
  /// Payload bytes of committed entries after which a snapshot is taken before mSnapshotInterval is
  /// reached; more behind a large snapshot, see kLogPerSnapshot.
  std::size_t mSnapshotBytes = 4U << 20U;
  std::uint64_t mSnapshotChunkSize = 65'536; ///< bytes
  std::shared_ptr<const RoleChart> mChart;
};

/// Current term, and the vote given in it.
struct TermVote
{
  Term mTerm = 0;
  std::optional<Member> mVotedFor;

  friend auto operator<=>(const TermVote&, const TermVote&) = default;
};

/// Persistent state as read at start; all of it is synced.
struct RecoveredState
{
  Incarnation mIncarnation = 0;
  TermVote mTermVote;
  SharedValue<Snapshot> mSnapshot; ///< index 0: no snapshot
  std::vector<LogEntry> mLog;      ///< entries after the snapshot

  friend bool operator==(const RecoveredState&, const RecoveredState&) = default;
};

/// Timer event.
struct Tick
{
  friend auto operator<=>(const Tick&, const Tick&) = default;
};

/// Proposes a payload for the replicated log; a follower forwards it to the leader. It is dropped
/// when no leader is known, and it may be appended twice.
struct Propose
{
  std::string mPayload;

  friend auto operator<=>(const Propose&, const Propose&) = default;
};

/// A message arrived from another control process.
struct Received
{
  ControlId mFrom;
  Message mMessage;

  friend auto operator<=>(const Received&, const Received&) = default;
};

/// The storage has synced all writes up to and including this one.
struct Stored
{
  std::uint64_t mWrite = 0;

  friend auto operator<=>(const Stored&, const Stored&) = default;
};

/// Reply of the state machine to TakeSnapshot.
struct SnapshotTaken
{
  Index mIndex = 0;
  std::string mState;

  friend auto operator<=>(const SnapshotTaken&, const SnapshotTaken&) = default;
};

using Event = std::variant<Tick, Propose, Received, Stored, SnapshotTaken>;

/// Sends a message.
struct Send
{
  ControlId mTo;
  Message mMessage;

  friend auto operator<=>(const Send&, const Send&) = default;
};

/// Writes and syncs; completed by Stored with the same number. Writes are performed in order.
struct Write
{
  std::uint64_t mWrite = 0;
  std::optional<TermVote> mTermVote;
  std::optional<SharedValue<Snapshot>>
    mSnapshot;                    ///< replaces the snapshot; mEntries then replace the complete log
  std::vector<LogEntry> mEntries; ///< replace the log from the index of the first one on

  friend bool operator==(const Write&, const Write&) = default;
};

/// Applies a committed change to the state machine. Emitted in log order, once for each index.
struct Commit
{
  LogEntry mEntry;

  friend auto operator<=>(const Commit&, const Commit&) = default;
};

/// Replaces the state of the state machine by a snapshot received from the leader.
struct Restore
{
  SharedValue<Snapshot> mSnapshot;

  friend bool operator==(const Restore&, const Restore&) = default;
};

/// Encodes the current state of the state machine; completed by SnapshotTaken.
struct TakeSnapshot
{
  Index mIndex = 0;

  friend auto operator<=>(const TakeSnapshot&, const TakeSnapshot&) = default;
};

/// Logs a change of role or membership as a decision record.
struct Record
{
  DecisionRecord mRecord;

  friend auto operator<=>(const Record&, const Record&) = default;
};

using Effect = std::variant<Send, Write, Commit, Restore, TakeSnapshot, Record>;

/// Replication progress of another process, kept by the leader.
struct Peer
{
  Incarnation mIncarnation = 0;
  Index mMatchIndex = 0;         ///< last entry that the peer has synced
  Index mNextIndex = 1;          ///< next entry to send
  Instant mLastContact{};        ///< time of the last reply, or of adding the peer
  bool mMatched = false;         ///< the peer's log is known to match up to mMatchIndex
  std::uint64_t mRound = 0;      ///< latest heartbeat round that the peer acknowledged
  std::uint64_t mFirstRound = 0; ///< first round started after the first reply of this incarnation
  Index mSnapshotIndex = 0;      ///< snapshot being transferred
  std::uint64_t mSnapshotOffset = 0;

  friend auto operator<=>(const Peer&, const Peer&) = default;
};

/// Snapshot chunks received so far.
struct IncomingSnapshot
{
  Term mTerm = 0; ///< term of the sending leader; leaders may encode the same state differently
  Index mIndex = 0;
  std::string mBytes;

  friend auto operator<=>(const IncomingSnapshot&, const IncomingSnapshot&) = default;
};

/// Raft state of one control process.
struct Node
{
  Options mOptions;
  Incarnation mIncarnation = 0;
  Role mRole = Role::Learner;
  TermVote mTermVote;
  std::optional<ControlId> mLeader;
  Instant mLeaderContact{};
  Instant mElectionDeadline{};
  std::uint64_t mRandomState = 0;

  SharedValue<Snapshot> mSnapshot;
  std::vector<LogEntry> mLog; ///< entries after the snapshot
  Index mSyncedIndex = 0;     ///< last entry synced by the own storage
  Index mCommitIndex = 0;     ///< last committed entry
  Membership mMembership;     ///< latest in the log, committed or not
  Index mMembershipIndex = 0; ///< entry with mMembership
  IncomingSnapshot mIncomingSnapshot;

  std::uint64_t mNextWrite = 1;
  std::uint64_t mStoredWrite = 0;                      ///< last synced write
  std::uint64_t mTermWrite = 0;                        ///< write that persists mTermVote
  std::map<std::uint64_t, Index> mPendingWrites;       ///< by write; last entry that it syncs
  std::map<std::uint64_t, std::size_t> mUnstoredSizes; ///< payload bytes of writes, by write
  std::size_t mUnstoredBytes = 0;                      ///< sum of mUnstoredSizes
  std::multimap<std::uint64_t, Send> mPendingSends;    ///< by write; sent once it is synced

  std::set<ControlId> mVotes;                   ///< votes or pre-votes received as a candidate
  std::set<ControlId> mReportedVoters;          ///< voters named in join replies
  std::map<ControlId, Incarnation> mEmptyPeers; ///< processes known to have empty data folders
  std::map<ControlId, Peer> mPeers;
  Index mTermStartIndex = 0; ///< first entry of the leader's term
  std::uint64_t mRound = 0;
  std::map<std::uint64_t, Instant> mRoundTimes; ///< start of each round since the last confirmed
  Instant mNextHeartbeat{}; ///< leader: next round; learner: next join request or bootstrap probe
  Instant mLeaderSince{};
  Instant mQuorumConfirmedAt{};
};

/// @param aOptions settings
/// @param aRecovered persistent state read from the storage
/// @return node in its initial state; the state machine must hold the recovered snapshot
Node
MakeNode(Options aOptions, RecoveredState aRecovered);

/// @return true while the node is the leader
bool
IsLeader(const Node& aNode);

/// @return current leader, if known
std::optional<ControlId>
Leader(const Node& aNode);

/// @return true if this incarnation is a voter of the group's first membership and the log still
/// contains that entry
bool
IsInitialMember(const Node& aNode);

/// @return start of the latest heartbeat round acknowledged by a majority; leases that a leader
/// grants are based on it. The zero instant if the node is not the leader or has not yet committed
/// an entry of its term, because until then its state machine may be behind.
Instant
QuorumConfirmedAt(const Node& aNode);

/// @return time at which the node needs its next Tick
Instant
NextTimer(const Node& aNode);

/// @return name of the role as in the chart
std::string
RoleName(Role aRole);

/// Handles one event.
/// @param aNode state, modified in place
/// @param aEvent event to handle
/// @param aNow monotonic time
/// @return effects, to be performed in this order
std::vector<Effect>
Step(Node& aNode, const Event& aEvent, Instant aNow);

} // namespace fighold::agreement
