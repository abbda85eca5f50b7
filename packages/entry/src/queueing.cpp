#include "queueing.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

/// Maximum number of sent reports whose answers are still accepted; covers the duration of a lease.
constexpr std::size_t kMaxShareReports = 32;

/// Interval between reports while requests are queued. If reports were sent only with renewals,
/// every 500 ms, a request after an idle period would wait half a second for its share.
constexpr Millis kWaitingReportInterval{ 100 };

const plan::Service&
ServiceOf(const State& aState, const ServiceId& aId)
{
  static const plan::Service unknown;
  const auto it = aState.mConfiguration->mPlan->mServices.find(aId);
  return it == aState.mConfiguration->mPlan->mServices.end() ? unknown : it->second;
}

routing::ShareRequest
ShareRequestFor(const State& aState, const ServiceId& aService, const RegionId& aRegion)
{
  return { aService, aState.mOptions.mEntry.mRegion, aRegion, ServiceOf(aState, aService).mClass, 0,
           0 };
}

routing::ShareRequest
ShareRequestOf(const RequestScope& aScope)
{
  const CallerRequest& request = aScope.mRequest.mRequest;
  auto share = ShareRequestFor(aScope.mState, request.mService, aScope.mRoute.mRegion);
  share.mBytes = request.mPayload->mBody.Size();
  return share;
}

/// A request with a claim must be dispatched before the claim expires.
Instant
DispatchDeadline(const InFlightRequest& aRequest)
{
  return std::min(aRequest.mDeadline, aRequest.mClaimExpiry);
}

/// @return shortest time from dispatch to answer at the servers of a group; 0 if none has answered
Duration
ExpectedLatency(const State& aState, const routing::GroupKey& aGroup)
{
  const auto group = aState.mTable.mGroups.find(aGroup);
  if (group == aState.mTable.mGroups.end()) {
    return {};
  }
  Duration expected = Duration::max();
  for (const routing::Candidate& it : group->second) {
    const auto server = aState.mServers.find(it.mId);
    if (server != aState.mServers.end() && server->second.mLatency > Duration{}) {
      expected = std::min(expected, server->second.mLatency);
    }
  }
  return expected == Duration::max() ? Duration{} : expected;
}

routing::WaitingRequest
MakeWaitingRequest(const RequestScope& aScope)
{
  const InFlightRequest& request = aScope.mRequest;
  const routing::GroupKey group{ request.mRequest.mService, aScope.mRoute.mRegion };
  return { request.mRequest.mId,
           group,
           ServiceOf(aScope.mState, request.mRequest.mService).mClass,
           DispatchDeadline(request),
           ExpectedLatency(aScope.mState, group) };
}

bool
HasFreeSlot(const State& aState, const routing::GroupKey& aGroup, RequestClass aClass, Instant aNow)
{
  const auto group = aState.mTable.mGroups.find(aGroup);
  if (group == aState.mTable.mGroups.end()) {
    return true; // without a route, the request is taken from the queue and answered "not run"
  }
  const routing::ChoiceRequest request{
    aClass, {}, routing::CountSharingEntries(*aState.mConfiguration, aGroup.mRegion), true
  };
  const auto choice =
    routing::ChooseBackendServer(group->second, aState.mServers, request, 0, 0, aNow);
  return choice.mReason != routing::kNoFreeSlot;
}

void
FireWaitingRequest(State& aState,
                   const routing::WaitingRequest& aWaiting,
                   RequestEvent aEvent,
                   std::vector<Effect>& aEffects,
                   Instant aNow)
{
  const auto it = aState.mInFlight.find(aWaiting.mId);
  if (it == aState.mInFlight.end()) {
    return;
  }
  auto route = ChooseRoute(aState, it->second, aNow, aWaiting.mGroup.mRegion);
  RequestScope scope{ aState, it->second, aEffects, aNow, std::move(route), {} };
  FireRequest(scope, aEvent);
}

} // namespace

bool
MustWait(const RequestScope& aScope)
{
  if (!aScope.mRoute.mCandidate) {
    return aScope.mRoute.mRecord.mReason == routing::kNoFreeSlot;
  }
  return !routing::CanAcquireShares(aScope.mState.mShares, ShareRequestOf(aScope), aScope.mNow);
}

