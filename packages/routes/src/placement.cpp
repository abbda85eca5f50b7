#include "fighold/routes/placement.hpp"

#include "rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace fighold::routes {
namespace {

double
Milliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

Duration
FromMilliseconds(double aTime)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aTime));
}

/// @return failure rate after the decay since the last request
double
FailureRate(const ServerLoad& aLoad, Instant aNow)
{
  const double halfLives =
    Milliseconds(aNow - aLoad.mFailureRateAt) / Milliseconds(kFailureRateHalfLife);
  return aLoad.mFailureRate * std::exp2(-halfLives);
}

/// @return why a server may not get a request; empty if it may
std::string
ExclusionReason(const ServerPool& aPool,
                const Server& aServer,
                const ServerLoad& aLoad,
                bool aTrustLeases,
                Instant aNow)
{
  if (aTrustLeases && aNow >= aLoad.mAliveUntil) {
    return "no-lease";
  }
  std::string unavailable = fighold::ExclusionReason(aLoad.mAvailability, aLoad.mOwnRequests, aNow);
  if (!unavailable.empty()) {
    return unavailable;
  }
  if (IsHeartbeatOld(aPool, aLoad, aNow) && aNow >= aLoad.mColdUntil &&
      aLoad.mWarmUntil != Instant{}) {
    // With contact, heartbeats tell all entries soon that a server is cold, so that the time for
    // which a health answer holds bounds the requests well enough.
    if (!aTrustLeases && aNow < aLoad.mWarmUntil && aLoad.mHealthAllowance == 0) {
      return "maybe-cold-until-health-answer";
    }
    if (aNow >= aLoad.mWarmUntil && aNow < aLoad.mWarmUntil + kPauseAfterHealthAnswers) {
      return "maybe-cold-without-health-answer";
    }
  }
  if (const auto limit = RateLimitOf(aPool, aServer, aLoad, aNow)) {
    if (!limit->mShare.mIsSender) {
      return limit->mReason + "-left-to-others";
    }
    if (aNow < aLoad.mNextRateDispatch) {
      return limit->mReason + "-rate";
    }
  }
  return {};
}

/// @return expected time until a request completes at a server, in ms
double
ExpectedMs(const Server& aServer,
           const ServerLoad& aLoad,
           double aExpectedOthers,
           const ProcessingTimes& aTimes,
           double aProcessingMs,
           Instant aNow)
{
  return Milliseconds(EstimateWait(aServer, aLoad, aExpectedOthers, aTimes, aNow)) +
         aProcessingMs * aLoad.mSlowness;
}

/// Cost that a server's failures add to choosing it, in ms: a request that fails there also takes
/// time at another server.
double
FailureCostMs(const ServerLoad& aLoad,
              const ProcessingTimes& aTimes,
              double aExpectedMs,
              Instant aNow)
{
  return FailureRate(aLoad, aNow) * kFailureCostFactor * (aTimes.mUncachedMs + aExpectedMs);
}

RegionLoad
FindRegionLoad(const ServerPool& aPool, const RegionId& aRegion)
{
  const auto it = aPool.mRegionLoads.find(aRegion);
  return it == aPool.mRegionLoads.end() ? RegionLoad{} : it->second;
}

const ServerLoad&
FindServerLoad(const ServerLoads& aLoads, const BackendServerId& aId)
{
  static const ServerLoad kUnknown;
  const auto it = aLoads.find(aId);
  return it == aLoads.end() ? kUnknown : it->second;
}

/// @param aTrustLeases true: health answers allow any number of requests
/// @return best server of a ranking that was rejected only because it may be cold and that this
/// entry may use after a health answer; only servers before the chosen one count
std::optional<BackendServerId>
FindWanted(const ServerPool& aPool,
           const std::vector<BackendServerId>& aRanking,
           const Placement& aPlacement,
           bool aTrustLeases)
{
  for (const BackendServerId& id : aRanking) {
    if (aPlacement.mServer && aPlacement.mServer->mId == id) {
      return std::nullopt;
    }
    const auto rejected =
      std::find_if(aPlacement.mRejected.begin(),
                   aPlacement.mRejected.end(),
                   [&](const Rejected& aIt) { return aIt.mCandidate == id.mValue; });
    if (rejected == aPlacement.mRejected.end() || rejected->mReason.rfind("maybe-cold", 0) != 0) {
      continue;
    }
    const auto server = std::find_if(aPool.mServers.begin(),
                                     aPool.mServers.end(),
                                     [&](const Server& aIt) { return aIt.mId == id; });
    if (aTrustLeases ||
        HealthAnswerAllowance(id, server->mRegion, aPool.mEntries, aPool.mCold) > 0) {
      return id;
    }
  }
  return std::nullopt;
}

