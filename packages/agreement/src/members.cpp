#include "bytes.hpp"
#include "context.hpp"

namespace fighold::agreement {
namespace {

/// @return true when nothing was ever written to the data folder
bool
IsEmpty(const Node& aNode)
{
  return aNode.mTermVote.mTerm == 0 && LastIndex(aNode) == 0;
}

/// The process with the least identifier forms the group, so that two can never be formed at once.
bool
MayBootstrap(const Node& aNode)
{
  return aNode.mOptions.mMayForm && IsEmpty(aNode) && !aNode.mOptions.mConfigured.empty() &&
         *aNode.mOptions.mConfigured.begin() == aNode.mOptions.mSelf;
}

/// Writes the first membership once all configured processes are known to be empty.
void
BootstrapIfComplete(Context& aContext)
{
  Node& node = aContext.mNode;
  if (node.mEmptyPeers.size() + 1 < node.mOptions.mConfigured.size()) {
    return;
  }
  Members members{ node.mIncarnation, node.mEmptyPeers };
  members.mVoters[node.mOptions.mSelf] = node.mIncarnation;
  SetTermVote(aContext, { 1, std::nullopt });
  WriteEntries(aContext, { { 1, 1, EncodeMembers(members), EntryKind::Members } });
  // Nobody else can begin an election yet.
  node.mElectionDeadline = aContext.mNow;
}

void
RecordMembers(Context& aContext, const std::string& aReason)
{
  DecisionRecord record;
  record.mKind = "membership";
  record.mSubject = aContext.mNode.mOptions.mSelf.mValue;
  for (const auto& [id, incarnation] : aContext.mNode.mMembers.mVoters) {
    record.mChoice += (record.mChoice.empty() ? "" : ",") + id.mValue;
  }
  record.mReason = aReason;
  aContext.mEffects.emplace_back(Record{ std::move(record) });
}

/// @return true when a process has caught up, and has answered a round that began after its first
/// message, so that a late message of a process that is gone does not pass for it
bool
CaughtUp(const Node& aNode, const Peer& aPeer)
{
  return aPeer.mIncarnation != 0 && aPeer.mMatched && aPeer.mSynced >= aNode.mCommitted &&
         aPeer.mRound >= std::max<std::uint64_t>(aPeer.mFirstRound, 1) &&
         aPeer.mRound + 1 >= aNode.mRound;
}

/// @return a voter that was not heard of for long
std::optional<ControlId>
LostVoter(const Node& aNode, Instant aNow)
{
  for (const auto& [id, incarnation] : aNode.mMembers.mVoters) {
    const auto it = aNode.mPeers.find(id);
    if (it != aNode.mPeers.end() && aNow >= it->second.mHeardAt + kReplaceVoterAfter) {
      return id;
    }
  }
  return std::nullopt;
}

} // namespace

bool
IsFounder(const Node& aNode)
{
  if (aNode.mSynced < 1 || aNode.mCommitted < 1 || aNode.mLog.empty() ||
      aNode.mLog.front().mIndex != 1) {
    return false;
  }
  const auto members = DecodeMembers(aNode.mLog.front().mPayload);
  if (!members) {
    return false;
  }
  const auto it = members->mVoters.find(aNode.mOptions.mSelf);
  return it != members->mVoters.end() && it->second == aNode.mIncarnation;
}

std::string
EncodeMembers(const Members& aMembers)
{
  std::string out;
  detail::PutNumber(out, aMembers.mGroup);
  for (const auto& [id, incarnation] : aMembers.mVoters) {
    detail::PutNumber(out, incarnation);
    detail::PutNumber(out, static_cast<std::uint32_t>(id.mValue.size()));
    out += id.mValue;
  }
  return out;
}

std::optional<Members>
DecodeMembers(std::string_view aBytes)
{
  detail::Reader in{ aBytes };
  Members members{ in.Number<std::uint64_t>(), {} };
  while (in.mOk && !in.mRest.empty()) {
    const auto incarnation = in.Number<std::uint64_t>();
    const auto size = in.Number<std::uint32_t>();
    members.mVoters[{ std::string(in.Bytes(size)) }] = incarnation;
  }
  return in.mOk ? std::optional(members) : std::nullopt;
}

Member
Self(const Node& aNode)
{
  return { aNode.mOptions.mSelf, aNode.mIncarnation };
}

bool
IsVoter(const Node& aNode, const Member& aMember)
{
  const auto it = aNode.mMembers.mVoters.find(aMember.mId);
  return it != aNode.mMembers.mVoters.end() && it->second == aMember.mIncarnation;
}

Members
MembersAt(const Node& aNode, Index aIndex)
{
  for (Index n = aIndex; n > aNode.mSnapshot->mIndex; --n) {
    const LogEntry& entry = EntryAt(aNode, n);
    if (entry.mKind == EntryKind::Members) {
      return DecodeMembers(entry.mPayload).value_or(Members{});
    }
  }
  return aNode.mSnapshot->mMembers;
}

void
RefreshMembers(Context& aContext)
{
  Node& node = aContext.mNode;
  Index at = LastIndex(node);
  while (at > node.mSnapshot->mIndex && EntryAt(node, at).mKind != EntryKind::Members) {
    --at;
  }
  Members members = MembersAt(node, at);
  node.mMembersIndex = at;
  if (members != node.mMembers) {
    node.mMembers = std::move(members);
    RecordMembers(aContext, "entry " + std::to_string(at));
    FireRole(aContext, RoleEvent::Membership, "");
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
      SendTo(aContext, it, EmptyAsk{});
    }
  }
  BootstrapIfComplete(aContext);
}