bool
CannotWait(const RequestScope& aScope)
{
  if (!MustWait(aScope)) {
    return false;
  }
  const routing::WaitingRequest waiting = MakeWaitingRequest(aScope);
  const std::size_t count = routing::CountWaiting(aScope.mState.mQueue, waiting.mClass);
  return count >= routing::kMaxWaitingPerClass ||
         aScope.mNow + waiting.mExpectedLatency >= waiting.mDeadline;
}

void
EnqueueRequest(RequestScope& aScope)
{
  routing::Enqueue(aScope.mState.mQueue, MakeWaitingRequest(aScope), aScope.mNow);
  routing::RecordUnmetDemand(aScope.mState.mShares, ShareRequestOf(aScope), aScope.mNow);
}

bool
AcquireShare(RequestScope& aScope)
{
  routing::ShareRequest share = ShareRequestOf(aScope);
  if (!routing::AcquireShares(aScope.mState.mShares, share, aScope.mNow).mAdmitted) {
    return false;
  }
  aScope.mRequest.mShare = share;
  return true;
}

void
ReleaseShare(State& aState, InFlightRequest& aRequest, std::uint64_t aResponseBytes, Instant aNow)
{
  if (aRequest.mShare) {
    routing::ReleaseShares(aState.mShares, *aRequest.mShare, aResponseBytes, aNow);
    aRequest.mShare.reset();
  }
}

void
DispatchWaiting(State& aState, std::vector<Effect>& aEffects, Instant aNow)
{
  for (const routing::WaitingRequest& it : routing::RemoveExpired(aState.mQueue, aNow)) {
    FireWaitingRequest(aState, it, RequestEvent::WaitExpired, aEffects, aNow);
  }
  const auto mayDispatch = [&](const routing::GroupKey& aGroup, RequestClass aClass) {
    const auto share = ShareRequestFor(aState, aGroup.mService, aGroup.mRegion);
    return routing::CanAcquireShares(aState.mShares, share, aNow) &&
           HasFreeSlot(aState, aGroup, aClass, aNow);
  };
  while (const auto next = routing::Dequeue(aState.mQueue, mayDispatch, aNow)) {
    FireWaitingRequest(aState, *next, RequestEvent::ShareFreed, aEffects, aNow);
  }
  if (!routing::IsEmpty(aState.mQueue) &&
      aNow >= aState.mLastShareReport + kWaitingReportInterval) {
    ReportShares(aState, aEffects, aNow);
  }
}

void
ApplyLimits(State& aState)
{
  const membership::Configuration& configuration = *aState.mConfiguration;
  if (configuration.mPlan->mNumber != 0) {
    routing::ApplyLimits(aState.mShares, *configuration.mPlan, configuration.mEntries.size());
  }
}

void
ReportShares(State& aState, std::vector<Effect>& aEffects, Instant aNow)
{
  if (aState.mConfiguration->mPlan->mNumber == 0) {
    return;
  }
  routing::ShareReport report;
  report.mRequestNumber = aState.mNextRequestNumber++;
  report.mHolder = { aState.mOptions.mId, aState.mOptions.mEntry.mIncarnation };
  report.mDemand = routing::BuildDemandReport(aState.mShares, aNow);
  aState.mLastShareReport = aNow;
  aState.mShareReportsSent[report.mRequestNumber] = aNow;
  if (aState.mShareReportsSent.size() > kMaxShareReports) {
    aState.mShareReportsSent.erase(aState.mShareReportsSent.begin());
  }
  for (const ControlId& it : aState.mOptions.mControls) {
    aEffects.emplace_back(SendControl{ it, report });
  }
}

void
HandleShareAnswer(State& aState, const routing::ShareAnswer& aAnswer)
{
  const auto sent = aState.mShareReportsSent.find(aAnswer.mRequestNumber);
  if (sent != aState.mShareReportsSent.end()) {
    routing::ApplyGrant(aState.mShares, aAnswer.mGrant, sent->second);
  }
}

} // namespace fighold::entry
