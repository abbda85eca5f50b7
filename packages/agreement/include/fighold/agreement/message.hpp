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

/// Messages between control processes.
namespace fighold::agreement {

using Term = std::uint64_t;
using Index = std::uint64_t;

/// What an entry of the replicated log is for.
enum class EntryKind : std::uint8_t
{
  Change,     ///< payload for the state machine
  Empty,      ///< first entry of a leader's term
  Membership, ///< payload is a membership
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

/// A control process with a certain data folder.
struct Member
{
  ControlId mId;
  Incarnation mIncarnation = 0;

  friend auto operator<=>(const Member&, const Member&) = default;
};

/// The voters, and the group that they form. The group is named by the incarnation of the process
/// that formed it; messages of another group are ignored.
struct Membership
{
  Incarnation mGroup = 0; ///< 0: not known
  std::map<ControlId, Incarnation> mVoters;

  friend auto operator<=>(const Membership&, const Membership&) = default;
};

/// Encodes a membership as the payload of a log entry.
std::string
EncodeMembership(const Membership& aMembership);

/// @return membership, or nothing when the bytes are malformed
std::optional<Membership>
DecodeMembership(std::string_view aBytes);

/// State of the state machine after the entry with `mIndex`.
struct Snapshot
{
  Index mIndex = 0;
  Term mTerm = 0;
  Membership mMembership;
  std::string mState;

  friend auto operator<=>(const Snapshot&, const Snapshot&) = default;
};

/// Candidate to voter.
struct VoteRequest
{
  Term mTerm = 0; ///< term to be led
  bool mPreVote = false;
  Index mLastLogIndex = 0;
  Term mLastLogTerm = 0;
  Incarnation mVoterIncarnation = 0; ///< incarnation that is asked; any other one must not vote

  friend auto operator<=>(const VoteRequest&, const VoteRequest&) = default;
};

/// Voter to candidate.
struct VoteReply
{
  Term mTerm = 0; ///< term asked for when granted, otherwise the voter's own
  bool mPreVote = false;
  bool mGranted = false;

  friend auto operator<=>(const VoteReply&, const VoteReply&) = default;
};

/// Leader to follower: log entries after `mPrevLogIndex`, and the commit index. Without entries it
/// is a heartbeat.
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

/// Follower to leader.
struct AppendEntriesReply
{
  Term mTerm = 0;
  bool mSuccess = false;
  Index mMatchIndex =
    0; ///< last entry that is synced and known to match; when refused, where to go on
  std::uint64_t mRound = 0;

  friend auto operator<=>(const AppendEntriesReply&, const AppendEntriesReply&) = default;
};

/// Leader to follower: a part of the encoded state of a snapshot.
struct SnapshotChunk
{
  Term mTerm = 0;
  std::uint64_t mRound = 0;
  Index mIndex = 0;
  Term mSnapshotTerm = 0;
  std::string mMembership; ///< encoded membership
  std::uint64_t mOffset = 0;
  std::uint64_t mTotalSize = 0; ///< bytes of the whole state
  std::string mBytes;

  friend auto operator<=>(const SnapshotChunk&, const SnapshotChunk&) = default;
};

/// Follower to leader: where the next part begins.
struct SnapshotChunkReply
{
  Term mTerm = 0;
  std::uint64_t mRound = 0;
  Index mIndex = 0;
  std::uint64_t mOffset = 0;

  friend auto operator<=>(const SnapshotChunkReply&, const SnapshotChunkReply&) = default;
};

/// Asks whether a process has an empty data folder, before a group is formed.
struct BootstrapProbe
{
  friend auto operator<=>(const BootstrapProbe&, const BootstrapProbe&) = default;
};

/// Answers BootstrapProbe.
struct BootstrapProbeReply
{
  Incarnation mRequester = 0; ///< incarnation that asked
  bool mEmpty = false;

  friend auto operator<=>(const BootstrapProbeReply&, const BootstrapProbeReply&) = default;
};

/// A process that follows no leader asks the group to take it in.
struct JoinRequest
{
  friend auto operator<=>(const JoinRequest&, const JoinRequest&) = default;
};

/// Answers JoinRequest where the answerer does not lead: who else may.
struct JoinReply
{
  std::set<ControlId> mVoters;

  friend auto operator<=>(const JoinReply&, const JoinReply&) = default;
};

/// Passes a proposal to the leader.
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

/// A message with what is known of its sender.
struct Message
{
  Incarnation mSender = 0; ///< of the sender's data folder
  Incarnation mGroup = 0;  ///< group of the sender; 0: it belongs to none yet
  Body mBody;

  friend auto operator<=>(const Message&, const Message&) = default;
};

} // namespace fighold::agreement
