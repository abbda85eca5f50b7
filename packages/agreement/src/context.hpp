#pragma once

#include "fighold/agreement/node.hpp"

/// Functions shared by the translation units of this package.
namespace fighold::agreement {

/// Context of one call of Step.
struct Context
{
  Node& mNode;
  Instant mNow;
  std::vector<Effect> mEffects;
};

/// Events of charts/control_role.scxml, in the order of the registry.
enum class RoleEvent : std::uint8_t
{
  Timeout,
  Majority,
  LeaderSeen,
  HigherTerm,
  QuorumLost,
  Membership,
  Conflict,
};

/// Fires an event of the role chart, and emits a decision record if the role changes.
/// @param aReason detail for the decision record
void
FireRoleEvent(Context& aContext, RoleEvent aEvent, const std::string& aReason);

// Log.

Index
LastIndex(const Node& aNode);

/// @return term of the entry, or 0 if it is not in the log or the snapshot's last entry
Term
TermAt(const Node& aNode, Index aIndex);

const LogEntry&
EntryAt(const Node& aNode, Index aIndex);

/// @return payload bytes of the entries of the log from aFirst to aLast
std::size_t
PayloadBytes(const Node& aNode, Index aFirst, Index aLast);

/// @return false if too many entries or bytes wait for the storage
bool
HasRoomForEntries(const Node& aNode);

// Effects.

/// Sends a message immediately.
void
SendTo(Context& aContext, const ControlId& aTo, Body aBody);

/// Sends a message once a write is synced.
void
SendAfterWrite(Context& aContext, std::uint64_t aWrite, const ControlId& aTo, Body aBody);

/// Emits a write, numbered consecutively.
/// @return its number
std::uint64_t
EmitWrite(Context& aContext, Write aWrite);

/// Writes entries, which replace the log from the index of the first one on.
/// @return number of the write
std::uint64_t
WriteEntries(Context& aContext, std::vector<LogEntry> aEntries);

/// Sets term and vote, and persists them.
void
SetTermVote(Context& aContext, TermVote aTermVote);

// Election.

void
ResetElectionDeadline(Context& aContext);

/// Adopts a higher term and steps down.
void
AdoptTerm(Context& aContext, TermVote aTermVote);

/// Asks the voters for pre-votes for the next term. Action of the chart.
void
RequestPreVotes(Context& aContext);

/// Starts the next term, votes for this node and asks the voters for votes. Action of the chart.
void
RequestVotes(Context& aContext);

/// Fires the majority event if a candidate or pre-candidate has enough votes.
void
CountVotes(Context& aContext);

/// Handles a tick of a follower or candidate: starts an election when the timeout expires.
void
TickElection(Context& aContext);

void
HandleVoteRequest(Context& aContext, const Member& aFrom, const VoteRequest& aRequest);

void
HandleVoteReply(Context& aContext, const Member& aFrom, const VoteReply& aReply);

// Replication.

/// Makes this node the leader of the current term. Action of the chart.
void
StartLeadership(Context& aContext);

/// Handles a tick of the leader: steps down without a quorum, otherwise sends heartbeats when due.
void
TickLeader(Context& aContext);

/// Appends an entry to the leader's log and replicates it.
void
AppendAsLeader(Context& aContext, EntryKind aKind, std::string aPayload);

/// Sends a peer the entries or the snapshot chunk that it needs next.
void
ReplicateTo(Context& aContext, const ControlId& aPeer);

void
CommitUpTo(Context& aContext, Index aIndex);

/// Advances the commit index and the confirmed quorum time to what a majority has acknowledged.
void
UpdateQuorum(Context& aContext);

/// Recognizes the sender of an AppendEntries or SnapshotChunk as the leader of its term.
/// @return false if the term is out of date, or if this node leads it, which is a conflict
bool
AcceptLeader(Context& aContext, const ControlId& aFrom, Term aTerm);

/// Updates the progress of a peer that replied.
/// @return progress of the peer, or nullptr if this node is not the leader of the term or the
/// sender is not a peer
Peer*
PeerForReply(Context& aContext, const Member& aFrom, Term aTerm, std::uint64_t aRound);

void
HandleAppendEntries(Context& aContext, const ControlId& aFrom, const AppendEntries& aRequest);

void
HandleAppendEntriesReply(Context& aContext, const Member& aFrom, const AppendEntriesReply& aReply);

// Membership.

bool
IsVoter(const Node& aNode, const Member& aMember);

Member
SelfMember(const Node& aNode);

/// Updates the membership from the log, and fires the membership event if it changed.
void
RefreshMembership(Context& aContext);

/// @return membership in effect at an entry
Membership
MembershipAt(const Node& aNode, Index aIndex);

/// Probes the configured processes for empty data folders, if this process may bootstrap the group.
void
TickBootstrap(Context& aContext);

void
HandleBootstrapProbe(Context& aContext, const Member& aFrom);

void
HandleBootstrapProbeReply(Context& aContext,
                          const Member& aFrom,
                          const BootstrapProbeReply& aReply);

/// Sends join requests while this process has no leader.
void
SendJoinRequests(Context& aContext);

void
HandleJoinRequest(Context& aContext, const Member& aFrom);

void
HandleJoinReply(Context& aContext, const JoinReply& aReply);

/// Stops replicating to processes that are neither voters nor configured and have not replied for
/// kRemovePeerAfter.
void
RemoveInactivePeers(Context& aContext);

/// Adds processes that have caught up as voters, and removes lost voters and former incarnations to
/// make room, one membership change at a time.
void
AdmitLearners(Context& aContext);

// Snapshots.

/// Requests a snapshot when enough entries, or bytes of them, have been committed since the last
/// one.
void
SnapshotIfDue(Context& aContext);

void
HandleSnapshotTaken(Context& aContext, const SnapshotTaken& aTaken);

void
SendSnapshotChunk(Context& aContext, const ControlId& aPeer);

void
HandleSnapshotChunk(Context& aContext, const ControlId& aFrom, const SnapshotChunk& aChunk);

void
HandleSnapshotChunkReply(Context& aContext, const Member& aFrom, const SnapshotChunkReply& aReply);

} // namespace fighold::agreement
