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
Rank(const std::string& aName, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aName.data(), aName.size(), aSeed);
}

/// Part of the requests that failed, less what has decayed since.
double
FailedPart(const ServerLoad& aLoad, Instant aNow)
{
  const double halves = Milliseconds(aNow - aLoad.mFailedAt) / Milliseconds(kFailureHalfLife);
  return aLoad.mFailed * std::exp2(-halves);
}

/// @return why a server may not get a request, or nothing
std::string
WhyNot(const Pool& aPool,
       const Server& aServer,
       const ServerLoad& aLoad,
       bool aTrustLeases,
       Instant aNow)
{
  if (aTrustLeases && aNow >= aLoad.mAliveUntil) {
    return "no-lease";
  }
  if (aNow < aLoad.mColdUntil) {
    if (aNow < aLoad.mNextColdSend) {
      return "cold-rate";
    }
    if (!ColdLimitOf(aPool, aServer.mId).mMaySend) {
      return "cold-left-to-others";
    }
  }
  return {};
}

/// Time until a request ends at a server.
double
ExpectedMs(const Server& aServer,
           const ServerLoad& aLoad,
           double aUsual,
           const WorkTimes& aTimes,
           double aWorkMs,
           Instant aNow)
{
  return Milliseconds(WaitEstimate(aServer, aLoad, aUsual, aTimes, aNow)) +
         aWorkMs * aLoad.mSlowness;
}

/// What a server's failures add to the cost of choosing it: a request that fails there takes
/// another server's time as well.
double
FailureCostMs(const ServerLoad& aLoad, const WorkTimes& aTimes, double aExpectedMs, Instant aNow)
{
  return FailedPart(aLoad, aNow) * kFailureCost * (aTimes.mColdMs + aExpectedMs);
}

RegionLoad
RegionLoadOf(const Pool& aPool, const RegionId& aRegion)
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

struct Scored
{
  const Server* mServer = nullptr;
  double mCost = 0;
  double mExpected = 0;
  Memory mMemory = Memory::Unknown;
  bool mEjected = false;
};

} // namespace

ColdLimit
LimitWhileCold(const BackendServerId& aServer,
               const std::vector<EntryId>& aEntries,
               const EntryId& aSelf,
               double aPerSecond)
{
  if (aPerSecond <= 0) {
    return {};
  }
  const auto senders = std::max<std::size_t>(1, static_cast<std::size_t>(aPerSecond));
  const std::uint64_t seed = XXH3_64bits(aServer.mValue.data(), aServer.mValue.size());
  const std::uint64_t own = Rank(aSelf.mValue, seed);
  const auto before = std::count_if(aEntries.begin(), aEntries.end(), [&](const EntryId& aEntry) {
    return aEntry != aSelf && Rank(aEntry.mValue, seed) > own;
  });
  const std::size_t active = std::min(senders, std::max<std::size_t>(1, aEntries.size()));
  constexpr double kMillisPerSecond = 1000;
  const double spacing = kMillisPerSecond * static_cast<double>(active) / aPerSecond;
  return { static_cast<std::size_t>(before) < senders,
           Millis(static_cast<std::int64_t>(std::ceil(spacing))) };
}

ColdLimit
ColdLimitOf(const Pool& aPool, const BackendServerId& aServer)
{
  return LimitWhileCold(aServer, aPool.mEntries, aPool.mSelf, aPool.mColdPerSecond);
}

RegionLoad
NoteRegionLoad(RegionLoad aLoad, const Server& aServer, double aForeign, Instant aNow)
{
  const double part = aForeign / std::max(1U, aServer.mSlots);
  aLoad.mForeignPart += kRegionReportWeight * (part - aLoad.mForeignPart);
  aLoad.mReportedAt = aNow;
  return aLoad;
}

double
UsualForeign(const RegionLoad& aLoad, const Server& aServer, Instant aNow)
{
  const double age = Milliseconds(aNow - aLoad.mReportedAt) / Milliseconds(kRegionLoadDecay);
  return aLoad.mForeignPart * std::max(1U, aServer.mSlots) * std::exp(-age);
}

double
BusyEstimate(const ServerLoad& aLoad, double aUsual, Instant aNow)
{
  const double age = Milliseconds(aNow - aLoad.mReportedAt) / Milliseconds(kReportDecay);
  return aLoad.mOwn + aUsual + (aLoad.mForeign - aUsual) * std::exp(-age);
}

