#pragma once

#include "fighold/chart/bound_chart.hpp"
#include "fighold/claims/client.hpp"
#include "fighold/core/availability.hpp"
#include "fighold/entry/event.hpp"
#include "fighold/membership/lease.hpp"
#include "fighold/plan/client_table.hpp"
#include "fighold/routes/placement.hpp"
#include "fighold/routes/region_split.hpp"
#include "fighold/routes/retry_budget.hpp"
#include "fighold/routes/route_table.hpp"
#include "fighold/routing/queue.hpp"
#include "fighold/routing/route.hpp"
#include "fighold/routing/share.hpp"

#include <cstdint>
#include <filesystem>
#include <map>
#include <set>
#include <vector>

/// State of the entry's decisions, owned by the decide thread.
namespace fighold::entry {

/// States of charts/request.scxml, in the order of RequestRegistry().
enum class RequestState : std::uint8_t
{
  Received,
  Claiming,
  Queued,
  Dispatched,
  Answered,
  NotRun,
  Unknown,
};

/// States of charts/entry.scxml, in the order of StageRegistry().
enum class EntryStage : std::uint8_t
{
  Starting,
  Serving,
  Unleased,
  Draining,
  Stopped,
  Ended,
};

/// States of charts/forward.scxml, in the order of ForwardRegistry().
enum class ForwardState : std::uint8_t
{
  Received,
  Dispatched,
  Answered,
  NotRun,
  Unknown,
};

/// Settings of the decision logic.
struct Options
{
  EntryId mId;
  membership::Entry mEntry;
  std::vector<ControlId> mControls; ///< control processes, the preferred one first
  Millis mLookupTimeToLive{ 5000 };
  Millis mLongestDrain{ 60'000 }; ///< maximum duration of the drain of a planned stop
  bool mServeUnleased = false;    ///< forward requests also without a lease
  double mRetryRatio = 0.1;       ///< maximum retries per request, over all entries
  double mRetrySlack = 20;        ///< retries allowed beyond that per window, over all entries
  routes::ColdLimits mCold{ 0, 1.5, 5, Millis(1500) }; ///< the rate is that of the service
  std::size_t mMaxInFlight = 2048; ///< equals the capacity of Channels::mDispatches
  std::uint64_t mSeed = 1;         ///< seed of NextRandom()
};

/// A CallerRequest that was not answered yet.
struct InFlightRequest
{
  CallerRequest mRequest;
  RequestState mState = RequestState::Received;
  RegionId mOrigin;
  Instant mArrived{};
  Instant mDeadline{};
  std::set<BackendServerId> mTried;
  std::uint32_t mDispatchCount = 0;
  bool mMayHaveRun = false; ///< a dispatch failed after bytes may have been sent
  std::uint64_t mDispatchId = 0;
  BackendServerId mServerId;
  Instant mDispatchedAt{};
  std::optional<routing::ShareRequest> mShare; ///< shares held by the current dispatch
  Instant mClaimExpiry = Instant::max();       ///< max() for a request that needs no claim
};

/// A ForwardRequest that was not answered yet.
struct Forward
{
  ForwardRequest mRequest;
  ForwardState mState = ForwardState::Received;
  SharedValue<routes::Route> mRoute;
  ServiceId mService;
  std::uint64_t mObjectKey = 0; ///< hash of the affinity key; 0: none
  Instant mArrived{};
  Duration mPriorWait{}; ///< estimated time that the caller spent in earlier attempts
  Instant mDeadline{};   ///< the caller's deadline or the route's timeout, if earlier
  std::set<BackendServerId> mTried;
  std::uint32_t mDispatchCount = 0;       ///< number of dispatches, including unsent ones
  std::uint32_t mUnsentDispatchCount = 0; ///< dispatches of which no byte was sent
  bool mMayHaveRun = false;               ///< a dispatch failed after bytes may have been sent
  std::uint64_t mDispatchId = 0;
  routes::Server mServer; ///< of the last dispatch
  routes::CacheState mCacheState =
    routes::CacheState::Unknown; ///< whether mServer had the object cached when it was chosen
  Instant mDispatchedAt{};
};

/// A health request that was not answered yet.
struct Probe
{
  ServiceId mService;
  routes::Server mServer;
  Instant mSentAt{};
  std::uint64_t mDispatches = 0; ///< requests sent to the server until then

