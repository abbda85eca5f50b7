#include "claiming.hpp"

#include "fighold/claims/digest.hpp"

namespace fighold::entry {
namespace {

RequestEvent
EventOf(claims::ClaimOutcome aJudgement)
{
  switch (aJudgement) {
    case claims::ClaimOutcome::Granted:
      return RequestEvent::ClaimGranted;
    case claims::ClaimOutcome::Replay:
      return RequestEvent::ClaimAnswered;
    case claims::ClaimOutcome::Dispatched:
      return RequestEvent::ClaimDispatched;
    case claims::ClaimOutcome::Mismatch:
      return RequestEvent::ClaimMismatch;
    case claims::ClaimOutcome::Undecided:
      break;
  }
  return RequestEvent::ClaimUndecided;
}

claims::StoredResponse
ToKept(const net::HttpResponse& aResponse)
{
  claims::StoredResponse answer{ aResponse.mStatus, {}, aResponse.mBody };
  for (const net::Header& it : aResponse.mHeaders) {
    answer.mHeaders.emplace_back(it.mName, it.mValue);
  }
  return answer;
}

net::HttpResponse
FromKept(const claims::StoredResponse& aAnswer)
{
  net::HttpResponse response{ aAnswer.mStatus, {}, aAnswer.mBody };
  for (const auto& [name, value] : aAnswer.mHeaders) {
    response.mHeaders.push_back({ name, value });
  }
  return response;
}

void
HandleJudged(State& aState,
             const claims::ClaimDecided& aJudged,
             std::vector<Effect>& aEffects,
             Instant aNow)
{
  const auto it = aState.mInFlight.find(aJudged.mNumber);
  if (it == aState.mInFlight.end()) {
    return;
  }
  RequestScope scope{ aState, it->second, aEffects, aNow, {}, {} };
  if (aJudged.mOutcome == claims::ClaimOutcome::Granted) {
    it->second.mClaimExpiry = aJudged.mValidUntil;
    scope.mRoute = ChooseRoute(aState, it->second, aNow);
  }
  if (aJudged.mResponse) {
    scope.mResult.mResponse = FromKept(*aJudged.mResponse);
  }
  FireRequest(scope, EventOf(aJudged.mOutcome));
}

} // namespace

void
RequestClaim(RequestScope& aScope)
{
  const CallerRequest& request = aScope.mRequest.mRequest;
  const net::HttpRequest& payload = *request.mPayload;
  const claims::StartClaim begin{
    request.mId,
    request.mService.mValue + "/" + request.mKey,
    claims::RequestDigest(payload.mMethod, payload.mTarget, payload.mBody),
    aScope.mRequest.mDeadline,
  };
  // The request's chart does not come here while the asker is full, so there is no judgement yet.
  HandleClaimEvent(aScope.mState, begin, aScope.mEffects, aScope.mNow);
}

void
FinishClaim(State& aState,
            RequestId aId,
            bool aRun,
            const net::HttpResponse* aAnswer,
            std::vector<Effect>& aEffects,
            Instant aNow)
{
  claims::RequestEnded finish{ aId, aRun, std::nullopt };
  if (aAnswer != nullptr && aAnswer->mBody.size() <= claims::kMaxStoredResponseBytes) {
    finish.mResponse = ToKept(*aAnswer);
  }
  HandleClaimEvent(aState, finish, aEffects, aNow);
}

void
HandleClaimEvent(State& aState,
                 const claims::ClientEvent& aEvent,
                 std::vector<Effect>& aEffects,
                 Instant aNow)
{
  for (auto& it : claims::Step(aState.mClaimClient, aEvent, aNow)) {
    if (auto* send = std::get_if<claims::Send>(&it)) {
      std::visit(
        [&](auto& aBody) {
          aEffects.emplace_back(SendControl{ send->mTo, std::move(aBody) });
        },
        send->mBody);
    } else {
      HandleJudged(aState, std::get<claims::ClaimDecided>(it), aEffects, aNow);
    }
  }
}

} // namespace fighold::entry
