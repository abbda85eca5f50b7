#include "fighold/routes/placement.hpp"

#include <xxhash.h>

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

/// Rendezvous hash: the order of servers for a key changes only where a server comes or goes.
std::uint64_t
RendezvousHash(const std::string& aName, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aName.data(), aName.size(), aSeed);
}

/// Part of the requests that failed, less what has decayed since.
double
FailureRate(const ServerLoad& aLoad, Instant aNow)
{
  const double halves =
    Milliseconds(aNow - aLoad.mFailureRateAt) / Milliseconds(kFailureRateHalfLife);
  return aLoad.mFailureRate * std::exp2(-halves);
}

/// @return why a server may not get a request, or nothing
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
  if (aNow < aLoad.mColdUntil) {
    if (aNow < aLoad.mNextColdDispatch) {
      return "cold-rate";
    }
    if (!ColdLimitOf(aPool, aServer.mId).mIsSender) {
      return "cold-left-to-others";
    }
  }
  return {};
}

/// Time until a request ends at a server.
double
ExpectedMs(const Server& aServer,
           const ServerLoad& aLoad,
           double aExpectedOthers,
           const ProcessingTimes& aTimes,
           double aWorkMs,
           Instant aNow)
{
  return Milliseconds(EstimateWait(aServer, aLoad, aExpectedOthers, aTimes, aNow)) +
         aWorkMs * aLoad.mSlowness;
}

/// What a server's failures add to the cost of choosing it: a request that fails there takes
/// another server's time as well.
double
FailureCostMs(const ServerLoad& aLoad,
              const ProcessingTimes& aTimes,
              double aExpectedMs,
              Instant aNow)
{
  return FailureRate(aLoad, aNow) * kFailureCostFactor * (aTimes.mUncachedMs + aExpectedMs);
}

RegionLoad
RegionLoadOf(const ServerPool& aPool, const RegionId& aRegion)
{
  const auto it = aPool.mRegionLoads.find(aRegion);
  return it == aPool.mRegionLoads.end() ? RegionLoad{} : it->second;
}

const ServerLoad&
LoadOf(const ServerLoads& aLoads, const BackendServerId& aId)
{
  static const ServerLoad kUnknown;
  const auto it = aLoads.find(aId);
  return it == aLoads.end() ? kUnknown : it->second;
}

struct ScoredServer
{
  const Server* mServer = nullptr;
  double mCost = 0;
  double mExpected = 0;
  CacheState mCacheState = CacheState::Unknown;
  bool mEjected = false;
};

} // namespace

ColdLimit
ComputeColdLimit(const BackendServerId& aServer,
                 const std::vector<EntryId>& aEntries,
                 const EntryId& aSelf,
                 double aPerSecond)
{
  if (aPerSecond <= 0) {
    return {};
  }
  const auto senders = std::max<std::size_t>(1, static_cast<std::size_t>(aPerSecond));
  const std::uint64_t seed = XXH3_64bits(aServer.mValue.data(), aServer.mValue.size());
  const std::uint64_t own = RendezvousHash(aSelf.mValue, seed);
  const auto before = std::count_if(aEntries.begin(), aEntries.end(), [&](const EntryId& aEntry) {
    return aEntry != aSelf && RendezvousHash(aEntry.mValue, seed) > own;
  });
  const std::size_t active = std::min(senders, std::max<std::size_t>(1, aEntries.size()));
  constexpr double kMillisPerSecond = 1000;
  const double spacing = kMillisPerSecond * static_cast<double>(active) / aPerSecond;
  return { static_cast<std::size_t>(before) < senders,
           Millis(static_cast<std::int64_t>(std::ceil(spacing))) };
}

ColdLimit
ColdLimitOf(const ServerPool& aPool, const BackendServerId& aServer)
{
  return ComputeColdLimit(aServer, aPool.mEntries, aPool.mSelf, aPool.mColdPerSecond);
}

RegionLoad
UpdateRegionLoad(RegionLoad aLoad, const Server& aServer, double aOtherRequests, Instant aNow)
{
  const double part = aOtherRequests / std::max(1U, aServer.mSlots);
  aLoad.mOtherRequestsPerSlot += kRegionLoadEwmaWeight * (part - aLoad.mOtherRequestsPerSlot);
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
  // A slot becomes free after half a work time on average when all are taken.
  return ahead <= 0 ? Duration{}
                    : FromMilliseconds(ahead / slots * aTimes.mMeanMs * aLoad.mSlowness);
}

