#include "agreement_convert.hpp"

namespace fighold::wire::detail {
namespace {

using namespace agreement;

void
Put(const VoteRequest& aRequest, pb::Agreement& aOut)
{
  auto* out = aOut.mutable_vote_ask();
  out->set_term(aRequest.mTerm);
  out->set_pre_vote(aRequest.mPreVote);
  out->set_last_index(aRequest.mLastLogIndex);
  out->set_last_term(aRequest.mLastLogTerm);
  out->set_voter(aRequest.mVoterIncarnation);
}

Body
Get(const pb::VoteAsk& aRequest)
{
  return VoteRequest{ aRequest.term(),
                      aRequest.pre_vote(),
                      aRequest.last_index(),
                      aRequest.last_term(),
                      aRequest.voter() };
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
Put(const AppendEntries& aRequest, pb::Agreement& aOut)
{
  auto* out = aOut.mutable_append();
  out->set_term(aRequest.mTerm);
  out->set_previous(aRequest.mPrevLogIndex);
  out->set_previous_term(aRequest.mPrevLogTerm);
  out->set_commit(aRequest.mLeaderCommit);
  out->set_round(aRequest.mRound);
  for (const auto& it : aRequest.mEntries) {
    auto* entry = out->add_entries();
    entry->set_index(it.mIndex);
    entry->set_term(it.mTerm);
    entry->set_payload(it.mPayload);
    entry->set_kind(static_cast<std::uint32_t>(it.mKind));
  }
}

std::optional<Body>
Get(const pb::Append& aRequest)
{
  AppendEntries request{ aRequest.term(),   aRequest.previous(), aRequest.previous_term(),
                         aRequest.commit(), aRequest.round(),    {} };
  for (const auto& it : aRequest.entries()) {
    // Entries must follow each other, because a log is addressed by position.
    if (it.kind() > static_cast<std::uint32_t>(EntryKind::Membership) ||
        it.index() != request.mPrevLogIndex + request.mEntries.size() + 1) {
      return std::nullopt;
    }
    request.mEntries.push_back(
      { it.index(), it.term(), it.payload(), static_cast<EntryKind>(it.kind()) });
  }
  return request;
}

void
Put(const AppendEntriesReply& aReply, pb::Agreement& aOut)
{
  auto* out = aOut.mutable_append_reply();
  out->set_term(aReply.mTerm);
  out->set_accepted(aReply.mSuccess);
  out->set_synced(aReply.mMatchIndex);
  out->set_round(aReply.mRound);
}

Body
Get(const pb::AppendReply& aReply)
{
  return AppendEntriesReply{ aReply.term(), aReply.accepted(), aReply.synced(), aReply.round() };
}

void
Put(const SnapshotChunk& aChunk, pb::Agreement& aOut)
{
  auto* out = aOut.mutable_snapshot_part();
  out->set_term(aChunk.mTerm);
  out->set_round(aChunk.mRound);
  out->set_index(aChunk.mIndex);
  out->set_index_term(aChunk.mSnapshotTerm);
  out->set_members(aChunk.mMembership);
  out->set_offset(aChunk.mOffset);
  out->set_total(aChunk.mTotalSize);
  out->set_bytes(aChunk.mBytes);
}

Body
Get(const pb::SnapshotPart& aChunk)
{
  return SnapshotChunk{ aChunk.term(),    aChunk.round(),  aChunk.index(), aChunk.index_term(),
                        aChunk.members(), aChunk.offset(), aChunk.total(), aChunk.bytes() };
}

void
Put(const SnapshotChunkReply& aReply, pb::Agreement& aOut)
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
  return SnapshotChunkReply{ aReply.term(), aReply.round(), aReply.index(), aReply.offset() };
}

void
Put(const BootstrapProbe& /*aRequest*/, pb::Agreement& aOut)
{
  aOut.mutable_empty_ask();
}

void
Put(const BootstrapProbeReply& aReply, pb::Agreement& aOut)
{
  aOut.mutable_empty_reply()->set_asker(aReply.mRequester);
  aOut.mutable_empty_reply()->set_empty(aReply.mEmpty);
}

void
Put(const JoinRequest& /*aRequest*/, pb::Agreement& aOut)
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
Put(const ForwardedProposal& aProposal, pb::Agreement& aOut)
{
  aOut.mutable_forward()->set_payload(aProposal.mPayload);
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
      return BootstrapProbe{};
    case pb::Agreement::kEmptyReply:
      return BootstrapProbeReply{ aMessage.empty_reply().asker(), aMessage.empty_reply().empty() };
    case pb::Agreement::kForward:
      return ForwardedProposal{ aMessage.forward().payload() };
    case pb::Agreement::kJoinAsk:
      return JoinRequest{};
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
