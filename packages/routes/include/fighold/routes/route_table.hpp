#pragma once

#include "fighold/core/shared_value.hpp"
#include "fighold/routes/route_set.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

/// Lookup of the route of a request.
namespace fighold::routes {

/// Routes by host and path prefix.
struct RouteTable
{
  SharedValue<RouteSet> mSet;
  std::unordered_map<std::string, std::unordered_map<std::string, const Route*>> mHosts;
};

/// @param aSet route set, shared by the table
RouteTable
BuildRouteTable(SharedValue<RouteSet> aSet);

/// @param aTable routes
/// @param aHost host of the request, with or without a port
/// @param aTarget path of the request, with or without a query
/// @return the route with the longest path prefix that matches, or null
const Route*
FindRoute(const RouteTable& aTable, std::string_view aHost, std::string_view aTarget);

/// Smooth weighted round robin: each call adds every weight to the credit of its index and picks
/// the index with the most credit. The resulting shares are exact up to one request.
struct WeightedRoundRobin
{
  std::vector<double> mCredits;

  friend bool operator==(const WeightedRoundRobin&, const WeightedRoundRobin&) = default;
};

/// Starts a round robin as if some requests had been picked before. Many entries with few requests
/// each would otherwise all start with the same index, which then gets more than its share.
/// @param aWeights weights, not negative
/// @param aPosition number that differs between entries; its remainder to kRoundRobinStarts is the
/// number of requests that count as picked
WeightedRoundRobin
StartRoundRobin(const std::vector<double>& aWeights, std::uint64_t aPosition);

/// Number of positions at which a round robin starts. Weights are percentages.
constexpr std::uint64_t kRoundRobinStarts = 100;

/// @param aRoundRobin credits so far, changed in place
/// @param aWeights weights, not negative
/// @return index that is picked; 0 if all weights are 0
std::size_t
PickNext(WeightedRoundRobin& aRoundRobin, const std::vector<double>& aWeights);

} // namespace fighold::routes
