#pragma once

#include "fighold/core/id.hpp"
#include "fighold/core/shared_value.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Replicated log (Raft): messages exchanged between control processes.
namespace fighold::agreement {

using Term = std::uint64_t;
using Index = std::uint64_t;

/// Purpose of a log entry.
enum class EntryKind : std::uint8_t
{
  Change,     ///< payload is a change for the state machine
  Empty,      ///< no-op with which a leader starts its term
  Membership, ///< payload is an encoded Membership
};

/// One entry of the replicated log. The payload of a change is opaque to this package.
struct LogEntry
{
  Index mIndex = 0;
  Term mTerm = 0;
  std::string mPayload;
  EntryKind mKind = EntryKind::Change;

  friend auto operator<=>(const LogEntry&, const LogEntry&) = default;
};

/// A control process, identified by its name and by the incarnation of its data folder.
struct Member
{
  ControlId mId;
  Incarnation mIncarnation = 0;

  friend auto operator<=>(const Member&, const Member&) = default;
};

/// The voters of a Raft group. The group is identified by the incarnation of the process that
/// bootstrapped it; messages of another group are ignored.
struct Membership
{
  Incarnation mGroup = 0; ///< 0: unknown
  std::map<ControlId, Incarnation> mVoters;

  friend auto operator<=>(const Membership&, const Membership&) = default;
};

/// Encodes a membership as the payload of a log entry.
std::string
EncodeMembership(const Membership& aMembership);

/// @return membership, or nothing when the bytes are malformed
std::optional<Membership>
DecodeMembership(std::string_view aBytes);

/// State of the state machine after it applied the entry with `mIndex`.
struct Snapshot
{
  Index mIndex = 0;
  Term mTerm = 0;
  Membership mMembership;
  std::string mState;

  friend auto operator<=>(const Snapshot&, const Snapshot&) = default;
};

/// RequestVote, sent by a candidate or pre-candidate to a voter.
struct VoteRequest
{
  Term mTerm = 0; ///< term of the election
  bool mPreVote = false;
  Index mLastLogIndex = 0;
  Term mLastLogTerm = 0;
  /// Incarnation of the voter this is addressed to; any other incarnation must not vote.
  Incarnation mVoterIncarnation = 0;

  friend auto operator<=>(const VoteRequest&, const VoteRequest&) = default;
};

/// Reply to VoteRequest.
struct VoteReply
{
  Term mTerm = 0; ///< requested term when granted, otherwise the voter's current term
  bool mPreVote = false;
  bool mGranted = false;

  friend auto operator<=>(const VoteReply&, const VoteReply&) = default;
};

/// AppendEntries, sent by the leader: log entries after `mPrevLogIndex`, and the commit index.
/// Without entries it is a heartbeat.
struct AppendEntries
{
  Term mTerm = 0;
  Index mPrevLogIndex = 0;
  Term mPrevLogTerm = 0;
  Index mLeaderCommit = 0;
  std::uint64_t mRound = 0; ///< heartbeat round, echoed by the reply
  std::vector<LogEntry> mEntries;

  friend auto operator<=>(const AppendEntries&, const AppendEntries&) = default;
};

/// Reply to AppendEntries, and to a SnapshotChunk that completes a snapshot, is rejected or is not
/// needed.
struct AppendEntriesReply
{
  Term mTerm = 0;
  bool mSuccess = false;
  /// Last entry that is synced and known to match the leader's log. On failure, the index after
  /// which the leader should continue.
  Index mMatchIndex = 0;
  std::uint64_t mRound = 0;

  friend auto operator<=>(const AppendEntriesReply&, const AppendEntriesReply&) = default;
};

/// InstallSnapshot, sent by the leader: one chunk of the encoded state of a snapshot.
struct SnapshotChunk
{
  Term mTerm = 0;
  std::uint64_t mRound = 0;
  Index mIndex = 0;        ///< last entry included in the snapshot
  Term mSnapshotTerm = 0;  ///< term of that entry
  std::string mMembership; ///< encoded Membership
  std::uint64_t mOffset = 0;
  std::uint64_t mTotalSize = 0; ///< size of the complete state in bytes
  std::string mBytes;

  friend auto operator<=>(const SnapshotChunk&, const SnapshotChunk&) = default;
};

/// Reply to SnapshotChunk while the snapshot is incomplete: offset of the next chunk.
struct SnapshotChunkReply
{
  Term mTerm = 0;
  std::uint64_t mRound = 0;
  Index mIndex = 0;
  std::uint64_t mOffset = 0;

  friend auto operator<=>(const SnapshotChunkReply&, const SnapshotChunkReply&) = default;
};

/// Asks a configured process, before a group is bootstrapped, whether its data folder is empty.
struct BootstrapProbe
{
  friend auto operator<=>(const BootstrapProbe&, const BootstrapProbe&) = default;
};

/// Reply to BootstrapProbe.
struct BootstrapProbeReply
{
  Incarnation mRequester = 0; ///< incarnation that sent the probe
  bool mEmpty = false;

  friend auto operator<=>(const BootstrapProbeReply&, const BootstrapProbeReply&) = default;
};

/// Sent by a learner without a leader, to request replication and admission as a voter.
struct JoinRequest
{
  friend auto operator<=>(const JoinRequest&, const JoinRequest&) = default;
};

/// Reply to JoinRequest by a process that is not the leader: the voters it knows, one of which may
/// be the leader.
struct JoinReply
{
  std::set<ControlId> mVoters;

  friend auto operator<=>(const JoinReply&, const JoinReply&) = default;
};

/// A proposal that a follower received, forwarded to the leader.
struct ForwardedProposal
{
  std::string mPayload;

  friend auto operator<=>(const ForwardedProposal&, const ForwardedProposal&) = default;
};

using Body = std::variant<VoteRequest,
                          VoteReply,
                          AppendEntries,
                          AppendEntriesReply,
                          SnapshotChunk,
                          SnapshotChunkReply,
                          BootstrapProbe,
                          BootstrapProbeReply,
                          ForwardedProposal,
                          JoinRequest,
                          JoinReply>;

/// A message with the identity of its sender.
struct Message
{
  Incarnation mSender = 0; ///< incarnation of the sender
  Incarnation mGroup = 0;  ///< group of the sender, 0: none yet
  Body mBody;

  friend auto operator<=>(const Message&, const Message&) = default;
};

} // namespace fighold::agreement
