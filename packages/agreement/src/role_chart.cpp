#include "context.hpp"

namespace fighold::agreement {
namespace {

const std::vector<std::string> kRoles{ "learner",   "follower", "pre_candidate",
                                       "candidate", "leader",   "halted" };
const std::vector<std::string> kEvents{ "timeout",     "majority",   "leader_seen", "higher_term",
                                        "quorum_lost", "membership", "conflict" };

bool
IsSelfVoter(const Context& aContext)
{
  return IsVoter(aContext.mNode, SelfMember(aContext.mNode));
}

bool
IsSelfNotVoter(const Context& aContext)
{
  return !IsSelfVoter(aContext);
}

void
AwaitLeader(Context& aContext)
{
  aContext.mNode.mLeader.reset();
  ResetElectionDeadline(aContext);
}

chart::Registry<Context>
RoleRegistry()
{
  return { kRoles,
           kEvents,
           { { "is_voter", IsSelfVoter }, { "is_no_voter", IsSelfNotVoter } },
           { { "await_leader", AwaitLeader },
             { "ask_pre_votes", RequestPreVotes },
             { "ask_votes", RequestVotes },
             { "lead", StartLeadership } } };
}

} // namespace

std::shared_ptr<const RoleChart>
LoadRoleChart(const std::filesystem::path& aFolder)
{
  return std::make_shared<const RoleChart>(
    chart::LoadBoundChart(aFolder / "control_role.scxml", RoleRegistry()));
}

std::string
RoleName(Role aRole)
{
  return kRoles[static_cast<std::size_t>(aRole)];
}

void
FireRoleEvent(Context& aContext, RoleEvent aEvent, const std::string& aReason)
{
  Node& node = aContext.mNode;
  const Role before = node.mRole;
  node.mRole = chart::Fire(*node.mOptions.mChart, before, aEvent, aContext).mState;
  if (node.mRole == before) {
    return;
  }
  DecisionRecord record;
  record.mKind = "role";
  record.mSubject = node.mOptions.mSelf.mValue;
  record.mChoice = RoleName(node.mRole);
  record.mReason = kEvents[static_cast<std::size_t>(aEvent)] + " in term " +
                   std::to_string(node.mTermVote.mTerm) + ", was " + RoleName(before) +
                   (aReason.empty() ? "" : ": " + aReason);
  aContext.mEffects.emplace_back(Record{ std::move(record) });
}

} // namespace fighold::agreement
