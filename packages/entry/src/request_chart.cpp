#include "request_chart.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

/// Dispatches of one request, the first one included.
constexpr std::uint32_t kMaxAttempts = 3;

/// Weight of the newest latency in the decayed mean, as a divisor.
constexpr int kLatencyDecay = 8;

bool
IsRepeatable(const RequestScope& aScope)
{
  const auto& services = aScope.mState.mConfiguration->mPlan->mServices;
  const auto service = services.find(aScope.mRequest.mRequest.mService);
  const bool always = service != services.end() && service->second.mRepeatable;
  return aScope.mRequest.mRequest.mSafe || always;
}

bool
NoLease(const RequestScope& aScope)
{
  return !membership::Holds(aScope.mState.mLease, aScope.mNow);
}

bool
NotAdmitted(const RequestScope& aScope)
{
  return aScope.mState.mInFlight.size() > aScope.mState.mOptions.mMaxInFlight;
}

bool
NoRoute(const RequestScope& aScope)
{
  return !aScope.mRoute.mCandidate.has_value();
}

bool
MayTryAgain(const RequestScope& aScope)
{
  return !NoLease(aScope) && !NoRoute(aScope) && aScope.mRequest.mAttempts < kMaxAttempts &&
         aScope.mNow < aScope.mRequest.mUntil;
}

bool
MayRepeat(const RequestScope& aScope)
{
  return IsRepeatable(aScope) && MayTryAgain(aScope);
}

void
ReplyWith(RequestScope& aScope, Outcome aOutcome, const std::string& aReason)
{
  CallerAnswer answer{ aOutcome,
                       aReason,
                       {},
                       aScope.mRequest.mRequest.mService,
                       aScope.mRequest.mServer,
                       aScope.mNow - aScope.mRequest.mArrived };
  if (aOutcome == Outcome::Run) {
    answer.mResponse = std::move(aScope.mResult.mResponse);
  }
  aScope.mEffects.emplace_back(Reply{ aScope.mRequest.mRequest.mId, std::move(answer) });
}

void
AnswerNoLease(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::NotRun, "no-configuration-lease");
}

void
AnswerOverload(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::NotRun, "too-many-requests-in-flight");
}

void
AnswerNoRoute(RequestScope& aScope)
{
  aScope.mEffects.emplace_back(LogRecord{ aScope.mRoute.mRecord });
  ReplyWith(aScope, Outcome::NotRun, aScope.mRoute.mRecord.mReason);
}

void
AnswerRefused(RequestScope& aScope)
{
  ReplyWith(aScope,
            Outcome::NotRun,
            aScope.mResult.mStage == net::ExchangeStage::NotSent ? "cannot-connect"
                                                                 : "refused-by-backend-server");
}

void
AnswerUnknown(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::Unknown, aScope.mResult.mError);
}

void
AnswerWhole(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::Run, "");
}

void
DispatchRequest(RequestScope& aScope)
{
  InFlight& request = aScope.mRequest;
  const routing::Candidate& server = *aScope.mRoute.mCandidate;
  request.mDispatch = aScope.mState.mNextDispatch++;
  request.mServer = server.mId;
  request.mTried.insert(server.mId);
  request.mDispatchedAt = aScope.mNow;
  ++request.mAttempts;
  ++aScope.mState.mServers[server.mId].mOutstanding;
  aScope.mEffects.emplace_back(LogRecord{ aScope.mRoute.mRecord });
  aScope.mEffects.emplace_back(Dispatch{
    request.mRequest.mId, request.mDispatch, server, request.mRequest.mPayload, request.mUntil });
}

routing::RouteDecision
RouteNow(State& aState, const InFlight& aRequest, Instant aNow)
{
  const routing::RouteRequest request{
    aRequest.mRequest.mId, aRequest.mRequest.mService, aRequest.mOrigin, aRequest.mTried
  };
  const routing::Draws draws{ Draw(aState), Draw(aState), Draw(aState) };
  return routing::Route(
    *aState.mConfiguration, aState.mTable, aState.mServers, request, draws, aNow);
}

