#include "fighold/agreement/node.hpp"

#include "context.hpp"

#include <algorithm>

namespace fighold::agreement {
namespace {

/// Every term, vote, entry and snapshot is a write, and their number is up to the senders.
bool
IsStorageFarBehind(const Node& aNode)
{
  return aNode.mNextWrite - 1 - aNode.mStoredWrite >= kMaxUnstoredWrites;
}

void
HandleEvent(const Tick& /*aTick*/, Context& aContext)
{
  switch (aContext.mNode.mRole) {
    case Role::Learner:
      SendJoinRequests(aContext);
      TickBootstrap(aContext);
      break;
    case Role::Leader:
      TickLeader(aContext);
      break;
    case Role::PreCandidate:
      // A voter that was replaced while it was away does not know it, and nobody grants it votes.
      SendJoinRequests(aContext);
      [[fallthrough]];
    default:
      if (!IsStorageFarBehind(aContext.mNode)) {
        TickElection(aContext);
      }
      break;
  }
}

void
HandleEvent(const Propose& aPropose, Context& aContext)
{
  const Node& node = aContext.mNode;
  if (IsLeader(node)) {
    if (HasRoomForEntries(node) &&
        PayloadBytes(node, node.mCommitIndex + 1, LastIndex(node)) < kMaxUncommittedBytes) {
      AppendAsLeader(aContext, EntryKind::Change, aPropose.mPayload);
    }
  } else if (node.mLeader) {
    SendTo(aContext, *node.mLeader, ForwardedProposal{ aPropose.mPayload });
  }
}

void
HandleEvent(const Stored& aStored, Context& aContext)
{
  Node& node = aContext.mNode;
  node.mStoredWrite = std::max(node.mStoredWrite, aStored.mWrite);
  auto& sizes = node.mUnstoredSizes;
  while (!sizes.empty() && sizes.begin()->first <= aStored.mWrite) {
    node.mUnstoredBytes -= sizes.begin()->second;
    sizes.erase(sizes.begin());
  }
  const auto firstUnsynced = node.mPendingWrites.upper_bound(aStored.mWrite);
  if (firstUnsynced != node.mPendingWrites.begin()) {
    node.mSyncedIndex = std::prev(firstUnsynced)->second;
    node.mPendingWrites.erase(node.mPendingWrites.begin(), firstUnsynced);
  }
  const auto last = node.mPendingSends.upper_bound(aStored.mWrite);
  for (auto it = node.mPendingSends.begin(); it != last; ++it) {
    aContext.mEffects.emplace_back(std::move(it->second));
  }
  node.mPendingSends.erase(node.mPendingSends.begin(), last);
  if (IsLeader(node)) {
    UpdateQuorum(aContext);
  } else {
    CountVotes(aContext);
  }
}

void
HandleEvent(const SnapshotTaken& aTaken, Context& aContext)
{
  HandleSnapshotTaken(aContext, aTaken);
}

void
HandleMessageBody(const Member& aFrom, const VoteRequest& aRequest, Context& aContext)
{
  HandleVoteRequest(aContext, aFrom, aRequest);
}

void
HandleMessageBody(const Member& aFrom, const VoteReply& aReply, Context& aContext)
{
  HandleVoteReply(aContext, aFrom, aReply);
}

void
HandleMessageBody(const Member& aFrom, const AppendEntries& aRequest, Context& aContext)
{
  HandleAppendEntries(aContext, aFrom.mId, aRequest);
}

void
HandleMessageBody(const Member& aFrom, const AppendEntriesReply& aReply, Context& aContext)
{
  HandleAppendEntriesReply(aContext, aFrom, aReply);
}

void
HandleMessageBody(const Member& aFrom, const SnapshotChunk& aChunk, Context& aContext)
{
  HandleSnapshotChunk(aContext, aFrom.mId, aChunk);
}

void
HandleMessageBody(const Member& aFrom, const SnapshotChunkReply& aReply, Context& aContext)
{
  HandleSnapshotChunkReply(aContext, aFrom, aReply);
}

void
HandleMessageBody(const Member& aFrom, const BootstrapProbe& /*aRequest*/, Context& aContext)
{
  HandleBootstrapProbe(aContext, aFrom);
}

void
HandleMessageBody(const Member& aFrom, const BootstrapProbeReply& aReply, Context& aContext)
{
  HandleBootstrapProbeReply(aContext, aFrom, aReply);
}

void
HandleMessageBody(const Member& aFrom, const JoinRequest& /*aRequest*/, Context& aContext)
{
  HandleJoinRequest(aContext, aFrom);
}

void
HandleMessageBody(const Member& /*aFrom*/, const JoinReply& aReply, Context& aContext)
{
  HandleJoinReply(aContext, aReply);
}

void
HandleMessageBody(const Member& /*aFrom*/, const ForwardedProposal& aProposal, Context& aContext)
{
  if (IsLeader(aContext.mNode)) {
    HandleEvent(Propose{ aProposal.mPayload }, aContext);
  }
}

void
HandleEvent(const Received& aReceived, Context& aContext)
{
  if (IsStorageFarBehind(aContext.mNode)) {
    return;
  }
  const Message& message = aReceived.mMessage;
  const Incarnation group = aContext.mNode.mMembership.mGroup;
  if (group != 0 && message.mGroup != 0 && message.mGroup != group) {
    return;
  }
  const Member from{ aReceived.mFrom, message.mSender };
  std::visit([&](const auto& aBody) { HandleMessageBody(from, aBody, aContext); }, message.mBody);
}

} // namespace

Index
LastIndex(const Node& aNode)
{
  return aNode.mSnapshot->mIndex + aNode.mLog.size();
}

Term
TermAt(const Node& aNode, Index aIndex)
{
  if (aIndex == aNode.mSnapshot->mIndex) {
    return aNode.mSnapshot->mTerm;
  }
  const bool inLog = aIndex > aNode.mSnapshot->mIndex && aIndex <= LastIndex(aNode);
  return inLog ? EntryAt(aNode, aIndex).mTerm : 0;
}

const LogEntry&
EntryAt(const Node& aNode, Index aIndex)
{
  return aNode.mLog[aIndex - aNode.mSnapshot->mIndex - 1];
}

std::size_t
PayloadBytes(const Node& aNode, Index aFirst, Index aLast)
{
  std::size_t bytes = 0;
  for (Index n = aFirst; n <= aLast; ++n) {
    bytes += EntryAt(aNode, n).mPayload.size();
  }
  return bytes;
}

bool
HasRoomForEntries(const Node& aNode)
{
  return aNode.mPendingWrites.size() < kMaxPendingWrites &&
         aNode.mUnstoredBytes < kMaxUnstoredBytes;
}

void
SendTo(Context& aContext, const ControlId& aTo, Body aBody)
{
  SendAfterWrite(aContext, 0, aTo, std::move(aBody));
}

void
SendAfterWrite(Context& aContext, std::uint64_t aWrite, const ControlId& aTo, Body aBody)
{
  Node& node = aContext.mNode;
  Send send{ aTo, Message{ node.mIncarnation, node.mMembership.mGroup, std::move(aBody) } };
  if (aWrite <= node.mStoredWrite) {
    aContext.mEffects.emplace_back(std::move(send));
  } else {
    node.mPendingSends.emplace(aWrite, std::move(send));
  }
}

std::uint64_t
EmitWrite(Context& aContext, Write aWrite)
{
  Node& node = aContext.mNode;
  aWrite.mWrite = node.mNextWrite++;
  const std::uint64_t number = aWrite.mWrite;
  std::size_t bytes = aWrite.mSnapshot ? (*aWrite.mSnapshot)->mState.size() : 0;
  for (const LogEntry& it : aWrite.mEntries) {
    bytes += it.mPayload.size();
  }
  node.mUnstoredSizes[number] = bytes;
  node.mUnstoredBytes += bytes;
  aContext.mEffects.emplace_back(std::move(aWrite));
  return number;
}

std::uint64_t
WriteEntries(Context& aContext, std::vector<LogEntry> aEntries)
{
  Node& node = aContext.mNode;
  const Index first = aEntries.front().mIndex;
  node.mLog.resize(first - node.mSnapshot->mIndex - 1);
  node.mLog.insert(node.mLog.end(), aEntries.begin(), aEntries.end());
  // Replaced entries no longer count as synced, even if their write completes later.
  node.mSyncedIndex = std::min(node.mSyncedIndex, first - 1);
  for (auto& [number, last] : node.mPendingWrites) {
    last = std::min(last, first - 1);
  }
  const std::uint64_t write =
    EmitWrite(aContext, { 0, std::nullopt, std::nullopt, std::move(aEntries) });
  node.mPendingWrites[write] = LastIndex(node);
  RefreshMembership(aContext);
  return write;
}

void
SetTermVote(Context& aContext, TermVote aTermVote)
{
  Node& node = aContext.mNode;
  node.mTermVote = std::move(aTermVote);
  node.mTermWrite = EmitWrite(aContext, { 0, node.mTermVote, std::nullopt, {} });
}

Node
MakeNode(Options aOptions, RecoveredState aRecovered)
{
  Node node;
  for (const ControlId& it : aOptions.mConfigured) {
    if (it != aOptions.mSelf) {
      node.mPeers[it] = {};
    }
  }
  node.mRandomState = aOptions.mSeed;
  node.mOptions = std::move(aOptions);
  node.mIncarnation = aRecovered.mIncarnation;
  node.mTermVote = std::move(aRecovered.mTermVote);
  node.mSnapshot = std::move(aRecovered.mSnapshot);
  node.mLog = std::move(aRecovered.mLog);
  node.mSyncedIndex = LastIndex(node);
  node.mCommitIndex = node.mSnapshot->mIndex;
  return node;
}

bool
IsLeader(const Node& aNode)
{
  return aNode.mRole == Role::Leader;
}

std::optional<ControlId>
Leader(const Node& aNode)
{
  return aNode.mLeader;
}

Instant
QuorumConfirmedAt(const Node& aNode)
{
  return IsLeader(aNode) && aNode.mCommitIndex >= aNode.mTermStartIndex ? aNode.mQuorumConfirmedAt
                                                                        : Instant{};
}

Instant
NextTimer(const Node& aNode)
{
  switch (aNode.mRole) {
    case Role::Learner:
      return aNode.mNextHeartbeat;
    case Role::Leader:
      return std::min(aNode.mNextHeartbeat,
                      std::max(aNode.mQuorumConfirmedAt, aNode.mLeaderSince) + kElectionTimeout);
    default:
      return aNode.mElectionDeadline;
  }
}

std::vector<Effect>
Step(Node& aNode, const Event& aEvent, Instant aNow)
{
  Context context{ aNode, aNow, {} };
  if (aNode.mRole == Role::Learner && aNode.mMembership.mGroup == 0) {
    // The first step after the start loads the recovered membership.
    RefreshMembership(context);
  }
  if (aNode.mRole != Role::Halted) {
    std::visit([&](const auto& aBody) { HandleEvent(aBody, context); }, aEvent);
  }
  return std::move(context.mEffects);
}

} // namespace fighold::agreement
