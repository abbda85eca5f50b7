#pragma once

#include "fighold/agreement/message.hpp"
#include "fighold/core/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Decisions of one control process about the replicated log; no I/O and no clock.
namespace fighold::agreement {

/// Time between two heartbeat rounds of a leader.
constexpr Millis kHeartbeatInterval{ 250 };

/// Settings of a node.
struct Options
{
  ControlId mSelf;
  std::vector<ControlId> mVoters; ///< sorted; includes mSelf
};

/// Time passed.
struct Tick
{
  friend auto operator<=>(const Tick&, const Tick&) = default;
};

/// A payload to append to the replicated log, wherever the leader is.
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

using Event = std::variant<Tick, Propose, Received, Stored>;

/// Send a message.
struct Send
{
  ControlId mTo;
  Message mMessage;

  friend auto operator<=>(const Send&, const Send&) = default;
};

/// Write log entries and sync; answered by Stored with the same number.
struct Write
{
  std::uint64_t mWrite = 0;
  std::vector<LogEntry> mEntries; ///< replace whatever the log holds from the first one's index on

  friend auto operator<=>(const Write&, const Write&) = default;
};

/// Apply a committed entry to the state machine; emitted in order, each index once.
struct Commit
{
  LogEntry mEntry;

  friend auto operator<=>(const Commit&, const Commit&) = default;
};

using Effect = std::variant<Send, Write, Commit>;

/// What is known of another voter.
struct Peer
{
  Index mSynced = 0;
  Index mNext = 1;
  std::uint64_t mRound = 0; ///< last heartbeat round it acknowledged

  friend auto operator<=>(const Peer&, const Peer&) = default;
};

/// State of one control process.
struct Node
{
  Options mOptions;
  Term mTerm = 1;
  std::vector<LogEntry> mLog; ///< entry i has index i + 1
  Index mSynced = 0;
  Index mCommitted = 0;
  std::uint64_t mNextWrite = 1;
  std::map<std::uint64_t, Index> mPendingWrites;
  std::map<std::uint64_t, std::pair<ControlId, AppendReply>>
    mPendingReplies; ///< sent once the write is synced
  std::map<ControlId, Peer> mPeers;
  std::uint64_t mRound = 0;
  std::map<std::uint64_t, Instant> mRoundTimes;
  Instant mNextHeartbeat{};
  Instant mQuorumAt{};
};

/// @param aOptions settings
/// @param aLog entries recovered from storage, all synced
/// @return node at start
Node
MakeNode(Options aOptions, std::vector<LogEntry> aLog);

/// @return true while the node acts as the leader
bool
IsLeader(const Node& aNode);

/// @return the leader, as far as the node knows
std::optional<ControlId>
Leader(const Node& aNode);

/// @return start of the last heartbeat round that a majority acknowledged; leases that a leader
/// grants rest on it
Instant
QuorumAt(const Node& aNode);

/// @return time at which the node needs its next tick
Instant
NextTimer(const Node& aNode);

/// Handles one event.
/// @param aNode state, changed in place
/// @param aEvent event
/// @param aNow monotonic time
/// @return effects, in the order in which they must be carried out
std::vector<Effect>
Step(Node& aNode, const Event& aEvent, Instant aNow);

} // namespace fighold::agreement
