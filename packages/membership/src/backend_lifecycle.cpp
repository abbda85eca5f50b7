#include "fighold/membership/backend_lifecycle.hpp"

#include "fighold/membership/lease.hpp"

#include <algorithm>

namespace fighold::membership {
namespace {

const std::vector<std::string> kStageNames{ "announced", "warming", "serving",
                                            "leaving",   "expired", "gone" };

bool
HasLeaseExpired(const BackendScope& aScope)
{
  const BackendLifecycle& lifecycle = aScope.mLifecycle;
  return aScope.mNow >= std::max(lifecycle.mAliveUntil, lifecycle.mFirstSeen + kBackendServerLease);
}

bool
IsWarm(const BackendScope& aScope)
{
  return aScope.mNow >= aScope.mLifecycle.mFirstSeen + kWarmUp;
}

bool
HasRetentionEnded(const BackendScope& aScope)
{
  return aScope.mNow >= aScope.mLifecycle.mEndedAt + kRemoveBackendServerAfter;
}

void
ApplyRenewal(BackendScope& aScope)
{
  if (aScope.mLeaseEnd > aScope.mLifecycle.mAliveUntil) {
    aScope.mLifecycle.mAliveUntil = aScope.mLeaseEnd;
    aScope.mLifecycle.mInFlight = aScope.mInFlight;
  }
}

void
StartRetention(BackendScope& aScope)
{
  aScope.mLifecycle.mEndedAt = aScope.mNow;
}

chart::Registry<BackendScope>
BackendRegistry()
{
  return { kStageNames,
           { "renewed", "departed", "tick" },
           { { "lease_over", HasLeaseExpired },
             { "is_warm", IsWarm },
             { "retention_over", HasRetentionEnded } },
           { { "take_renewal", ApplyRenewal }, { "start_retention", StartRetention } } };
}

} // namespace

BackendChart
LoadBackendChart(const std::filesystem::path& aFolder)
{
  return chart::LoadBoundChart(aFolder / "backend_lease.scxml", BackendRegistry());
}

BackendLifecycle
StartLifecycle(Incarnation aIncarnation, Instant aNow)
{
  BackendLifecycle lifecycle;
  lifecycle.mIncarnation = aIncarnation;
  lifecycle.mFirstSeen = aNow;
  return lifecycle;
}

BackendLifecycle
AfterRenewal(const BackendChart& aChart,
             BackendLifecycle aLifecycle,
             Instant aLeaseEnd,
             std::uint32_t aInFlight,
             Instant aNow)
{
  // A renewal whose lease has already expired must not revive an expired server.
  if (aLeaseEnd <= aNow) {
    return aLifecycle;
  }
  BackendScope scope{ aLifecycle, aNow, aLeaseEnd, aInFlight };
  aLifecycle.mStage = chart::Fire(aChart, aLifecycle.mStage, BackendEvent::Renewed, scope).mState;
  return aLifecycle;
}

BackendLifecycle
AfterDeparture(const BackendChart& aChart, BackendLifecycle aLifecycle, Instant aNow)
{
  BackendScope scope{ aLifecycle, aNow };
  aLifecycle.mStage = chart::Fire(aChart, aLifecycle.mStage, BackendEvent::Departed, scope).mState;
  return aLifecycle;
}

BackendLifecycle
AfterTick(const BackendChart& aChart, BackendLifecycle aLifecycle, Instant aNow)
{
  BackendScope scope{ aLifecycle, aNow };
  aLifecycle.mStage = chart::Fire(aChart, aLifecycle.mStage, BackendEvent::Tick, scope).mState;
  return aLifecycle;
}

bool
IsAlive(const BackendLifecycle& aLifecycle, Instant aNow)
{
  const bool ended = aLifecycle.mStage == BackendStage::Leaving ||
                     aLifecycle.mStage == BackendStage::Expired ||
                     aLifecycle.mStage == BackendStage::Gone;
  return !ended && aNow < aLifecycle.mAliveUntil;
}

std::string
StageName(BackendStage aStage)
{
  return kStageNames[static_cast<std::size_t>(aStage)];
}

} // namespace fighold::membership
