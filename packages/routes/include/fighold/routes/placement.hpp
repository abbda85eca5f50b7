#pragma once

#include "fighold/core/decision_record.hpp"
#include "fighold/core/endpoint.hpp"
#include "fighold/core/id.hpp"
#include "fighold/core/time.hpp"
#include "fighold/routes/processing_times.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Which backend server gets a request, from what one entry knows of the servers of a service.
namespace fighold::routes {

/// Age at which a load report has lost two thirds of its weight. Requests take about this long, so
/// that an older report says little about those that run now.
constexpr Millis kLoadReportTimeConstant{ 1000 };

/// Weight of the newest report in the decayed load of a region's servers: ten reports count.
constexpr double kRegionLoadEwmaWeight = 0.1;

/// Age at which the load of a region has lost two thirds of its weight. An entry that refuses
/// everything hears of no load, and must not go on for long with the last one.
constexpr Millis kRegionLoadTimeConstant{ 3000 };

/// Failures in a row after which a server is left alone, and for how long: twice as long each time.
constexpr std::uint32_t kConsecutiveFailuresToEject = 2;
constexpr Millis kBaseEjectionTime{ 1000 };
constexpr Millis kMaxEjectionTime{ 16'000 };

/// Weight of the newest request in the decayed part of failed requests.
constexpr double kFailureRateEwmaWeight = 0.2;

/// Time in which the decayed part of failures halves without further requests.
constexpr Millis kFailureRateHalfLife{ 3000 };

/// What a request that fails costs, as a multiple of work on a new object: it runs at another
/// server, which does not know its object, and takes one of the few second dispatches.
constexpr double kFailureCostFactor = 2;

/// Objects that a server is taken to remember, and for how long.
constexpr std::size_t kAssumedCacheCapacity = 24;
constexpr std::chrono::seconds kAssumedCacheTtl{ 30 };

/// Part of the work time by which a server seems costlier, times the square of its place in the
/// order of an object's servers: the next one may help out, and the rest do not learn objects that
/// they would soon forget. With a cost that grows evenly, an object of a service with 25 servers in
/// each data centre was worked on at three of them on average, each time as a new one at first.
constexpr double kRankPenalty = 0.05;

/// The same for a request without an object, whose order is drawn: it decides between servers that
/// are as busy, and leaves those of other data centres for later.
constexpr double kRandomRankPenalty = 0.005;

/// Part of the additional work on new objects that counts against moving requests to another
/// region.
constexpr double kRegionMovePenaltyFactor = 0.5;

/// Objects for each server of a data centre up to which the data centre's servers are enough for
/// all of them; with more, servers forget, and the objects are spread over the region.
constexpr std::size_t kMaxObjectsPerServer = 18;

/// Servers that a data centre must have for its objects to stay there. With one alone every request
/// that it has no slot for meets a server that is new to it.
constexpr std::ptrdiff_t kMinServersPerDataCentre = 2;

/// A backend server as the configuration names it.
struct Server
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;
  Endpoint mAddress;
  RegionId mRegion;
  DataCentreId mDataCentre;
  std::uint32_t mSlots = 1;       ///< requests that it runs at once
  std::uint32_t mConnections = 0; ///< that it accepts from all callers; 0: not limited

  friend auto operator<=>(const Server&, const Server&) = default;
};

/// What a backend server says of its load in an answer.
struct LoadReport
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;

  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

/// What an entry knows of one incarnation of a backend server.
struct ServerLoad
{
  Incarnation mIncarnation = 0;
  std::uint32_t mOwnRequests = 0; ///< requests of this entry that run or wait there
  double mOtherRequests = 0;      ///< requests of others when it last reported
  Instant mReportedAt{};
  double mFailureRate = 0; ///< decayed part of requests that failed or were turned away
  Instant mFailureRateAt{};
  std::uint32_t mConsecutiveFailures = 0; ///< in a row
  std::uint32_t mConsecutiveEjections = 0;
  Instant mEjectedUntil{};
  Instant mAliveUntil{};
  Instant mColdUntil{};
  Instant mNextColdDispatch{};
  double mSlowness = 1; ///< decayed ratio of its work times to those of the service
  std::map<std::uint64_t, Instant> mCachedObjects; ///< objects that it handled for this entry

  friend bool operator==(const ServerLoad&, const ServerLoad&) = default;
};

/// How a request ended, as far as it says something about the server.
enum class DispatchOutcome : std::uint8_t
{
  Answered,
  Refused,   ///< the server said that it did not run the request
  Failed,    ///< no connection, no answer, or one that cannot be used
  Abandoned, ///< cancelled: nothing is known
};

/// Limit on what a cold server gets from one entry.
struct ColdLimit
{
  bool mIsSender = true;    ///< this entry is one of those that send to the server while it is cold
  Millis mMinInterval{ 0 }; ///< time between two requests

  friend auto operator<=>(const ColdLimit&, const ColdLimit&) = default;
};

/// Divides the rate that a cold server bears between entries: as many entries as requests a second
/// send at all, so that they can't exceed it together in any second, whatever each one knows.
/// @param aServer server
/// @param aEntries all entries
/// @param aSelf this entry
/// @param aPerSecond rate that the server bears; 0: not limited
ColdLimit
ComputeColdLimit(const BackendServerId& aServer,
                 const std::vector<EntryId>& aEntries,
                 const EntryId& aSelf,
                 double aPerSecond);

/// What the servers of a region say of their load.
struct RegionLoad
{
  double mOtherRequestsPerSlot =
    0; ///< requests of others for each slot, decayed mean of the reports
  Instant mReportedAt{};

