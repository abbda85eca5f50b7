#include "context.hpp"

#include <algorithm>

namespace fighold::agreement {
namespace {

/// Replaces snapshot and log by a snapshot of the leader.
/// @return number of the write
std::uint64_t
Install(Context& aContext, Snapshot aSnapshot)
{
  Node& node = aContext.mNode;
  const Index index = aSnapshot.mIndex;
  // Entries after the snapshot stay only if the log agrees with the snapshot.
  std::vector<LogEntry> rest;
  if (index <= LastIndex(node) && TermAt(node, index) == aSnapshot.mTerm) {
    for (Index n = index + 1; n <= LastIndex(node); ++n) {
      rest.push_back(EntryAt(node, n));
    }
  }
  node.mSnapshot = SharedValue(std::move(aSnapshot));
  node.mLog = rest;
  node.mCommitted = index;
  node.mSynced = std::min(node.mSynced, index);
  for (auto& [number, last] : node.mPendingWrites) {
    last = std::min(last, node.mSynced);
  }
  const std::uint64_t write =
    EmitWrite(aContext, { 0, node.mTermVote, node.mSnapshot, std::move(rest) });
  node.mPendingWrites[write] = LastIndex(node);
  aContext.mEffects.emplace_back(Restore{ node.mSnapshot });
  RefreshMembers(aContext);
  return write;
}

} // namespace

void
SnapshotIfDue(Context& aContext)
{
  const Node& node = aContext.mNode;
  if (node.mCommitted >= node.mSnapshot->mIndex + node.mOptions.mSnapshotEvery) {
    aContext.mEffects.emplace_back(TakeSnapshot{ node.mCommitted });
  }
}

void
HandleSnapshotTaken(Context& aContext, const SnapshotTaken& aTaken)
{
  Node& node = aContext.mNode;
  if (aTaken.mIndex <= node.mSnapshot->mIndex || aTaken.mIndex > node.mCommitted) {
    return;
  }
  Snapshot snapshot{
    aTaken.mIndex, TermAt(node, aTaken.mIndex), MembersAt(node, aTaken.mIndex), aTaken.mState
  };
  const auto keep =
    node.mLog.begin() + static_cast<std::ptrdiff_t>(aTaken.mIndex - node.mSnapshot->mIndex);
  node.mLog.erase(node.mLog.begin(), keep);
  node.mSnapshot = SharedValue(std::move(snapshot));
  const std::uint64_t write = EmitWrite(aContext, { 0, node.mTermVote, node.mSnapshot, node.mLog });
  node.mPendingWrites[write] = LastIndex(node);
}

void
SendSnapshotPart(Context& aContext, const ControlId& aPeer)
{
  const Node& node = aContext.mNode;
  Peer& peer = aContext.mNode.mPeers.at(aPeer);
  const Snapshot& snapshot = *node.mSnapshot;
  if (peer.mSnapshotIndex != snapshot.mIndex) {
    peer.mSnapshotIndex = snapshot.mIndex;
    peer.mSnapshotOffset = 0;
  }
  const std::uint64_t offset =
    std::min<std::uint64_t>(peer.mSnapshotOffset, snapshot.mState.size());
  SendTo(aContext,
         aPeer,
         SnapshotPart{ node.mTermVote.mTerm,
                       node.mRound,
                       snapshot.mIndex,
                       snapshot.mTerm,
                       EncodeMembers(snapshot.mMembers),
                       offset,
                       snapshot.mState.size(),
                       snapshot.mState.substr(offset, node.mOptions.mPartSize) });
}

void
HandleSnapshotPart(Context& aContext, const ControlId& aFrom, const SnapshotPart& aPart)
{
  Node& node = aContext.mNode;
  if (!AcceptLeader(aContext, aFrom, aPart.mTerm)) {
    SendAfter(aContext, node.mTermWrite, aFrom, AppendReply{ node.mTermVote.mTerm, false, 0, 0 });
    return;
  }
  const Term term = node.mTermVote.mTerm;
  const auto members = DecodeMembers(aPart.mMembers);
  if (aPart.mIndex <= node.mCommitted || !members) {
    SendAfter(aContext,
              node.mTermWrite,
              aFrom,
              AppendReply{ term, true, std::min(node.mCommitted, node.mSynced), aPart.mRound });
    return;
  }
  Incoming& incoming = node.mIncoming;
  if (incoming.mTerm != aPart.mTerm || incoming.mIndex != aPart.mIndex) {
    incoming = { aPart.mTerm, aPart.mIndex, "" };
  }
  if (aPart.mOffset == incoming.mBytes.size()) {
    incoming.mBytes += aPart.mBytes;
  }
  if (incoming.mBytes.size() < aPart.mTotal) {
    SendAfter(aContext,
              node.mTermWrite,
              aFrom,
              SnapshotReply{ term, aPart.mRound, aPart.mIndex, incoming.mBytes.size() });
    return;
  }
  Snapshot snapshot{ aPart.mIndex, aPart.mIndexTerm, *members, std::move(incoming.mBytes) };
  incoming = {};
  const std::uint64_t write = Install(aContext, std::move(snapshot));
  SendAfter(aContext, write, aFrom, AppendReply{ term, true, aPart.mIndex, aPart.mRound });
}

void
HandleSnapshotReply(Context& aContext, const Member& aFrom, const SnapshotReply& aReply)
{
  Peer* peer = PeerOf(aContext, aFrom, aReply.mTerm, aReply.mRound);
  if (peer == nullptr) {
    return;
  }
  // A late or doubled reply does not repeat parts that were sent.
  if (peer->mNext <= aContext.mNode.mSnapshot->mIndex && aReply.mIndex == peer->mSnapshotIndex &&
      aReply.mOffset != peer->mSnapshotOffset) {
    peer->mSnapshotOffset = aReply.mOffset;
    SendSnapshotPart(aContext, aFrom.mId);
  }
  AdvanceLeader(aContext);
}

} // namespace fighold::agreement
