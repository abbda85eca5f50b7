#include "fighold/control/route_json.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <cmath>

namespace fighold::control {
namespace {

namespace json = boost::json;

constexpr double kMillisPerSecond = 1000;

json::value
SetNumberOf(const routes::RouteSet& aSet, const RouteNames& aNames)
{
  if (aNames.mNumberPrefix.empty()) {
    return aSet.mNumber;
  }
  return json::value(aNames.mNumberPrefix + std::to_string(aSet.mNumber));
}

json::object
ServiceObject(const ServiceId& aId,
              const routes::ServiceSettings& aService,
              const RouteNames& aNames)
{
  return { { aNames.mName, aId.mValue },
           { aNames.mHealthPath, aService.mHealthPath },
           { aNames.mMaxConnections, aService.mMaxConnections },
           { aNames.mProtocol, aService.mProtocol },
           { aNames.mTls, aService.mTls },
           { aNames.mWarmUpSeconds,
             static_cast<double>(aService.mWarmUp.count()) / kMillisPerSecond },
           { aNames.mWarmUpPerSecond, aService.mWarmUpPerSecond } };
}

json::object
RouteObject(const routes::Route& aRoute, const RouteNames& aNames)
{
  json::object out{ { aNames.mName, aRoute.mName },
                    { aNames.mPathPrefix, aRoute.mPathPrefix },
                    { aNames.mKind, aRoute.mRepeatable ? aNames.mRepeatable : aNames.mOnce },
                    { aNames.mTimeoutMs, aRoute.mTimeout.count() },
                    { aNames.mTargetLatencyMs, aRoute.mTargetLatency.count() },
                    { aNames.mPriority, aRoute.mPriority } };
  if (aRoute.mWeighted) {
    json::array parts;
    for (const auto& it : aRoute.mServices) {
      const bool whole = it.mWeight == std::floor(it.mWeight);
      json::value weight = it.mWeight;
      if (whole) {
        weight = static_cast<std::int64_t>(it.mWeight);
      }
      parts.push_back(
        json::object{ { aNames.mService, it.mService.mValue }, { aNames.mWeight, weight } });
    }
    out[aNames.mParts] = std::move(parts);
  } else {
    out[aNames.mService] = aRoute.mServices.empty() ? "" : aRoute.mServices.front().mService.mValue;
  }
  out[aNames.mAttempts] = aRoute.mAttempts;
  out[aNames.mAffinity] = aRoute.mAffinity;
  json::array regions;
  for (const RegionId& it : aRoute.mAllowedRegions) {
    regions.emplace_back(it.mValue);
  }
  out[aNames.mAllowedRegions] = std::move(regions);
  return out;
}

} // namespace

std::string
WriteRouteSet(const routes::RouteSet& aSet, const RouteNames& aNames)
{
  json::array services;
  for (const auto& [id, service] : aSet.mServices) {
    services.push_back(ServiceObject(id, service, aNames));
  }
  std::map<std::string, json::array> byHost;
  for (const std::string& it : aSet.mHosts) {
    byHost[it];
  }
  for (const auto& [name, route] : aSet.mRoutes) {
    byHost[route.mHost].push_back(RouteObject(route, aNames));
  }
  json::array hosts;
  for (auto& [host, routes] : byHost) {
    hosts.push_back(json::object{ { aNames.mHost, host }, { aNames.mRoutes, std::move(routes) } });
  }
  const json::object out{ { aNames.mNumber, SetNumberOf(aSet, aNames) },
                          { aNames.mServices, std::move(services) },
                          { aNames.mLimits,
                            json::object{
                              { aNames.mMaxHeaderBytes, aSet.mLimits.mMaxHeaderBytes },
                              { aNames.mMaxBodyBytes, aSet.mLimits.mMaxBodyBytes },
                              { aNames.mHeaderTimeoutMs, aSet.mLimits.mHeaderTimeout.count() },
                              { aNames.mIdleTimeoutMs, aSet.mLimits.mIdleTimeout.count() } } },
                          { aNames.mHosts, std::move(hosts) } };
  return json::serialize(out);
}

} // namespace fighold::control
