#include "pools.hpp"

#include "availability_chart.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

/// Extension of a lease that shows a new heartbeat. The end of an unchanged lease moves by less
/// when another control process reports it.
constexpr Millis kMinLeaseExtension{ 200 };

/// Round trip time assumed for another region until a connection to it was opened.
constexpr Millis kInitialRoundTripTime{ 50 };

routes::Server
ToServer(const BackendServerId& aId, const membership::BackendServer& aServer)
{
  return { aId,
           aServer.mIncarnation,
           aServer.mAddress,
           aServer.mRegion,
           aServer.mDataCentre,
           std::max(1U, aServer.mSlots),
           aServer.mConnections };
}

/// Servers that may get new requests. If two have the same address, only the newer one can be
/// running.
std::map<ServiceId, std::vector<routes::Server>>
UsableServers(const membership::Configuration& aConfiguration)
{
  std::map<Endpoint, Incarnation> newest;
  for (const auto& [id, server] : aConfiguration.mBackendServers) {
    Incarnation& it = newest[server.mAddress];
    it = std::max(it, server.mIncarnation);
  }
  std::map<ServiceId, std::vector<routes::Server>> servers;
  for (const auto& [id, server] : aConfiguration.mBackendServers) {
    if (!IsDrained(aConfiguration, id) && !IsDrained(aConfiguration, server.mDataCentre) &&
        !HasDeparted(aConfiguration, id, server.mIncarnation) &&
        newest.at(server.mAddress) == server.mIncarnation) {
      servers[server.mService].push_back(ToServer(id, server));
    }
  }
  return servers;
}

routes::SharingEntries
EntriesOf(const membership::Configuration& aConfiguration, const EntryId& aThisEntry)
{
  routes::SharingEntries entries;
  for (const auto& [id, entry] : aConfiguration.mEntries) {
    entries.mAll.push_back(id);
    entries.mByRegion[entry.mRegion].push_back(id);
  }
  entries.mThis = aThisEntry;
  return entries;
}

const routes::ServiceSettings&
SettingsOf(const membership::Configuration& aConfiguration, const ServiceId& aId)
{
  static const routes::ServiceSettings kDefault;
  const auto it = aConfiguration.mRoutes->mServices.find(aId);
  return it == aConfiguration.mRoutes->mServices.end() ? kDefault : it->second;
}

/// Marks the servers of a data centre as cold when its drain ends, because they may have become
/// cold during the drain. They count as cold until they report otherwise.
void
MarkColdAfterDrain(State& aState, const membership::Configuration& aPrevious, Instant aNow)
{
  for (const auto& [id, server] : aState.mConfiguration->mBackendServers) {
    if (IsDrained(aPrevious, server.mDataCentre) &&
        !IsDrained(*aState.mConfiguration, server.mDataCentre)) {
      const auto& settings = SettingsOf(*aState.mConfiguration, server.mService);
      Instant& coldUntil = aState.mServerLoads[id].mColdUntil;
      coldUntil = std::max(coldUntil, aNow + settings.mWarmUp);
    }
  }
}

/// Drops the loads of removed servers and resets those of restarted ones: what is known about one
/// incarnation does not apply to the next.
void
ResetStaleLoads(State& aState)
{
  const auto& servers = aState.mConfiguration->mBackendServers;
  for (auto it = aState.mServerLoads.begin(); it != aState.mServerLoads.end();) {
    const auto server = servers.find(it->first);
    if (server == servers.end()) {
      it = aState.mServerLoads.erase(it);
      continue;
    }
    if (server->second.mIncarnation != it->second.mIncarnation) {
      const Instant coldUntil = it->second.mIncarnation == 0 ? it->second.mColdUntil : Instant{};
      it->second = routes::ServerLoad{};
      it->second.mIncarnation = server->second.mIncarnation;
      it->second.mColdUntil = coldUntil;
    }
    ++it;
  }
}

std::map<RegionId, double>
SlotsByRegion(const routes::ServerPool& aPool)
{
  std::map<RegionId, double> slots;
  for (const routes::Server& it : aPool.mServers) {
    slots[it.mRegion] += it.mSlots;
  }
  return slots;
}

