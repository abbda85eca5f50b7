#include "context.hpp"

#include <algorithm>

namespace fighold::agreement {
namespace {

/// Replaces snapshot and log by a snapshot received from the leader.
/// @return number of the write
std::uint64_t
InstallSnapshot(Context& aContext, Snapshot aSnapshot)
{
  Node& node = aContext.mNode;
  const Index index = aSnapshot.mIndex;
  // Entries after the snapshot are kept only if the log agrees with the snapshot.
  std::vector<LogEntry> retained;
  if (index <= LastIndex(node) && TermAt(node, index) == aSnapshot.mTerm) {
    for (Index n = index + 1; n <= LastIndex(node); ++n) {
      retained.push_back(EntryAt(node, n));
    }
  }
  node.mSnapshot = SharedValue(std::move(aSnapshot));
  node.mLog = retained;
  node.mCommitIndex = index;
  node.mSyncedIndex = std::min(node.mSyncedIndex, index);
  for (auto& [number, last] : node.mPendingWrites) {
    last = std::min(last, node.mSyncedIndex);
  }
  const std::uint64_t write =
    EmitWrite(aContext, { 0, node.mTermVote, node.mSnapshot, std::move(retained) });
  node.mPendingWrites[write] = LastIndex(node);
  aContext.mEffects.emplace_back(Restore{ node.mSnapshot });
  RefreshMembership(aContext);
  return write;
}

} // namespace

void
SnapshotIfDue(Context& aContext)
{
  const Node& node = aContext.mNode;
  const Index last = node.mSnapshot->mIndex;
  const std::size_t maxBytes =
    std::max(node.mOptions.mSnapshotBytes, kLogPerSnapshot * node.mSnapshot->mState.size());
  if (node.mCommitIndex >= last + node.mOptions.mSnapshotInterval ||
      PayloadBytes(node, last + 1, node.mCommitIndex) >= maxBytes) {
    aContext.mEffects.emplace_back(TakeSnapshot{ node.mCommitIndex });
  }
}

void
HandleSnapshotTaken(Context& aContext, const SnapshotTaken& aTaken)
{
  Node& node = aContext.mNode;
  if (aTaken.mIndex <= node.mSnapshot->mIndex || aTaken.mIndex > node.mCommitIndex) {
    return;
  }
  Snapshot snapshot{
    aTaken.mIndex, TermAt(node, aTaken.mIndex), MembershipAt(node, aTaken.mIndex), aTaken.mState
  };
  const auto firstRetained =
    node.mLog.begin() + static_cast<std::ptrdiff_t>(aTaken.mIndex - node.mSnapshot->mIndex);
  node.mLog.erase(node.mLog.begin(), firstRetained);
  node.mSnapshot = SharedValue(std::move(snapshot));
  const std::uint64_t write = EmitWrite(aContext, { 0, node.mTermVote, node.mSnapshot, node.mLog });
  node.mPendingWrites[write] = LastIndex(node);
}

void
SendSnapshotChunk(Context& aContext, const ControlId& aPeer)
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
         SnapshotChunk{ node.mTermVote.mTerm,
                        node.mRound,
                        snapshot.mIndex,
                        snapshot.mTerm,
                        EncodeMembership(snapshot.mMembership),
                        offset,
                        snapshot.mState.size(),
                        snapshot.mState.substr(offset, node.mOptions.mSnapshotChunkSize) });
}

void
HandleSnapshotChunk(Context& aContext, const ControlId& aFrom, const SnapshotChunk& aChunk)
{
  Node& node = aContext.mNode;
  if (!AcceptLeader(aContext, aFrom, aChunk.mTerm)) {
    SendAfterWrite(
      aContext, node.mTermWrite, aFrom, AppendEntriesReply{ node.mTermVote.mTerm, false, 0, 0 });
    return;
  }
  const Term term = node.mTermVote.mTerm;
  const auto membership = DecodeMembership(aChunk.mMembership);
  if (aChunk.mIndex <= node.mCommitIndex || !membership) {
    SendAfterWrite(aContext,
                   node.mTermWrite,
                   aFrom,
                   AppendEntriesReply{
                     term, true, std::min(node.mCommitIndex, node.mSyncedIndex), aChunk.mRound });
    return;
  }
  IncomingSnapshot& incoming = node.mIncomingSnapshot;
  if (incoming.mTerm != aChunk.mTerm || incoming.mIndex != aChunk.mIndex) {
    incoming = { aChunk.mTerm, aChunk.mIndex, "" };
  }
  if (aChunk.mOffset == incoming.mBytes.size()) {
    incoming.mBytes += aChunk.mBytes;
  }
  if (incoming.mBytes.size() < aChunk.mTotalSize) {
    SendAfterWrite(
      aContext,
      node.mTermWrite,
      aFrom,
      SnapshotChunkReply{ term, aChunk.mRound, aChunk.mIndex, incoming.mBytes.size() });
    return;
  }
  Snapshot snapshot{ aChunk.mIndex, aChunk.mSnapshotTerm, *membership, std::move(incoming.mBytes) };
  incoming = {};
  const std::uint64_t write = InstallSnapshot(aContext, std::move(snapshot));
  SendAfterWrite(
    aContext, write, aFrom, AppendEntriesReply{ term, true, aChunk.mIndex, aChunk.mRound });
}

void
HandleSnapshotChunkReply(Context& aContext, const Member& aFrom, const SnapshotChunkReply& aReply)
{
  Peer* peer = PeerForReply(aContext, aFrom, aReply.mTerm, aReply.mRound);
  if (peer == nullptr) {
    return;
  }
  // A delayed or duplicated reply does not resend chunks.
  if (peer->mNextIndex <= aContext.mNode.mSnapshot->mIndex &&
      aReply.mIndex == peer->mSnapshotIndex && aReply.mOffset != peer->mSnapshotOffset) {
    peer->mSnapshotOffset = aReply.mOffset;
    SendSnapshotChunk(aContext, aFrom.mId);
  }
  UpdateQuorum(aContext);
}

} // namespace fighold::agreement
