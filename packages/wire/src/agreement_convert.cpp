#include "agreement_convert.hpp"

namespace fighold::wire::detail {
namespace {

using namespace agreement;

void
Put(const VoteAsk& aAsk, pb::Agreement& aOut)
{
  auto* out = aOut.mutable_vote_ask();
  out->set_term(aAsk.mTerm);
  out->set_pre_vote(aAsk.mPreVote);
  out->set_last_index(aAsk.mLastIndex);
  out->set_last_term(aAsk.mLastTerm);
  out->set_voter(aAsk.mVoter);
}

Body
Get(const pb::VoteAsk& aAsk)
{
  return VoteAsk{ aAsk.term(), aAsk.pre_vote(), aAsk.last_index(), aAsk.last_term(), aAsk.voter() };
}

void
Put(const VoteReply& aReply, pb::Agreement& aOut)
{
  auto* out = aOut.mutable_vote_reply();
  out->set_term(aReply.mTerm);
  out->set_pre_vote(aReply.mPreVote);
  out->set_granted(aReply.mGranted);
}

Body
Get(const pb::VoteReply& aReply)
{
  return VoteReply{ aReply.term(), aReply.pre_vote(), aReply.granted() };
}

void
Put(const Append& aAppend, pb::Agreement& aOut)
{
  auto* out = aOut.mutable_append();
  out->set_term(aAppend.mTerm);
  out->set_previous(aAppend.mPrevious);
  out->set_previous_term(aAppend.mPreviousTerm);
  out->set_commit(aAppend.mCommit);
  out->set_round(aAppend.mRound);
  for (const auto& it : aAppend.mEntries) {
    auto* entry = out->add_entries();
    entry->set_index(it.mIndex);
    entry->set_term(it.mTerm);
    entry->set_payload(it.mPayload);
    entry->set_kind(static_cast<std::uint32_t>(it.mKind));
  }
}

std::optional<Body>
Get(const pb::Append& aAppend)
{
  Append append{ aAppend.term(),   aAppend.previous(), aAppend.previous_term(),
                 aAppend.commit(), aAppend.round(),    {} };
  for (const auto& it : aAppend.entries()) {
    // Entries must follow each other, because a log is addressed by position.
    if (it.kind() > static_cast<std::uint32_t>(EntryKind::Members) ||
        it.index() != append.mPrevious + append.mEntries.size() + 1) {
      return std::nullopt;
    }
    append.mEntries.push_back(
      { it.index(), it.term(), it.payload(), static_cast<EntryKind>(it.kind()) });
  }
  return append;
}

void
Put(const AppendReply& aReply, pb::Agreement& aOut)
{
  auto* out = aOut.mutable_append_reply();
  out->set_term(aReply.mTerm);
  out->set_accepted(aReply.mAccepted);
  out->set_synced(aReply.mSynced);
  out->set_round(aReply.mRound);
}

Body
Get(const pb::AppendReply& aReply)
{
  return AppendReply{ aReply.term(), aReply.accepted(), aReply.synced(), aReply.round() };
}

void
Put(const SnapshotPart& aPart, pb::Agreement& aOut)
{
  auto* out = aOut.mutable_snapshot_part();
  out->set_term(aPart.mTerm);
  out->set_round(aPart.mRound);
  out->set_index(aPart.mIndex);
  out->set_index_term(aPart.mIndexTerm);
  out->set_members(aPart.mMembers);
  out->set_offset(aPart.mOffset);
  out->set_total(aPart.mTotal);
  out->set_bytes(aPart.mBytes);
}

Body
Get(const pb::SnapshotPart& aPart)
{
  return SnapshotPart{ aPart.term(),    aPart.round(),  aPart.index(), aPart.index_term(),
                       aPart.members(), aPart.offset(), aPart.total(), aPart.bytes() };
}

void
Put(const SnapshotReply& aReply, pb::Agreement& aOut)
{
  auto* out = aOut.mutable_snapshot_reply();
  out->set_term(aReply.mTerm);
  out->set_round(aReply.mRound);
  out->set_index(aReply.mIndex);
  out->set_offset(aReply.mOffset);
}

Body
Get(const pb::SnapshotReply& aReply)
{
  return SnapshotReply{ aReply.term(), aReply.round(), aReply.index(), aReply.offset() };
}

void
Put(const EmptyAsk& /*aAsk*/, pb::Agreement& aOut)
{
  aOut.mutable_empty_ask();
}

void
Put(const EmptyReply& aReply, pb::Agreement& aOut)
{
  aOut.mutable_empty_reply()->set_asker(aReply.mAsker);
  aOut.mutable_empty_reply()->set_empty(aReply.mEmpty);
}

void
Put(const JoinAsk& /*aAsk*/, pb::Agreement& aOut)
{
  aOut.mutable_join_ask();
}

void
Put(const JoinReply& aReply, pb::Agreement& aOut)
{
  for (const auto& it : aReply.mVoters) {
    aOut.mutable_join_reply()->add_voters(it.mValue);
  }
}

Body
Get(const pb::JoinReply& aReply)
{
  JoinReply reply;
  for (const auto& it : aReply.voters()) {
    reply.mVoters.insert({ it });
  }
  return reply;
}

void
Put(const Forward& aForward, pb::Agreement& aOut)
{
  aOut.mutable_forward()->set_payload(aForward.mPayload);
}

std::optional<Body>
GetBody(const pb::Agreement& aMessage)
{
  switch (aMessage.body_case()) {
    case pb::Agreement::kVoteAsk:
      return Get(aMessage.vote_ask());
    case pb::Agreement::kVoteReply:
      return Get(aMessage.vote_reply());
    case pb::Agreement::kAppend:
      return Get(aMessage.append());
    case pb::Agreement::kAppendReply:
      return Get(aMessage.append_reply());
    case pb::Agreement::kSnapshotPart:
      return Get(aMessage.snapshot_part());
    case pb::Agreement::kSnapshotReply:
      return Get(aMessage.snapshot_reply());
    case pb::Agreement::kEmptyAsk:
      return EmptyAsk{};
    case pb::Agreement::kEmptyReply:
      return EmptyReply{ aMessage.empty_reply().asker(), aMessage.empty_reply().empty() };
    case pb::Agreement::kForward:
      return Forward{ aMessage.forward().payload() };
    case pb::Agreement::kJoinAsk:
      return JoinAsk{};
    case pb::Agreement::kJoinReply:
      return Get(aMessage.join_reply());
    case pb::Agreement::BODY_NOT_SET:
      break;
  }
  return std::nullopt;
}

} // namespace

pb::Agreement
ToPb(const Message& aMessage)
{
  pb::Agreement out;
  out.set_sender(aMessage.mSender);
  out.set_group(aMessage.mGroup);
  std::visit([&out](const auto& aBody) { Put(aBody, out); }, aMessage.mBody);
  return out;
}

std::optional<Message>
FromPb(const pb::Agreement& aMessage)
{
  auto body = GetBody(aMessage);
  if (!body) {
    return std::nullopt;
  }
  return Message{ aMessage.sender(), aMessage.group(), std::move(*body) };
}

} // namespace fighold::wire::detail