/// Fires one event and forgets the request when its chart has ended.
void
FireRequest(RequestScope& aScope, RequestEvent aEvent)
{
  aScope.mRequest.mState =
    chart::Fire(aScope.mState.mCharts.mRequest, aScope.mRequest.mState, aEvent, aScope).mState;
  const bool ended = aScope.mRequest.mState != RequestState::Dispatched;
  if (ended) {
    aScope.mState.mInFlight.erase(aScope.mRequest.mRequest.mId);
  }
}

Instant
DeadlineOf(const State& aState, const CallerRequest& aRequest, Instant aNow)
{
  const auto& services = aState.mConfiguration->mPlan->mServices;
  const auto service = services.find(aRequest.mService);
  const Millis limit =
    service == services.end() ? plan::Service{}.mDeadline : service->second.mDeadline;
  return aNow + std::min(limit, aRequest.mDeadline.value_or(limit));
}

/// The backend server says itself that it did not run the request, such as when it sheds load.
bool
SaysNotRun(const net::HttpResponse& aResponse)
{
  return net::FindHeader(aResponse.mHeaders, "Fighold-Outcome") == "not-run";
}

RequestEvent
EventOf(const net::ExchangeResult& aResult)
{
  switch (aResult.mStage) {
    case net::ExchangeStage::NotSent:
      return RequestEvent::Unsent;
    case net::ExchangeStage::NoAnswer:
      return RequestEvent::Lost;
    case net::ExchangeStage::Answered:
      break;
  }
  return SaysNotRun(aResult.mResponse) ? RequestEvent::Refused : RequestEvent::Answered;
}

void
RecordLatency(routing::ServerState& aServer, Duration aLatency)
{
  const bool first = aServer.mLatency == Duration::zero();
  aServer.mLatency =
    first ? aLatency : aServer.mLatency + (aLatency - aServer.mLatency) / kLatencyDecay;
}

} // namespace

chart::Registry<RequestScope>
RequestRegistry()
{
  return { { "received", "dispatched", "answered", "not_run", "unknown" },
           { "arrived", "answered", "refused", "unsent", "lost" },
           { { "no_lease", NoLease },
             { "not_admitted", NotAdmitted },
             { "no_route", NoRoute },
             { "may_try_again", MayTryAgain },
             { "may_repeat", MayRepeat } },
           { { "answer_no_lease", AnswerNoLease },
             { "answer_overload", AnswerOverload },
             { "answer_no_route", AnswerNoRoute },
             { "answer_refused", AnswerRefused },
             { "answer_unknown", AnswerUnknown },
             { "answer_whole", AnswerWhole },
             { "dispatch", DispatchRequest } } };
}

void
HandleArrival(State& aState, CallerRequest aRequest, std::vector<Effect>& aEffects, Instant aNow)
{
  const RequestId id = aRequest.mId;
  InFlight& request = aState.mInFlight[id];
  request.mOrigin = plan::RegionOfClient(aState.mClients, aRequest.mClient)
                      .value_or(aState.mOptions.mEntry.mRegion);
  request.mArrived = aNow;
  request.mUntil = DeadlineOf(aState, aRequest, aNow);
  request.mRequest = std::move(aRequest);
  RequestScope scope{ aState, request, aEffects, aNow, RouteNow(aState, request, aNow), {} };
  FireRequest(scope, RequestEvent::Arrived);
}

void
HandleDispatchDone(State& aState, DispatchDone aDone, std::vector<Effect>& aEffects, Instant aNow)
{
  const auto it = aState.mInFlight.find(aDone.mId);
  if (it == aState.mInFlight.end() || it->second.mDispatch != aDone.mDispatch) {
    return;
  }
  InFlight& request = it->second;
  routing::ServerState& server = aState.mServers[request.mServer];
  server.mOutstanding -= std::min(server.mOutstanding, 1U);
  RecordLatency(server, aNow - request.mDispatchedAt);
  const RequestEvent event = EventOf(aDone.mResult);
  RequestScope scope{ aState, request, aEffects, aNow, {}, std::move(aDone.mResult) };
  if (event != RequestEvent::Answered) {
    scope.mRoute = RouteNow(aState, request, aNow);
  }
  FireRequest(scope, event);
}

} // namespace fighold::entry
