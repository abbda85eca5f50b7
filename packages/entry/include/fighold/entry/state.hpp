#pragma once

#include "fighold/chart/bound_chart.hpp"
#include "fighold/claims/client.hpp"
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
  Millis mLongestDrain{ 60'000 };  ///< maximum wait of a planned stop for requests in flight
  bool mServeUnleased = false;     ///< keep serving the route set without a lease
  double mRetryRatio = 0.1;        ///< retries per request, over all entries
  double mRetrySlack = 20;         ///< further retries per window, over all entries
  std::size_t mMaxInFlight = 2048; ///< equals the capacity of Channels::mDispatches
  std::uint64_t mSeed = 1;         ///< seed of NextRandom()
};

/// A CallerRequest in flight.
struct InFlightRequest
{
  CallerRequest mRequest;
  RequestState mState = RequestState::Received;
  RegionId mOrigin;
  Instant mArrived{};
  Instant mDeadline{};
  std::set<BackendServerId> mTried;
  std::uint32_t mDispatches = 0;
  std::uint64_t mDispatchId = 0;
  BackendServerId mServer;
  Instant mDispatchedAt{};
  std::optional<routing::ShareRequest> mShare; ///< shares held by the current dispatch
  Instant mClaimExpiry = Instant::max();       ///< max() for a request that needs no claim
};

/// A ForwardRequest in flight.
struct Forward
{
  ForwardRequest mRequest;
  ForwardState mState = ForwardState::Received;
  SharedValue<routes::Route> mRoute;
  ServiceId mService;
  std::uint64_t mObjectKey = 0; ///< hash of the affinity key; 0: none
  Instant mArrived{};
  Duration mPriorWait{}; ///< estimated time spent in the caller's earlier attempts
  Instant mDeadline{};   ///< earlier of the caller's deadline and the route's timeout
  std::set<BackendServerId> mTried;
  std::uint32_t mDispatches = 0;       ///< includes unsent ones
  std::uint32_t mUnsentDispatches = 0; ///< no byte of the request was sent
  bool mMayHaveRun = false;            ///< a dispatch failed after bytes may have been sent
  std::uint64_t mDispatchId = 0;
  routes::Server mServer; ///< of the last dispatch
  routes::CacheState mCacheState =
    routes::CacheState::Unknown; ///< whether mServer had the object cached
  Instant mDispatchedAt{};
};

/// Backend servers of a service of the route set, and how its requests are split between regions.
struct ServicePool
{
  routes::ServerPool mPool;
  std::map<std::string, routes::ProcessingTimes> mRouteProcessingTimes; ///< by route
  routes::RegionSplit mSplit;
  routes::RetryBudget mRetryBudget;
};

/// A change requested from the control group on behalf of a backend server.
struct PendingChange
{
  std::vector<RequestId> mReplyTo; ///< calls waiting for the outcome
  membership::Change mChange;
  Instant mDeadline{};
};

struct RequestScope;
struct ForwardScope;
struct StageScope;

/// Charts bound to their guards and actions; shared by all requests.
struct Charts
{
  chart::BoundChart<RequestScope> mRequest;
  chart::BoundChart<StageScope> mStage;
  chart::BoundChart<ForwardScope> mForward;
};

/// State of an entry.
struct State
{
  Options mOptions;
  Charts mCharts;
  SharedValue<membership::Configuration> mConfiguration;
  routing::RoutingTable mTable;
  plan::ClientTable mClients; ///< client blocks of the plan in use
  membership::Lease mLease;
  EntryStage mStage = EntryStage::Starting;
  Instant mDrainStarted{};
  std::map<RequestId, InFlightRequest> mInFlight;
  routes::RouteTable mRoutes;
  std::map<std::string, routes::WeightedRoundRobin> mRouteRoundRobins; ///< by route
  std::map<std::string, Millis> mLongestWaits; ///< longest deadline set by a caller, by route
  std::map<RequestId, Forward> mForwards;
  std::map<ServiceId, ServicePool> mPools;
  routes::ServerLoads mServerLoads;
  std::map<RegionId, Duration> mRoundTrips; ///< shortest time to open a connection to a region
  std::uint64_t mNextDispatchId = 1;
  routing::ServerStates mServers;
  std::map<BackendServerId, Incarnation> mDeparted; ///< deregistered at this entry
  std::map<BackendServerId, std::pair<membership::BackendReport, Instant>>
    mReports; ///< received since the last renewal
  std::map<std::uint64_t, PendingChange> mPendingChanges;
  std::uint64_t mNextRequestNumber = 1;
  std::map<std::uint64_t, Instant> mRenewalsSent; ///< send times, by request number
  Instant mNextRenew{};
  Instant mLastGrant{};
  std::size_t mControlIndex = 0; ///< index of the control process in use
  bool mChoosingControl = true;  ///< the next process to grant a lease becomes the one in use
  std::uint64_t mTimestamp = 0;  ///< last one received
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

/// @return next number of the state's SplitMix64 generator
std::uint64_t
NextRandom(State& aState);

} // namespace fighold::entry
