#include "forward_chart.hpp"

#include "fighold/routes/admission.hpp"
#include "forward_log.hpp"
#include "pools.hpp"

#include <xxhash.h>

#include <algorithm>

namespace fighold::entry {
namespace {

/// Time for which an answer is still accepted after the deadline. The backend server may answer
/// until the deadline, and its answer needs time to arrive.
constexpr Millis kAnswerGracePeriod{ 150 };

/// Timeout for opening a connection, in addition to the round trips. A running server accepts a
/// connection at once.
constexpr Millis kConnectTimeout{ 300 };

/// Maximum number of unsent dispatches of one request. If this many fail, the network is probably
/// down.
constexpr std::uint32_t kMaxUnsentDispatches = 3;

constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;

ServicePool&
PoolOf(ForwardScope& aScope)
{
  return aScope.mState.mPools[aScope.mForward.mService];
}

routes::RetryLimits
RetryLimitsOf(const State& aState)
{
  return routes::RetryLimitsPerEntry(aState.mOptions.mRetryRatio,
                                     aState.mOptions.mRetrySlack,
                                     aState.mConfiguration->mEntries.size());
}

/// @return input of the admission decision for the next dispatch
routes::AdmissionRequest
MakeAdmissionRequest(const ForwardScope& aScope)
{
  const Forward& forward = aScope.mForward;
  // Without recent answers the processing time is unknown, so only the wait counts.
  const Duration expected = aScope.mPlacement.mProcessingTimeKnown ? aScope.mPlacement.mExpectedTime
                                                                   : aScope.mPlacement.mWait;
  return { expected + aScope.mRoundTripTime,
           aScope.mPlacement.mWait,
           aScope.mPlacement.mFreeShare,
           aScope.mPlacement.mCacheState == routes::CacheState::Uncached,
           forward.mPriorWait + (aScope.mNow - forward.mArrived),
           forward.mRoute->mTargetLatency,
           std::min(forward.mDeadline, aScope.mState.mStop.mAnswerDeadline) - aScope.mNow };
}

bool
IsPastArrivalDeadline(const ForwardScope& aScope)
{
  return aScope.mNow >= aScope.mState.mStop.mArrivalDeadline;
}

bool
HasCallerLeft(const ForwardScope& aScope)
{
  return aScope.mState.mGoneBeforeArrival.count(aScope.mForward.mRequest.mId) > 0;
}

bool
NotConfigured(const ForwardScope& aScope)
{
  const State& state = aScope.mState;
  return state.mRoutes.mSet->mNumber == 0 ||
         (!state.mOptions.mServeUnleased && !membership::IsValid(state.mLease, aScope.mNow));
}

bool
NoSuchRoute(const ForwardScope& aScope)
{
  return !aScope.mHasRoute;
}

bool
TooManyInFlight(const ForwardScope& aScope)
{
  const State& state = aScope.mState;
  return state.mForwards.size() + state.mInFlight.size() + state.mProbes.size() >
         state.mOptions.mMaxInFlight;
}

bool
NoServer(const ForwardScope& aScope)
{
  return !aScope.mPlacement.mServer.has_value();
}

bool
NotAdmitted(const ForwardScope& aScope)
{
  const auto admission = routes::Admit(MakeAdmissionRequest(aScope));
  return admission == routes::Admission::NoRoom || admission == routes::Admission::NoTime;
}

bool
NoTime(const ForwardScope& aScope)
{
  return routes::Admit(MakeAdmissionRequest(aScope)) == routes::Admission::NoTime;
}

bool
MayHaveRun(const ForwardScope& aScope)
{
  return aScope.mForward.mMayHaveRun;
}

bool
MayRedispatch(const ForwardScope& aScope)
{
  const Forward& forward = aScope.mForward;
  const auto pool = aScope.mState.mPools.find(forward.mService);
  const bool sent = forward.mDispatchCount > forward.mUnsentDispatchCount;
  return !IsPastArrivalDeadline(aScope) && !NoServer(aScope) && !NoTime(aScope) &&
         forward.mDispatchCount - forward.mUnsentDispatchCount < forward.mRoute->mAttempts &&
         forward.mUnsentDispatchCount < kMaxUnsentDispatches &&
         pool != aScope.mState.mPools.end() &&
         (!sent || routes::MayRetry(pool->second.mRetryBudget));
}

bool
MayRepeat(const ForwardScope& aScope)
{
  return aScope.mForward.mRoute->mRepeatable && MayRedispatch(aScope);
}

void
ReplyWith(ForwardScope& aScope, ForwardAnswer aAnswer)
{
  const Forward& forward = aScope.mForward;
  aAnswer.mService = forward.mService;
  aAnswer.mServerId = forward.mServer.mId;
  aAnswer.mLatency = aScope.mNow - forward.mArrived;
  DecisionRecord record = RecordOf(aScope, "answer", aAnswer.mReason);
  const unsigned status =
    aAnswer.mOutcome == Outcome::Run ? aAnswer.mResponse.mStatus : aAnswer.mStatus;
  record.mFields.push_back({ "outcome", std::string(ToText(aAnswer.mOutcome)) });
  record.mFields.push_back({ "status", std::to_string(status) });
  record.mFields.push_back({ "retry_after_ms", std::to_string(aAnswer.mRetryAfter.count()) });
  AddAttempt(aScope, record);
  record.mChoice = aAnswer.mOutcome == Outcome::Run ? forward.mServer.mId.mValue : "";
  record.mRejected = aScope.mPlacement.mRejected;
  if (aAnswer.mOutcome == Outcome::NotRun) {
    AddPlacement(aScope, record);
  }
  aScope.mEffects.emplace_back(LogRecord{ std::move(record) });
  aScope.mEffects.emplace_back(Reply{ forward.mRequest.mId, std::move(aAnswer) });
}

Millis
RetryAfter(ForwardScope& aScope)
{
  const auto pause = TimeUntilResumed(aScope.mState, aScope.mForward, aScope.mNow);
  if (pause) {
    return routes::RetryAfterPause(*pause, NextRandom(aScope.mState));
  }
  routes::AdmissionRequest request = MakeAdmissionRequest(aScope);
  if (NoServer(aScope) && aScope.mPlacement.mNextTurn) {
    request.mWait = *aScope.mPlacement.mNextTurn;
  }
  return routes::RetryAfter(request, NextRandom(aScope.mState));
}

void
AnswerNotRun(ForwardScope& aScope, const std::string& aReason, unsigned aStatus, Millis aRetryAfter)
{
  ForwardAnswer answer;
  answer.mOutcome = Outcome::NotRun;
  answer.mReason = aReason;
  answer.mStatus = aStatus;
  answer.mRetryAfter = aRetryAfter;
  ReplyWith(aScope, std::move(answer));
}

/// Other entries can take the request at once.
void
AnswerStopping(ForwardScope& aScope)
{
  AnswerNotRun(aScope, "entry-stops", kUnavailable, Millis(0));
}

void
AnswerNotConfigured(ForwardScope& aScope)
{
  AnswerNotRun(aScope, "no-routes-known", kUnavailable, RetryAfter(aScope));
}

void
AnswerNoSuchRoute(ForwardScope& aScope)
{
  AnswerNotRun(aScope, "no-such-route", kNotFound, Millis(0));
}

void
AnswerTooMany(ForwardScope& aScope)
{
  AnswerNotRun(aScope, "too-many-requests-in-flight", kUnavailable, RetryAfter(aScope));
}

void
AnswerNoServer(ForwardScope& aScope)
{
  AnswerNotRun(aScope, aScope.mPlacement.mReason, kUnavailable, RetryAfter(aScope));
}

void
AnswerNoRoom(ForwardScope& aScope)
{
  AnswerNotRun(aScope, "no-room-in-time", kUnavailable, RetryAfter(aScope));
}

void
AnswerRefused(ForwardScope& aScope)
{
  const bool unsent = aScope.mDone.mResult.mStage == net::ExchangeStage::NotSent;
  AnswerNotRun(aScope,
               unsent ? "cannot-connect" : "refused-by-backend-server",
               kUnavailable,
               RetryAfter(aScope));
}

void
AnswerResult(ForwardScope& aScope)
{
  ForwardAnswer answer;
  answer.mOutcome = Outcome::Run;
  answer.mResponse = std::move(aScope.mDone.mResult.mResponse);
  ReplyWith(aScope, std::move(answer));
}

void
AnswerUnknown(ForwardScope& aScope)
{
  ForwardAnswer answer;
  answer.mOutcome = Outcome::Unknown;
  answer.mReason = aScope.mDone.mMeaning == AnswerMeaning::Unusable ? "unusable answer"
                                                                    : aScope.mDone.mResult.mError;
  answer.mStatus = aScope.mNow >= aScope.mForward.mDeadline ? kGatewayTimeout : kBadGateway;
  ReplyWith(aScope, std::move(answer));
}

/// As AnswerCallerGone(), for a request that was not sent.
void
AnswerCallerLeft(ForwardScope& aScope)
{
  AnswerNotRun(aScope, "caller-gone", kUnavailable, Millis(0));
}

/// Nobody reads this answer, but the front thread needs one to end the request.
void
AnswerCallerGone(ForwardScope& aScope)
{
  ForwardAnswer answer;
  answer.mOutcome = Outcome::Unknown;
  answer.mReason = "caller-gone";
  answer.mStatus = kBadGateway;
  ReplyWith(aScope, std::move(answer));
}

void
AnswerStopExpired(ForwardScope& aScope)
{
  ForwardAnswer answer;
  answer.mOutcome = Outcome::Unknown;
  answer.mReason = "entry-stops";
  answer.mStatus = kGatewayTimeout;
  ReplyWith(aScope, std::move(answer));
}

void
SetMayHaveRun(ForwardScope& aScope)
{
  aScope.mForward.mMayHaveRun = true;
}

void
DispatchForward(ForwardScope& aScope)
{
  State& state = aScope.mState;
  Forward& forward = aScope.mForward;
  const routes::Server& server = *aScope.mPlacement.mServer;
  LogPlacement(aScope, forward.mDispatchCount == 0 ? "forward" : "forward-again");
  routes::ServerLoad& load = state.mServerLoads[server.mId];
  forward.mCacheState = aScope.mPlacement.mCacheState;
  load = routes::RecordDispatch(
    load, routes::RateLimitOf(PoolOf(aScope).mPool, server, load, aScope.mNow), aScope.mNow);
  forward.mDispatchId = state.mNextDispatchId++;
  forward.mServer = server;
  forward.mTried.insert(server.mId);
  forward.mDispatchedAt = aScope.mNow;
  ++forward.mDispatchCount;
  Dispatch dispatch;
  dispatch.mId = forward.mRequest.mId;
  dispatch.mDispatchId = forward.mDispatchId;
  dispatch.mServer = {
    server.mId, server.mIncarnation, server.mAddress, server.mSlots, server.mConnections
  };
  dispatch.mPayload = forward.mRequest.mPayload;
  dispatch.mExchangeDeadline = forward.mDeadline + kAnswerGracePeriod;
  dispatch.mFirstByteDeadline = dispatch.mExchangeDeadline;
  dispatch.mSendDeadline = forward.mDeadline;
  dispatch.mConnectDeadline =
    std::min(forward.mDeadline, aScope.mNow + kConnectTimeout + 2 * aScope.mRoundTripTime);
  dispatch.mDeadline = forward.mDeadline;
  dispatch.mConnectionShare = ConnectionShare(state, forward.mService);
  dispatch.mCallerRequestId = forward.mRequest.mCallerRequestId;
  aScope.mEffects.emplace_back(std::move(dispatch));
}

void
RedispatchForward(ForwardScope& aScope)
{
  if (aScope.mForward.mDispatchCount > aScope.mForward.mUnsentDispatchCount) {
    PoolOf(aScope).mRetryBudget = routes::SpendRetry(PoolOf(aScope).mRetryBudget);
  }
  DispatchForward(aScope);
}

void
CancelForward(ForwardScope& aScope)
{
  routes::ServerLoad& load = aScope.mState.mServerLoads[aScope.mForward.mServer.mId];
  load =
    routes::RecordOutcome(load, routes::DispatchOutcome::Abandoned, 0, std::nullopt, aScope.mNow);
  aScope.mEffects.emplace_back(CancelDispatch{ aScope.mForward.mDispatchId });
}

void
UpdatePlacement(ForwardScope& aScope)
{
  aScope.mPlacement = ChoosePlacement(aScope.mState, aScope.mForward, aScope.mNow);
  aScope.mRoundTripTime = aScope.mPlacement.mServer
                            ? RoundTripTime(aScope.mState, aScope.mPlacement.mServer->mRegion)
                            : Duration{};
}

void
FireForward(ForwardScope& aScope, ForwardEvent aEvent)
{
  const RequestId id = aScope.mForward.mRequest.mId;
  aScope.mForward.mState =
    chart::Fire(aScope.mState.mCharts.mForward, aScope.mForward.mState, aEvent, aScope).mState;
  if (aScope.mForward.mState != ForwardState::Dispatched) {
    aScope.mState.mForwards.erase(id);
  }
}

/// Chooses one of the services of a route, in proportion to their weights.
ServiceId
ChooseService(State& aState, const routes::Route& aRoute)
{
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  std::vector<double> weights;
  for (const auto& it : aRoute.mServices) {
    weights.push_back(it.mWeight);
  }
  const auto found = aState.mRouteRoundRobins.find(aRoute.mName);
  routes::WeightedRoundRobin& roundRobin =
    found != aState.mRouteRoundRobins.end()
      ? found->second
      : aState.mRouteRoundRobins
          .emplace(aRoute.mName, routes::StartRoundRobin(weights, NextRandom(aState)))
          .first->second;
  return aRoute.mServices[routes::PickNext(roundRobin, weights)].mService;
}

ForwardEvent
ToForwardEvent(const DispatchDone& aDone)
{
  switch (aDone.mResult.mStage) {
    case net::ExchangeStage::NotSent:
      return ForwardEvent::Unsent;
    case net::ExchangeStage::NoAnswer:
      return ForwardEvent::Lost;
    case net::ExchangeStage::Answered:
      break;
  }
  switch (aDone.mMeaning) {
    case AnswerMeaning::Result:
      return ForwardEvent::Answered;
    case AnswerMeaning::NotRun:
      return ForwardEvent::Refused;
    case AnswerMeaning::Unusable:
      break;
  }
  return ForwardEvent::Lost;
}

routes::DispatchOutcome
ToDispatchOutcome(ForwardEvent aEvent, const ForwardScope& aScope)
{
  switch (aEvent) {
    case ForwardEvent::Answered:
      return routes::DispatchOutcome::Answered;
    case ForwardEvent::Refused:
      return routes::DispatchOutcome::Refused;
    default:
      // A request that reached its deadline says little about the server's health.
      return aScope.mNow >= aScope.mForward.mDeadline ? routes::DispatchOutcome::Abandoned
                                                      : routes::DispatchOutcome::Failed;
  }
}

void
UpdateEstimates(ForwardScope& aScope, ForwardEvent aEvent)
{
  State& state = aScope.mState;
  const Forward& forward = aScope.mForward;
  if (aScope.mDone.mResult.mConnectTime > Duration{}) {
    const auto [it, isNew] =
      state.mRoundTrips.try_emplace(forward.mServer.mRegion, aScope.mDone.mResult.mConnectTime);
    it->second = std::min(it->second, aScope.mDone.mResult.mConnectTime);
  }
  const auto known = state.mServerLoads.find(forward.mServer.mId);
  if (known == state.mServerLoads.end() ||
      known->second.mIncarnation != forward.mServer.mIncarnation) {
    return;
  }
  routes::ServerLoad& load = known->second;
  const routes::ServerLoad before = load;
  load = routes::RecordOutcome(load,
                               ToDispatchOutcome(aEvent, aScope),
                               forward.mObjectKey,
                               aScope.mDone.mReport.mLoad,
                               aScope.mNow);
  const auto pool = state.mPools.find(forward.mService);
  if (pool != state.mPools.end()) {
    load = routes::RecordRate(
      pool->second.mPool, forward.mServer, load, aScope.mDone.mReport.mRate, aScope.mNow);
  }
  LogEjection(aScope, before, load);
  LogRate(aScope, before, load);
  if (aScope.mDone.mReport.mLoad && pool != state.mPools.end()) {
    routes::RegionLoad& region = pool->second.mPool.mRegionLoads[forward.mServer.mRegion];
    region = routes::UpdateRegionLoad(region, forward.mServer, load.mOtherRequests, aScope.mNow);
  }
  if (aEvent == ForwardEvent::Answered && pool != state.mPools.end()) {
    const Duration processingTime =
      aScope.mNow - forward.mDispatchedAt - RoundTripTime(state, forward.mServer.mRegion);
    routes::ProcessingTimes& times = RouteProcessingTimes(pool->second, forward.mRoute->mName);
    load.mSlowness =
      routes::UpdateSlowness(load.mSlowness, times, processingTime, forward.mCacheState);
    times = routes::RecordProcessingTime(times, processingTime, forward.mCacheState, aScope.mNow);
    routes::ProcessingTimes& serviceTimes = pool->second.mPool.mProcessingTimes;
    serviceTimes =
      routes::RecordProcessingTime(serviceTimes, processingTime, forward.mCacheState, aScope.mNow);
  }
}

} // namespace

chart::Registry<ForwardScope>
ForwardRegistry()
{
  return { { "received", "dispatched", "answered", "not_run", "unknown" },
           { "arrived", "answered", "refused", "unsent", "lost", "caller_gone", "stop_expired" },
           { { "caller_left", HasCallerLeft },
             { "past_arrival_deadline", IsPastArrivalDeadline },
             { "not_configured", NotConfigured },
             { "no_such_route", NoSuchRoute },
             { "too_many", TooManyInFlight },
             { "no_server", NoServer },
             { "no_room", NotAdmitted },
             { "may_have_run", MayHaveRun },
             { "may_send_again", MayRedispatch },
             { "may_repeat", MayRepeat } },
           { { "answer_stopping", AnswerStopping },
             { "answer_stop_expired", AnswerStopExpired },
             { "answer_not_configured", AnswerNotConfigured },
             { "answer_no_such_route", AnswerNoSuchRoute },
             { "answer_too_many", AnswerTooMany },
             { "answer_no_server", AnswerNoServer },
             { "answer_no_room", AnswerNoRoom },
             { "answer_refused", AnswerRefused },
             { "answer_result", AnswerResult },
             { "answer_unknown", AnswerUnknown },
             { "answer_gone", AnswerCallerGone },
             { "answer_left", AnswerCallerLeft },
             { "note_lost", SetMayHaveRun },
             { "send", DispatchForward },
             { "send_again", RedispatchForward },
             { "cancel", CancelForward } } };
}

void
HandleForwardArrival(State& aState,
                     ForwardRequest aRequest,
                     std::vector<Effect>& aEffects,
                     Instant aNow)
{
  const RequestId id = aRequest.mId;
  Forward& forward = aState.mForwards[id];
  forward.mRequest = std::move(aRequest);
  forward.mArrived = aNow;
  const net::HttpRequest& payload = *forward.mRequest.mPayload;
  const routes::Route* route = routes::FindRoute(aState.mRoutes, payload.mHost, payload.mTarget);
  ForwardScope scope{ aState, forward, aEffects, aNow, route != nullptr, {}, {}, {} };
  if (route != nullptr) {
    forward.mRoute = SharedValue(*route);
    forward.mService = ChooseService(aState, *route);
    if (route->mAffinity && !forward.mRequest.mAffinityKey.empty()) {
      const std::string& key = forward.mRequest.mAffinityKey;
      // The service is part of the hash: equal keys of two services denote different objects.
      const std::string& service = forward.mService.mValue;
      forward.mObjectKey =
        XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(service.data(), service.size()));
    }
  }
  if (route != nullptr && forward.mRequest.mDeadline) {
    Millis& longest = aState.mLongestCallerDeadlines[route->mName];
    longest = std::max(longest, *forward.mRequest.mDeadline);
    forward.mPriorWait = routes::EstimatePriorWait(longest, *forward.mRequest.mDeadline);
  }
  forward.mDeadline =
    aNow + std::min(forward.mRoute->mTimeout,
                    forward.mRequest.mDeadline.value_or(forward.mRoute->mTimeout));
  if (route != nullptr) {
    ++PoolOf(scope).mArrivals;
    routes::RecordObject(PoolOf(scope).mPool, forward.mObjectKey, aNow);
    UpdatePlacement(scope);
    routes::RetryBudget& retryBudget = PoolOf(scope).mRetryBudget;
    retryBudget = routes::CountRequest(retryBudget, RetryLimitsOf(aState));
  }
  FireForward(scope, ForwardEvent::Arrived);
}

