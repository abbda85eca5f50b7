#include "backend_servers.hpp"

#include <algorithm>

namespace fighold::control {
namespace {

/// Minimum interval between two proposals to remove or forget the same backend server.
constexpr Millis kRemovalInterval{ 1000 };

/// Time for which the lifecycle of an unregistered backend server is kept after its lease expired;
/// its announcement may still arrive.
constexpr Millis kKeepUnregistered{ 10'000 };

Incarnation
RegisteredIncarnation(const State& aState, const BackendServerId& aId)
{
  const auto it = aState.mConfiguration->mBackendServers.find(aId);
  return it == aState.mConfiguration->mBackendServers.end() ? 0 : it->second.mIncarnation;
}

/// Extends the lease of a backend server, unless the incarnation has departed or another one is
/// registered.
/// @param aUntil end of the reported lease
void
ApplyLease(Context& aContext,
           const BackendServerId& aId,
           Incarnation aIncarnation,
           Instant aUntil,
           std::uint32_t aInFlight)
{
  State& state = aContext.mState;
  if (HasDeparted(*state.mConfiguration, aId, aIncarnation)) {
    return;
  }
  const auto known = state.mBackends.find(aId);
  if (known == state.mBackends.end()) {
    state.mBackends[aId] = membership::StartLifecycle(aIncarnation, aContext.mNow);
  } else if (known->second.mIncarnation != aIncarnation) {
    if (known->second.mIncarnation == RegisteredIncarnation(state, aId)) {
      return;
    }
    known->second = membership::StartLifecycle(aIncarnation, aContext.mNow);
  }
  membership::BackendLifecycle& lifecycle = state.mBackends[aId];
  if (aUntil > lifecycle.mAliveUntil) {
    state.mLeaseChangedAt[aId] = aContext.mNow;
  }
  lifecycle =
    membership::AfterRenewal(state.mCharts.mBackend, lifecycle, aUntil, aInFlight, aContext.mNow);
}

/// Updates the lifecycles from the configuration, and erases those of servers that are no longer
/// registered.
void
SyncWithConfiguration(Context& aContext)
{
  State& state = aContext.mState;
  for (const auto& [id, server] : state.mConfiguration->mBackendServers) {
    membership::BackendLifecycle& lifecycle = state.mBackends[id];
    if (lifecycle.mIncarnation != server.mIncarnation) {
      lifecycle = membership::StartLifecycle(server.mIncarnation, aContext.mNow);
    }
    if (server.mLeaving && lifecycle.mStage != membership::BackendStage::Gone) {
      lifecycle = membership::AfterDeparture(state.mCharts.mBackend, lifecycle, aContext.mNow);
    }
  }
  for (auto it = state.mBackends.begin(); it != state.mBackends.end();) {
    const bool unregistered = RegisteredIncarnation(state, it->first) != it->second.mIncarnation;
    const bool old =
      aContext.mNow >= std::max(it->second.mAliveUntil, it->second.mFirstSeen) + kKeepUnregistered;
    if (unregistered && old) {
      state.mColdPeriods.erase(it->first);
      state.mLeaseChangedAt.erase(it->first);
      state.mSequences.erase({ it->first, it->second.mIncarnation });
      it = state.mBackends.erase(it);
    } else {
      ++it;
    }
  }
}

void
ProposeRemoval(Context& aContext, const membership::ChangeBody& aBody, Instant& aNext)
{
  if (aContext.mNow >= aNext) {
    aNext = aContext.mNow + kRemovalInterval;
    Propose(aContext, membership::Change{ {}, aBody });
  }
}

void
RemoveGoneBackends(Context& aContext)
{
  State& state = aContext.mState;
  std::vector<std::pair<BackendServerId, Incarnation>> gone;
  for (const auto& [id, lifecycle] : state.mBackends) {
    if (lifecycle.mStage == membership::BackendStage::Gone &&
        RegisteredIncarnation(state, id) == lifecycle.mIncarnation) {
      gone.emplace_back(id, lifecycle.mIncarnation);
    }
  }
  for (const auto& [id, incarnation] : gone) {
    ProposeRemoval(aContext,
                   membership::RemoveBackendServer{ id, incarnation },
                   state.mNextRemoval[{ id, incarnation }]);
  }
}

/// Records when each departure was first seen here. The times are not replicated; a new
/// leader counts from its own.
void
UpdateDeparted(Context& aContext)
{
  State& state = aContext.mState;
  for (const auto& [id, incarnations] : state.mConfiguration->mDeparted) {
    for (const Incarnation it : incarnations) {
      state.mDepartedSince.try_emplace({ id, it }, aContext.mNow);
    }
  }
  for (const auto& [id, latest] : state.mConfiguration->mWithdrawn) {
    state.mDepartedSince.try_emplace({ id, latest }, aContext.mNow);
  }
  for (auto it = state.mDepartedSince.begin(); it != state.mDepartedSince.end();) {
    const auto& [id, incarnation] = it->first;
    it = IsDepartureRecorded(*state.mConfiguration, id, incarnation)
           ? std::next(it)
           : state.mDepartedSince.erase(it);
  }
}

void
ForgetDeparted(Context& aContext)
{
  State& state = aContext.mState;
  std::vector<std::pair<BackendServerId, Incarnation>> expired;
  for (const auto& [key, since] : state.mDepartedSince) {
    if (aContext.mNow >= since + membership::kRefuseDepartedFor &&
        RegisteredIncarnation(state, key.first) != key.second) {
      expired.push_back(key);
    }
  }
  for (const auto& key : expired) {
    ProposeRemoval(
      aContext, membership::ForgetDeparted{ key.first, key.second }, state.mNextRemoval[key]);
  }
}

/// Records how long the caches of a server stay cold, unless a later report is known.
void
RecordCold(State& aState, const BackendServerId& aId, Instant aHeardAt, Millis aCold)
{
  ColdPeriod& period = aState.mColdPeriods[aId];
  if (aHeardAt >= period.mHeardAt) {
    period = { aHeardAt, aHeardAt + aCold };
  }
}

Millis
RemainingCold(const State& aState, const BackendServerId& aId, Instant aNow)
{
  const auto it = aState.mColdPeriods.find(aId);
  return it == aState.mColdPeriods.end() || it->second.mUntil <= aNow
           ? Millis(0)
           : std::chrono::ceil<Millis>(it->second.mUntil - aNow);
}

} // namespace

void
ApplyReports(Context& aContext,
             const std::vector<membership::BackendReport>& aReports,
             Instant aSentAt)
{
  State& state = aContext.mState;
  for (const membership::BackendReport& it : aReports) {
    // The reporter's clock may run slow by the permitted drift.
    const Instant renewedAt = aSentAt - it.mAge - it.mAge / membership::kClockDriftDivisor;
    ApplyLease(
      aContext, it.mId, it.mIncarnation, renewedAt + state.mOptions.mServerLease, it.mInFlight);
    RecordCold(state, it.mId, renewedAt, it.mCold);
    if (!agreement::IsLeader(state.mNode)) {
      auto& latest = state.mReports[it.mId];
      if (renewedAt > latest.second) {
        latest = { it, renewedAt };
      }
    }
  }
}

void
ApplyLeases(Context& aContext,
            const std::vector<membership::BackendLease>& aLeases,
            Instant aRenewalSentAt)
{
  for (const membership::BackendLease& it : aLeases) {
    ApplyLease(aContext,
               it.mId,
               it.mIncarnation,
               membership::LeaseEnd(aRenewalSentAt, it.mRemaining),
               it.mInFlight);
    RecordCold(aContext.mState, it.mId, aRenewalSentAt, it.mCold);
  }
}

std::vector<membership::BackendLease>
LiveBackendLeases(const State& aState,
                  Instant aSince,
                  const membership::Configuration* aChanged,
                  Instant aNow)
{
  std::vector<membership::BackendLease> leases;
  for (const auto& [id, lifecycle] : aState.mBackends) {
    const auto remaining = std::chrono::duration_cast<Millis>(lifecycle.mAliveUntil - aNow);
    const auto changed = aState.mLeaseChangedAt.find(id);
    const bool isNew = aChanged != nullptr && aChanged->mBackendServers.count(id) > 0;
    const bool known =
      !isNew && changed != aState.mLeaseChangedAt.end() && changed->second < aSince;
    if (!known && IsAlive(lifecycle, aNow) && remaining > Millis(0)) {
      leases.push_back({ id,
                         lifecycle.mIncarnation,
                         remaining,
                         lifecycle.mInFlight,
                         RemainingCold(aState, id, aNow) });
    }
  }
  return leases;
}

void
TickBackends(Context& aContext)
{
  State& state = aContext.mState;
  SyncWithConfiguration(aContext);
  for (auto& [id, lifecycle] : state.mBackends) {
    lifecycle = membership::AfterTick(state.mCharts.mBackend, lifecycle, aContext.mNow);
  }
  UpdateDeparted(aContext);
  if (agreement::IsLeader(state.mNode) && MayGrantSince(state, aContext.mNow)) {
    RemoveGoneBackends(aContext);
    ForgetDeparted(aContext);
  }
  for (auto it = state.mNextRemoval.begin(); it != state.mNextRemoval.end();) {
    it = aContext.mNow >= it->second ? state.mNextRemoval.erase(it) : std::next(it);
  }
}

} // namespace fighold::control
