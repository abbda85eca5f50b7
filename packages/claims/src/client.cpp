#include "fighold/claims/client.hpp"

#include <algorithm>

namespace fighold::claims {
namespace {

constexpr Millis kResendInterval{ 200 };

/// Time for which an attempt waits for the answer of another one that holds its key, and the
/// interval in which it asks. An entry answers its caller before the replicas have the answer, so
/// that a caller that resends at once through another entry may be faster.
constexpr Millis kAnswerWait{ 300 };
constexpr Millis kAnswerAskInterval{ 50 };

/// Time for which a release is resent. A replica that receives a late claim request and grants the
/// key to the attempt again is sent another release within this time.
constexpr Millis kReleaseResendTime{ 2'000 };

struct Context
{
  Client& mClient;
  Instant mNow;
  std::vector<ClientEffect> mEffects;
};

/// Schedules the next tick for aTime unless it is due earlier.
void
ScheduleTickBy(Client& aClient, Instant aTime)
{
  aClient.mNextTick = std::min(aClient.mNextTick.value_or(aTime), aTime);
}

std::size_t
MajorityOf(const Client& aClient)
{
  return aClient.mOptions.mReplicas.size() / 2 + 1;
}

/// Counts of the replies to one attempt.
struct Tally
{
  std::size_t mGranted = 0;
  std::size_t mOutstanding = 0; ///< replicas that have not replied or abstain
  std::size_t mMismatch = 0;
  std::map<Attempt, std::size_t> mOwners; ///< replicas by the owner that they named
  std::optional<StoredResponse> mResponse;
};

Tally
CountReplies(const Client& aClient, const PendingClaim& aPending)
{
  Tally tally;
  tally.mOutstanding = aClient.mOptions.mReplicas.size() - aPending.mReplies.size();
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
        ++tally.mOutstanding;
        break;
      case ReplyCode::Full:
      case ReplyCode::Released:
        break;
    }
  }
  return tally;
}

/// Outcome of an attempt that can no longer be granted. When another attempt may have a majority,
/// its request may have run, and "not run" would mislead a caller that retries.
ClaimOutcome
OutcomeWithoutMajority(const Client& aClient, const Tally& aTally)
{
  if (aTally.mMismatch > 0) {
    return ClaimOutcome::Mismatch;
  }
  const bool otherMayHaveMajority =
    std::any_of(aTally.mOwners.begin(), aTally.mOwners.end(), [&](const auto& aItem) {
      return aItem.second + aTally.mOutstanding >= MajorityOf(aClient);
    });
  return otherMayHaveMajority ? ClaimOutcome::Dispatched : ClaimOutcome::Undecided;
}

/// @return outcome, or nothing while it is undecided
std::optional<ClaimOutcome>
DecideOutcome(const Client& aClient,
              const PendingClaim& aPending,
              const Tally& aTally,
              Instant aNow)
{
  const std::size_t majority = MajorityOf(aClient);
  if (aTally.mResponse) {
    return ClaimOutcome::Replay;
  }
  if (aNow >= aPending.mDeadline) {
    return OutcomeWithoutMajority(aClient, aTally);
  }
  if (aTally.mGranted >= majority) {
    return ClaimOutcome::Granted;
  }
  if (aTally.mGranted + aTally.mOutstanding < majority) {
    const ClaimOutcome outcome = OutcomeWithoutMajority(aClient, aTally);
    const bool mayBeAnswered =
      outcome == ClaimOutcome::Dispatched && aNow < aPending.mRequestedAt + kAnswerWait;
    return mayBeAnswered ? std::nullopt : std::optional(outcome);
  }
  return std::nullopt;
}

void
SendToReplicas(Context& aContext, const AttemptResult& aResult)
{
  for (const ControlId& it : aContext.mClient.mOptions.mReplicas) {
    aContext.mEffects.emplace_back(Send{ it, aResult });
  }
}

void
ReleaseClaim(Context& aContext, const ClaimRequest& aRequest)
{
  const AttemptResult result{ aRequest.mKey, aRequest.mAttempt, true, std::nullopt };
  SendToReplicas(aContext, result);
  aContext.mClient.mReleasedClaims[aRequest.mAttempt.mNumber] = {
    result, aContext.mNow + kResendInterval, aContext.mNow + kReleaseResendTime
  };
  ScheduleTickBy(aContext.mClient, aContext.mNow + kResendInterval);
}

void
SendRequests(Context& aContext, PendingClaim& aPending)
{
  aPending.mNextSend = aContext.mNow + kResendInterval;
  for (const ControlId& it : aContext.mClient.mOptions.mReplicas) {
    const auto reply = aPending.mReplies.find(it);
    if (reply == aPending.mReplies.end() || reply->second.mCode == ReplyCode::Abstained ||
        reply->second.mCode == ReplyCode::Held) {
      aContext.mEffects.emplace_back(Send{ it, aPending.mRequest });
    }
  }
}

/// Ends an attempt if its outcome is known.
void
DecideIfPossible(Context& aContext, std::uint64_t aNumber)
{
  Client& client = aContext.mClient;
  const auto it = client.mPending.find(aNumber);
  Tally tally = CountReplies(client, it->second);
  const auto outcome = DecideOutcome(client, it->second, tally, aContext.mNow);
  if (!outcome) {
    if (!tally.mOwners.empty()) {
      it->second.mNextSend = std::min(it->second.mNextSend, aContext.mNow + kAnswerAskInterval);
      ScheduleTickBy(client, it->second.mNextSend);
    }
    return;
  }
  const ClaimRequest request = it->second.mRequest;
  ClaimDecided decided{
    aNumber, *outcome, it->second.mRequestedAt + kValidity, std::move(tally.mResponse)
  };
  client.mPending.erase(it);
  if (*outcome == ClaimOutcome::Granted) {
    client.mGranted[aNumber] = request;
  } else {
    ReleaseClaim(aContext, request);
  }
  aContext.mEffects.emplace_back(std::move(decided));
}

void
HandleEvent(const StartClaim& aStart, Context& aContext)
{
  Client& client = aContext.mClient;
  if (IsFull(client)) {
    aContext.mEffects.emplace_back(
      ClaimDecided{ aStart.mNumber, ClaimOutcome::Undecided, {}, std::nullopt });
    return;
  }
  const Attempt attempt{ client.mOptions.mEntry, client.mOptions.mIncarnation, aStart.mNumber };
  PendingClaim& pending = client.mPending[aStart.mNumber];
  pending.mRequest = { aStart.mKey, aStart.mDigest, attempt };
  pending.mRequestedAt = aContext.mNow;
  pending.mDeadline = std::min(aStart.mDeadline, aContext.mNow + kClaimTimeout);
  SendRequests(aContext, pending);
  ScheduleTickBy(client, std::min(pending.mNextSend, pending.mDeadline));
}

void
HandleEvent(const ReplyReceived& aReceived, Context& aContext)
{
  const Client& client = aContext.mClient;
  const Attempt& attempt = aReceived.mReply.mAttempt;
  const auto& replicas = client.mOptions.mReplicas;
  if (attempt.mEntry != client.mOptions.mEntry ||
      attempt.mIncarnation != client.mOptions.mIncarnation ||
      std::find(replicas.begin(), replicas.end(), aReceived.mFrom) == replicas.end()) {
    return;
  }
  const auto released = client.mReleasedClaims.find(attempt.mNumber);
  if (released != client.mReleasedClaims.end() && aReceived.mReply.mCode == ReplyCode::Granted) {
    aContext.mEffects.emplace_back(Send{ aReceived.mFrom, released->second.mResult });
  }
  const auto it = aContext.mClient.mPending.find(attempt.mNumber);
  if (it == aContext.mClient.mPending.end()) {
    return;
  }
  // A grant holds until it is released, so a late refusal of a duplicated request must not replace
  // it.
  ClaimReply& reply =
    it->second.mReplies.try_emplace(aReceived.mFrom, aReceived.mReply).first->second;
  if (reply.mCode != ReplyCode::Granted) {
    reply = aReceived.mReply;
  }
  DecideIfPossible(aContext, attempt.mNumber);
}

void
HandleEvent(const RequestEnded& aEnded, Context& aContext)
{
  Client& client = aContext.mClient;
  const auto pending = client.mPending.find(aEnded.mNumber);
  if (pending != client.mPending.end()) {
    ReleaseClaim(aContext, pending->second.mRequest);
    client.mPending.erase(pending);
    return;
  }
  const auto granted = client.mGranted.find(aEnded.mNumber);
  if (granted == client.mGranted.end()) {
    return;
  }
  const ClaimRequest request = granted->second;
  client.mGranted.erase(granted);
  if (!aEnded.mMayHaveRun) {
    ReleaseClaim(aContext, request);
    return;
  }
  AttemptResult result{ request.mKey, request.mAttempt, false, aEnded.mResponse };
  if (result.mResponse && SizeOf(*result.mResponse) > kMaxStoredResponseBytes) {
    result.mResponse.reset();
  }
  SendToReplicas(aContext, result);
}

void
HandleEvent(const ClientTick& /*aTick*/, Context& aContext)
{
  Client& client = aContext.mClient;
  std::vector<std::uint64_t> numbers;
  for (auto& [number, pending] : client.mPending) {
    if (aContext.mNow >= pending.mNextSend && aContext.mNow < pending.mDeadline) {
      SendRequests(aContext, pending);
    }
    numbers.push_back(number);
  }
  for (const std::uint64_t it : numbers) {
    DecideIfPossible(aContext, it);
  }
  for (auto it = client.mReleasedClaims.begin(); it != client.mReleasedClaims.end();) {
    if (aContext.mNow >= it->second.mResendUntil) {
      it = client.mReleasedClaims.erase(it);
      continue;
    }
    if (aContext.mNow >= it->second.mNextSend) {
      it->second.mNextSend = aContext.mNow + kResendInterval;
      SendToReplicas(aContext, it->second.mResult);
    }
    ++it;
  }
  client.mNextTick.reset();
  for (const auto& [number, pending] : client.mPending) {
    ScheduleTickBy(client, std::min(pending.mNextSend, pending.mDeadline));
  }
  for (const auto& [number, released] : client.mReleasedClaims) {
    ScheduleTickBy(client, released.mNextSend);
  }
}

} // namespace

std::vector<ClientEffect>
Step(Client& aClient, const ClientEvent& aEvent, Instant aNow)
{
  Context context{ aClient, aNow, {} };
  std::visit([&](const auto& aBody) { HandleEvent(aBody, context); }, aEvent);
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
  return aClient.mNextTick;
}

} // namespace fighold::claims
