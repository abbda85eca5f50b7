#include "backend_servers.hpp"

#include <algorithm>

namespace fighold::control {
namespace {

/// Time between two proposals to remove or forget one backend server.
constexpr Millis kRemovalInterval{ 1000 };

/// Time for which what is known of a backend server outside the configuration is kept; its
/// announcement may still be on its way.
constexpr Millis kKeepUnknown{ 10'000 };

Incarnation
RegisteredIncarnation(const State& aState, const BackendServerId& aId)
{
  const auto it = aState.mConfiguration->mBackendServers.find(aId);
  return it == aState.mConfiguration->mBackendServers.end() ? 0 : it->second.mIncarnation;
}

/// @param aUntil end of the lease that was reported
void
TakeLease(Context& aContext,
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
  membership::BackendLifecycle& life = state.mBackends[aId];
  if (aUntil > life.mAliveUntil) {
    state.mLeaseChangedAt[aId] = aContext.mNow;
  }
  life = membership::AfterRenewal(state.mCharts.mBackend, life, aUntil, aInFlight, aContext.mNow);
}

/// Brings what is known in line with the configuration.
void
FollowConfiguration(Context& aContext)
{
  State& state = aContext.mState;
  for (const auto& [id, server] : state.mConfiguration->mBackendServers) {
    membership::BackendLifecycle& life = state.mBackends[id];
    if (life.mIncarnation != server.mIncarnation) {
      life = membership::StartLifecycle(server.mIncarnation, aContext.mNow);
    }
    if (server.mLeaving && life.mStage != membership::BackendStage::Gone) {
      life = membership::AfterDeparture(state.mCharts.mBackend, life, aContext.mNow);
    }
  }
  for (auto it = state.mBackends.begin(); it != state.mBackends.end();) {
    const bool unknown = RegisteredIncarnation(state, it->first) != it->second.mIncarnation;
    const bool old =
      aContext.mNow >= std::max(it->second.mAliveUntil, it->second.mFirstSeen) + kKeepUnknown;
    if (unknown && old) {
      state.mCold.erase(it->first);
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
RemoveGone(Context& aContext)
{
  State& state = aContext.mState;
  std::vector<std::pair<BackendServerId, Incarnation>> gone;
  for (const auto& [id, life] : state.mBackends) {
    if (life.mStage == membership::BackendStage::Gone &&
        RegisteredIncarnation(state, id) == life.mIncarnation) {
      gone.emplace_back(id, life.mIncarnation);
    }
  }
  for (const auto& [id, incarnation] : gone) {
    ProposeRemoval(aContext,
                   membership::RemoveBackendServer{ id, incarnation },
                   state.mNextRemoval[{ id, incarnation }]);
  }
}

/// Notes since when each departed incarnation is known here; a new leader waits the whole time
/// again.
void
NoteDeparted(Context& aContext)
{
  State& state = aContext.mState;
  for (const auto& [id, incarnations] : state.mConfiguration->mDeparted) {
    for (const Incarnation it : incarnations) {
      state.mDepartedSince.try_emplace({ id, it }, aContext.mNow);
    }
  }
  for (auto it = state.mDepartedSince.begin(); it != state.mDepartedSince.end();) {
    const auto& [id, incarnation] = it->first;
    it = HasDeparted(*state.mConfiguration, id, incarnation) ? std::next(it)
                                                             : state.mDepartedSince.erase(it);
  }
}

void
ForgetDeparted(Context& aContext)
{
  State& state = aContext.mState;
  std::vector<std::pair<BackendServerId, Incarnation>> over;
  for (const auto& [key, since] : state.mDepartedSince) {
    if (aContext.mNow >= since + membership::kRefuseDepartedFor &&
        RegisteredIncarnation(state, key.first) != key.second) {
      over.push_back(key);
    }
  }
  for (const auto& key : over) {
    ProposeRemoval(
      aContext, membership::ForgetDeparted{ key.first, key.second }, state.mNextRemoval[key]);
  }
}

/// Takes over how long a server stays cold, unless a later word of it is known.
void
TakeCold(State& aState, const BackendServerId& aId, Instant aHeardAt, Millis aCold)
{
  ColdSpell& spell = aState.mCold[aId];
  if (aHeardAt >= spell.mHeardAt) {
    spell = { aHeardAt, aHeardAt + aCold };
  }
}

Millis
ColdLeft(const State& aState, const BackendServerId& aId, Instant aNow)
{
  const auto it = aState.mCold.find(aId);
  return it == aState.mCold.end() || it->second.mUntil <= aNow
           ? Millis(0)
           : std::chrono::ceil<Millis>(it->second.mUntil - aNow);
}

} // namespace

void
TakeReports(Context& aContext,
            const std::vector<membership::BackendReport>& aReports,
            Instant aSent)
{
  State& state = aContext.mState;
  for (const membership::BackendReport& it : aReports) {
    // The reporter's clock may run slow by the allowance.
    const Instant renewed = aSent - it.mAge - it.mAge / membership::kClockDriftDivisor;
    TakeLease(
      aContext, it.mId, it.mIncarnation, renewed + state.mOptions.mServerLease, it.mInFlight);
    TakeCold(state, it.mId, renewed, it.mCold);
    if (!agreement::IsLeader(state.mNode)) {
      auto& kept = state.mReports[it.mId];
      if (renewed > kept.second) {
        kept = { it, renewed };
      }
    }
  }
}

void
TakeLeases(Context& aContext,
           const std::vector<membership::BackendLease>& aLeases,
           Instant aAskedAt)
{
  for (const membership::BackendLease& it : aLeases) {
    TakeLease(aContext,
              it.mId,
              it.mIncarnation,
              membership::LeaseEnd(aAskedAt, it.mRemaining),
              it.mInFlight);
    TakeCold(aContext.mState, it.mId, aAskedAt, it.mCold);
  }
}

std::vector<membership::BackendLease>
LivingBackends(const State& aState,
               Instant aSince,
               const membership::Configuration* aChanged,
               Instant aNow)
{
  std::vector<membership::BackendLease> leases;
  for (const auto& [id, life] : aState.mBackends) {
    const auto left = std::chrono::duration_cast<Millis>(life.mAliveUntil - aNow);
    const auto changed = aState.mLeaseChangedAt.find(id);
    const bool isNew = aChanged != nullptr && aChanged->mBackendServers.count(id) > 0;
    const bool known =
      !isNew && changed != aState.mLeaseChangedAt.end() && changed->second < aSince;
    if (!known && IsAlive(life, aNow) && left > Millis(0)) {
      leases.push_back({ id, life.mIncarnation, left, life.mInFlight, ColdLeft(aState, id, aNow) });
    }
  }
  return leases;
}

void
TickBackends(Context& aContext)
{
  State& state = aContext.mState;
  FollowConfiguration(aContext);
  for (auto& [id, life] : state.mBackends) {
    life = membership::AfterTick(state.mCharts.mBackend, life, aContext.mNow);
  }
  NoteDeparted(aContext);
  if (agreement::IsLeader(state.mNode) && GrantRight(state, aContext.mNow)) {
    RemoveGone(aContext);
    ForgetDeparted(aContext);
  }
  for (auto it = state.mNextRemoval.begin(); it != state.mNextRemoval.end();) {
    it = aContext.mNow >= it->second ? state.mNextRemoval.erase(it) : std::next(it);
  }
}

} // namespace fighold::control
