#pragma once

#include "fighold/agreement/node.hpp"

/// Helpers that the parts of the agreement share.
namespace fighold::agreement {

/// One step in progress.
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

/// Applies one event to the role, and records a change of it.
/// @param aReason detail for the record
void
FireRoleEvent(Context& aContext, RoleEvent aEvent, const std::string& aReason);

// Log.

Index
LastIndex(const Node& aNode);

/// @return term of an entry, 0 for an entry that is not known
Term
TermAt(const Node& aNode, Index aIndex);

const LogEntry&
EntryAt(const Node& aNode, Index aIndex);

// Effects.

/// Sends a message now.
void
SendTo(Context& aContext, const ControlId& aTo, Body aBody);

/// Sends a message once a write is synced.
void
SendAfterWrite(Context& aContext, std::uint64_t aWrite, const ControlId& aTo, Body aBody);

/// Emits a write.
/// @return its number
std::uint64_t
EmitWrite(Context& aContext, Write aWrite);

/// Writes entries that replace those from the first one's index on.
/// @return number of the write
std::uint64_t
WriteEntries(Context& aContext, std::vector<LogEntry> aEntries);

/// Changes term and vote, and writes them.
void
SetTermVote(Context& aContext, TermVote aTermVote);

// Election.

void
ResetElectionDeadline(Context& aContext);

/// Takes over a higher term.
void
AdoptTerm(Context& aContext, TermVote aTermVote);

void
AskPreVotes(Context& aContext);

void
AskVotes(Context& aContext);

/// Lets a candidate with a majority go on.
void
CountVotes(Context& aContext);

/// Lets time pass for a process that does not lead.
void
TickElection(Context& aContext);

void
HandleVoteRequest(Context& aContext, const Member& aFrom, const VoteRequest& aRequest);

void
HandleVoteReply(Context& aContext, const Member& aFrom, const VoteReply& aReply);

// Replication.

/// Takes up the lead: entry action of the chart.
void
Lead(Context& aContext);

/// Lets time pass for a leader.
void
TickLeader(Context& aContext);

/// Appends an entry of the leader's own and sends it.
void
AppendAsLeader(Context& aContext, EntryKind aKind, std::string aPayload);

/// Sends a peer what it lacks.
void
ReplicateTo(Context& aContext, const ControlId& aPeer);

void
CommitUpTo(Context& aContext, Index aIndex);

/// Works out what a majority has reached.
void
UpdateQuorum(Context& aContext);

/// @return false when the message is of an old term
bool
AcceptLeader(Context& aContext, const ControlId& aFrom, Term aTerm);

/// @return what is known of a process that answers this leader, or nothing when this is not the
/// leader of the term
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
Self(const Node& aNode);

/// Finds the newest membership of the log, and fires the event when it changed.
void
RefreshMembership(Context& aContext);

/// @return membership as of an entry
Membership
MembershipAt(const Node& aNode, Index aIndex);

/// Asks the other processes for empty folders, when this process may form the group.
void
TickBootstrap(Context& aContext);

void
HandleBootstrapProbe(Context& aContext, const Member& aFrom);

void
HandleBootstrapProbeReply(Context& aContext,
                          const Member& aFrom,
                          const BootstrapProbeReply& aReply);

/// Asks the group to take this process in, while it follows no leader.
void
AskToJoin(Context& aContext);

void
HandleJoinRequest(Context& aContext, const Member& aFrom);

void
HandleJoinReply(Context& aContext, const JoinReply& aReply);

/// Forgets processes that are no voters and have not been heard of for long.
void
ForgetLostPeers(Context& aContext);

/// Replaces voters that lost their disk by their new incarnations, one change at a time.
void
AdmitLearners(Context& aContext);

// Snapshots.

/// Asks for a snapshot when enough entries were committed.
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
