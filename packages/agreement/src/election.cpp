#include "context.hpp"

#include <algorithm>

namespace fighold::agreement {
namespace {

/// Minimum delay of a voter's own election after it granted a pre-vote; covers two round trips
/// between regions and two syncs.
constexpr Millis kPreVoteGracePeriod{ 400 };

/// splitmix64; sufficient to randomize timeouts.
std::uint64_t
NextRandom(std::uint64_t& aState)
{
  std::uint64_t z = (aState += 0x9e3779b97f4a7c15U);
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31U);
}

void
SendVoteRequests(Context& aContext, std::uint64_t aWrite, const VoteRequest& aRequest)
{
  for (const auto& [id, incarnation] : aContext.mNode.mMembership.mVoters) {
    if (id != aContext.mNode.mOptions.mSelf) {
      VoteRequest request = aRequest;
      request.mVoterIncarnation = incarnation;
      SendAfterWrite(aContext, aWrite, id, request);
    }
  }
}

bool
IsLogUpToDate(const Node& aNode, const VoteRequest& aRequest)
{
  const Index last = LastIndex(aNode);
  return std::pair(aRequest.mLastLogTerm, aRequest.mLastLogIndex) >=
         std::pair(TermAt(aNode, last), last);
}

/// @return true if this process is the leader or had contact with a leader within the election
/// timeout
bool
HasLeader(const Context& aContext)
{
  const Node& node = aContext.mNode;
  return node.mRole == Role::Leader ||
         (node.mLeader && aContext.mNow < node.mLeaderContact + kElectionTimeout);
}

/// @return true if this process is a pre-candidate for the same term with an equal log and a
/// smaller identifier. Without this order, two candidates that need each other's votes would both
/// fail and lose an election timeout.
bool
HasPriorityOver(const Node& aNode, const Member& aFrom, const VoteRequest& aRequest)
{
  const Index last = LastIndex(aNode);
  return aNode.mRole == Role::PreCandidate && aRequest.mTerm == aNode.mTermVote.mTerm + 1 &&
         std::pair(aRequest.mLastLogTerm, aRequest.mLastLogIndex) ==
           std::pair(TermAt(aNode, last), last) &&
         aNode.mOptions.mSelf < aFrom.mId;
}

} // namespace

void
ResetElectionDeadline(Context& aContext)
{
  Node& node = aContext.mNode;
  const bool first = node.mLeaderContact == Instant{} && node.mRole == Role::Follower;
  const Millis minimum = first ? kInitialElectionTimeout : kElectionTimeout;
  const Millis jitter = first ? kInitialElectionJitter : kElectionJitter;
  node.mElectionDeadline =
    aContext.mNow + minimum +
    Millis(NextRandom(node.mRandomState) % static_cast<std::uint64_t>(jitter.count()));
}

void
AdoptTerm(Context& aContext, TermVote aTermVote)
{
  aContext.mNode.mLeader.reset();
  SetTermVote(aContext, std::move(aTermVote));
  FireRoleEvent(aContext, RoleEvent::HigherTerm, "");
}

void
RequestPreVotes(Context& aContext)
{
  Node& node = aContext.mNode;
  node.mLeader.reset();
  node.mVotes = { node.mOptions.mSelf };
  ResetElectionDeadline(aContext);
  const Index last = LastIndex(node);
  SendVoteRequests(aContext, 0, { node.mTermVote.mTerm + 1, true, last, TermAt(node, last), 0 });
}

void
RequestVotes(Context& aContext)
{
  Node& node = aContext.mNode;
  node.mVotes.clear();
  ResetElectionDeadline(aContext);
  SetTermVote(aContext, { node.mTermVote.mTerm + 1, SelfMember(node) });
  const Index last = LastIndex(node);
  // The requests are sent after the sync, because the vote for itself must survive a restart. The
  // sync also covers the log entries that the requests refer to.
  SendVoteRequests(
    aContext, node.mTermWrite, { node.mTermVote.mTerm, false, last, TermAt(node, last), 0 });
}

void
CountVotes(Context& aContext)
{
  Node& node = aContext.mNode;
  if (node.mRole == Role::Candidate && node.mStoredWrite >= node.mTermWrite) {
    node.mVotes.insert(node.mOptions.mSelf);
  }
  if ((node.mRole == Role::PreCandidate || node.mRole == Role::Candidate) &&
      node.mVotes.size() > node.mMembership.mVoters.size() / 2) {
    FireRoleEvent(aContext, RoleEvent::Majority, std::to_string(node.mVotes.size()) + " votes");
  }
}

void
TickElection(Context& aContext)
{
  Node& node = aContext.mNode;
  if (aContext.mNow >= node.mElectionDeadline) {
    FireRoleEvent(aContext, RoleEvent::Timeout, "no leader heard");
    CountVotes(aContext);
  }
}

void
HandleVoteRequest(Context& aContext, const Member& aFrom, const VoteRequest& aRequest)
{
  Node& node = aContext.mNode;
  // A process that lost its disk does not know which votes its former incarnation gave.
  if (aRequest.mVoterIncarnation != node.mIncarnation) {
    return;
  }
  const bool newerTerm = aRequest.mTerm > node.mTermVote.mTerm;
  if (HasLeader(aContext) || aRequest.mTerm < node.mTermVote.mTerm || aRequest.mPreVote) {
    const bool granted = aRequest.mPreVote && newerTerm && !HasLeader(aContext) &&
                         IsLogUpToDate(node, aRequest) && !HasPriorityOver(node, aFrom, aRequest);
    if (granted) {
      node.mElectionDeadline =
        std::max(node.mElectionDeadline, aContext.mNow + kPreVoteGracePeriod);
    }
    SendAfterWrite(
      aContext,
      node.mTermWrite,
      aFrom.mId,
      VoteReply{ granted ? aRequest.mTerm : node.mTermVote.mTerm, aRequest.mPreVote, granted });
    return;
  }
  const bool mayVote = newerTerm || !node.mTermVote.mVotedFor || node.mTermVote.mVotedFor == aFrom;
  const bool granted = mayVote && IsLogUpToDate(node, aRequest);
  const std::optional<Member> vote = granted ? std::optional(aFrom) : std::nullopt;
  if (newerTerm) {
    AdoptTerm(aContext, { aRequest.mTerm, vote });
  } else if (granted && node.mTermVote.mVotedFor != vote) {
    SetTermVote(aContext, { aRequest.mTerm, vote });
  }
  if (granted) {
    ResetElectionDeadline(aContext);
  }
  SendAfterWrite(aContext, node.mTermWrite, aFrom.mId, VoteReply{ aRequest.mTerm, false, granted });
}

void
HandleVoteReply(Context& aContext, const Member& aFrom, const VoteReply& aReply)
{
  Node& node = aContext.mNode;
  const Term currentTerm = node.mTermVote.mTerm;
  if (!aReply.mGranted && aReply.mTerm > currentTerm) {
    AdoptTerm(aContext, { aReply.mTerm, std::nullopt });
    return;
  }
  const bool isCurrent = aReply.mPreVote
                           ? node.mRole == Role::PreCandidate && aReply.mTerm == currentTerm + 1
                           : node.mRole == Role::Candidate && aReply.mTerm == currentTerm;
  if (isCurrent && aReply.mGranted && IsVoter(node, aFrom)) {
    node.mVotes.insert(aFrom.mId);
    CountVotes(aContext);
  }
}

} // namespace fighold::agreement
