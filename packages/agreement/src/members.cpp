#include "bytes.hpp"
#include "context.hpp"

namespace fighold::agreement {
namespace {

/// @return true if nothing has been written to the data folder yet
bool
HasEmptyFolder(const Node& aNode)
{
  return aNode.mTermVote.mTerm == 0 && LastIndex(aNode) == 0;
}

/// Only the configured process with the smallest identifier bootstraps the group; otherwise two
/// groups could be formed at the same time.
bool
MayBootstrap(const Node& aNode)
{
  return aNode.mOptions.mMayBootstrap && HasEmptyFolder(aNode) &&
         !aNode.mOptions.mConfigured.empty() &&
         *aNode.mOptions.mConfigured.begin() == aNode.mOptions.mSelf;
}

/// Writes the initial membership once all configured processes are known to be empty.
void
BootstrapIfComplete(Context& aContext)
{
  Node& node = aContext.mNode;
  if (node.mEmptyPeers.size() + 1 < node.mOptions.mConfigured.size()) {
    return;
  }
  Membership membership{ node.mIncarnation, node.mEmptyPeers };
  membership.mVoters[node.mOptions.mSelf] = node.mIncarnation;
  SetTermVote(aContext, { 1, std::nullopt });
  WriteEntries(aContext, { { 1, 1, EncodeMembership(membership), EntryKind::Membership } });
  // No other process can start an election yet, so there is no need to wait.
  node.mElectionDeadline = aContext.mNow;
}

void
RecordMembership(Context& aContext, const std::string& aReason)
{
  DecisionRecord record;
  record.mKind = "membership";
  record.mSubject = aContext.mNode.mOptions.mSelf.mValue;
  for (const auto& [id, incarnation] : aContext.mNode.mMembership.mVoters) {
    record.mChoice += (record.mChoice.empty() ? "" : ",") + id.mValue;
  }
  record.mReason = aReason;
  aContext.mEffects.emplace_back(Record{ std::move(record) });
}

/// @return true if the peer has caught up and has acknowledged a round started after its first
/// message. Without the second condition, a delayed message of a process that no longer exists
/// could make it count as caught up
bool
HasCaughtUp(const Node& aNode, const Peer& aPeer)
{
  return aPeer.mIncarnation != 0 && aPeer.mMatched && aPeer.mMatchIndex >= aNode.mCommitIndex &&
         aPeer.mRound >= std::max<std::uint64_t>(aPeer.mFirstRound, 1) &&
         aPeer.mRound + 1 >= aNode.mRound;
}

/// @return a voter that has not replied for kReplaceVoterAfter
std::optional<ControlId>
FindLostVoter(const Node& aNode, Instant aNow)
{
  for (const auto& [id, incarnation] : aNode.mMembership.mVoters) {
    const auto it = aNode.mPeers.find(id);
    if (it != aNode.mPeers.end() && aNow >= it->second.mLastContact + kReplaceVoterAfter) {
      return id;
    }
  }
  return std::nullopt;
}

} // namespace

bool
IsInitialMember(const Node& aNode)
{
  if (aNode.mSyncedIndex < 1 || aNode.mCommitIndex < 1 || aNode.mLog.empty() ||
      aNode.mLog.front().mIndex != 1) {
    return false;
  }
  const auto membership = DecodeMembership(aNode.mLog.front().mPayload);
  if (!membership) {
    return false;
  }
  const auto it = membership->mVoters.find(aNode.mOptions.mSelf);
  return it != membership->mVoters.end() && it->second == aNode.mIncarnation;
}

std::string
EncodeMembership(const Membership& aMembership)
{
  std::string out;
  detail::PutNumber(out, aMembership.mGroup);
  for (const auto& [id, incarnation] : aMembership.mVoters) {
    detail::PutNumber(out, incarnation);
    detail::PutNumber(out, static_cast<std::uint32_t>(id.mValue.size()));
    out += id.mValue;
  }
  return out;
}

std::optional<Membership>
DecodeMembership(std::string_view aBytes)
{
  detail::Reader in{ aBytes };
  Membership membership{ in.Number<std::uint64_t>(), {} };
  while (in.mOk && !in.mRemaining.empty()) {
    const auto incarnation = in.Number<std::uint64_t>();
    const auto size = in.Number<std::uint32_t>();
    membership.mVoters[{ std::string(in.Bytes(size)) }] = incarnation;
  }
  return in.mOk ? std::optional(membership) : std::nullopt;
}

Member
SelfMember(const Node& aNode)
{
  return { aNode.mOptions.mSelf, aNode.mIncarnation };
}

bool
IsVoter(const Node& aNode, const Member& aMember)
{
  const auto it = aNode.mMembership.mVoters.find(aMember.mId);
  return it != aNode.mMembership.mVoters.end() && it->second == aMember.mIncarnation;
}

Membership
MembershipAt(const Node& aNode, Index aIndex)
{
  for (Index n = aIndex; n > aNode.mSnapshot->mIndex; --n) {
    const LogEntry& entry = EntryAt(aNode, n);
    if (entry.mKind == EntryKind::Membership) {
      return DecodeMembership(entry.mPayload).value_or(Membership{});
    }
  }
  return aNode.mSnapshot->mMembership;
}

void
RefreshMembership(Context& aContext)
{
  Node& node = aContext.mNode;
  Index index = LastIndex(node);
  while (index > node.mSnapshot->mIndex && EntryAt(node, index).mKind != EntryKind::Membership) {
    --index;
  }
  Membership membership = MembershipAt(node, index);
  node.mMembershipIndex = index;
  if (membership != node.mMembership) {
    node.mMembership = std::move(membership);
    RecordMembership(aContext, "entry " + std::to_string(index));
    FireRoleEvent(aContext, RoleEvent::Membership, "");
  }
}

void
TickBootstrap(Context& aContext)
{
  Node& node = aContext.mNode;
  if (!MayBootstrap(node) || aContext.mNow < node.mNextHeartbeat) {
    return;
  }
  node.mNextHeartbeat = aContext.mNow + kHeartbeatInterval;
  for (const ControlId& it : node.mOptions.mConfigured) {
    if (it != node.mOptions.mSelf) {
      SendTo(aContext, it, BootstrapProbe{});
    }
  }
  BootstrapIfComplete(aContext);
}

void
SendJoinRequests(Context& aContext)
{
  Node& node = aContext.mNode;
  if (aContext.mNow < node.mNextHeartbeat ||
      (node.mLeader && aContext.mNow < node.mLeaderContact + kElectionTimeout)) {
    return;
  }
  std::set<ControlId> recipients = node.mOptions.mConfigured;
  recipients.insert(node.mReportedVoters.begin(), node.mReportedVoters.end());
  for (const auto& [id, incarnation] : node.mMembership.mVoters) {
    recipients.insert(id);
  }
  recipients.erase(node.mOptions.mSelf);
  for (const ControlId& it : recipients) {
    SendTo(aContext, it, JoinRequest{});
  }
  if (!MayBootstrap(node)) {
    node.mNextHeartbeat = aContext.mNow + kHeartbeatInterval;
  }
}

void
HandleJoinRequest(Context& aContext, const Member& aFrom)
{
  Node& node = aContext.mNode;
  if (node.mRole == Role::Leader) {
    const auto [it, inserted] = node.mPeers.try_emplace(aFrom.mId);
    if (inserted) {
      it->second.mLastContact = aContext.mNow;
      it->second.mNextIndex = LastIndex(node) + 1;
      ReplicateTo(aContext, aFrom.mId);
    }
    return;
  }
  JoinReply reply;
  for (const auto& [id, incarnation] : node.mMembership.mVoters) {
    reply.mVoters.insert(id);
  }
  if (!reply.mVoters.empty()) {
    SendTo(aContext, aFrom.mId, std::move(reply));
  }
}

void
HandleJoinReply(Context& aContext, const JoinReply& aReply)
{
  aContext.mNode.mReportedVoters.insert(aReply.mVoters.begin(), aReply.mVoters.end());
}

void
RemoveInactivePeers(Context& aContext)
{
  Node& node = aContext.mNode;
  for (auto it = node.mPeers.begin(); it != node.mPeers.end();) {
    const bool keep = node.mMembership.mVoters.count(it->first) > 0 ||
                      node.mOptions.mConfigured.count(it->first) > 0 ||
                      aContext.mNow < it->second.mLastContact + kRemovePeerAfter;
    it = keep ? std::next(it) : node.mPeers.erase(it);
  }
}

void
HandleBootstrapProbe(Context& aContext, const Member& aFrom)
{
  SendTo(
    aContext, aFrom.mId, BootstrapProbeReply{ aFrom.mIncarnation, HasEmptyFolder(aContext.mNode) });
}

void
HandleBootstrapProbeReply(Context& aContext, const Member& aFrom, const BootstrapProbeReply& aReply)
{
  Node& node = aContext.mNode;
  if (!MayBootstrap(node) || aReply.mRequester != node.mIncarnation ||
      node.mOptions.mConfigured.count(aFrom.mId) == 0) {
    return;
  }
  node.mEmptyPeers.erase(aFrom.mId);
  if (aReply.mEmpty) {
    node.mEmptyPeers[aFrom.mId] = aFrom.mIncarnation;
    BootstrapIfComplete(aContext);
  }
}

void
AdmitLearners(Context& aContext)
{
  Node& node = aContext.mNode;
  // One membership change at a time, and none before an entry of the current term is committed.
  if (node.mRole != Role::Leader || node.mMembershipIndex > node.mCommitIndex ||
      node.mCommitIndex < node.mTermStartIndex) {
    return;
  }
  for (const auto& [id, peer] : node.mPeers) {
    if (IsVoter(node, { id, peer.mIncarnation }) || !HasCaughtUp(node, peer)) {
      continue;
    }
    const bool returning = node.mMembership.mVoters.count(id) > 0;
    const auto lostVoter = FindLostVoter(node, aContext.mNow);
    const bool hasRoom = returning || node.mMembership.mVoters.size() <
                                        std::max(kMaxVoters, node.mOptions.mConfigured.size());
    if (!hasRoom && !lostVoter) {
      continue;
    }
    // The former incarnation is removed by a change of its own. A single change that replaces it
    // would allow two majorities without a common member, because a vote of the former incarnation
    // may still be in flight.
    Membership membership = node.mMembership;
    if (!hasRoom) {
      membership.mVoters.erase(*lostVoter);
    } else if (membership.mVoters.erase(id) == 0) {
      membership.mVoters[id] = peer.mIncarnation;
    }
    AppendAsLeader(aContext, EntryKind::Membership, EncodeMembership(membership));
    return;
  }
}

} // namespace fighold::agreement