ServerLoad
RecordDispatch(ServerLoad aLoad, const ColdLimit& aCold, Instant aNow)
{
  ++aLoad.mOwnRequests;
  if (aNow < aLoad.mColdUntil) {
    aLoad.mNextColdDispatch = aNow + aCold.mMinInterval;
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
        it.mDataCentre == aLocalDataCentre, RendezvousHash(it.mId.mValue, aObjectKey), it.mId);
    }
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<BackendServerId> order;
  order.reserve(ranked.size());
  for (auto& it : ranked) {
    order.push_back(std::move(std::get<BackendServerId>(it)));
  }
  return order;
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
             const std::optional<BackendServerId>& aFirst,
             Instant aNow)
{
  const auto it = aLoad.mCachedObjects.find(aObjectKey);
  if (aObjectKey != 0 && it != aLoad.mCachedObjects.end() && aNow < it->second + kAssumedCacheTtl) {
    return CacheState::Cached;
  }
  return aObjectKey == 0 || aFirst == aServer ? CacheState::Unknown : CacheState::Uncached;
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
  bool healthy = false;
  const ProcessingTimes& times =
    aRequest.mProcessingTimes ? *aRequest.mProcessingTimes : aPool.mProcessingTimes;
  const RegionLoad regionLoad = RegionLoadOf(aPool, aRequest.mRegion);
  const bool hasObject = aRequest.mObjectKey != 0;
  const auto order = RankServers(aPool.mServers,
                                 aRequest.mRegion,
                                 PreferredDataCentre(aPool, aRequest.mLocalDataCentre),
                                 hasObject ? aRequest.mObjectKey : aRequest.mRandom);
  const double orderCost = hasObject ? kRankPenalty : kRandomRankPenalty;
  const auto first = order.empty() ? std::nullopt : std::optional(order.front());
  for (const Server& it : aPool.mServers) {
    if (it.mRegion != aRequest.mRegion || aRequest.mTried.count(it.mId) > 0) {
      continue;
    }
    const ServerLoad& load = LoadOf(aLoads, it.mId);
    const std::string why = ExclusionReason(aPool, it, load, aTrustLeases, aNow);
    if (!why.empty()) {
      placement.mRejected.push_back({ it.mId.mValue, why });
      continue;
    }
    const CacheState memory = CacheStateOf(it.mId, load, aRequest.mObjectKey, first, aNow);
    const auto place = std::find(order.begin(), order.end(), it.mId) - order.begin();
    const auto behind = static_cast<double>(place);
    const double work = ExpectedProcessingMs(times, hasObject, memory);
    const bool ejected = aNow < load.mEjectedUntil;
    healthy = healthy || !ejected;
    const double usual = ExpectedOtherRequests(regionLoad, it, aNow);
    const double expected = ExpectedMs(it, load, usual, aPool.mProcessingTimes, work, aNow);
    const double cost = expected + FailureCostMs(load, times, expected, aNow);
    const double orderMs = behind * behind * orderCost * times.mUncachedMs;
    // Work at a busy server also holds up the requests that come after it.
    const double pressure = std::clamp(1 - EstimateFreeShare(it, load, usual, aNow), 0.0, 2.0);
    scored.push_back(
      { &it, cost + orderMs + (work + orderMs) * pressure, expected, memory, ejected });
  }
  const ScoredServer* best = nullptr;
  for (const ScoredServer& it : scored) {
    if (it.mEjected && healthy) {
      placement.mRejected.push_back({ it.mServer->mId.mValue, "ejected" });
    } else if (best == nullptr || it.mCost < best->mCost) {
      best = &it;
    }
  }
  if (best == nullptr) {
    placement.mReason = scored.empty() ? "no-usable-server" : "";
    return placement;
  }
  placement.mServer = *best->mServer;
  placement.mExpected = FromMilliseconds(best->mExpected);
  const ServerLoad& load = LoadOf(aLoads, best->mServer->mId);
  const double usual = ExpectedOtherRequests(regionLoad, *best->mServer, aNow);
  placement.mEstimatedInFlight = EstimateInFlight(load, usual, aNow);
  // Only what the server itself said of late: with the load of its region, callers of a region with
  // few servers were refused there in the first seconds, and the part that ran elsewhere jumped.
  placement.mFreeShare = EstimateFreeShare(*best->mServer, load, 0, aNow);
  placement.mWait = EstimateWait(*best->mServer, load, usual, aPool.mProcessingTimes, aNow);
  placement.mCacheState = best->mCacheState;
  placement.mReason = healthy ? "first-expected-end" : "all-ejected";
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
  const RegionLoad regionLoad = RegionLoadOf(aPool, aRegion);
  for (const Server& it : aPool.mServers) {
    const ServerLoad& load = LoadOf(aLoads, it.mId);
    if (it.mRegion == aRegion && aNow >= load.mEjectedUntil &&
        (!aTrustLeases || aNow < load.mAliveUntil)) {
      const double usual = ExpectedOtherRequests(regionLoad, it, aNow);
      const double expected =
        ExpectedMs(it, load, usual, aPool.mProcessingTimes, aPool.mProcessingTimes.mMeanMs, aNow);
      sum += it.mSlots * (expected + FailureCostMs(load, aPool.mProcessingTimes, expected, aNow));
      slots += it.mSlots;
    }
  }
  return slots > 0 ? std::optional(FromMilliseconds(sum / slots)) : std::nullopt;
}

} // namespace fighold::routes
