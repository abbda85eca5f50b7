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
  claims::Reply reply = claims::Decide(aContext.mState.mClaims, aAsk, aContext.mNow);
  aContext.mEffects.emplace_back(SendEntry{ aFrom, std::move(reply) });
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
  State& state = aContext.mState;
  // A founder that has not restarted since the founding remembers every grant. A process that lost
  // its disk finds no state either, but its new incarnation is not among the founders.
  if (state.mStartedEmpty && agreement::IsFounder(state.mNode)) {
    state.mStartedEmpty = false;
    claims::Activate(state.mClaims);
  }
  for (auto& [to, ask] : claims::TickHolder(aContext.mState.mClaims, aContext.mNow)) {
    aContext.mEffects.emplace_back(SendControl{ to, std::move(ask) });
  }
}

} // namespace fighold::control
