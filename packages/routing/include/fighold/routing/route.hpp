#pragma once

#include "fighold/core/decision_record.hpp"
#include "fighold/core/time.hpp"
#include "fighold/routing/choice.hpp"
#include "fighold/routing/table.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

/// Routing decision: from the origin region to a serving region and a backend server in it.
namespace fighold::routing {

/// Properties of a request that the decision depends on.
struct RouteRequest
{
  RequestId mId = 0;
  ServiceId mService;
  RegionId mOrigin;                        ///< region of the caller
  std::set<BackendServerId> mAlreadyTried; ///< not chosen again
  bool mMayWait = false;                   ///< true: without a free slot no server is chosen
  std::optional<RegionId> mPinnedRegion;   ///< chosen before; used again if the split has it

  friend auto operator<=>(const RouteRequest&, const RouteRequest&) = default;
};

/// Uniform random numbers for the choice of the region and of two servers. The caller supplies
/// them, which makes the decision a pure function.
struct Draws
{
  std::uint64_t mRegion = 0;
  std::uint64_t mFirstServer = 0;
  std::uint64_t mSecondServer = 0;
};

/// Where a request is sent. Without a candidate it is not sent.
struct RouteDecision
{
  std::optional<Candidate> mCandidate;
  RegionId mRegion;
  DecisionRecord mRecord;

  friend auto operator<=>(const RouteDecision&, const RouteDecision&) = default;
};

/// @return number of entries that share the slots of a region's servers: the entries of the region,
/// or all entries if it has none
std::uint32_t
CountSharingEntries(const membership::Configuration& aConfiguration, const RegionId& aRegion);

/// @param aRow parts of the origin's traffic by serving region; must not be empty
/// @param aDraw uniform random number
/// @return a region, chosen with a probability equal to its part
RegionId
ChooseRegion(const plan::SplitRow& aRow, std::uint64_t aDraw);

/// Decides where a request is sent.
/// @param aConfiguration configuration in force
/// @param aTable routing table of that configuration
/// @param aStates state of the backend servers at aNow
/// @param aRequest request to route
/// @param aDraws random numbers
/// @param aNow time of the decision
/// @return the chosen candidate with the record for the log
RouteDecision
Route(const membership::Configuration& aConfiguration,
      const RoutingTable& aTable,
      const ServerStates& aStates,
      const RouteRequest& aRequest,
      const Draws& aDraws,
      Instant aNow);

} // namespace fighold::routing