bool
HandleForwardDispatchDone(State& aState,
                          DispatchDone& aDone,
                          std::vector<Effect>& aEffects,
                          Instant aNow)
{
  const auto it = aState.mForwards.find(aDone.mId);
  if (it == aState.mForwards.end()) {
    return false;
  }
  if (it->second.mDispatchId != aDone.mDispatchId) {
    return true;
  }
  Forward& forward = it->second;
  const ForwardEvent event = ToForwardEvent(aDone);
  ForwardScope scope{ aState, forward, aEffects, aNow, true, {}, {}, std::move(aDone) };
  UpdateEstimates(scope, event);
  if (event == ForwardEvent::Unsent) {
    ++forward.mUnsentDispatchCount;
  }
  if (event != ForwardEvent::Answered) {
    UpdatePlacement(scope);
  }
  FireForward(scope, event);
  return true;
}

void
HandleForwardCallerGone(State& aState,
                        const CallerGone& aGone,
                        std::vector<Effect>& aEffects,
                        Instant aNow)
{
  const auto it = aState.mForwards.find(aGone.mId);
  if (it != aState.mForwards.end()) {
    ForwardScope scope{ aState, it->second, aEffects, aNow, true, {}, {}, {} };
    scope.mDone.mResult.mError = aGone.mCause;
    FireForward(scope, ForwardEvent::CallerGone);
  }
}

void
EndForwards(State& aState, std::vector<Effect>& aEffects, Instant aNow)
{
  for (const RequestId id : KeysOf(aState.mForwards)) {
    ForwardScope scope{ aState, aState.mForwards.at(id), aEffects, aNow, true, {}, {}, {} };
    FireForward(scope, ForwardEvent::StopExpired);
  }
}

} // namespace fighold::entry