struct ScoredServer
{
  const Server* mServer = nullptr;
  double mCost = 0;
  double mExpectedTime = 0;
  CacheState mCacheState = CacheState::Unknown;
  bool mEjected = false;
};

} // namespace

bool
IsHeartbeatOld(const ServerPool& aPool, const ServerLoad& aLoad, Instant aNow)
{
  return aPool.mCold.mPerSecond > 0 && aNow - aLoad.mHeartbeatAt > aPool.mCold.mMaxHeartbeatAge;
}

bool
MayBeCold(const ServerPool& aPool, const ServerLoad& aLoad, Instant aNow)
{
  return IsHeartbeatOld(aPool, aLoad, aNow) && aNow >= aLoad.mWarmUntil;
}

std::optional<RateLimit>
RateLimitOf(const ServerPool& aPool, const Server& aServer, const ServerLoad& aLoad, Instant aNow)
{
  std::optional<RateLimit> limit;
  const bool cold = aNow < aLoad.mColdUntil;
  if (cold || MayBeCold(aPool, aLoad, aNow)) {
    limit = RateLimit{ ComputeColdShare(aServer.mId, aPool.mEntries, aPool.mCold, cold),
                       cold ? "cold" : "maybe-cold" };
  }
  if (aLoad.mNamedPerSecond) {
    const RateShare named =
      ComputeNamedRateShare(aServer.mId, aServer.mRegion, aPool.mEntries, *aLoad.mNamedPerSecond);
    if (!limit || (limit->mShare.mIsSender && named.mMinInterval > limit->mShare.mMinInterval)) {
      limit = RateLimit{ named, "named" };
    }
  }
  return limit;
}

ServerLoad
RecordRate(const ServerPool& aPool,
           const Server& aServer,
           ServerLoad aLoad,
           const std::optional<RateStatement>& aRate,
           Instant aNow)
{
  if (!aRate) {
    return aLoad;
  }
  if (aRate->mPerSecond && !aLoad.mNamedPerSecond) {
    const RateShare share =
      ComputeNamedRateShare(aServer.mId, aServer.mRegion, aPool.mEntries, *aRate->mPerSecond);
    aLoad.mNextRateDispatch = std::max(aLoad.mNextRateDispatch, aNow + share.mFirstDelay);
  }
  aLoad.mNamedPerSecond = aRate->mPerSecond;
  return aLoad;
}

ServerLoad
RecordWarmAnswer(const ServerPool& aPool,
                 const Server& aServer,
                 ServerLoad aLoad,
                 Instant aAskedAt,
                 std::uint64_t aDispatches,
                 Millis aValidity)
{
  const std::uint64_t allowed =
    HealthAnswerAllowance(aServer.mId, aServer.mRegion, aPool.mEntries, aPool.mCold);
  const std::uint64_t sentSince = aLoad.mDispatches - aDispatches;
  aLoad.mHealthAllowance = allowed - std::min(allowed, sentSince);
  aLoad.mWarmUntil = std::max(aLoad.mWarmUntil, aAskedAt + aValidity);
  return aLoad;
}

RegionLoad
UpdateRegionLoad(RegionLoad aLoad, const Server& aServer, double aOtherRequests, Instant aNow)
{
  const double perSlot = aOtherRequests / std::max(1U, aServer.mSlots);
  aLoad.mOtherRequestsPerSlot += kRegionLoadEwmaWeight * (perSlot - aLoad.mOtherRequestsPerSlot);
  aLoad.mReportedAt = aNow;
  return aLoad;
}

double
ExpectedOtherRequests(const RegionLoad& aLoad, const Server& aServer, Instant aNow)
{
  const double age = Milliseconds(aNow - aLoad.mReportedAt) / Milliseconds(kRegionLoadTimeConstant);
  return aLoad.mOtherRequestsPerSlot * std::max(1U, aServer.mSlots) * std::exp(-age);
}

