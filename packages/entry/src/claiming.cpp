#include "claiming.hpp"

#include "fighold/claims/digest.hpp"

namespace fighold::entry {
namespace {

RequestEvent
ToRequestEvent(claims::ClaimOutcome aOutcome)
{
  switch (aOutcome) {
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
ToStoredResponse(const net::HttpResponse& aResponse)
{
  claims::StoredResponse stored{ aResponse.mStatus, {}, aResponse.mBody };
  for (const net::Header& it : aResponse.mHeaders) {
    stored.mHeaders.emplace_back(it.mName, it.mValue);
  }
  return stored;
}

net::HttpResponse
FromStoredResponse(const claims::StoredResponse& aResponse)
{
  net::HttpResponse response{ aResponse.mStatus, {}, aResponse.mBody };
  for (const auto& [name, value] : aResponse.mHeaders) {
    response.mHeaders.push_back({ name, value });
  }
  return response;
}

void
HandleClaimDecided(State& aState,
                   const claims::ClaimDecided& aDecided,
                   std::vector<Effect>& aEffects,
                   Instant aNow)
{
  const auto it = aState.mInFlight.find(aDecided.mNumber);
  if (it == aState.mInFlight.end()) {
    return;
  }
  RequestScope scope{ aState, it->second, aEffects, aNow, {}, {} };
  if (aDecided.mOutcome == claims::ClaimOutcome::Granted) {
    it->second.mClaimExpiry = aDecided.mValidUntil;
    scope.mRoute = ChooseRoute(aState, it->second, aNow);
  }
  if (aDecided.mResponse) {
    scope.mResult.mResponse = FromStoredResponse(*aDecided.mResponse);
  }
  FireRequest(scope, ToRequestEvent(aDecided.mOutcome));
}

} // namespace

void
RequestClaim(RequestScope& aScope)
{
  const CallerRequest& request = aScope.mRequest.mRequest;
  const net::HttpRequest& payload = *request.mPayload;
  const claims::StartClaim start{
    request.mId,
    request.mService.mValue + "/" + request.mKey,
    claims::RequestDigest(payload.mMethod, payload.mTarget, payload.mBody.Text()),
    aScope.mRequest.mDeadline,
  };
  // The chart rejects requests while the claim client is full, so no outcome is returned here.
  HandleClaimEvent(aScope.mState, start, aScope.mEffects, aScope.mNow);
}

void
FinishClaim(State& aState,
            RequestId aId,
            bool aMayHaveRun,
            const net::HttpResponse* aResponse,
            std::vector<Effect>& aEffects,
            Instant aNow)
{
  claims::RequestEnded ended{ aId, aMayHaveRun, std::nullopt };
  if (aResponse != nullptr && aResponse->mBody.size() <= claims::kMaxStoredResponseBytes) {
    ended.mResponse = ToStoredResponse(*aResponse);
  }
  HandleClaimEvent(aState, ended, aEffects, aNow);
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
      HandleClaimDecided(aState, std::get<claims::ClaimDecided>(it), aEffects, aNow);
    }
  }
}

} // namespace fighold::entry
