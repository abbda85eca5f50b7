#pragma once

#include "fighold/core/availability.hpp"
#include "fighold/core/decision_record.hpp"
#include "fighold/core/endpoint.hpp"
#include "fighold/core/id.hpp"
#include "fighold/core/time.hpp"
#include "fighold/routes/processing_times.hpp"
#include "fighold/routes/rate_limit.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Chooses a backend server for a request, from what one entry knows about the servers of a
/// service.
namespace fighold::routes {

/// Time constant of the exponential decay of a load report. Requests take about this long, so an
/// older report says little about the requests that run now.
constexpr Millis kLoadReportTimeConstant{ 1000 };

/// Weight of the newest report in the moving average of a region's load; about the last ten reports
/// count.
constexpr double kRegionLoadEwmaWeight = 0.1;

/// Time constant of the exponential decay of a region's load. An entry that rejects every request
/// gets no new reports; without the decay it would keep rejecting because of the last ones.
constexpr Millis kRegionLoadTimeConstant{ 3000 };

/// Consecutive failures after which a server is ejected, that is, avoided for some time. The
/// ejection time starts at kBaseEjectionTime and doubles with each further ejection up to
/// kMaxEjectionTime.
constexpr std::uint32_t kConsecutiveFailuresToEject = 2;
constexpr Millis kBaseEjectionTime{ 1000 };
constexpr Millis kMaxEjectionTime{ 16'000 };

/// Weight of the newest request in the moving average of a server's failure rate.
constexpr double kFailureRateEwmaWeight = 0.2;

/// Time in which the failure rate halves without further requests.
constexpr Millis kFailureRateHalfLife{ 3000 };

/// Cost of a failed request, as a multiple of the processing time of an uncached object: the
/// request is retried at another server that does not have its object cached, and the retry uses up
/// a part of the retry budget.
constexpr double kFailureCostFactor = 2;

/// Number of objects that a server is assumed to cache, and the time for which it keeps each.
constexpr std::size_t kAssumedCacheCapacity = 24;
constexpr std::chrono::seconds kAssumedCacheTtl{ 30 };

/// Penalty on servers further down the ranking of an object: this factor times the processing time
/// of an uncached object times the square of the rank. The square lets the second server help out
/// and keeps the others from caching objects that they would soon evict. With a penalty linear in
/// the rank, an object of a service with 25 servers in each data centre was processed at three of
/// them on average, each time uncached at first.
constexpr double kRankPenalty = 0.05;

/// The same for requests without an object, which get a random ranking: it breaks ties between
/// equally loaded servers and prefers those of the local data centre.
constexpr double kRandomRankPenalty = 0.005;

/// Share of the additional processing time of uncached objects that counts against moving requests
/// to another region.
constexpr double kRegionMovePenaltyFactor = 0.5;

/// Objects for each server of a data centre up to which all objects stay within the data centre.
/// With more, the servers would evict objects, so the objects are spread over the region.
constexpr std::size_t kMaxObjectsPerServer = 18;

/// Minimum number of servers for which the objects of a data centre stay there. With a single
/// server, every request for which it has no free slot would go to a server that does not have the
/// object cached.
constexpr std::ptrdiff_t kMinServersPerDataCentre = 2;

/// Pause in the requests of an entry to a server of which health answers allowed it to send
/// requests. Those of the last second and the next ones of all entries then do not fall into one
/// second.
constexpr Millis kPauseAfterHealthAnswers{ 1000 };

/// A backend server as listed in the configuration.
struct Server
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;
  Endpoint mAddress;
  RegionId mRegion;
  DataCentreId mDataCentre;
  std::uint32_t mSlots = 1;       ///< requests that it processes at the same time
  std::uint32_t mConnections = 0; ///< limit of connections from all callers together; 0: unlimited

  friend auto operator<=>(const Server&, const Server&) = default;
};

/// Load that a backend server reports with an answer.
struct LoadReport
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;

  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

/// What a backend server says of itself with an answer.
struct ServerReport
{
  std::optional<LoadReport> mLoad;
  std::optional<RateStatement> mRate; ///< nothing: unreadable, or the answer is not the server's
  bool mUnreadableRate = false;       ///< the answer names a limit that makes no sense
  std::optional<Millis> mCold;        ///< time for which the server stays cold, in a health answer
  AvailabilityStatement mAvailability{};
  bool mUnreadableAvailability = false; ///< the answer names a pause that makes no sense

