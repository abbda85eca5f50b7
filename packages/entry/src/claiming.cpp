#include "claiming.hpp"

#include "fighold/claims/digest.hpp"

namespace fighold::entry {
namespace {

RequestEvent
EventOf(claims::Judgement aJudgement)
{
  switch (aJudgement) {
    case claims::Judgement::Granted:
      return RequestEvent::ClaimGranted;
    case claims::Judgement::FirstAnswer:
      return RequestEvent::ClaimAnswered;
    case claims::Judgement::Dispatched:
      return RequestEvent::ClaimDispatched;
    case claims::Judgement::Mismatch:
      return RequestEvent::ClaimMismatch;
    case claims::Judgement::NotDecided:
      break;
  }
  return RequestEvent::ClaimUndecided;
}

claims::KeptAnswer
ToKept(const net::HttpResponse& aResponse)
{
  claims::KeptAnswer answer{ aResponse.mStatus, {}, aResponse.mBody };
  for (const net::Header& it : aResponse.mHeaders) {
    answer.mHeaders.emplace_back(it.mName, it.mValue);
  }
  return answer;
}

net::HttpResponse
FromKept(const claims::KeptAnswer& aAnswer)
{
  net::HttpResponse response{ aAnswer.mStatus, {}, aAnswer.mBody };
  for (const auto& [name, value] : aAnswer.mHeaders) {
    response.mHeaders.push_back({ name, value });
  }
  return response;
}

void
HandleJudged(State& aState,
             const claims::Judged& aJudged,
             std::vector<Effect>& aEffects,
             Instant aNow)
{
  const auto it = aState.mInFlight.find(aJudged.mNumber);
  if (it == aState.mInFlight.end()) {
    return;
  }
  RequestScope scope{ aState, it->second, aEffects, aNow, {}, {} };
  if (aJudged.mJudgement == claims::Judgement::Granted) {
    it->second.mClaimUntil = aJudged.mValidUntil;
    scope.mRoute = RouteNow(aState, it->second, aNow);
  }
  if (aJudged.mAnswer) {
    scope.mResult.mResponse = FromKept(*aJudged.mAnswer);
  }
  FireRequest(scope, EventOf(aJudged.mJudgement));
}

} // namespace

void
BeginClaim(RequestScope& aScope)
{
  const CallerRequest& request = aScope.mRequest.mRequest;
  const net::HttpRequest& payload = *request.mPayload;
  const claims::Begin begin{
    request.mId,
    request.mService.mValue + "/" + request.mKey,
    claims::RequestDigest(payload.mMethod, payload.mTarget, payload.mBody),
    aScope.mRequest.mUntil,
  };
  // The request's chart does not come here while the asker is full, so there is no judgement yet.
  StepClaims(aScope.mState, begin, aScope.mEffects, aScope.mNow);
}

void
FinishClaim(State& aState,
            RequestId aId,
            bool aRun,
            const net::HttpResponse* aAnswer,
            std::vector<Effect>& aEffects,
            Instant aNow)
{
  claims::Finish finish{ aId, aRun, std::nullopt };
  if (aAnswer != nullptr && aAnswer->mBody.size() <= claims::kMaxAnswerBytes) {
    finish.mAnswer = ToKept(*aAnswer);
  }
  StepClaims(aState, finish, aEffects, aNow);
}

void
StepClaims(State& aState,
           const claims::AskerEvent& aEvent,
           std::vector<Effect>& aEffects,
           Instant aNow)
{
  for (auto& it : claims::Step(aState.mAsker, aEvent, aNow)) {
    if (auto* send = std::get_if<claims::Send>(&it)) {
      std::visit(
        [&](auto& aBody) {
          aEffects.emplace_back(SendControl{ send->mTo, std::move(aBody) });
        },
        send->mBody);
    } else {
      HandleJudged(aState, std::get<claims::Judged>(it), aEffects, aNow);
    }
  }
}

} // namespace fighold::entry
