#pragma once

#include "fighold/core/shared_value.hpp"
#include "fighold/routes/route_set.hpp"

#include <optional>
#include <string_view>
#include <unordered_map>

/// Finding the route of a request.
namespace fighold::routes {

/// Routes by host and path prefix.
struct RouteTable
{
  SharedValue<RouteSet> mSet;
  std::unordered_map<std::string, std::unordered_map<std::string, const Route*>> mHosts;
};

/// @param aSet route set; the table shares it
RouteTable
BuildRouteTable(SharedValue<RouteSet> aSet);

/// @param aTable routes
/// @param aHost host of the request, with or without a port
/// @param aTarget path of the request, with or without a query
/// @return the route with the longest prefix that begins the path, or null
const Route*
FindRoute(const RouteTable& aTable, std::string_view aHost, std::string_view aTarget);

/// Deterministic division of requests by weight: each call adds every weight to its part's credit
/// and takes the part with the most. Shares are exact up to one request.
struct WeightedRoundRobin
{
  std::vector<double> mCredits;

  friend bool operator==(const WeightedRoundRobin&, const WeightedRoundRobin&) = default;
};

/// @param aRoundRobin division so far, changed in place
/// @param aWeights weights, not below 0
/// @return index of the part whose turn it is; 0 without weights
std::size_t
PickNext(WeightedRoundRobin& aRoundRobin, const std::vector<double>& aWeights);

} // namespace fighold::routes