  friend auto operator<=>(const ServerReport&, const ServerReport&) = default;
};

/// What an entry knows about one incarnation of a backend server.
struct ServerLoad
{
  Incarnation mIncarnation = 0;
  std::uint32_t mOwnRequests = 0; ///< requests of this entry that run or wait at the server
  double mOtherRequests = 0;      ///< requests of other callers at the time of the last report
  Instant mReportedAt{};
  double mFailureRate = 0; ///< moving average of failed and refused requests, as of mFailureRateAt
  Instant mFailureRateAt{};
  std::uint32_t mConsecutiveFailures = 0;
  std::uint32_t mConsecutiveEjections = 0;
  Instant mEjectedUntil{};
  Instant mAliveUntil{};
  Instant mColdUntil{};   ///< until then its request rate is limited
  Instant mHeartbeatAt{}; ///< when this entry last learned of a new heartbeat that it may rely on
  Instant mWarmUntil{};   ///< until then a health answer shows that it is not cold
  Instant mNextProbe{};   ///< earliest next health request
  std::uint64_t mHealthAllowance = 0; ///< requests that the last health answer still allows
  std::uint64_t mDispatches = 0;      ///< requests that this entry sent
  Instant mLastDispatch{};
  Instant mLastWanted{};       ///< when a request last passed it over because it may be cold
  Instant mNextRateDispatch{}; ///< earliest next request of this entry while its rate is limited
  std::optional<double> mNamedPerSecond; ///< limit on requests/s of all entries that it named last
  Availability mAvailability; ///< what its answers to this entry said about further requests
  double mSlowness = 1; ///< moving average of its processing times relative to those of the route
  /// Objects that it processed for this entry, and when.
  std::map<std::uint64_t, Instant> mCachedObjects;

  friend bool operator==(const ServerLoad&, const ServerLoad&) = default;
};

/// How a dispatch ended, as far as it says something about the server.
enum class DispatchOutcome : std::uint8_t
{
  Answered,
  Refused,   ///< the server reported that it did not run the request
  Failed,    ///< connection failed, no answer, or an unusable answer
  Abandoned, ///< cancelled or out of time: says nothing about the server
};

/// Load of the servers of a region, from their reports.
struct RegionLoad
{
  double mOtherRequestsPerSlot = 0; ///< moving average over the reports
  Instant mReportedAt{};

  friend auto operator<=>(const RegionLoad&, const RegionLoad&) = default;
};

/// @param aOtherRequests requests of other callers at the server that sent the report
/// @return load of the region including the report
RegionLoad
UpdateRegionLoad(RegionLoad aLoad, const Server& aServer, double aOtherRequests, Instant aNow);

/// @return requests of other callers expected at a server of the region that sent no recent report
double
ExpectedOtherRequests(const RegionLoad& aLoad, const Server& aServer, Instant aNow);

/// @param aExpectedOthers requests of other callers expected at a server without a recent report.
/// With many entries, each entry gets few reports of a server, and an old one must not make a busy
/// server seem idle.
/// @return estimated requests that run or wait at the server now
double
EstimateInFlight(const ServerLoad& aLoad, double aExpectedOthers, Instant aNow);

/// @return share of the server's slots that is free once a new request runs; below 0 if the request
/// would have to wait
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
/// @param aLimit limit of this entry for the server, if there is one
ServerLoad
RecordDispatch(ServerLoad aLoad, const std::optional<RateLimit>& aLimit, Instant aNow);

/// @param aObjectKey key of the request's object; 0: none
/// @param aReport load report that came with the answer
/// @return load after a request ended
ServerLoad
RecordOutcome(ServerLoad aLoad,
              DispatchOutcome aOutcome,
              std::uint64_t aObjectKey,
              const std::optional<LoadReport>& aReport,
              Instant aNow);

/// Ranks the servers of a region for an object by rendezvous hashing. All entries of a data centre
/// compute the same ranking, so the first server is assumed to have the object cached.
/// @param aLocalDataCentre data centre whose servers come first; empty: all servers of the region
/// are ranked alike
/// @param aObjectKey key of the object, or a random number
/// @return servers of the region, the best one first
std::vector<BackendServerId>
RankServers(const std::vector<Server>& aServers,
            const RegionId& aRegion,
            const DataCentreId& aLocalDataCentre,
            std::uint64_t aObjectKey);

/// @param aServer server
/// @param aFirstRanked first server in the ranking of the object, or nothing
/// @return whether the server has the object cached
CacheState
CacheStateOf(const BackendServerId& aServer,
             const ServerLoad& aLoad,
             std::uint64_t aObjectKey,
             const std::optional<BackendServerId>& aFirstRanked,
             Instant aNow);

/// Arguments of ChooseServer.
struct PlacementRequest
{
  std::uint64_t mObjectKey = 0; ///< key of the request's object; 0: none
  /// Random number that ranks the servers for a request without an object.
  std::uint64_t mRandom = 0;
  std::set<BackendServerId> mAlreadyTried; ///< not chosen again
  RegionId mRegion;
  DataCentreId mLocalDataCentre; ///< data centre of the entry
  /// Processing times of the route; nothing: those of the service are used.
  std::optional<ProcessingTimes> mProcessingTimes;