/// @return regions with a server that may run the request
std::set<RegionId>
UsableRegions(const State& aState,
              const routes::ServerPool& aPool,
              const Forward& aForward,
              Instant aNow)
{
  std::set<RegionId> regions;
  const auto& allowed = aForward.mRoute->mAllowedRegions;
  const bool trustLeases = TrustsLeases(aState, aNow);
  for (const routes::Server& it : aPool.mServers) {
    if (regions.count(it.mRegion) > 0) {
      continue;
    }
    const auto load = aState.mServerLoads.find(it.mId);
    const bool alive =
      !trustLeases || (load != aState.mServerLoads.end() && aNow < load->second.mAliveUntil);
    if (alive && aForward.mTried.count(it.mId) == 0 &&
        (allowed.empty() || allowed.count(it.mRegion) > 0)) {
      regions.insert(it.mRegion);
    }
  }
  return regions;
}

} // namespace

void
ApplyRoutes(State& aState,
            const membership::Configuration& aPrevious,
            std::vector<Effect>& aEffects,
            Instant aNow)
{
  const membership::Configuration& current = *aState.mConfiguration;
  if (current.mRoutes->mNumber != aState.mRoutes.mSet->mNumber) {
    aState.mRoutes = routes::BuildRouteTable(current.mRoutes);
    aEffects.emplace_back(SetCallerLimits{ current.mRoutes->mLimits });
    DecisionRecord record{ "routes", aState.mOptions.mId.mValue, "", "", "taken-into-use", {} };
    record.mChoice = "routes-" + std::to_string(current.mRoutes->mNumber);
    aEffects.emplace_back(LogRecord{ std::move(record) });
  }
  ResetStaleLoads(aState);
  MarkColdAfterDrain(aState, aPrevious, aNow);
  const auto entries = EntriesOf(current, aState.mOptions.mId);
  auto servers = UsableServers(current);
  for (const auto& [service, pool] : aState.mPools) {
    servers.try_emplace(service);
  }
  for (auto& [service, list] : servers) {
    ServicePool& pool = aState.mPools[service];
    pool.mPool.mServers = std::move(list);
    pool.mPool.mEntries = entries;
    pool.mPool.mCold = aState.mOptions.mCold;
    pool.mPool.mCold.mPerSecond = SettingsOf(current, service).mWarmUpPerSecond;
    for (auto it = pool.mRouteProcessingTimes.begin(); it != pool.mRouteProcessingTimes.end();) {
      it = current.mRoutes->mRoutes.count(it->first) > 0 ? std::next(it)
                                                         : pool.mRouteProcessingTimes.erase(it);
    }
    for (const routes::Server& it : pool.mPool.mServers) {
      routes::ServerLoad& load = aState.mServerLoads[it.mId];
      load.mIncarnation = it.mIncarnation;
      if (load.mReportedAt == Instant{}) {
        load.mReportedAt = aNow; // a new server has no requests of other callers yet
      }
    }
    // Servers become known one after another. Until the first request, the split follows the slots
    // that are known, so that it starts where it will stay.
    if (pool.mSplit.mWeights.empty() || pool.mArrivals == 0) {
      pool.mSplit.mWeights =
        routes::InitialWeights(SlotsByRegion(pool.mPool), aState.mOptions.mEntry.mRegion);
    }
  }
  ApplyAvailabilities(aState);
}

void
ApplyServerLease(State& aState,
                 const membership::BackendLease& aLease,
                 Instant aLeaseEnd,
                 Instant aNow)
{
  const auto it = aState.mServerLoads.find(aLease.mId);
  if (it == aState.mServerLoads.end() || it->second.mIncarnation != aLease.mIncarnation) {
    return;
  }
  if (aLeaseEnd > it->second.mAliveUntil + kMinLeaseExtension &&
      aNow >= aState.mHeartbeatsReliableFrom) {
    it->second.mHeartbeatAt = aNow;
  }
  it->second.mAliveUntil = std::max(it->second.mAliveUntil, aLeaseEnd);
  if (aLease.mCold > Millis(0)) {
    it->second.mColdUntil = std::max(it->second.mColdUntil, aNow + aLease.mCold);
  }
}

bool
TrustsLeases(const State& aState, Instant aNow)
{
  return aNow < aState.mLastGrant + membership::kConfigurationLease;
}

Duration
RoundTripTime(const State& aState, const RegionId& aRegion)
{
  const auto it = aState.mRoundTrips.find(aRegion);
  if (it != aState.mRoundTrips.end()) {
    return it->second;
  }
  return aRegion == aState.mOptions.mEntry.mRegion ? Duration{} : Duration(kInitialRoundTripTime);
}

