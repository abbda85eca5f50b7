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

/// State that the entry's decide thread owns.
namespace fighold::entry {

/// States of charts/request.scxml, in the order of its registry.
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

/// States of charts/entry.scxml, in the order of its registry.
enum class EntryStage : std::uint8_t
{
  Starting,
  Serving,
  Unleased,
  Draining,
  Stopped,
};

/// States of charts/forward.scxml, in the order of its registry.
enum class ForwardState : std::uint8_t
{
  Received,
  Dispatched,
  Answered,
  NotRun,
  Unknown,
};

/// Settings of the decisions.
struct Options
{
  EntryId mId;
  membership::Entry mEntry;
  std::vector<ControlId> mControls; ///< control processes, the preferred one first
  Millis mLookupTimeToLive{ 5000 };
  Millis mLongestDrain{ 60'000 };  ///< after that a planned stop no longer waits for quiet
  bool mServeUnleased = false;     ///< requests of the route set are served on without a lease
  double mRetryRatio = 0.1;        ///< second dispatches in one request, of all entries together
  double mRetrySlack = 20;         ///< second dispatches beyond that in the window, of all entries
  std::size_t mMaxInFlight = 2048; ///< equals the capacity of the ring of dispatches
  std::uint64_t mSeed = 1;         ///< of the random choices
};

/// A request in flight.
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
  std::optional<routing::ShareRequest> mShare; ///< shares that the running dispatch uses
  Instant mClaimExpiry = Instant::max();       ///< end of the claim, for a request that needs one
};

/// A request of the route set in flight.
struct Forward
{
  ForwardRequest mRequest;
  ForwardState mState = ForwardState::Received;
  SharedValue<routes::Route> mRoute;
  ServiceId mService;
  std::uint64_t mObjectKey = 0; ///< hash of the affinity key; 0: none
  Instant mArrived{};
  Duration mPriorWait{}; ///< since the caller first asked, before this attempt
  Instant mDeadline{};   ///< end of the caller's wait or of the route's time, whichever is first
  std::set<BackendServerId> mTried;
  std::uint32_t mDispatches = 0;       ///< dispatches, the unsent ones included
  std::uint32_t mUnsentDispatches = 0; ///< dispatches of which nothing was sent
  bool mMayHaveRun = false;            ///< a dispatch was lost after bytes may have left
  std::uint64_t mDispatchId = 0;
  routes::Server mServer; ///< of the last dispatch
  routes::CacheState mCacheState =
    routes::CacheState::Unknown; ///< whether that server remembered the object
  Instant mDispatchedAt{};
};

/// Backend servers of a service of the route set, and how its requests are divided.
struct ServicePool
{
  routes::ServerPool mPool;
  std::map<std::string, routes::ProcessingTimes> mRouteProcessingTimes; ///< by route
  routes::RegionSplit mSplit;
  routes::RetryBudget mRetryBudget;
};

/// A change asked of the control group on behalf of a backend server.
struct PendingChange
{
  std::vector<RequestId> mReplyTo; ///< calls that wait for it
  membership::Change mChange;
  Instant mUntil{};
};

struct RequestScope;
struct ForwardScope;
struct StageScope;

/// Bound charts; shared by all requests.
struct Charts
{
  chart::BoundChart<RequestScope> mRequest;
  chart::BoundChart<StageScope> mStage;
  chart::BoundChart<ForwardScope> mForward;
};

/// The whole state.
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
  std::map<std::string, Millis> mLongestWaits; ///< longest wait that a caller stated, by route
  std::map<RequestId, Forward> mForwards;
  std::map<ServiceId, ServicePool> mPools;
  routes::ServerLoads mServerLoads;
  std::map<RegionId, Duration> mRoundTrips; ///< least time to open a connection to a region
  std::uint64_t mNextDispatchId = 1;
  routing::ServerStates mServers;
  std::map<BackendServerId, Incarnation> mDeparted; ///< announced their departure here
  std::map<BackendServerId, std::pair<membership::BackendReport, Instant>>
    mReports; ///< since the last renewal
  std::map<std::uint64_t, PendingChange> mPendingChanges;
  std::uint64_t mNextRequestNumber = 1;
  std::map<std::uint64_t, Instant> mRenewalsSent; ///< renewals sent, by number
  Instant mNextRenew{};
  Instant mLastGrant{};
  std::size_t mControlIndex = 0; ///< index of the control process in use
  bool mChoosingControl = true;  ///< the next one that grants is used
  std::uint64_t mTimestamp = 0;  ///< last one received
  ControlId mTimestampFrom;
  Instant mTimestampReceivedAt{};
  std::uint64_t mRandom = 1;
  claims::Client mClaimClient;
  routing::ShareState mShares;
  std::map<std::uint64_t, Instant> mShareReportsSent; ///< reports sent, by number
  Instant mLastShareReport{};                         ///< last report
  routing::Queue mQueue;
};

/// Loads the charts of an entry.
/// @param aFolder folder of the chart files
/// @throws FindingsError with every finding
Charts
LoadCharts(const std::filesystem::path& aFolder);

/// @param aOptions settings
/// @param aCharts bound charts
/// @return state at start
State
MakeState(Options aOptions, Charts aCharts);

/// @return next random number of the state's sequence (SplitMix64)
std::uint64_t
NextRandom(State& aState);

} // namespace fighold::entry
