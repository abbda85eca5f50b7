#include "admission.hpp"
#include "attempt_log.hpp"
#include "queueing.hpp"
#include "request_chart.hpp"

#include <algorithm>
#include <stdexcept>

namespace fighold::entry {
namespace {

/// Percentage of the remaining time that a repeatable request waits for the first byte. The rest is
/// left for a retry on a new connection. Urgent requests are short, so they wait the least.
constexpr int
FirstBytePercent(RequestClass aClass)
{
  switch (aClass) {
    case RequestClass::Urgent:
      return 60;
    case RequestClass::Standard:
      return 75;
    case RequestClass::Deferred:
      break;
  }
  return 90;
}

/// @return time by which the first byte must arrive. A request that may not be repeated gains
/// nothing from an earlier end, so it waits until its deadline.
Instant
FirstByteDeadline(const RequestScope& aScope)
{
  const Instant deadline = aScope.mRequest.mDeadline;
  if (!IsRepeatable(aScope)) {
    return deadline;
  }
  const auto& services = aScope.mState.mConfiguration->mPlan->mServices;
  const auto service = services.find(aScope.mRequest.mRequest.mService);
  const RequestClass requestClass =
    service == services.end() ? RequestClass::Standard : service->second.mClass;
  return aScope.mNow + (deadline - aScope.mNow) * FirstBytePercent(requestClass) / 100;
}

/// Number of connections to a backend server that this entry may use. The total is divided by the
/// plan's maximum number of entries instead of the current number. A new entry then never has to
/// wait for another one to close connections.
std::uint32_t
ConnectionShare(const State& aState, const routing::Candidate& aServer)
{
  const std::uint32_t entries = std::max(1U, aState.mConfiguration->mPlan->mMaxEntries);
  return std::max(1U, aServer.mConnections / entries);
}

RequestEvent
ToRequestEvent(const DispatchDone& aDone)
{
  switch (aDone.mResult.mStage) {
    case net::ExchangeStage::NotSent:
      return RequestEvent::Unsent;
    case net::ExchangeStage::NoAnswer:
      return RequestEvent::Lost;
    case net::ExchangeStage::Answered:
      break;
  }
  switch (aDone.mMeaning) {
    case AnswerMeaning::NotRun:
      return RequestEvent::Refused;
    case AnswerMeaning::Unusable:
      return RequestEvent::Lost;
    case AnswerMeaning::Result:
      break;
  }
  return RequestEvent::Answered;
}

routing::ServerState&
ReleaseServer(State& aState, const InFlightRequest& aRequest)
{
  routing::ServerState& server = aState.mServers[aRequest.mServerId];
  server.mOutstanding -= std::min(server.mOutstanding, 1U);
  return server;
}

} // namespace

routing::RouteDecision
ChooseRoute(State& aState,
            const InFlightRequest& aRequest,
            Instant aNow,
            std::optional<RegionId> aPinnedRegion)
{
  const routing::RouteRequest request{ aRequest.mRequest.mId,
                                       aRequest.mRequest.mService,
                                       aRequest.mOrigin,
                                       aRequest.mTried,
                                       // Only the first dispatch needs a free slot: a retry has
                                       // waited long enough.
                                       aRequest.mDispatchCount == 0,
                                       std::move(aPinnedRegion) };
  const routing::Draws draws{ NextRandom(aState), NextRandom(aState), NextRandom(aState) };
  return routing::Route(
    *aState.mConfiguration, aState.mTable, aState.mServers, request, draws, aNow);
}

void
DispatchRequest(RequestScope& aScope)
{
  InFlightRequest& request = aScope.mRequest;
  const routing::Candidate& server = *aScope.mRoute.mCandidate;
  if (!AcquireShare(aScope)) {
    throw std::logic_error("cannot dispatch a request without shares of the limits");
  }
  request.mDispatchId = aScope.mState.mNextDispatchId++;
  request.mServerId = server.mId;
  request.mTried.insert(server.mId);
  request.mDispatchedAt = aScope.mNow;
  ++request.mDispatchCount;
  ++aScope.mState.mServers[server.mId].mOutstanding;
  aScope.mEffects.emplace_back(LogRecord{ aScope.mRoute.mRecord });
  aScope.mEffects.emplace_back(Dispatch{ request.mRequest.mId,
                                         request.mDispatchId,
                                         server,
                                         request.mRequest.mPayload,
                                         request.mDeadline,
                                         FirstByteDeadline(aScope),
                                         request.mClaimExpiry,
                                         ConnectionShare(aScope.mState, server) });
}

void
CancelCurrentDispatch(RequestScope& aScope)
{
  ReleaseServer(aScope.mState, aScope.mRequest);
  ReleaseShare(aScope.mState, aScope.mRequest, 0, aScope.mNow);
  aScope.mEffects.emplace_back(CancelDispatch{ aScope.mRequest.mDispatchId });
}

void
HandleDispatchDone(State& aState, DispatchDone aDone, std::vector<Effect>& aEffects, Instant aNow)
{
  const auto it = aState.mInFlight.find(aDone.mId);
  if (it == aState.mInFlight.end() || it->second.mDispatchId != aDone.mDispatchId) {
    return;
  }
  InFlightRequest& request = it->second;
  if (IsNotable(aDone)) {
    aEffects.emplace_back(LogRecord{ DecisionRecord{ "attempt",
                                                     std::to_string(aDone.mId),
                                                     request.mRequest.mService.mValue,
                                                     "",
                                                     "",
                                                     {},
                                                     AttemptFields(aDone) } });
  }
  const RequestEvent event = ToRequestEvent(aDone);
  RecordDispatchResult(ReleaseServer(aState, request), event, aNow - request.mDispatchedAt, aNow);
  ReleaseShare(aState, request, aDone.mResult.mResponse.mBody.size(), aNow);
  if (aDone.mResult.mSilent && aDone.mResult.mReused) {
    // The connection may have failed rather than the server: allow a retry on a new connection.
    request.mTried.erase(request.mServerId);
  }
  RequestScope scope{ aState, request, aEffects, aNow, {}, std::move(aDone.mResult) };
  if (event != RequestEvent::Answered) {
    scope.mRoute = ChooseRoute(aState, request, aNow);
  }
  FireRequest(scope, event);
}

} // namespace fighold::entry
