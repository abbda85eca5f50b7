#pragma once

#include "fighold/core/finding.hpp"
#include "fighold/core/id.hpp"
#include "fighold/core/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// The route set: which requests go to which services, as configured by operators.
namespace fighold::routes {

/// Settings of a service.
struct ServiceSettings
{
  std::string mHealthPath = "/health";
  std::uint32_t mMaxConnections = 0; ///< to one backend server, from all callers; 0: unlimited
  std::string mProtocol = "h1";
  bool mTls = false;
  Millis mWarmUp{ 0 };         ///< time for which a backend server is cold after its start
  double mWarmUpPerSecond = 0; ///< requests/s that a cold backend server can handle; 0: unlimited

  friend bool operator==(const ServiceSettings&, const ServiceSettings&) = default;
};

/// A service and its weight within a route.
struct WeightedService
{
  ServiceId mService;
  double mWeight = 1;

  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// One route of a host.
struct Route
{
  std::string mName; ///< unique in the route set
  std::string mHost;
  std::string mPathPrefix;  ///< begins and ends with a slash
  bool mRepeatable = false; ///< a request may run more than once
  Millis mTimeout{ 10'000 };
  Millis mTargetLatency{ 1000 };
  std::uint32_t mPriority = 0; ///< 0 is the highest
  bool mWeighted = false;      ///< the operator configured weights
  std::vector<WeightedService> mServices;
  std::uint32_t mAttempts = 1; ///< maximum number of backend servers to which one request is sent
  bool mAffinity = false; ///< requests with the same affinity key are faster on the same server
  std::set<RegionId> mAllowedRegions; ///< empty: all

  friend bool operator==(const Route&, const Route&) = default;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits
{
  std::uint64_t mMaxHeaderBytes = 16'384;
  std::uint64_t mMaxBodyBytes = 64U << 20U;
  Millis mHeaderTimeout{ 10'000 };
  Millis mIdleTimeout{ 60'000 };

  friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
};

/// A complete route set. Numbers increase, not necessarily by one; 0: no route set was accepted
/// yet.
struct RouteSet
{
  std::uint64_t mNumber = 0;
  std::map<ServiceId, ServiceSettings> mServices;
  std::set<std::string> mHosts;
  std::map<std::string, Route> mRoutes; ///< by name
  CallerLimits mLimits;

  friend bool operator==(const RouteSet&, const RouteSet&) = default;
};

/// Changes to named items of a route set.
struct RoutePatch
{
  std::uint64_t mNumber = 0;
  std::map<ServiceId, ServiceSettings> mServices; ///< added or replaced
  std::set<std::string> mHosts;                   ///< added
  std::map<std::string, Route> mRoutes;           ///< added or replaced
  std::vector<CallerLimits> mLimits;              ///< the new limits, or empty
  std::set<std::string> mRemovedRoutes;
  std::set<ServiceId> mRemovedServices;

  friend bool operator==(const RoutePatch&, const RoutePatch&) = default;
};

/// @param aSet route set
/// @return every finding, with the item it concerns
Findings
CheckRouteSet(const RouteSet& aSet);

/// @param aBase current route set
/// @param aPatch changes
/// @return route set with the changes applied, not checked
RouteSet
PatchRouteSet(const RouteSet& aBase, const RoutePatch& aPatch);

} // namespace fighold::routes