  friend auto operator<=>(const RegionLoad&, const RegionLoad&) = default;
};

/// @return load of a region after a report of one of its servers
/// @param aOtherRequests requests of others at that server
RegionLoad
UpdateRegionLoad(RegionLoad aLoad, const Server& aServer, double aOtherRequests, Instant aNow);

/// @return requests of others that a server of the region has when it has not reported of late
double
ExpectedOtherRequests(const RegionLoad& aLoad, const Server& aServer, Instant aNow);

/// @param aExpectedOthers requests of others at a server without a recent report. With many entries
/// each server's reports are rare, and an old one must not make a busy server seem idle.
/// @return requests that run or wait at the server now, as far as known
double
EstimateInFlight(const ServerLoad& aLoad, double aExpectedOthers, Instant aNow);

/// @return part of the server's slots that is free once a new request runs, below 0 when it waits
double
EstimateFreeShare(const Server& aServer,
                  const ServerLoad& aLoad,
                  double aExpectedOthers,
                  Instant aNow);

/// @return time that a new request would wait for a slot
Duration
EstimateWait(const Server& aServer,
             const ServerLoad& aLoad,
             double aExpectedOthers,
             const ProcessingTimes& aTimes,
             Instant aNow);

/// @return load after one more request was sent
ServerLoad
RecordDispatch(ServerLoad aLoad, const ColdLimit& aCold, Instant aNow);

/// @param aObjectKey object of the request; 0: none
/// @param aReport load that came with the answer
/// @return load after a request ended
ServerLoad
RecordOutcome(ServerLoad aLoad,
              DispatchOutcome aOutcome,
              std::uint64_t aObjectKey,
              const std::optional<LoadReport>& aReport,
              Instant aNow);

/// @param aObjectKey object; 0: none
/// @param aLocalDataCentre data centre whose servers come first, or empty: the whole region is one
/// order
/// @return the region's servers in the order of the object. All entries of a data centre agree on
/// it, so that the first server is taken to know the object.
std::vector<BackendServerId>
RankServers(const std::vector<Server>& aServers,
            const RegionId& aRegion,
            const DataCentreId& aLocalDataCentre,
            std::uint64_t aObjectKey);

/// @param aServer server
/// @param aFirst first server of the object's order, or nothing
/// @return whether the server remembers the object
CacheState
CacheStateOf(const BackendServerId& aServer,
             const ServerLoad& aLoad,
             std::uint64_t aObjectKey,
             const std::optional<BackendServerId>& aFirst,
             Instant aNow);

/// What is asked of Place.
struct PlacementRequest
{
  std::uint64_t mObjectKey = 0; ///< object of the request; 0: none
  std::uint64_t mRandom = 0; ///< random number, orders the servers of a request without an object
  std::set<BackendServerId> mTried;
  RegionId mRegion;
  DataCentreId mLocalDataCentre;                   ///< data centre of the entry
  std::optional<ProcessingTimes> mProcessingTimes; ///< of the route; nothing: those of the service

  friend auto operator<=>(const PlacementRequest&, const PlacementRequest&) = default;
};

/// Where a request goes.
struct Placement
{
  std::optional<Server> mServer; ///< nothing: no server may get it
  Duration mExpected{};          ///< time at the server, without the time on the way
  Duration mWait{};              ///< part of it before a slot is free
  double mEstimatedInFlight = 0; ///< requests that run or wait there, as far as known
  double mFreeShare = 0;         ///< part of the slots that is free once the request runs
  CacheState mCacheState = CacheState::Unknown; ///< whether the server remembers the object
  bool mProcessingTimeKnown = true;             ///< answers of late say how long the work takes
  std::string mReason;
  std::vector<Rejected> mRejected;

  friend bool operator==(const Placement&, const Placement&) = default;
};

/// Servers of a service with what is known of them.
struct ServerPool
{
  std::map<std::uint64_t, Instant> mRecentObjects; ///< asked for lately, and when
  std::vector<Server> mServers;
  std::vector<EntryId> mEntries; ///< that share what a cold server bears
  EntryId mSelf;
  double mColdPerSecond = 0; ///< requests/s that a cold server bears; 0: not limited
  ProcessingTimes mProcessingTimes;
  std::map<RegionId, RegionLoad> mRegionLoads;

  friend bool operator==(const ServerPool&, const ServerPool&) = default;
};

/// @return limit of this entry on a cold server
ColdLimit
ColdLimitOf(const ServerPool& aPool, const BackendServerId& aServer);

/// @return pool after one more request for an object
/// @param aObjectKey object; 0: none
void
RecordObject(ServerPool& aPool, std::uint64_t aObjectKey, Instant aNow);

/// @return data centre whose servers come first in the order of an object: the own one, or none
/// when its servers are too few for all objects
DataCentreId
PreferredDataCentre(const ServerPool& aPool, const DataCentreId& aLocalDataCentre);

using ServerLoads = std::map<BackendServerId, ServerLoad>;

/// Chooses the server of a region at which a request is expected to end first.
/// @param aPool servers of the service
/// @param aLoads what is known of them
/// @param aRequest request
/// @param aTrustLeases false: this entry has lost its control group, so that ended leases say
/// nothing
/// @param aNow time
Placement
ChooseServer(const ServerPool& aPool,
             const ServerLoads& aLoads,
             const PlacementRequest& aRequest,
             bool aTrustLeases,
             Instant aNow);

/// @return time by which another region must be faster before requests move there: their objects
/// are new to its servers, which forget some of their own for them
Duration
RegionMovePenalty(const ProcessingTimes& aTimes);

/// @return mean time that a request would take at the servers of a region that may be used, the
/// same work assumed everywhere, or nothing without one
std::optional<Duration>
RegionCost(const ServerPool& aPool,
           const ServerLoads& aLoads,
           const RegionId& aRegion,
           bool aTrustLeases,
           Instant aNow);

} // namespace fighold::routes