void
AskToJoin(Context& aContext)
{
  Node& node = aContext.mNode;
  if (aContext.mNow < node.mNextHeartbeat ||
      (node.mLeader && aContext.mNow < node.mHeardLeaderAt + kElectionTimeout)) {
    return;
  }
  std::set<ControlId> asked = node.mOptions.mConfigured;
  asked.insert(node.mKnown.begin(), node.mKnown.end());
  for (const auto& [id, incarnation] : node.mMembers.mVoters) {
    asked.insert(id);
  }
  asked.erase(node.mOptions.mSelf);
  for (const ControlId& it : asked) {
    SendTo(aContext, it, JoinAsk{});
  }
  if (!MayBootstrap(node)) {
    node.mNextHeartbeat = aContext.mNow + kHeartbeatInterval;
  }
}

void
HandleJoinAsk(Context& aContext, const Member& aFrom)
{
  Node& node = aContext.mNode;
  if (node.mRole == Role::Leader) {
    const auto [it, isNew] = node.mPeers.try_emplace(aFrom.mId);
    if (isNew) {
      it->second.mHeardAt = aContext.mNow;
      it->second.mNext = LastIndex(node) + 1;
      SendAppend(aContext, aFrom.mId);
    }
    return;
  }
  JoinReply reply;
  for (const auto& [id, incarnation] : node.mMembers.mVoters) {
    reply.mVoters.insert(id);
  }
  if (!reply.mVoters.empty()) {
    SendTo(aContext, aFrom.mId, std::move(reply));
  }
}

void
HandleJoinReply(Context& aContext, const JoinReply& aReply)
{
  aContext.mNode.mKnown.insert(aReply.mVoters.begin(), aReply.mVoters.end());
}

void
ForgetLostPeers(Context& aContext)
{
  Node& node = aContext.mNode;
  for (auto it = node.mPeers.begin(); it != node.mPeers.end();) {
    const bool keep = node.mMembers.mVoters.count(it->first) > 0 ||
                      node.mOptions.mConfigured.count(it->first) > 0 ||
                      aContext.mNow < it->second.mHeardAt + kForgetPeerAfter;
    it = keep ? std::next(it) : node.mPeers.erase(it);
  }
}

void
HandleEmptyAsk(Context& aContext, const Member& aFrom)
{
  SendTo(aContext, aFrom.mId, EmptyReply{ aFrom.mIncarnation, IsEmpty(aContext.mNode) });
}

void
HandleEmptyReply(Context& aContext, const Member& aFrom, const EmptyReply& aReply)
{
  Node& node = aContext.mNode;
  if (!MayBootstrap(node) || aReply.mAsker != node.mIncarnation ||
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
  // One change at a time, and none before an entry of the own term is committed.
  if (node.mRole != Role::Leader || node.mMembersIndex > node.mCommitted ||
      node.mCommitted < node.mTermStart) {
    return;
  }
  for (const auto& [id, peer] : node.mPeers) {
    if (IsVoter(node, { id, peer.mIncarnation }) || !CaughtUp(node, peer)) {
      continue;
    }
    const bool former = node.mMembers.mVoters.count(id) > 0;
    const auto lost = LostVoter(node, aContext.mNow);
    const bool room = former || node.mMembers.mVoters.size() <
                                  std::max(kMaxVoters, node.mOptions.mConfigured.size());
    if (!room && !lost) {
      continue;
    }
    // The former incarnation is removed by a change of its own. A single change that swaps the two
    // would allow two majorities without a common member, because a vote of the former incarnation
    // may still be on its way.
    Members members = node.mMembers;
    if (!room) {
      members.mVoters.erase(*lost);
    } else if (members.mVoters.erase(id) == 0) {
      members.mVoters[id] = peer.mIncarnation;
    }
    AppendOwn(aContext, EntryKind::Members, EncodeMembers(members));
    return;
  }
}

} // namespace fighold::agreement
