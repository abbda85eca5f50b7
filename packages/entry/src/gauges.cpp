#include "gauges.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

double
ToSeconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

std::string
KindName(routing::LimitKind aKind)
{
  switch (aKind) {
    case routing::LimitKind::Region:
      return "region";
    case routing::LimitKind::Service:
      return "service";
    case routing::LimitKind::Link:
      break;
  }
  return "link";
}

void
SetShares(telemetry::Metrics& aMetrics, const State& aState, Instant aNow)
{
  for (const auto& [key, limit] : aState.mShares.mLimits) {
    const telemetry::Labels labels{ { "kind", KindName(key.mKind) },
                                    { "region", key.mRegion.mValue },
                                    { "from", key.mFrom.mValue },
                                    { "service", key.mService.mValue } };
    const auto held = aState.mShares.mShares.find(key);
    const std::uint64_t used = held == aState.mShares.mShares.end() ? 0 : held->second.mInUse;
    const auto units = routing::UsableUnits(aState.mShares, key, aNow);
    aMetrics.Set("share_units", static_cast<double>(units), labels);
    aMetrics.Set("share_in_use", static_cast<double>(used), labels);
  }
}

} // namespace

void
ObserveAnswer(telemetry::Metrics& aMetrics, const State& aState, const CallerAnswer& aAnswer)
{
  const bool inPlan = aState.mConfiguration->mPlan->mServices.count(aAnswer.mService) > 0;
  const double seconds = ToSeconds(aAnswer.mLatency);
  aMetrics.Observe("request_seconds",
                   seconds,
                   { { "service", inPlan ? aAnswer.mService.mValue : "unknown" },
                     { "outcome", std::string(ToText(aAnswer.mOutcome)) } });
  if (inPlan && aAnswer.mOutcome == Outcome::Run && !aAnswer.mServerId.mValue.empty()) {
    aMetrics.Observe(
      "backend_server_seconds", seconds, { { "backend_server", aAnswer.mServerId.mValue } });
  }
}

void
ObserveForward(telemetry::Metrics& aMetrics, const ForwardAnswer& aAnswer)
{
  aMetrics.Observe("request_seconds",
                   ToSeconds(aAnswer.mLatency),
                   { { "service", aAnswer.mService.mValue },
                     { "outcome", std::string(ToText(aAnswer.mOutcome)) } });
  if (aAnswer.mOutcome != Outcome::Run) {
    aMetrics.Count("requests_not_answered_total",
                   { { "service", aAnswer.mService.mValue }, { "reason", aAnswer.mReason } });
  }
}

void
SetGauges(telemetry::Metrics& aMetrics, const State& aState, Instant aNow)
{
  aMetrics.Set("lease_left_seconds", std::max(0.0, ToSeconds(aState.mLease.mUntil - aNow)));
  aMetrics.Set("configuration_version", static_cast<double>(aState.mConfiguration->mVersion));
  aMetrics.Set("requests_in_flight",
               static_cast<double>(aState.mInFlight.size() + aState.mForwards.size()));
  for (const RequestClass it :
       { RequestClass::Urgent, RequestClass::Standard, RequestClass::Deferred }) {
    aMetrics.Set("requests_waiting",
                 static_cast<double>(routing::CountWaiting(aState.mQueue, it)),
                 { { "class", std::string(ToText(it)) } });
  }
  SetShares(aMetrics, aState, aNow);
  aMetrics.Set("grant_age_seconds", ToSeconds(aNow - aState.mLastGrant));
  for (const auto& [service, pool] : aState.mPools) {
    for (const auto& [region, weight] : pool.mSplit.mWeights) {
      aMetrics.Set(
        "region_share", weight, { { "service", service.mValue }, { "region", region.mValue } });
    }
  }
  std::size_t cold = 0;
  std::size_t limited = 0;
  for (const auto& [id, load] : aState.mServerLoads) {
    cold += aNow < load.mColdUntil ? 1 : 0;
    limited += load.mNamedPerSecond ? 1 : 0;
  }
  std::size_t leaving = 0;
  std::size_t paused = 0;
  for (const auto& [key, availability] : aState.mAvailabilities) {
    const auto server = aState.mConfiguration->mBackendServers.find(key.mId);
    const bool listed = server != aState.mConfiguration->mBackendServers.end() &&
                        server->second.mIncarnation == key.mIncarnation;
    leaving += listed && availability.mState == AvailabilityState::Leaving ? 1 : 0;
    paused += listed && IsPaused(availability, aNow) ? 1 : 0;
  }
  aMetrics.Set("backend_servers_leaving", static_cast<double>(leaving));
  aMetrics.Set("backend_servers_paused", static_cast<double>(paused));
  aMetrics.Set("backend_servers_cold", static_cast<double>(cold));
  aMetrics.Set("backend_servers_rate_limited", static_cast<double>(limited));
}

} // namespace fighold::entry
