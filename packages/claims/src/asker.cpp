#include "fighold/claims/asker.hpp"

#include <algorithm>

namespace fighold::claims {
namespace {

constexpr Millis kResendInterval{ 200 };

/// Time for which a key that was given back is announced. A late ask that grants the key again to
/// the attempt is answered by another release within this time.
constexpr Millis kGiveBackTime{ 2'000 };

struct Context
{
  Asker& mAsker;
  Instant mNow;
  std::vector<AskerEffect> mEffects;
};

void
MarkDue(Asker& aAsker, Instant aTime)
{
  aAsker.mNextDue = std::min(aAsker.mNextDue.value_or(aTime), aTime);
}

std::size_t
MajorityOf(const Asker& aAsker)
{
  return aAsker.mOptions.mHolders.size() / 2 + 1;
}

/// Replies of one attempt, counted.
struct Tally
{
  std::size_t mGranted = 0;
  std::size_t mOpen = 0; ///< holders that have not replied or abstain
  std::size_t mMismatch = 0;
  std::map<Attempt, std::size_t> mOwners; ///< holders by the other attempt that they named
  std::optional<KeptAnswer> mAnswer;
};

Tally
Count(const Asker& aAsker, const PendingAsk& aPending)
{
  Tally tally;
  tally.mOpen = aAsker.mOptions.mHolders.size() - aPending.mReplies.size();
  for (const auto& [holder, reply] : aPending.mReplies) {
    switch (reply.mVerdict) {
      case Verdict::Granted:
        ++tally.mGranted;
        break;
      case Verdict::Answered:
        tally.mAnswer = reply.mAnswer;
        [[fallthrough]];
      case Verdict::Held:
        ++tally.mOwners[reply.mOwner];
        break;
      case Verdict::Mismatch:
        ++tally.mMismatch;
        ++tally.mOwners[reply.mOwner];
        break;
      case Verdict::Abstained:
        ++tally.mOpen;
        break;
      case Verdict::Full:
      case Verdict::Withdrawn:
        break;
    }
  }
  return tally;
}

/// Judgement of an attempt that can no longer be granted. When another attempt may hold a majority,
/// its request may have been run, and "not run" would mislead a caller that resends.
Judgement
JudgeLost(const Asker& aAsker, const Tally& aTally)
{
  if (aTally.mMismatch > 0) {
    return Judgement::Mismatch;
  }
  const bool otherMayWin =
    std::any_of(aTally.mOwners.begin(), aTally.mOwners.end(), [&](const auto& aItem) {
      return aItem.second + aTally.mOpen >= MajorityOf(aAsker);
    });
  return otherMayWin ? Judgement::Dispatched : Judgement::NotDecided;
}

/// @return judgement, or nothing while it is open
std::optional<Judgement>
Judge(const Asker& aAsker, const PendingAsk& aPending, const Tally& aTally, Instant aNow)
{
  const std::size_t majority = MajorityOf(aAsker);
  if (aTally.mAnswer) {
    return Judgement::FirstAnswer;
  }
  if (aNow >= aPending.mUntil) {
    return JudgeLost(aAsker, aTally);
  }
  if (aTally.mGranted >= majority) {
    return Judgement::Granted;
  }
  if (aTally.mGranted + aTally.mOpen < majority) {
    return JudgeLost(aAsker, aTally);
  }
  return std::nullopt;
}

void
SendToAll(Context& aContext, const Result& aResult)
{
  for (const ControlId& it : aContext.mAsker.mOptions.mHolders) {
    aContext.mEffects.emplace_back(Send{ it, aResult });
  }
}

void
GiveBack(Context& aContext, const Ask& aAsk)
{
  const Result result{ aAsk.mKey, aAsk.mAttempt, true, std::nullopt };
  SendToAll(aContext, result);
  aContext.mAsker.mGivenBack[aAsk.mAttempt.mNumber] = { result,
                                                        aContext.mNow + kResendInterval,
                                                        aContext.mNow + kGiveBackTime };
  MarkDue(aContext.mAsker, aContext.mNow + kResendInterval);
}

void
SendAsks(Context& aContext, PendingAsk& aPending)
{
  aPending.mNextSend = aContext.mNow + kResendInterval;
  for (const ControlId& it : aContext.mAsker.mOptions.mHolders) {
    const auto reply = aPending.mReplies.find(it);
    if (reply == aPending.mReplies.end() || reply->second.mVerdict == Verdict::Abstained) {
      aContext.mEffects.emplace_back(Send{ it, aPending.mAsk });
    }
  }
}

/// Judges an attempt and ends it when its judgement is clear.
void
Settle(Context& aContext, std::uint64_t aNumber)
{
  Asker& asker = aContext.mAsker;
  const auto it = asker.mPending.find(aNumber);
  Tally tally = Count(asker, it->second);
  const auto judgement = Judge(asker, it->second, tally, aContext.mNow);
  if (!judgement) {
    return;
  }
  const Ask ask = it->second.mAsk;
  Judged judged{ aNumber, *judgement, it->second.mBegun + kValidity, std::move(tally.mAnswer) };
  asker.mPending.erase(it);
  if (*judgement == Judgement::Granted) {
    asker.mGranted[aNumber] = ask;
  } else {
    GiveBack(aContext, ask);
  }
  aContext.mEffects.emplace_back(std::move(judged));
}

void
Handle(const Begin& aBegin, Context& aContext)
{
  Asker& asker = aContext.mAsker;
  if (IsFull(asker)) {
    aContext.mEffects.emplace_back(
      Judged{ aBegin.mNumber, Judgement::NotDecided, {}, std::nullopt });
    return;
  }
  const Attempt attempt{ asker.mOptions.mEntry, asker.mOptions.mIncarnation, aBegin.mNumber };
  PendingAsk& pending = asker.mPending[aBegin.mNumber];
  pending.mAsk = { aBegin.mKey, aBegin.mDigest, attempt };
  pending.mBegun = aContext.mNow;
  pending.mUntil = std::min(aBegin.mUntil, aContext.mNow + kAskTimeout);
  SendAsks(aContext, pending);
  MarkDue(asker, std::min(pending.mNextSend, pending.mUntil));
}

void
Handle(const Replied& aReplied, Context& aContext)
{
  const Asker& asker = aContext.mAsker;
  const Attempt& attempt = aReplied.mReply.mAttempt;
  const auto& holders = asker.mOptions.mHolders;
  if (attempt.mEntry != asker.mOptions.mEntry ||
      attempt.mIncarnation != asker.mOptions.mIncarnation ||
      std::find(holders.begin(), holders.end(), aReplied.mFrom) == holders.end()) {
    return;
  }
  const auto back = asker.mGivenBack.find(attempt.mNumber);
  if (back != asker.mGivenBack.end() && aReplied.mReply.mVerdict == Verdict::Granted) {
    aContext.mEffects.emplace_back(Send{ aReplied.mFrom, back->second.mResult });
  }
  const auto it = aContext.mAsker.mPending.find(attempt.mNumber);
  if (it == aContext.mAsker.mPending.end()) {
    return;
  }
  // A grant stands until it is given back, so a late refusal of a doubled ask does not replace it.
  Reply& reply = it->second.mReplies.try_emplace(aReplied.mFrom, aReplied.mReply).first->second;
  if (reply.mVerdict != Verdict::Granted) {
    reply = aReplied.mReply;
  }
  Settle(aContext, attempt.mNumber);
}

void
Handle(const Finish& aFinish, Context& aContext)
{
  Asker& asker = aContext.mAsker;
  const auto pending = asker.mPending.find(aFinish.mNumber);
  if (pending != asker.mPending.end()) {
    GiveBack(aContext, pending->second.mAsk);
    asker.mPending.erase(pending);
    return;
  }
  const auto granted = asker.mGranted.find(aFinish.mNumber);
  if (granted == asker.mGranted.end()) {
    return;
  }
  const Ask ask = granted->second;
  asker.mGranted.erase(granted);
  if (!aFinish.mRun) {
    GiveBack(aContext, ask);
    return;
  }
  Result result{ ask.mKey, ask.mAttempt, false, aFinish.mAnswer };
  if (result.mAnswer && SizeOf(*result.mAnswer) > kMaxAnswerBytes) {
    result.mAnswer.reset();
  }
  SendToAll(aContext, result);
}

void
Handle(const AskerTick& /*aTick*/, Context& aContext)
{
  Asker& asker = aContext.mAsker;
  std::vector<std::uint64_t> numbers;
  for (auto& [number, pending] : asker.mPending) {
    if (aContext.mNow >= pending.mNextSend && aContext.mNow < pending.mUntil) {
      SendAsks(aContext, pending);
    }
    numbers.push_back(number);
  }
  for (const std::uint64_t it : numbers) {
    Settle(aContext, it);
  }
  for (auto it = asker.mGivenBack.begin(); it != asker.mGivenBack.end();) {
    if (aContext.mNow >= it->second.mUntil) {
      it = asker.mGivenBack.erase(it);
      continue;
    }
    if (aContext.mNow >= it->second.mNextSend) {
      it->second.mNextSend = aContext.mNow + kResendInterval;
      SendToAll(aContext, it->second.mResult);
    }
    ++it;
  }
  asker.mNextDue.reset();
  for (const auto& [number, pending] : asker.mPending) {
    MarkDue(asker, std::min(pending.mNextSend, pending.mUntil));
  }
  for (const auto& [number, back] : asker.mGivenBack) {
    MarkDue(asker, back.mNextSend);
  }
}

} // namespace

std::vector<AskerEffect>
Step(Asker& aAsker, const AskerEvent& aEvent, Instant aNow)
{
  Context context{ aAsker, aNow, {} };
  std::visit([&](const auto& aBody) { Handle(aBody, context); }, aEvent);
  return std::move(context.mEffects);
}

bool
IsFull(const Asker& aAsker)
{
  return aAsker.mPending.size() + aAsker.mGivenBack.size() >= aAsker.mOptions.mMaxPending;
}

std::optional<Instant>
NextAskerTick(const Asker& aAsker)
{
  return aAsker.mNextDue;
}

} // namespace fighold::claims
