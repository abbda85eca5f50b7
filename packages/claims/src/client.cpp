#include "fighold/claims/client.hpp"

#include <algorithm>

namespace fighold::claims {
namespace {

constexpr Millis kResendInterval{ 200 };

/// Time for which a key that was given back is announced. A late ask that grants the key again to
/// the attempt is answered by another release within this time.
constexpr Millis kGiveBackTime{ 2'000 };

struct Context
{
  Client& mAsker;
  Instant mNow;
  std::vector<ClientEffect> mEffects;
};

void
MarkDue(Client& aClient, Instant aTime)
{
  aClient.mNextDue = std::min(aClient.mNextDue.value_or(aTime), aTime);
}

std::size_t
MajorityOf(const Client& aClient)
{
  return aClient.mOptions.mReplicas.size() / 2 + 1;
}

/// Replies of one attempt, counted.
struct Tally
{
  std::size_t mGranted = 0;
  std::size_t mOpen = 0; ///< holders that have not replied or abstain
  std::size_t mMismatch = 0;
  std::map<Attempt, std::size_t> mOwners; ///< holders by the other attempt that they named
  std::optional<StoredResponse> mResponse;
};

Tally
Count(const Client& aClient, const PendingClaim& aPending)
{
  Tally tally;
  tally.mOpen = aClient.mOptions.mReplicas.size() - aPending.mReplies.size();
  for (const auto& [replica, reply] : aPending.mReplies) {
    switch (reply.mCode) {
      case ReplyCode::Granted:
        ++tally.mGranted;
        break;
      case ReplyCode::Answered:
        tally.mResponse = reply.mResponse;
        [[fallthrough]];
      case ReplyCode::Held:
        ++tally.mOwners[reply.mOwner];
        break;
      case ReplyCode::Mismatch:
        ++tally.mMismatch;
        ++tally.mOwners[reply.mOwner];
        break;
      case ReplyCode::Abstained:
        ++tally.mOpen;
        break;
      case ReplyCode::Full:
      case ReplyCode::Released:
        break;
    }
  }
  return tally;
}

/// Judgement of an attempt that can no longer be granted. When another attempt may hold a majority,
/// its request may have been run, and "not run" would mislead a caller that resends.
ClaimOutcome
JudgeLost(const Client& aClient, const Tally& aTally)
{
  if (aTally.mMismatch > 0) {
    return ClaimOutcome::Mismatch;
  }
  const bool otherMayWin =
    std::any_of(aTally.mOwners.begin(), aTally.mOwners.end(), [&](const auto& aItem) {
      return aItem.second + aTally.mOpen >= MajorityOf(aClient);
    });
  return otherMayWin ? ClaimOutcome::Dispatched : ClaimOutcome::Undecided;
}

/// @return judgement, or nothing while it is open
std::optional<ClaimOutcome>
Judge(const Client& aClient, const PendingClaim& aPending, const Tally& aTally, Instant aNow)
{
  const std::size_t majority = MajorityOf(aClient);
  if (aTally.mResponse) {
    return ClaimOutcome::Replay;
  }
  if (aNow >= aPending.mUntil) {
    return JudgeLost(aClient, aTally);
  }
  if (aTally.mGranted >= majority) {
    return ClaimOutcome::Granted;
  }
  if (aTally.mGranted + aTally.mOpen < majority) {
    return JudgeLost(aClient, aTally);
  }
  return std::nullopt;
}

void
SendToAll(Context& aContext, const AttemptResult& aResult)
{
  for (const ControlId& it : aContext.mAsker.mOptions.mReplicas) {
    aContext.mEffects.emplace_back(Send{ it, aResult });
  }
}

void
GiveBack(Context& aContext, const ClaimRequest& aRequest)
{
  const AttemptResult result{ aRequest.mKey, aRequest.mAttempt, true, std::nullopt };
  SendToAll(aContext, result);
  aContext.mAsker.mReleasedClaims[aRequest.mAttempt.mNumber] = { result,
                                                                 aContext.mNow + kResendInterval,
                                                                 aContext.mNow + kGiveBackTime };
  MarkDue(aContext.mAsker, aContext.mNow + kResendInterval);
}

void
SendAsks(Context& aContext, PendingClaim& aPending)
{
  aPending.mNextSend = aContext.mNow + kResendInterval;
  for (const ControlId& it : aContext.mAsker.mOptions.mReplicas) {
    const auto reply = aPending.mReplies.find(it);
    if (reply == aPending.mReplies.end() || reply->second.mCode == ReplyCode::Abstained) {
      aContext.mEffects.emplace_back(Send{ it, aPending.mRequest });
    }
  }
}

/// Judges an attempt and ends it when its judgement is clear.
void
Settle(Context& aContext, std::uint64_t aNumber)
{
  Client& client = aContext.mAsker;
  const auto it = client.mPending.find(aNumber);
  Tally tally = Count(client, it->second);
  const auto judgement = Judge(client, it->second, tally, aContext.mNow);
  if (!judgement) {
    return;
  }
  const ClaimRequest request = it->second.mRequest;
  ClaimDecided judged{
    aNumber, *judgement, it->second.mRequestedAt + kValidity, std::move(tally.mResponse)
  };
  client.mPending.erase(it);
  if (*judgement == ClaimOutcome::Granted) {
    client.mGranted[aNumber] = request;
  } else {
    GiveBack(aContext, request);
  }
  aContext.mEffects.emplace_back(std::move(judged));
}

void
Handle(const StartClaim& aBegin, Context& aContext)
{
  Client& client = aContext.mAsker;
  if (IsFull(client)) {
    aContext.mEffects.emplace_back(
      ClaimDecided{ aBegin.mNumber, ClaimOutcome::Undecided, {}, std::nullopt });
    return;
  }
  const Attempt attempt{ client.mOptions.mEntry, client.mOptions.mIncarnation, aBegin.mNumber };
  PendingClaim& pending = client.mPending[aBegin.mNumber];
  pending.mRequest = { aBegin.mKey, aBegin.mDigest, attempt };
  pending.mRequestedAt = aContext.mNow;
  pending.mUntil = std::min(aBegin.mUntil, aContext.mNow + kClaimTimeout);
  SendAsks(aContext, pending);
  MarkDue(client, std::min(pending.mNextSend, pending.mUntil));
}

void
Handle(const ReplyReceived& aReplied, Context& aContext)
{
  const Client& client = aContext.mAsker;
  const Attempt& attempt = aReplied.mReply.mAttempt;
  const auto& replicas = client.mOptions.mReplicas;
  if (attempt.mEntry != client.mOptions.mEntry ||
      attempt.mIncarnation != client.mOptions.mIncarnation ||
      std::find(replicas.begin(), replicas.end(), aReplied.mFrom) == replicas.end()) {
    return;
  }
  const auto back = client.mReleasedClaims.find(attempt.mNumber);
  if (back != client.mReleasedClaims.end() && aReplied.mReply.mCode == ReplyCode::Granted) {
    aContext.mEffects.emplace_back(Send{ aReplied.mFrom, back->second.mResult });
  }
  const auto it = aContext.mAsker.mPending.find(attempt.mNumber);
  if (it == aContext.mAsker.mPending.end()) {
    return;
  }
  // A grant stands until it is given back, so a late refusal of a doubled ask does not replace it.
  ClaimReply& reply =
    it->second.mReplies.try_emplace(aReplied.mFrom, aReplied.mReply).first->second;
  if (reply.mCode != ReplyCode::Granted) {
    reply = aReplied.mReply;
  }
  Settle(aContext, attempt.mNumber);
}

void
Handle(const RequestEnded& aFinish, Context& aContext)
{
  Client& client = aContext.mAsker;
  const auto pending = client.mPending.find(aFinish.mNumber);
  if (pending != client.mPending.end()) {
    GiveBack(aContext, pending->second.mRequest);
    client.mPending.erase(pending);
    return;
  }
  const auto granted = client.mGranted.find(aFinish.mNumber);
  if (granted == client.mGranted.end()) {
    return;
  }
  const ClaimRequest request = granted->second;
  client.mGranted.erase(granted);
  if (!aFinish.mMayHaveRun) {
    GiveBack(aContext, request);
    return;
  }
  AttemptResult result{ request.mKey, request.mAttempt, false, aFinish.mResponse };
  if (result.mResponse && SizeOf(*result.mResponse) > kMaxStoredResponseBytes) {
    result.mResponse.reset();
  }
  SendToAll(aContext, result);
}

void
Handle(const ClientTick& /*aTick*/, Context& aContext)
{
  Client& client = aContext.mAsker;
  std::vector<std::uint64_t> numbers;
  for (auto& [number, pending] : client.mPending) {
    if (aContext.mNow >= pending.mNextSend && aContext.mNow < pending.mUntil) {
      SendAsks(aContext, pending);
    }
    numbers.push_back(number);
  }
  for (const std::uint64_t it : numbers) {
    Settle(aContext, it);
  }
  for (auto it = client.mReleasedClaims.begin(); it != client.mReleasedClaims.end();) {
    if (aContext.mNow >= it->second.mUntil) {
      it = client.mReleasedClaims.erase(it);
      continue;
    }
    if (aContext.mNow >= it->second.mNextSend) {
      it->second.mNextSend = aContext.mNow + kResendInterval;
      SendToAll(aContext, it->second.mResult);
    }
    ++it;
  }
  client.mNextDue.reset();
  for (const auto& [number, pending] : client.mPending) {
    MarkDue(client, std::min(pending.mNextSend, pending.mUntil));
  }
  for (const auto& [number, back] : client.mReleasedClaims) {
    MarkDue(client, back.mNextSend);
  }
}

} // namespace

std::vector<ClientEffect>
Step(Client& aClient, const ClientEvent& aEvent, Instant aNow)
{
  Context context{ aClient, aNow, {} };
  std::visit([&](const auto& aBody) { Handle(aBody, context); }, aEvent);
  return std::move(context.mEffects);
}

bool
IsFull(const Client& aClient)
{
  return aClient.mPending.size() + aClient.mReleasedClaims.size() >= aClient.mOptions.mMaxPending;
}

std::optional<Instant>
NextClientTick(const Client& aClient)
{
  return aClient.mNextDue;
}

} // namespace fighold::claims