double
EstimateInFlight(const ServerLoad& aLoad, double aExpectedOthers, Instant aNow)
{
  const double age = Milliseconds(aNow - aLoad.mReportedAt) / Milliseconds(kLoadReportTimeConstant);
  return aLoad.mOwnRequests + aExpectedOthers +
         (aLoad.mOtherRequests - aExpectedOthers) * std::exp(-age);
}

double
EstimateFreeShare(const Server& aServer,
                  const ServerLoad& aLoad,
                  double aExpectedOthers,
                  Instant aNow)
{
  const double slots = std::max(1U, aServer.mSlots);
  return (slots - 1 - EstimateInFlight(aLoad, aExpectedOthers, aNow)) / slots;
}

Duration
EstimateWait(const Server& aServer,
             const ServerLoad& aLoad,
             double aExpectedOthers,
             const ProcessingTimes& aTimes,
             Instant aNow)
{
  const double slots = std::max(1U, aServer.mSlots);
  const double ahead = EstimateInFlight(aLoad, aExpectedOthers, aNow) + 1 - slots;
  // If all slots are taken, a slot becomes free after half a processing time on average.
  return ahead <= 0 ? Duration{}
                    : FromMilliseconds(ahead / slots * aTimes.mMeanMs * aLoad.mSlowness);
}

ServerLoad
RecordDispatch(ServerLoad aLoad, const std::optional<RateLimit>& aLimit, Instant aNow)
{
  ++aLoad.mOwnRequests;
  ++aLoad.mDispatches;
  aLoad.mHealthAllowance -= std::min<std::uint64_t>(aLoad.mHealthAllowance, 1);
  aLoad.mLastDispatch = aNow;
  if (aLimit) {
    aLoad.mNextRateDispatch = aNow + aLimit->mShare.mMinInterval;
  }
  return aLoad;
}

ServerLoad
RecordOutcome(ServerLoad aLoad,
              DispatchOutcome aOutcome,
              std::uint64_t aObjectKey,
              const std::optional<LoadReport>& aReport,
              Instant aNow)
{
  aLoad.mOwnRequests -= std::min(aLoad.mOwnRequests, 1U);
  if (aReport) {
    const double busy = aReport->mRunning + aReport->mWaiting;
    aLoad.mOtherRequests = std::max(0.0, busy - aLoad.mOwnRequests);
    aLoad.mReportedAt = aNow;
  }
  if (aOutcome == DispatchOutcome::Abandoned) {
    return aLoad;
  }
  const bool failed = aOutcome != DispatchOutcome::Answered;
  aLoad.mFailureRate =
    FailureRate(aLoad, aNow) * (1 - kFailureRateEwmaWeight) + (failed ? kFailureRateEwmaWeight : 0);
  aLoad.mFailureRateAt = aNow;
  if (aOutcome == DispatchOutcome::Answered) {
    aLoad.mConsecutiveFailures = 0;
    aLoad.mConsecutiveEjections = 0;
    if (aObjectKey != 0) {
      aLoad.mCachedObjects[aObjectKey] = aNow;
    }
    if (aLoad.mCachedObjects.size() > kAssumedCacheCapacity) {
      const auto oldest = std::min_element(
        aLoad.mCachedObjects.begin(),
        aLoad.mCachedObjects.end(),
        [](const auto& aLeft, const auto& aRight) { return aLeft.second < aRight.second; });
      aLoad.mCachedObjects.erase(oldest);
    }
  } else if (aOutcome == DispatchOutcome::Failed &&
             ++aLoad.mConsecutiveFailures >= kConsecutiveFailuresToEject) {
    const auto length = std::min<Duration>(
      kMaxEjectionTime, kBaseEjectionTime * (1U << std::min(aLoad.mConsecutiveEjections, 4U)));
    aLoad.mEjectedUntil = aNow + length;
    ++aLoad.mConsecutiveEjections;
    aLoad.mConsecutiveFailures = 0;
  }
  return aLoad;
}

