#include "claim_holding.hpp"

namespace fighold::control {
namespace {

/// An entry may not speak for another one.
bool
IsOwn(const FromEntry& aMessage, const claims::Attempt& aAttempt)
{
  return aMessage.mFrom == aAttempt.mEntry;
}

void
HandleClaimAsk(Context& aContext, const EntryId& aFrom, const claims::Ask& aAsk)
{
  if (aContext.mState.mClaimsUndetermined) {
    return;
  }
  claims::Reply reply = claims::Decide(aContext.mState.mClaims, aAsk, aContext.mNow);
  aContext.mEffects.emplace_back(SendEntry{ aFrom, std::move(reply) });
}

/// A founder of the group grants nothing before its founding entry is synced, so a founder whose
/// data folder was empty at start has not forgotten any grant. A process that joined later, or with
/// a new data folder, may have.
bool
IsFounder(const agreement::Node& aNode)
{
  if (aNode.mLog.empty() || aNode.mLog.front().mIndex != 1 ||
      aNode.mLog.front().mKind != agreement::EntryKind::Members) {
    return false;
  }
  const auto members = agreement::DecodeMembers(aNode.mLog.front().mPayload);
  if (!members) {
    return false;
  }
  const auto self = members->mVoters.find(aNode.mOptions.mSelf);
  return self != members->mVoters.end() && self->second == aNode.mIncarnation;
}

void
DetermineFounder(State& aState)
{
  if (aState.mClaimsUndetermined && aState.mNode.mSynced > 0) {
    aState.mClaimsUndetermined = false;
    aState.mClaims = claims::MakeHolder(aState.mClaims.mOptions, !IsFounder(aState.mNode));
  }
}

} // namespace

bool
HandleClaimMessage(Context& aContext, const FromEntry& aMessage)
{
  if (const auto* ask = std::get_if<claims::Ask>(&aMessage.mBody)) {
    if (IsOwn(aMessage, ask->mAttempt)) {
      HandleClaimAsk(aContext, aMessage.mFrom, *ask);
    }
    return true;
  }
  if (const auto* result = std::get_if<claims::Result>(&aMessage.mBody)) {
    if (IsOwn(aMessage, result->mAttempt)) {
      claims::NoteResult(aContext.mState.mClaims, *result, aContext.mNow);
    }
    return true;
  }
  return false;
}

bool
HandleClaimMessage(Context& aContext, const FromControl& aMessage)
{
  claims::Holder& holder = aContext.mState.mClaims;
  if (const auto* ask = std::get_if<claims::CopyAsk>(&aMessage.mBody)) {
    if (auto page = claims::MakePage(holder, *ask, aContext.mNow)) {
      aContext.mEffects.emplace_back(SendControl{ aMessage.mFrom, std::move(*page) });
    }
    return true;
  }
  if (const auto* page = std::get_if<claims::CopyPage>(&aMessage.mBody)) {
    const claims::HolderStage before = holder.mStage;
    if (const auto next = claims::TakePage(holder, aMessage.mFrom, *page, aContext.mNow)) {
      aContext.mEffects.emplace_back(SendControl{ aMessage.mFrom, *next });
    }
    if (holder.mStage != before) {
      DecisionRecord record;
      record.mKind = "claims";
      record.mSubject = holder.mOptions.mSelf.mValue;
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
  DetermineFounder(aContext.mState);
  if (aContext.mState.mClaimsUndetermined) {
    return;
  }
  for (auto& [to, ask] : claims::TickHolder(aContext.mState.mClaims, aContext.mNow)) {
    aContext.mEffects.emplace_back(SendControl{ to, std::move(ask) });
  }
}

} // namespace fighold::control
