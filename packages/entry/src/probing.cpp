#include "probing.hpp"

#include "pools.hpp"

namespace fighold::entry {
namespace {

/// Interval between two health requests to a server.
constexpr Millis kProbeInterval{ 200 };

/// Time from the sending of a health request for which its answer shows that the server is not
/// cold. Two intervals, so that one late answer does not limit the server.
constexpr Millis kProbeValidity{ 400 };

/// A server counts as used for so long after a request was sent to it or passed it over only
/// because it may be cold.
constexpr Millis kUsedFor{ 2000 };

/// Longest body of the answer to a health request; only its head says something.
constexpr std::size_t kMaxHealthAnswerBytes = 64U << 10U;

bool
NeedsProbe(const State& aState,
           const routes::ServerPool& aPool,
           const routes::ServerLoad& aLoad,
           Instant aNow)
{
  const bool usable = !TrustsLeases(aState, aNow) || aNow < aLoad.mAliveUntil;
  return usable && fighold::ExclusionReason(aLoad.mAvailability, 0, aNow).empty() &&
         aNow >= aLoad.mColdUntil &&
         aNow < std::max(aLoad.mLastDispatch, aLoad.mLastWanted) + kUsedFor &&
         routes::IsHeartbeatOld(aPool, aLoad, aNow);
}

Dispatch
MakeProbe(State& aState, const ServiceId& aService, const routes::Server& aServer, Instant aNow)
{
  const auto settings = aState.mRoutes.mSet->mServices.find(aService);
  net::HttpRequest request;
  request.mMethod = "GET";
  request.mTarget = settings == aState.mRoutes.mSet->mServices.end()
                      ? routes::ServiceSettings{}.mHealthPath
                      : settings->second.mHealthPath;
  Dispatch dispatch;
  dispatch.mDispatchId = aState.mNextDispatchId++;
  dispatch.mServer = {
    aServer.mId, aServer.mIncarnation, aServer.mAddress, aServer.mSlots, aServer.mConnections
  };
  dispatch.mPayload = SharedValue(std::move(request));
  dispatch.mExchangeDeadline = aNow + kProbeValidity;
  dispatch.mFirstByteDeadline = dispatch.mExchangeDeadline;
  dispatch.mSendDeadline = dispatch.mExchangeDeadline;
  dispatch.mConnectDeadline = dispatch.mExchangeDeadline;
  dispatch.mDeadline = dispatch.mExchangeDeadline;
  dispatch.mConnectionShare = ConnectionShare(aState, aService);
  dispatch.mMaxAnswerBytes = kMaxHealthAnswerBytes;
  return dispatch;
}

} // namespace

void
ProbeServers(State& aState, std::vector<Effect>& aEffects, Instant aNow)
{
  aState.mNextProbes = Instant::max();
  for (const auto& [service, pool] : aState.mPools) {
    for (const routes::Server& it : pool.mPool.mServers) {
      routes::ServerLoad& load = aState.mServerLoads[it.mId];
      if (!NeedsProbe(aState, pool.mPool, load, aNow)) {
        continue;
      }
      if (aNow >= load.mNextProbe) {
        load.mNextProbe = aNow + kProbeInterval;
        Dispatch dispatch = MakeProbe(aState, service, it, aNow);
        aState.mProbes[dispatch.mDispatchId] = { service, it, aNow, load.mDispatches };
        aEffects.emplace_back(std::move(dispatch));
      }
      aState.mNextProbes = std::min(aState.mNextProbes, load.mNextProbe);
    }
  }
}

bool
HandleProbeDone(State& aState,
                const DispatchDone& aDone,
                std::vector<Effect>& aEffects,
                Instant aNow)
{
  const auto it = aState.mProbes.find(aDone.mDispatchId);
  if (it == aState.mProbes.end()) {
    return false;
  }
  const Probe probe = it->second;
  aState.mProbes.erase(it);
  const auto known = aState.mServerLoads.find(probe.mServer.mId);
  const auto pool = aState.mPools.find(probe.mService);
  if (!aDone.mReport.mCold || known == aState.mServerLoads.end() ||
      known->second.mIncarnation != probe.mServer.mIncarnation || pool == aState.mPools.end()) {
    return true;
  }
  routes::ServerLoad& load = known->second;
  if (*aDone.mReport.mCold == Millis(0)) {
    load = routes::RecordWarmAnswer(
      pool->second.mPool, probe.mServer, load, probe.mSentAt, probe.mDispatches, kProbeValidity);
    return true;
  }
  const bool wasCold = aNow < load.mColdUntil;
  load.mColdUntil = std::max(load.mColdUntil, aNow + *aDone.mReport.mCold);
  if (!wasCold) {
    const auto limit = routes::RateLimitOf(pool->second.mPool, probe.mServer, load, aNow);
    load.mNextRateDispatch = std::max(
      load.mNextRateDispatch, aNow + routes::kPauseAfterHealthAnswers + limit->mShare.mFirstDelay);
    aEffects.emplace_back(LogRecord{ DecisionRecord{
      "server", probe.mServer.mId.mValue, probe.mService.mValue, "cold", "health-answer", {} } });
  }
  return true;
}

} // namespace fighold::entry
