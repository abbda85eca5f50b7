#include "claim_holding.hpp"

namespace fighold::control {
namespace {

/// @return whether the attempt belongs to the sender; an entry must not claim for another one
bool
IsOwnAttempt(const EntryMessage& aMessage, const claims::Attempt& aAttempt)
{
  return aMessage.mFrom == aAttempt.mEntry;
}

void
HandleClaimRequest(Context& aContext, const EntryId& aFrom, const claims::ClaimRequest& aRequest)
{
  claims::ClaimReply reply =
    claims::ProcessRequest(aContext.mState.mClaims, aRequest, aContext.mNow);
  aContext.mEffects.emplace_back(SendEntry{ aFrom, std::move(reply) });
}

} // namespace

bool
HandleClaimMessage(Context& aContext, const EntryMessage& aMessage)
{
  if (const auto* request = std::get_if<claims::ClaimRequest>(&aMessage.mBody)) {
    if (IsOwnAttempt(aMessage, request->mAttempt)) {
      HandleClaimRequest(aContext, aMessage.mFrom, *request);
    }
    return true;
  }
  if (const auto* result = std::get_if<claims::AttemptResult>(&aMessage.mBody)) {
    if (IsOwnAttempt(aMessage, result->mAttempt)) {
      claims::RecordResult(aContext.mState.mClaims, *result, aContext.mNow);
    }
    return true;
  }
  return false;
}

bool
HandleClaimMessage(Context& aContext, const ControlMessage& aMessage)
{
  claims::Replica& replica = aContext.mState.mClaims;
  if (const auto* request = std::get_if<claims::CopyRequest>(&aMessage.mBody)) {
    if (auto page = claims::MakeCopyPage(replica, *request, aContext.mNow)) {
      aContext.mEffects.emplace_back(SendControl{ aMessage.mFrom, std::move(*page) });
    }
    return true;
  }
  if (const auto* page = std::get_if<claims::CopyPage>(&aMessage.mBody)) {
    const claims::ReplicaStage before = replica.mStage;
    if (const auto next = claims::ApplyCopyPage(replica, aMessage.mFrom, *page, aContext.mNow)) {
      aContext.mEffects.emplace_back(SendControl{ aMessage.mFrom, *next });
    }
    if (replica.mStage != before) {
      DecisionRecord record;
      record.mKind = "claims";
      record.mSubject = replica.mOptions.mSelf.mValue;
      record.mChoice = "active";
      record.mReason = "copied-from-majority";
      aContext.mEffects.emplace_back(LogRecord{ record });
    }
    return true;
  }
  return false;
}

void
TickClaims(Context& aContext)
{
  State& state = aContext.mState;
  // An initial member that has not restarted since the group was bootstrapped still has every
  // grant. A process that lost its disk also starts empty, but its new incarnation is not an
  // initial member.
  if (state.mStartedEmpty && agreement::IsInitialMember(state.mNode)) {
    state.mStartedEmpty = false;
    claims::Activate(state.mClaims);
  }
  for (auto& [to, request] : claims::TickReplica(aContext.mState.mClaims, aContext.mNow)) {
    aContext.mEffects.emplace_back(SendControl{ to, std::move(request) });
  }
}

} // namespace fighold::control
