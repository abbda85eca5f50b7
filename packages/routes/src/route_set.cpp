#include "fighold/routes/route_set.hpp"

#include <cmath>

namespace fighold::routes {
namespace {

void
CheckRoute(const RouteSet& aSet, const Route& aRoute, Findings& aFindings)
{
  const auto fail = [&](const std::string& aMessage) {
    aFindings.push_back({ Place{ "route " + aRoute.mName, 0, 0 }, aMessage });
  };
  if (aRoute.mName.empty()) {
    fail("has no name");
  }
  if (aRoute.mHost.empty()) {
    fail("has no host");
  }
  if (aRoute.mPathPrefix.empty() || aRoute.mPathPrefix.front() != '/' ||
      aRoute.mPathPrefix.back() != '/') {
    fail("the path prefix \"" + aRoute.mPathPrefix + "\" must begin and end with a slash");
  }
  if (aRoute.mServices.empty()) {
    fail("names no service");
  }
  double sum = 0;
  for (const WeightedService& it : aRoute.mServices) {
    if (aSet.mServices.count(it.mService) == 0) {
      fail("names the unknown service \"" + it.mService.mValue + "\"");
    }
    if (!std::isfinite(it.mWeight) || it.mWeight < 0) {
      fail("has a weight below 0");
    }
    sum += it.mWeight;
  }
  if (!aRoute.mServices.empty() && sum <= 0) {
    fail("has no weight above 0");
  }
  if (aRoute.mTimeout <= Millis(0)) {
    fail("has a timeout that is not above 0");
  }
  if (aRoute.mAttempts == 0) {
    fail("allows no attempt");
  }
}

} // namespace

Findings
CheckRouteSet(const RouteSet& aSet)
{
  Findings findings;
  for (const std::string& it : aSet.mHosts) {
    if (it.empty()) {
      findings.push_back({ Place{ "hosts", 0, 0 }, "a host has no name" });
    }
  }
  for (const auto& [name, route] : aSet.mRoutes) {
    CheckRoute(aSet, route, findings);
  }
  for (const auto& [id, service] : aSet.mServices) {
    if (id.mValue.empty()) {
      findings.push_back({ Place{ "services", 0, 0 }, "a service has no name" });
    }
    if (!std::isfinite(service.mWarmUpPerSecond) || service.mWarmUpPerSecond < 0 ||
        service.mWarmUp < Millis(0)) {
      findings.push_back(
        { Place{ "service " + id.mValue, 0, 0 }, "has a warm-up time or rate below 0" });
    }
  }
  return findings;
}

RouteSet
PatchRouteSet(const RouteSet& aBase, const RoutePatch& aPatch)
{
  RouteSet next = aBase;
  next.mNumber = aPatch.mNumber;
  for (const std::string& it : aPatch.mRemovedRoutes) {
    next.mRoutes.erase(it);
  }
  for (const ServiceId& it : aPatch.mRemovedServices) {
    next.mServices.erase(it);
  }
  for (const auto& [id, service] : aPatch.mServices) {
    next.mServices[id] = service;
  }
  next.mHosts.insert(aPatch.mHosts.begin(), aPatch.mHosts.end());
  for (const auto& [name, route] : aPatch.mRoutes) {
    next.mRoutes[name] = route;
  }
  if (!aPatch.mLimits.empty()) {
    next.mLimits = aPatch.mLimits.back();
  }
  return next;
}

} // namespace fighold::routes