double
SpareEstimate(const Server& aServer, const ServerLoad& aLoad, double aUsual, Instant aNow)
{
  const double slots = std::max(1U, aServer.mSlots);
  return (slots - 1 - BusyEstimate(aLoad, aUsual, aNow)) / slots;
}

Duration
WaitEstimate(const Server& aServer,
             const ServerLoad& aLoad,
             double aUsual,
             const WorkTimes& aTimes,
             Instant aNow)
{
  const double slots = std::max(1U, aServer.mSlots);
  const double ahead = BusyEstimate(aLoad, aUsual, aNow) + 1 - slots;
  // A slot becomes free after half a work time on average when all are taken.
  return ahead <= 0 ? Duration{}
                    : FromMilliseconds(ahead / slots * aTimes.mMeanMs * aLoad.mSlowness);
}

ServerLoad
NoteSent(ServerLoad aLoad, const ColdLimit& aCold, Instant aNow)
{
  ++aLoad.mOwn;
  if (aNow < aLoad.mColdUntil) {
    aLoad.mNextColdSend = aNow + aCold.mSpacing;
  }
  return aLoad;
}

ServerLoad
NoteEnded(ServerLoad aLoad,
          Ending aEnding,
          std::uint64_t aKey,
          const std::optional<LoadReport>& aReport,
          Instant aNow)
{
  aLoad.mOwn -= std::min(aLoad.mOwn, 1U);
  if (aReport) {
    const double busy = aReport->mRunning + aReport->mWaiting;
    aLoad.mForeign = std::max(0.0, busy - aLoad.mOwn);
    aLoad.mReportedAt = aNow;
  }
  if (aEnding == Ending::GivenUp) {
    return aLoad;
  }
  const bool failed = aEnding != Ending::Answered;
  aLoad.mFailed = FailedPart(aLoad, aNow) * (1 - kFailureWeight) + (failed ? kFailureWeight : 0);
  aLoad.mFailedAt = aNow;
  if (aEnding == Ending::Answered) {
    aLoad.mFailures = 0;
    aLoad.mEjections = 0;
    if (aKey != 0) {
      aLoad.mKeys[aKey] = aNow;
    }
    if (aLoad.mKeys.size() > kRememberedKeys) {
      const auto oldest = std::min_element(
        aLoad.mKeys.begin(), aLoad.mKeys.end(), [](const auto& aLeft, const auto& aRight) {
          return aLeft.second < aRight.second;
        });
      aLoad.mKeys.erase(oldest);
    }
  } else if (aEnding == Ending::Failed && ++aLoad.mFailures >= kFailuresToEject) {
    const auto length =
      std::min<Duration>(kLongestEjection, kFirstEjection * (1U << std::min(aLoad.mEjections, 4U)));
    aLoad.mEjectedUntil = aNow + length;
    ++aLoad.mEjections;
    aLoad.mFailures = 0;
  }
  return aLoad;
}