  friend auto operator<=>(const Probe&, const Probe&) = default;
};

/// Backend servers of a service of the route set, and the split of its requests between regions.
struct ServicePool
{
  routes::ServerPool mPool;
  std::map<std::string, routes::ProcessingTimes> mRouteProcessingTimes; ///< by route
  routes::RegionSplit mSplit;
  std::uint64_t mArrivals = 0;         ///< requests for the service at this entry
  std::uint64_t mAdjustedArrivals = 0; ///< mArrivals at the last adjustment of mSplit
  routes::RetryBudget mRetryBudget;
};

/// A change that a backend server's call requires, resent until the control group has decided it.
struct PendingChange
{
  std::vector<RequestId> mWaitingCalls; ///< calls to answer with the outcome
  membership::Change mChange;
  Instant mDeadline{};
};

/// The renewal that may be answered with a whole configuration, if one is under way.
struct WholeRequest
{
  std::uint64_t mRequestNumber = 0;
  Instant mSentAt{};

  friend auto operator<=>(const WholeRequest&, const WholeRequest&) = default;
};

struct RequestScope;
struct ForwardScope;
struct StageScope;
struct AvailabilityScope;

/// Charts bound to their guards and actions; shared by all requests.
struct Charts
{
  chart::BoundChart<RequestScope> mRequest;
  chart::BoundChart<StageScope> mStage;
  chart::BoundChart<ForwardScope> mForward;
  chart::BoundChart<AvailabilityScope> mAvailability;
};

/// State of an entry.
struct State
{
  Options mOptions;
  Charts mCharts;
  SharedValue<membership::Configuration> mConfiguration;
  routing::RoutingTable mTable;
  plan::ClientTable mClients; ///< regions of client addresses, from the current plan
  membership::Lease mLease;
  EntryStage mStage = EntryStage::Starting;
  Instant mDrainStarted{};
  StopBudget mStop; ///< without limits until a planned stop begins
  std::map<RequestId, InFlightRequest> mInFlight;
  routes::RouteTable mRoutes;
  std::map<std::string, routes::WeightedRoundRobin> mRouteRoundRobins; ///< by route
  std::map<std::string, Millis>
    mLongestCallerDeadlines; ///< by route; basis for Forward::mPriorWait
  std::map<RequestId, Forward> mForwards;
  std::set<RequestId> mGoneBeforeArrival; ///< callers that left while their requests waited
  RequestId mLastArrival = 0;             ///< requests arrive in the order of their identifiers
  std::map<ServiceId, ServicePool> mPools;
  routes::ServerLoads mServerLoads;
  std::map<ServerKey, Availability> mAvailabilities; ///< of servers that said something of it
  std::map<RegionId, Duration> mRoundTrips;          ///< shortest connect time, by region
  std::uint64_t mNextDispatchId = 1;
  std::map<std::uint64_t, Probe> mProbes; ///< by dispatch
  Instant mNextProbes = Instant::max();   ///< next time at which a health request may be due
  routing::ServerStates mServers;
  std::map<BackendServerId, Incarnation> mDeparted; ///< at this entry, not yet in the configuration
  std::map<BackendServerId, std::pair<membership::BackendReport, Instant>>
    mReports; ///< load reports for the next renewal, with arrival times
  std::map<std::uint64_t, PendingChange> mPendingChanges;
  std::uint64_t mNextRequestNumber = 1;
  std::map<std::uint64_t, Instant> mRenewalsSent; ///< send times, by request number
  std::optional<WholeRequest> mWholeRequest;
  Instant mNextRenew{};
  Instant mLastRenewal{};
  Instant mLastGrant{};
  Instant mHeartbeatsReliableFrom{}; ///< a heartbeat before that does not show a server to be warm
  std::size_t mControlIndex = 0;     ///< index of the control process in use
  bool mChoosingControl = true; ///< the next process that grants a lease becomes the one in use
  std::uint64_t mTimestamp = 0; ///< last one from mTimestampFrom; a renewal returns it
  ControlId mTimestampFrom;
  Instant mTimestampReceivedAt{};
  std::uint64_t mRandom = 1;
  claims::Client mClaimClient;
  routing::ShareState mShares;
  std::map<std::uint64_t, Instant> mShareReportsSent; ///< send times, by request number
  Instant mLastShareReport{};                         ///< when the last report was sent
  routing::Queue mQueue;
};

/// Loads the charts of an entry.
/// @param aFolder directory of the chart files
/// @throws FindingsError listing all errors found in the charts
Charts
LoadCharts(const std::filesystem::path& aFolder);

/// @param aOptions settings
/// @param aCharts bound charts
/// @return initial state
State
MakeState(Options aOptions, Charts aCharts);

/// @return keys of a map, in their order, for loops that change the map
template<typename Map>
std::vector<typename Map::key_type>
KeysOf(const Map& aMap)
{
  std::vector<typename Map::key_type> keys;
  keys.reserve(aMap.size());
  for (const auto& [key, value] : aMap) {
    keys.push_back(key);
  }
  return keys;
}

/// @return next number of the state's SplitMix64 generator
std::uint64_t
NextRandom(State& aState);

} // namespace fighold::entry