  friend auto operator<=>(const PlacementRequest&, const PlacementRequest&) = default;
};

/// Result of ChooseServer.
struct Placement
{
  std::optional<Server> mServer; ///< nothing: no server may get the request
  Duration mExpectedTime{};      ///< expected time at the server, without the round trip
  Duration mWait{};              ///< part of mExpectedTime until a slot is free
  double mEstimatedInFlight = 0; ///< estimated requests that run or wait at the server
  double mFreeShare = 0;         ///< share of the slots that is free once the request runs
  CacheState mCacheState = CacheState::Unknown; ///< whether the server has the object cached
  bool mProcessingTimeKnown = true;             ///< the processing time rests on recent answers
  /// Without a server: time until a server with a limited rate may get a request of this entry.
  std::optional<Duration> mNextTurn;
  /// Server that would have been preferred, had a health answer said that it is not cold.
  std::optional<BackendServerId> mWanted;
  std::string mReason;
  std::vector<Rejected> mRejected;

  friend bool operator==(const Placement&, const Placement&) = default;
};

/// Servers of a service and what is known about them.
struct ServerPool
{
  std::map<std::uint64_t, Instant> mRecentObjects; ///< objects requested recently, and when
  std::vector<Server> mServers;
  SharingEntries mEntries;
  ColdLimits mCold;
  ProcessingTimes mProcessingTimes;
  std::map<RegionId, RegionLoad> mRegionLoads;

  friend bool operator==(const ServerPool&, const ServerPool&) = default;
};

/// @return whether the last heartbeat of a server that can become cold is too old to rely on
bool
IsHeartbeatOld(const ServerPool& aPool, const ServerLoad& aLoad, Instant aNow);

/// @return whether the server may have become cold without word of it
bool
MayBeCold(const ServerPool& aPool, const ServerLoad& aLoad, Instant aNow);

/// Records a health answer that says that a server is not cold.
/// @param aAskedAt when the health request was sent
/// @param aDispatches mDispatches at that time: requests sent since then may have found it cold
/// @param aValidity time since aAskedAt for which the answer holds
/// @return load after the answer
ServerLoad
RecordWarmAnswer(const ServerPool& aPool,
                 const Server& aServer,
                 ServerLoad aLoad,
                 Instant aAskedAt,
                 std::uint64_t aDispatches,
                 Millis aValidity);

/// @return limit of this entry for a server that is cold or may be, or that names a limit;
/// otherwise nothing
std::optional<RateLimit>
RateLimitOf(const ServerPool& aPool, const Server& aServer, const ServerLoad& aLoad, Instant aNow);

/// Records a request for an object in the pool.
/// @param aObjectKey key of the object; 0: none
void
RecordObject(ServerPool& aPool, std::uint64_t aObjectKey, Instant aNow);

/// @return data centre whose servers come first in the ranking of an object: the local one, or an
/// empty id if it has too few servers for all objects
DataCentreId
PreferredDataCentre(const ServerPool& aPool, const DataCentreId& aLocalDataCentre);

/// @param aRate statement that came with an answer of the server, or nothing
/// @return load after the answer
ServerLoad
RecordRate(const ServerPool& aPool,
           const Server& aServer,
           ServerLoad aLoad,
           const std::optional<RateStatement>& aRate,
           Instant aNow);

using ServerLoads = std::map<BackendServerId, ServerLoad>;

/// Chooses the server of a region at which a request is expected to complete first.
/// @param aPool servers of the service
/// @param aLoads what is known about them
/// @param aRequest request
/// @param aTrustLeases false: this entry has lost contact with its control group, so an expired
/// lease says nothing about the server
/// @param aNow current time
Placement
ChooseServer(const ServerPool& aPool,
             const ServerLoads& aLoads,
             const PlacementRequest& aRequest,
             bool aTrustLeases,
             Instant aNow);

/// @return time by which another region must be faster before requests move there. Its servers do
/// not have the objects of these requests cached, and evict other objects for them.
Duration
RegionMovePenalty(const ProcessingTimes& aTimes);

/// @return mean expected time of a request at the usable servers of a region, assuming the same
/// processing time in all regions; nothing if no server is usable
std::optional<Duration>
RegionCost(const ServerPool& aPool,
           const ServerLoads& aLoads,
           const RegionId& aRegion,
           bool aTrustLeases,
           Instant aNow);

} // namespace fighold::routes