std::uint32_t
ConnectionShare(const State& aState, const ServiceId& aService)
{
  const auto it = aState.mRoutes.mSet->mServices.find(aService);
  const std::uint32_t maxConnections =
    it == aState.mRoutes.mSet->mServices.end() ? 0 : it->second.mMaxConnections;
  const auto entries =
    static_cast<std::uint32_t>(std::max<std::size_t>(1, aState.mConfiguration->mEntries.size()));
  return maxConnections == 0 ? std::numeric_limits<std::uint32_t>::max()
                             : std::max(1U, maxConnections / entries);
}

routes::ProcessingTimes&
RouteProcessingTimes(ServicePool& aPool, const std::string& aRoute)
{
  return aPool.mRouteProcessingTimes
    .try_emplace(aRoute, routes::WithoutSamples(aPool.mPool.mProcessingTimes))
    .first->second;
}

routes::Placement
ChoosePlacement(State& aState, const Forward& aForward, Instant aNow)
{
  const auto pool = aState.mPools.find(aForward.mService);
  if (pool == aState.mPools.end()) {
    routes::Placement none;
    none.mReason = "service-without-servers";
    return none;
  }
  const routes::ProcessingTimes& times = RouteProcessingTimes(pool->second, aForward.mRoute->mName);
  const bool trustLeases = TrustsLeases(aState, aNow);
  auto usable = UsableRegions(aState, pool->second.mPool, aForward, aNow);
  routes::Placement placement;
  placement.mReason = "no-usable-server";
  // If all servers of a region are excluded, for example because they are cold, the other regions
  // are tried.
  while (!usable.empty() && !placement.mServer) {
    const auto region = routes::NextRegion(
      pool->second.mSplit, usable, aState.mOptions.mEntry.mRegion, aForward.mObjectKey);
    const auto nextTurn = placement.mNextTurn;
    placement = routes::ChooseServer(pool->second.mPool,
                                     aState.mServerLoads,
                                     { aForward.mObjectKey,
                                       aForward.mObjectKey == 0 ? NextRandom(aState) : 0,
                                       aForward.mTried,
                                       *region,
                                       aState.mOptions.mEntry.mDataCentre,
                                       times },
                                     trustLeases,
                                     aNow);
    if (nextTurn) {
      placement.mNextTurn = std::min(*nextTurn, placement.mNextTurn.value_or(*nextTurn));
    }
    if (placement.mWanted) {
      aState.mServerLoads[*placement.mWanted].mLastWanted = aNow;
      aState.mNextProbes = std::min(aState.mNextProbes, aNow);
    }
    usable.erase(*region);
  }
  placement.mProcessingTimeKnown = routes::IsProcessingTimeKnown(times, aNow);
  return placement;
}

std::optional<Duration>
TimeUntilResumed(const State& aState, const Forward& aForward, Instant aNow)
{
  const auto pool = aState.mPools.find(aForward.mService);
  if (pool == aState.mPools.end()) {
    return std::nullopt;
  }
  const auto& allowed = aForward.mRoute->mAllowedRegions;
  std::optional<Duration> shortest;
  for (const routes::Server& it : pool->second.mPool.mServers) {
    const auto known = aState.mServerLoads.find(it.mId);
    if (known == aState.mServerLoads.end() ||
        (!allowed.empty() && allowed.count(it.mRegion) == 0)) {
      continue;
    }
    const Availability& availability = known->second.mAvailability;
    if (IsPaused(availability, aNow)) {
      const Duration rest = availability.mPausedUntil - aNow;
      shortest = std::min(rest, shortest.value_or(rest));
    } else if (availability.mState != AvailabilityState::Leaving) {
      return std::nullopt;
    }
  }
  return shortest;
}

void
AdjustSplits(State& aState, Instant aNow)
{
  const bool trustLeases = TrustsLeases(aState, aNow);
  for (auto& [service, pool] : aState.mPools) {
    // Without requests all regions look idle, so that the split would drift to the local one, which
    // may have too little room once the requests come.
    if (aNow < pool.mSplit.mNextAdjustment || pool.mArrivals == pool.mAdjustedArrivals) {
      continue;
    }
    pool.mAdjustedArrivals = pool.mArrivals;
    std::map<RegionId, Duration> costs;
    for (const auto& [region, slots] : SlotsByRegion(pool.mPool)) {
      const auto cost =
        routes::RegionCost(pool.mPool, aState.mServerLoads, region, trustLeases, aNow);
      if (cost) {
        costs[region] = *cost + RoundTripTime(aState, region);
        if (region != aState.mOptions.mEntry.mRegion) {
          costs[region] += routes::RegionMovePenalty(pool.mPool.mProcessingTimes);
        }
      }
    }
    routes::AdjustSplit(pool.mSplit, costs, aNow);
  }
}

} // namespace fighold::entry
