#include "context.hpp"

#include <algorithm>

namespace fighold::agreement {
namespace {

/// Maximum number of entries in one message.
constexpr std::size_t kMaxEntries = 64;

/// Payload bytes after which no further entry is added to a message. A plan takes some tens of
/// kilobytes, and links between regions reserve a few Mbit/s for control traffic.
constexpr std::size_t kMaxEntryBytes = 65'536;

void
ReplicateToAll(Context& aContext)
{
  for (const auto& [id, peer] : aContext.mNode.mPeers) {
    ReplicateTo(aContext, id);
  }
}

void
StartHeartbeatRound(Context& aContext)
{
  Node& node = aContext.mNode;
  node.mNextHeartbeat = aContext.mNow + kHeartbeatInterval;
  node.mRoundTimes[++node.mRound] = aContext.mNow;
  for (auto& [id, peer] : node.mPeers) {
    if (peer.mMatched) {
      peer.mNextIndex = peer.mMatchIndex + 1;
    }
    ReplicateTo(aContext, id);
  }
}

/// @return highest value that a majority of the voters has reached
template<typename T>
T
MajorityValue(const Node& aNode, T aSelfValue, T Peer::*aField)
{
  std::vector<T> values;
  for (const auto& [id, incarnation] : aNode.mMembership.mVoters) {
    const auto it = aNode.mPeers.find(id);
    if (id == aNode.mOptions.mSelf) {
      values.push_back(aSelfValue);
    } else {
      const bool isCurrent = it != aNode.mPeers.end() && it->second.mIncarnation == incarnation;
      values.push_back(isCurrent ? it->second.*aField : T{});
    }
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values.empty() ? T{} : values[values.size() / 2];
}

/// @return entries missing from the log, or nothing if one conflicts with a committed entry
std::optional<std::vector<LogEntry>>
MissingEntries(const Node& aNode, const std::vector<LogEntry>& aEntries)
{
  for (auto it = aEntries.begin(); it != aEntries.end(); ++it) {
    const bool inLog = it->mIndex <= aNode.mSnapshot->mIndex ||
                       (it->mIndex <= LastIndex(aNode) && TermAt(aNode, it->mIndex) == it->mTerm);
    if (!inLog && it->mIndex <= aNode.mCommitIndex) {
      return std::nullopt;
    }
    if (!inLog) {
      return std::vector<LogEntry>(it, aEntries.end());
    }
  }
  return std::vector<LogEntry>{};
}

} // namespace

void
StartLeadership(Context& aContext)
{
  Node& node = aContext.mNode;
  node.mLeader = node.mOptions.mSelf;
  node.mLeaderSince = aContext.mNow;
  node.mQuorumConfirmedAt = {};
  node.mRoundTimes.clear();
  for (const auto& [id, incarnation] : node.mMembership.mVoters) {
    node.mPeers[id] = {};
  }
  node.mPeers.erase(node.mOptions.mSelf);
  for (auto& [id, peer] : node.mPeers) {
    const auto it = node.mMembership.mVoters.find(id);
    peer = Peer{};
    peer.mLastContact = aContext.mNow - (kReplaceVoterAfter - kReplaceSilentVoterAfter);
    peer.mIncarnation = it == node.mMembership.mVoters.end() ? 0 : it->second;
    peer.mNextIndex = LastIndex(node) + 1;
  }
  node.mTermStartIndex = LastIndex(node) + 1;
  WriteEntries(aContext, { { node.mTermStartIndex, node.mTermVote.mTerm, "", EntryKind::Empty } });
  StartHeartbeatRound(aContext);
}

void
TickLeader(Context& aContext)
{
  Node& node = aContext.mNode;
  if (aContext.mNow >= std::max(node.mQuorumConfirmedAt, node.mLeaderSince) + kElectionTimeout) {
    FireRoleEvent(aContext, RoleEvent::QuorumLost, "no majority acknowledged");
    return;
  }
  if (aContext.mNow >= node.mNextHeartbeat) {
    RemoveInactivePeers(aContext);
    StartHeartbeatRound(aContext);
    UpdateQuorum(aContext);
  }
}

void
AppendAsLeader(Context& aContext, EntryKind aKind, std::string aPayload)
{
  Node& node = aContext.mNode;
  WriteEntries(aContext,
               { { LastIndex(node) + 1, node.mTermVote.mTerm, std::move(aPayload), aKind } });
  ReplicateToAll(aContext);
}

void
ReplicateTo(Context& aContext, const ControlId& aPeer)
{
  const Node& node = aContext.mNode;
  Peer& peer = aContext.mNode.mPeers.at(aPeer);
  if (peer.mNextIndex <= node.mSnapshot->mIndex) {
    SendSnapshotChunk(aContext, aPeer);
    return;
  }
  const Index previous = peer.mNextIndex - 1;
  AppendEntries request{ node.mTermVote.mTerm, previous,    TermAt(node, previous),
                         node.mCommitIndex,    node.mRound, {} };
  std::size_t bytes = 0;
  for (Index n = peer.mNextIndex;
       n <= LastIndex(node) && request.mEntries.size() < kMaxEntries && bytes < kMaxEntryBytes;
       ++n) {
    request.mEntries.push_back(EntryAt(node, n));
    bytes += request.mEntries.back().mPayload.size();
  }
  if (peer.mMatched) {
    peer.mNextIndex += request.mEntries.size();
  }
  SendTo(aContext, aPeer, std::move(request));
}

void
CommitUpTo(Context& aContext, Index aIndex)
{
  Node& node = aContext.mNode;
  while (node.mCommitIndex < std::min(aIndex, LastIndex(node))) {
    const LogEntry& entry = EntryAt(node, ++node.mCommitIndex);
    if (entry.mKind == EntryKind::Change) {
      aContext.mEffects.emplace_back(Commit{ entry });
    }
  }
  SnapshotIfDue(aContext);
}

void
UpdateQuorum(Context& aContext)
{
  Node& node = aContext.mNode;
  const Index quorumIndex = MajorityValue(node, node.mSyncedIndex, &Peer::mMatchIndex);
  // An entry of an earlier term may still be overwritten by another leader, however many copies
  // exist.
  if (quorumIndex > node.mCommitIndex && TermAt(node, quorumIndex) == node.mTermVote.mTerm) {
    CommitUpTo(aContext, quorumIndex);
    ReplicateToAll(aContext);
  }
  const std::uint64_t round = MajorityValue(node, node.mRound, &Peer::mRound);
  if (const auto it = node.mRoundTimes.find(round); it != node.mRoundTimes.end()) {
    node.mQuorumConfirmedAt = std::max(node.mQuorumConfirmedAt, it->second);
    node.mRoundTimes.erase(node.mRoundTimes.begin(), it);
  }
  AdmitLearners(aContext);
}

bool
AcceptLeader(Context& aContext, const ControlId& aFrom, Term aTerm)
{
  Node& node = aContext.mNode;
  if (aTerm < node.mTermVote.mTerm) {
    return false;
  }
  if (aTerm > node.mTermVote.mTerm) {
    AdoptTerm(aContext, { aTerm, std::nullopt });
  }
  if (node.mRole == Role::Leader) {
    FireRoleEvent(aContext, RoleEvent::Conflict, aFrom.mValue + " leads the same term");
    return false;
  }
  node.mLeader = aFrom;
  node.mLeaderContact = aContext.mNow;
  ResetElectionDeadline(aContext);
  FireRoleEvent(aContext, RoleEvent::LeaderSeen, aFrom.mValue);
  return true;
}

Peer*
PeerForReply(Context& aContext, const Member& aFrom, Term aTerm, std::uint64_t aRound)
{
  Node& node = aContext.mNode;
  if (aTerm > node.mTermVote.mTerm) {
    AdoptTerm(aContext, { aTerm, std::nullopt });
  }
  const auto it = node.mPeers.find(aFrom.mId);
  if (node.mRole != Role::Leader || aTerm < node.mTermVote.mTerm || it == node.mPeers.end()) {
    return nullptr;
  }
  Peer& peer = it->second;
  if (peer.mIncarnation != aFrom.mIncarnation) {
    peer = Peer{};
    peer.mIncarnation = aFrom.mIncarnation;
    peer.mNextIndex = LastIndex(node) + 1;
    peer.mFirstRound = node.mRound + 1;
  }
  peer.mLastContact = aContext.mNow;
  peer.mRound = std::max(peer.mRound, aRound);
  return &peer;
}

void
HandleAppendEntries(Context& aContext, const ControlId& aFrom, const AppendEntries& aRequest)
{
  Node& node = aContext.mNode;
  if (!AcceptLeader(aContext, aFrom, aRequest.mTerm)) {
    SendAfterWrite(
      aContext, node.mTermWrite, aFrom, AppendEntriesReply{ node.mTermVote.mTerm, false, 0, 0 });
    return;
  }
  const Term term = node.mTermVote.mTerm;
  const bool matches = aRequest.mPrevLogIndex < node.mSnapshot->mIndex ||
                       (aRequest.mPrevLogIndex <= LastIndex(node) &&
                        TermAt(node, aRequest.mPrevLogIndex) == aRequest.mPrevLogTerm);
  if (!matches) {
    SendAfterWrite(aContext,
                   node.mTermWrite,
                   aFrom,
                   AppendEntriesReply{ term, false, node.mCommitIndex, aRequest.mRound });
    return;
  }
  auto missing = MissingEntries(node, aRequest.mEntries);
  if (!missing) {
    FireRoleEvent(aContext, RoleEvent::Conflict, aFrom.mValue + " replaces a committed entry");
    return;
  }
  const bool storageBehind = !missing->empty() && !HasRoomForEntries(node);
  const Index matchIndex = aRequest.mPrevLogIndex + (storageBehind ? 0 : aRequest.mEntries.size());
  if (!missing->empty() && !storageBehind) {
    const std::uint64_t write = WriteEntries(aContext, std::move(*missing));
    SendAfterWrite(
      aContext, write, aFrom, AppendEntriesReply{ term, true, matchIndex, aRequest.mRound });
  } else {
    SendAfterWrite(
      aContext,
      node.mTermWrite,
      aFrom,
      AppendEntriesReply{ term, true, std::min(matchIndex, node.mSyncedIndex), aRequest.mRound });
  }
  CommitUpTo(aContext, std::min(aRequest.mLeaderCommit, matchIndex));
}

void
HandleAppendEntriesReply(Context& aContext, const Member& aFrom, const AppendEntriesReply& aReply)
{
  Peer* peer = PeerForReply(aContext, aFrom, aReply.mTerm, aReply.mRound);
  if (peer == nullptr) {
    return;
  }
  const Index next = peer->mNextIndex;
  if (aReply.mSuccess) {
    peer->mMatchIndex = std::max(peer->mMatchIndex, aReply.mMatchIndex);
    peer->mMatched = true;
    peer->mNextIndex = std::max(peer->mNextIndex, peer->mMatchIndex + 1);
  } else {
    peer->mNextIndex = std::max(peer->mMatchIndex, aReply.mMatchIndex) + 1;
    peer->mMatched = false;
  }
  // A failure that does not change the next index is answered by the next heartbeat only.
  if (peer->mNextIndex <= LastIndex(aContext.mNode) &&
      (aReply.mSuccess || peer->mNextIndex != next)) {
    ReplicateTo(aContext, aFrom.mId);
  }
  UpdateQuorum(aContext);
}

} // namespace fighold::agreement