std::vector<BackendServerId>
RankServers(const std::vector<Server>& aServers,
            const RegionId& aRegion,
            const DataCentreId& aLocalDataCentre,
            std::uint64_t aObjectKey)
{
  std::vector<std::tuple<bool, std::uint64_t, BackendServerId>> ranked;
  for (const Server& it : aServers) {
    if (it.mRegion == aRegion) {
      ranked.emplace_back(
        it.mDataCentre == aLocalDataCentre, detail::Hash(it.mId.mValue, aObjectKey), it.mId);
    }
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<BackendServerId> ranking;
  ranking.reserve(ranked.size());
  for (auto& it : ranked) {
    ranking.push_back(std::move(std::get<BackendServerId>(it)));
  }
  return ranking;
}

void
RecordObject(ServerPool& aPool, std::uint64_t aObjectKey, Instant aNow)
{
  if (aObjectKey == 0) {
    return;
  }
  aPool.mRecentObjects[aObjectKey] = aNow;
  if (aPool.mRecentObjects.size() >
      kAssumedCacheCapacity * std::max<std::size_t>(1, aPool.mServers.size())) {
    for (auto it = aPool.mRecentObjects.begin(); it != aPool.mRecentObjects.end();) {
      it = aNow >= it->second + kAssumedCacheTtl ? aPool.mRecentObjects.erase(it) : std::next(it);
    }
  }
}

DataCentreId
PreferredDataCentre(const ServerPool& aPool, const DataCentreId& aLocalDataCentre)
{
  const auto servers =
    std::count_if(aPool.mServers.begin(), aPool.mServers.end(), [&](const Server& aServer) {
      return aServer.mDataCentre == aLocalDataCentre;
    });
  const bool enough =
    servers >= kMinServersPerDataCentre &&
    aPool.mRecentObjects.size() <= kMaxObjectsPerServer * static_cast<std::size_t>(servers);
  return enough ? aLocalDataCentre : DataCentreId{};
}

CacheState
CacheStateOf(const BackendServerId& aServer,
             const ServerLoad& aLoad,
             std::uint64_t aObjectKey,
             const std::optional<BackendServerId>& aFirstRanked,
             Instant aNow)
{
  const auto it = aLoad.mCachedObjects.find(aObjectKey);
  if (aObjectKey != 0 && it != aLoad.mCachedObjects.end() && aNow < it->second + kAssumedCacheTtl) {
    return CacheState::Cached;
  }
  return aObjectKey == 0 || aFirstRanked == aServer ? CacheState::Unknown : CacheState::Uncached;
}

Placement
ChooseServer(const ServerPool& aPool,
             const ServerLoads& aLoads,
             const PlacementRequest& aRequest,
             bool aTrustLeases,
             Instant aNow)
{
  Placement placement;
  std::vector<ScoredServer> scored;
  bool anyHealthy = false;
  const ProcessingTimes& times =
    aRequest.mProcessingTimes ? *aRequest.mProcessingTimes : aPool.mProcessingTimes;
  const RegionLoad regionLoad = FindRegionLoad(aPool, aRequest.mRegion);
  const bool hasObject = aRequest.mObjectKey != 0;
  const auto ranking = RankServers(aPool.mServers,
                                   aRequest.mRegion,
                                   PreferredDataCentre(aPool, aRequest.mLocalDataCentre),
                                   hasObject ? aRequest.mObjectKey : aRequest.mRandom);
  const double rankPenalty = hasObject ? kRankPenalty : kRandomRankPenalty;
  const auto first = ranking.empty() ? std::nullopt : std::optional(ranking.front());
  for (const Server& it : aPool.mServers) {
    if (it.mRegion != aRequest.mRegion || aRequest.mAlreadyTried.count(it.mId) > 0) {
      continue;
    }
    const ServerLoad& load = FindServerLoad(aLoads, it.mId);
    const std::string reason = ExclusionReason(aPool, it, load, aTrustLeases, aNow);
    if (!reason.empty()) {
      placement.mRejected.push_back({ it.mId.mValue, reason });
      const auto limit = RateLimitOf(aPool, it, load, aNow);
      if (limit && limit->mShare.mIsSender && aNow < load.mNextRateDispatch) {
        const Duration turn = load.mNextRateDispatch - aNow;
        placement.mNextTurn = std::min(turn, placement.mNextTurn.value_or(turn));
      }
      continue;
    }
    const CacheState cacheState = CacheStateOf(it.mId, load, aRequest.mObjectKey, first, aNow);
    const auto position = std::find(ranking.begin(), ranking.end(), it.mId) - ranking.begin();
    const auto rank = static_cast<double>(position);
    const double processingMs = ExpectedProcessingMs(times, hasObject, cacheState);
    const bool ejected = aNow < load.mEjectedUntil;
    anyHealthy = anyHealthy || !ejected;
    const double expectedOthers = ExpectedOtherRequests(regionLoad, it, aNow);
    const double expected =
      ExpectedMs(it, load, expectedOthers, aPool.mProcessingTimes, processingMs, aNow);
    const double cost = expected + FailureCostMs(load, times, expected, aNow);
    const double rankPenaltyMs = rank * rank * rankPenalty * times.mUncachedMs;
    // A request at a busy server also delays the requests that come after it.
    const double pressure =
      std::clamp(1 - EstimateFreeShare(it, load, expectedOthers, aNow), 0.0, 2.0);
    scored.push_back({ &it,
                       cost + rankPenaltyMs + (processingMs + rankPenaltyMs) * pressure,
                       expected,
                       cacheState,
                       ejected });
  }
  const ScoredServer* best = nullptr;
  for (const ScoredServer& it : scored) {
    if (it.mEjected && anyHealthy) {
      placement.mRejected.push_back({ it.mServer->mId.mValue, "ejected" });
    } else if (best == nullptr || it.mCost < best->mCost) {
      best = &it;
    }
  }
  if (best == nullptr) {
    placement.mReason = scored.empty() ? "no-usable-server" : "";
    placement.mWanted = FindWanted(aPool, ranking, placement, aTrustLeases);
    return placement;
  }
  placement.mServer = *best->mServer;
  placement.mWanted = FindWanted(aPool, ranking, placement, aTrustLeases);
  placement.mExpectedTime = FromMilliseconds(best->mExpectedTime);
  const ServerLoad& load = FindServerLoad(aLoads, best->mServer->mId);
  const double expectedOthers = ExpectedOtherRequests(regionLoad, *best->mServer, aNow);
  placement.mEstimatedInFlight = EstimateInFlight(load, expectedOthers, aNow);
  // Uses only the server's own recent report. With the load of its region, callers of a region with
  // few servers were rejected there in the first seconds, and the share of requests that ran
  // elsewhere jumped.
  placement.mFreeShare = EstimateFreeShare(*best->mServer, load, 0, aNow);
  placement.mWait =
    EstimateWait(*best->mServer, load, expectedOthers, aPool.mProcessingTimes, aNow);
  placement.mCacheState = best->mCacheState;
  placement.mReason = anyHealthy ? "first-expected-end" : "all-ejected";
  return placement;
}

Duration
RegionMovePenalty(const ProcessingTimes& aTimes)
{
  return FromMilliseconds(kRegionMovePenaltyFactor *
                          std::max(0.0, aTimes.mUncachedMs - aTimes.mCachedMs));
}

std::optional<Duration>
RegionCost(const ServerPool& aPool,
           const ServerLoads& aLoads,
           const RegionId& aRegion,
           bool aTrustLeases,
           Instant aNow)
{
  double sum = 0;
  double slots = 0;
  const RegionLoad regionLoad = FindRegionLoad(aPool, aRegion);
  for (const Server& it : aPool.mServers) {
    const ServerLoad& load = FindServerLoad(aLoads, it.mId);
    const bool wantsRequests = load.mAvailability.mState != AvailabilityState::Leaving &&
                               !IsPaused(load.mAvailability, aNow);
    if (it.mRegion == aRegion && aNow >= load.mEjectedUntil && wantsRequests &&
        (!aTrustLeases || aNow < load.mAliveUntil)) {
      const double expectedOthers = ExpectedOtherRequests(regionLoad, it, aNow);
      const double expected = ExpectedMs(
        it, load, expectedOthers, aPool.mProcessingTimes, aPool.mProcessingTimes.mMeanMs, aNow);
      sum += it.mSlots * (expected + FailureCostMs(load, aPool.mProcessingTimes, expected, aNow));
      slots += it.mSlots;
    }
  }
  return slots > 0 ? std::optional(FromMilliseconds(sum / slots)) : std::nullopt;
}

} // namespace fighold::routes