std::vector<BackendServerId>
ServerOrder(const std::vector<Server>& aServers,
            const RegionId& aRegion,
            const DataCentreId& aOwn,
            std::uint64_t aKey)
{
  std::vector<std::tuple<bool, std::uint64_t, BackendServerId>> ranked;
  for (const Server& it : aServers) {
    if (it.mRegion == aRegion) {
      ranked.emplace_back(it.mDataCentre == aOwn, Rank(it.mId.mValue, aKey), it.mId);
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
NoteObject(Pool& aPool, std::uint64_t aKey, Instant aNow)
{
  if (aKey == 0) {
    return;
  }
  aPool.mObjects[aKey] = aNow;
  if (aPool.mObjects.size() > kRememberedKeys * std::max<std::size_t>(1, aPool.mServers.size())) {
    for (auto it = aPool.mObjects.begin(); it != aPool.mObjects.end();) {
      it = aNow >= it->second + kRememberKey ? aPool.mObjects.erase(it) : std::next(it);
    }
  }
}

DataCentreId
PreferredDataCentre(const Pool& aPool, const DataCentreId& aOwn)
{
  const auto servers =
    std::count_if(aPool.mServers.begin(), aPool.mServers.end(), [&](const Server& aServer) {
      return aServer.mDataCentre == aOwn;
    });
  const bool enough =
    servers >= kLeastServersOfDataCentre &&
    aPool.mObjects.size() <= kObjectsPerServer * static_cast<std::size_t>(servers);
  return enough ? aOwn : DataCentreId{};
}

Memory
MemoryOf(const BackendServerId& aServer,
         const ServerLoad& aLoad,
         std::uint64_t aKey,
         const std::optional<BackendServerId>& aFirst,
         Instant aNow)
{
  const auto it = aLoad.mKeys.find(aKey);
  if (aKey != 0 && it != aLoad.mKeys.end() && aNow < it->second + kRememberKey) {
    return Memory::Known;
  }
  return aKey == 0 || aFirst == aServer ? Memory::Unknown : Memory::New;
}

Placement
Place(const Pool& aPool,
      const ServerLoads& aLoads,
      const PlacementRequest& aRequest,
      bool aTrustLeases,
      Instant aNow)
{
  Placement placement;
  std::vector<Scored> scored;
  bool healthy = false;
  const WorkTimes& times = aRequest.mTimes ? *aRequest.mTimes : aPool.mTimes;
  const RegionLoad regionLoad = RegionLoadOf(aPool, aRequest.mRegion);
  const bool hasObject = aRequest.mKey != 0;
  const auto order = ServerOrder(aPool.mServers,
                                 aRequest.mRegion,
                                 PreferredDataCentre(aPool, aRequest.mOwn),
                                 hasObject ? aRequest.mKey : aRequest.mDraw);
  const double orderCost = hasObject ? kOrderCost : kDrawnOrderCost;
  const auto first = order.empty() ? std::nullopt : std::optional(order.front());
  for (const Server& it : aPool.mServers) {
    if (it.mRegion != aRequest.mRegion || aRequest.mTried.count(it.mId) > 0) {
      continue;
    }
    const ServerLoad& load = LoadOf(aLoads, it.mId);
    const std::string why = WhyNot(aPool, it, load, aTrustLeases, aNow);
    if (!why.empty()) {
      placement.mRejected.push_back({ it.mId.mValue, why });
      continue;
    }
    const Memory memory = MemoryOf(it.mId, load, aRequest.mKey, first, aNow);
    const auto place = std::find(order.begin(), order.end(), it.mId) - order.begin();
    const auto behind = static_cast<double>(place);
    const double work = ExpectedWorkMs(times, hasObject, memory);
    const bool ejected = aNow < load.mEjectedUntil;
    healthy = healthy || !ejected;
    const double usual = UsualForeign(regionLoad, it, aNow);
    const double expected = ExpectedMs(it, load, usual, aPool.mTimes, work, aNow);
    const double cost = expected + FailureCostMs(load, times, expected, aNow);
    const double orderMs = behind * behind * orderCost * times.mColdMs;
    // Work at a busy server also holds up the requests that come after it.
    const double pressure = std::clamp(1 - SpareEstimate(it, load, usual, aNow), 0.0, 2.0);
    scored.push_back(
      { &it, cost + orderMs + (work + orderMs) * pressure, expected, memory, ejected });
  }
  const Scored* best = nullptr;
  for (const Scored& it : scored) {
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
  const double usual = UsualForeign(regionLoad, *best->mServer, aNow);
  placement.mBusy = BusyEstimate(load, usual, aNow);
  // Only what the server itself said of late: with the load of its region, callers of a region with
  // few servers were refused there in the first seconds, and the part that ran elsewhere jumped.
  placement.mSpare = SpareEstimate(*best->mServer, load, 0, aNow);
  placement.mWait = WaitEstimate(*best->mServer, load, usual, aPool.mTimes, aNow);
  placement.mMemory = best->mMemory;
  placement.mReason = healthy ? "first-expected-end" : "all-ejected";
  return placement;
}

Duration
CostOfMoving(const WorkTimes& aTimes)
{
  return FromMilliseconds(kMovingPart * std::max(0.0, aTimes.mColdMs - aTimes.mWarmMs));
}

std::optional<Duration>
RegionCost(const Pool& aPool,
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
      const double usual = UsualForeign(regionLoad, it, aNow);
      const double expected = ExpectedMs(it, load, usual, aPool.mTimes, aPool.mTimes.mMeanMs, aNow);
      sum += it.mSlots * (expected + FailureCostMs(load, aPool.mTimes, expected, aNow));
      slots += it.mSlots;
    }
  }
  return slots > 0 ? std::optional(FromMilliseconds(sum / slots)) : std::nullopt;
}

} // namespace fighold::routes
