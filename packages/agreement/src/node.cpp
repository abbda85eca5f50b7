#include "fighold/agreement/node.hpp"

#include <algorithm>

namespace fighold::agreement {
namespace {

/// One step in progress.
struct Context
{
  Node& mNode;
  Instant mNow;
  std::vector<Effect> mEffects;
};

Term
TermAt(const Node& aNode, Index aIndex)
{
  return aIndex == 0 || aIndex > aNode.mLog.size() ? 0 : aNode.mLog[aIndex - 1].mTerm;
}

void
SendAppend(Context& aContext, const ControlId& aPeer)
{
  constexpr std::size_t kMaxEntries = 64;
  const Node& node = aContext.mNode;
  const Index next = node.mPeers.at(aPeer).mNext;
  Append append{ node.mTerm, next - 1, TermAt(node, next - 1), node.mCommitted, node.mRound, {} };
  for (Index n = next; n <= node.mLog.size() && append.mEntries.size() < kMaxEntries; ++n) {
    append.mEntries.push_back(node.mLog[n - 1]);
  }
  aContext.mEffects.emplace_back(Send{ aPeer, append });
}

void
SendAppendToAll(Context& aContext)
{
  for (const auto& [id, peer] : aContext.mNode.mPeers) {
    SendAppend(aContext, id);
  }
}

void
CommitUpTo(Context& aContext, Index aIndex)
{
  Node& node = aContext.mNode;
  while (node.mCommitted < std::min<Index>(aIndex, node.mLog.size())) {
    aContext.mEffects.emplace_back(Commit{ node.mLog[node.mCommitted] });
    ++node.mCommitted;
  }
}

/// @return value that a majority of the voters has reached, given this node's own value and those
/// of its peers
template<typename T>
T
MajorityValue(T aOwn, const std::map<ControlId, Peer>& aPeers, T Peer::*aField)
{
  std::vector<T> values{ aOwn };
  for (const auto& [id, peer] : aPeers) {
    values.push_back(peer.*aField);
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

void
AdvanceLeader(Context& aContext)
{
  Node& node = aContext.mNode;
  const Index before = node.mCommitted;
  CommitUpTo(aContext, MajorityValue(node.mSynced, node.mPeers, &Peer::mSynced));
  if (node.mCommitted > before) {
    SendAppendToAll(aContext);
  }
  const std::uint64_t round = MajorityValue(node.mRound, node.mPeers, &Peer::mRound);
  if (const auto it = node.mRoundTimes.find(round); it != node.mRoundTimes.end()) {
    node.mQuorumAt = std::max(node.mQuorumAt, it->second);
    node.mRoundTimes.erase(node.mRoundTimes.begin(), it);
  }
}

std::uint64_t
WriteEntries(Context& aContext, std::vector<LogEntry> aEntries)
{
  Node& node = aContext.mNode;
  const std::uint64_t write = node.mNextWrite++;
  node.mLog.resize(aEntries.front().mIndex - 1);
  node.mLog.insert(node.mLog.end(), aEntries.begin(), aEntries.end());
  node.mPendingWrites[write] = aEntries.back().mIndex;
  aContext.mEffects.emplace_back(Write{ write, std::move(aEntries) });
  return write;
}

void
Handle(const Tick& /*aTick*/, Context& aContext)
{
  Node& node = aContext.mNode;
  if (!IsLeader(node) || aContext.mNow < node.mNextHeartbeat) {
    return;
  }
  node.mNextHeartbeat = aContext.mNow + kHeartbeatInterval;
  node.mRoundTimes[++node.mRound] = aContext.mNow;
  SendAppendToAll(aContext);
  AdvanceLeader(aContext);
}

void
Handle(const Propose& aPropose, Context& aContext)
{
  Node& node = aContext.mNode;
  if (!IsLeader(node)) {
    aContext.mEffects.emplace_back(Send{ *Leader(node), Forward{ aPropose.mPayload } });
    return;
  }
  WriteEntries(aContext, { LogEntry{ node.mLog.size() + 1, node.mTerm, aPropose.mPayload } });
  SendAppendToAll(aContext);
}

void
Handle(const Stored& aStored, Context& aContext)
{
  Node& node = aContext.mNode;
  const auto it = node.mPendingWrites.find(aStored.mWrite);
  if (it == node.mPendingWrites.end()) {
    return;
  }
  node.mSynced = it->second;
  node.mPendingWrites.erase(it);
  if (const auto reply = node.mPendingReplies.find(aStored.mWrite);
      reply != node.mPendingReplies.end()) {
    aContext.mEffects.emplace_back(Send{ reply->second.first, reply->second.second });
    node.mPendingReplies.erase(reply);
  }
  if (IsLeader(node)) {
    AdvanceLeader(aContext);
  }
}

void
HandleMessage(const ControlId& aFrom, const Append& aAppend, Context& aContext)
{
  Node& node = aContext.mNode;
  if (aAppend.mPrevious > node.mLog.size() ||
      TermAt(node, aAppend.mPrevious) != aAppend.mPreviousTerm) {
    aContext.mEffects.emplace_back(
      Send{ aFrom, AppendReply{ node.mTerm, false, node.mSynced, aAppend.mRound } });
    return;
  }
  std::vector<LogEntry> fresh;
  for (const LogEntry& it : aAppend.mEntries) {
    if (it.mIndex > node.mLog.size()) {
      fresh.push_back(it);
    }
  }
  const Index matched = aAppend.mPrevious + aAppend.mEntries.size();
  const AppendReply reply{ node.mTerm, true, matched, aAppend.mRound };
  if (!fresh.empty()) {
    const std::uint64_t write = WriteEntries(aContext, fresh);
    node.mPendingReplies[write] = { aFrom, reply };
  } else {
    aContext.mEffects.emplace_back(Send{
      aFrom, AppendReply{ node.mTerm, true, std::min(matched, node.mSynced), aAppend.mRound } });
  }
  CommitUpTo(aContext, std::min(aAppend.mCommit, matched));
}

void
HandleMessage(const ControlId& aFrom, const AppendReply& aReply, Context& aContext)
{
  Node& node = aContext.mNode;
  const auto it = node.mPeers.find(aFrom);
  if (it == node.mPeers.end()) {
    return;
  }
  Peer& peer = it->second;
  peer.mRound = std::max(peer.mRound, aReply.mRound);
  if (aReply.mAccepted) {
    peer.mSynced = std::max(peer.mSynced, aReply.mSynced);
  }
  peer.mNext = aReply.mSynced + 1;
  AdvanceLeader(aContext);
}

void
HandleMessage(const ControlId& /*aFrom*/, const Forward& aForward, Context& aContext)
{
  if (IsLeader(aContext.mNode)) {
    Handle(Propose{ aForward.mPayload }, aContext);
  }
}

void
Handle(const Received& aReceived, Context& aContext)
{
  std::visit([&](const auto& aMessage) { HandleMessage(aReceived.mFrom, aMessage, aContext); },
             aReceived.mMessage);
}

} // namespace

Node
MakeNode(Options aOptions, std::vector<LogEntry> aLog)
{
  Node node;
  for (const ControlId& it : aOptions.mVoters) {
    if (it != aOptions.mSelf) {
      node.mPeers[it] = {};
    }
  }
  node.mOptions = std::move(aOptions);
  node.mLog = std::move(aLog);
  node.mSynced = node.mLog.size();
  return node;
}

bool
IsLeader(const Node& aNode)
{
  return Leader(aNode) == aNode.mOptions.mSelf;
}

std::optional<ControlId>
Leader(const Node& aNode)
{
  // The first voter leads until elections are built.
  return aNode.mOptions.mVoters.front();
}

Instant
QuorumAt(const Node& aNode)
{
  return aNode.mQuorumAt;
}

Instant
NextTimer(const Node& aNode)
{
  return IsLeader(aNode) ? aNode.mNextHeartbeat : Instant::max();
}

std::vector<Effect>
Step(Node& aNode, const Event& aEvent, Instant aNow)
{
  Context context{ aNode, aNow, {} };
  std::visit([&](const auto& aBody) { Handle(aBody, context); }, aEvent);
  return std::move(context.mEffects);
}

} // namespace fighold::agreement
