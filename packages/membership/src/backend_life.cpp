#include "fighold/membership/backend_life.hpp"

#include "fighold/membership/lease.hpp"

#include <algorithm>

namespace fighold::membership {
namespace {

const std::vector<std::string> kStages{ "announced", "warming", "serving",
                                        "leaving",   "expired", "gone" };

bool
LeaseOver(const BackendScope& aScope)
{
  const BackendLife& life = aScope.mLife;
  return aScope.mNow >= std::max(life.mAliveUntil, life.mSince + kBackendServerLease);
}

bool
IsWarm(const BackendScope& aScope)
{
  return aScope.mNow >= aScope.mLife.mSince + kWarmUp;
}

bool
RetentionOver(const BackendScope& aScope)
{
  return aScope.mNow >= aScope.mLife.mEndedAt + kRemoveBackendServerAfter;
}

void
TakeRenewal(BackendScope& aScope)
{
  if (aScope.mUntil > aScope.mLife.mAliveUntil) {
    aScope.mLife.mAliveUntil = aScope.mUntil;
    aScope.mLife.mInFlight = aScope.mInFlight;
  }
}

void
StartRetention(BackendScope& aScope)
{
  aScope.mLife.mEndedAt = aScope.mNow;
}

chart::Registry<BackendScope>
BackendRegistry()
{
  return {
    kStages,
    { "renewed", "departed", "tick" },
    { { "lease_over", LeaseOver }, { "is_warm", IsWarm }, { "retention_over", RetentionOver } },
    { { "take_renewal", TakeRenewal }, { "start_retention", StartRetention } }
  };
}

} // namespace

BackendChart
LoadBackendChart(const std::filesystem::path& aFolder)
{
  return chart::LoadBound(aFolder / "backend_lease.scxml", BackendRegistry());
}

BackendLife
StartLife(Incarnation aIncarnation, Instant aNow)
{
  BackendLife life;
  life.mIncarnation = aIncarnation;
  life.mSince = aNow;
  return life;
}

BackendLife
Renewed(const BackendChart& aChart,
        BackendLife aLife,
        Instant aUntil,
        std::uint32_t aInFlight,
        Instant aNow)
{
  // A renewal whose lease is over already must not bring an expired server back.
  if (aUntil <= aNow) {
    return aLife;
  }
  BackendScope scope{ aLife, aNow, aUntil, aInFlight };
  aLife.mStage = chart::Fire(aChart, aLife.mStage, BackendEvent::Renewed, scope).mState;
  return aLife;
}

BackendLife
Departed(const BackendChart& aChart, BackendLife aLife, Instant aNow)
{
  BackendScope scope{ aLife, aNow };
  aLife.mStage = chart::Fire(aChart, aLife.mStage, BackendEvent::Departed, scope).mState;
  return aLife;
}

BackendLife
Aged(const BackendChart& aChart, BackendLife aLife, Instant aNow)
{
  BackendScope scope{ aLife, aNow };
  aLife.mStage = chart::Fire(aChart, aLife.mStage, BackendEvent::Tick, scope).mState;
  return aLife;
}

bool
IsAlive(const BackendLife& aLife, Instant aNow)
{
  const bool ended = aLife.mStage == BackendStage::Leaving ||
                     aLife.mStage == BackendStage::Expired || aLife.mStage == BackendStage::Gone;
  return !ended && aNow < aLife.mAliveUntil;
}

std::string
StageName(BackendStage aStage)
{
  return kStages[static_cast<std::size_t>(aStage)];
}

} // namespace fighold::membership
