#include "route_convert.hpp"

namespace fighold::wire::detail {
namespace {

pb::ServiceSettings
SettingsToPb(const ServiceId& aId, const routes::ServiceSettings& aSettings)
{
  pb::ServiceSettings out;
  out.set_id(aId.mValue);
  out.set_health_path(aSettings.mHealthPath);
  out.set_max_connections(aSettings.mMaxConnections);
  out.set_protocol(aSettings.mProtocol);
  out.set_tls(aSettings.mTls);
  out.set_warm_up_ms(static_cast<std::uint64_t>(aSettings.mWarmUp.count()));
  out.set_warm_up_per_second(aSettings.mWarmUpPerSecond);
  return out;
}

Millis
MillisFromPb(std::uint64_t aMillis)
{
  return Millis(static_cast<std::int64_t>(aMillis));
}

routes::ServiceSettings
SettingsFromPb(const pb::ServiceSettings& aSettings)
{
  routes::ServiceSettings out;
  out.mHealthPath = aSettings.health_path();
  out.mMaxConnections = aSettings.max_connections();
  out.mProtocol = aSettings.protocol();
  out.mTls = aSettings.tls();
  out.mWarmUp = MillisFromPb(aSettings.warm_up_ms());
  out.mWarmUpPerSecond = aSettings.warm_up_per_second();
  return out;
}

pb::Route
RouteToPb(const routes::Route& aRoute)
{
  pb::Route out;
  out.set_name(aRoute.mName);
  out.set_host(aRoute.mHost);
  out.set_path_prefix(aRoute.mPathPrefix);
  out.set_repeatable(aRoute.mRepeatable);
  out.set_timeout_ms(static_cast<std::uint64_t>(aRoute.mTimeout.count()));
  out.set_target_latency_ms(static_cast<std::uint64_t>(aRoute.mTargetLatency.count()));
  out.set_priority(aRoute.mPriority);
  out.set_weighted(aRoute.mWeighted);
  for (const auto& it : aRoute.mServices) {
    auto* part = out.add_parts();
    part->set_service(it.mService.mValue);
    part->set_weight(it.mWeight);
  }
  out.set_attempts(aRoute.mAttempts);
  out.set_affinity(aRoute.mAffinity);
  for (const auto& it : aRoute.mAllowedRegions) {
    out.add_allowed_regions(it.mValue);
  }
  return out;
}

routes::Route
RouteFromPb(const pb::Route& aRoute)
{
  routes::Route out;
  out.mName = aRoute.name();
  out.mHost = aRoute.host();
  out.mPathPrefix = aRoute.path_prefix();
  out.mRepeatable = aRoute.repeatable();
  out.mTimeout = MillisFromPb(aRoute.timeout_ms());
  out.mTargetLatency = MillisFromPb(aRoute.target_latency_ms());
  out.mPriority = aRoute.priority();
  out.mWeighted = aRoute.weighted();
  for (const auto& it : aRoute.parts()) {
    out.mServices.push_back({ { it.service() }, it.weight() });
  }
  out.mAttempts = aRoute.attempts();
  out.mAffinity = aRoute.affinity();
  for (const auto& it : aRoute.allowed_regions()) {
    out.mAllowedRegions.insert({ it });
  }
  return out;
}

pb::CallerLimits
LimitsToPb(const routes::CallerLimits& aLimits)
{
  pb::CallerLimits out;
  out.set_max_header_bytes(aLimits.mMaxHeaderBytes);
  out.set_max_body_bytes(aLimits.mMaxBodyBytes);
  out.set_header_timeout_ms(static_cast<std::uint64_t>(aLimits.mHeaderTimeout.count()));
  out.set_idle_timeout_ms(static_cast<std::uint64_t>(aLimits.mIdleTimeout.count()));
  return out;
}

routes::CallerLimits
LimitsFromPb(const pb::CallerLimits& aLimits)
{
  return { aLimits.max_header_bytes(),
           aLimits.max_body_bytes(),
           MillisFromPb(aLimits.header_timeout_ms()),
           MillisFromPb(aLimits.idle_timeout_ms()) };
}

/// The items that a route set and a patch have in common.
template<typename Value, typename Message>
void
RouteItemsToPb(const Value& aValue, Message& aOut)
{
  aOut.set_number(aValue.mNumber);
  for (const auto& [id, settings] : aValue.mServices) {
    *aOut.add_services() = SettingsToPb(id, settings);
  }
  for (const auto& it : aValue.mHosts) {
    aOut.add_hosts(it);
  }
  for (const auto& [name, route] : aValue.mRoutes) {
    *aOut.add_routes() = RouteToPb(route);
  }
}

template<typename Value, typename Message>
void
RouteItemsFromPb(const Message& aMessage, Value& aOut)
{
  aOut.mNumber = aMessage.number();
  for (const auto& it : aMessage.services()) {
    aOut.mServices[{ it.id() }] = SettingsFromPb(it);
  }
  for (const auto& it : aMessage.hosts()) {
    aOut.mHosts.insert(it);
  }
  for (const auto& it : aMessage.routes()) {
    aOut.mRoutes[it.name()] = RouteFromPb(it);
  }
}

} // namespace

pb::RouteSet
RoutesToPb(const routes::RouteSet& aRoutes)
{
  pb::RouteSet out;
  RouteItemsToPb(aRoutes, out);
  *out.mutable_limits() = LimitsToPb(aRoutes.mLimits);
  return out;
}

SharedValue<routes::RouteSet>
RoutesFromPb(const pb::RouteSet& aRoutes)
{
  routes::RouteSet out;
  RouteItemsFromPb(aRoutes, out);
  out.mLimits = LimitsFromPb(aRoutes.limits());
  return SharedValue(std::move(out));
}

pb::RoutePatch
PatchToPb(const routes::RoutePatch& aPatch)
{
  pb::RoutePatch out;
  RouteItemsToPb(aPatch, out);
  if (!aPatch.mLimits.empty()) {
    *out.mutable_limits() = LimitsToPb(aPatch.mLimits.back());
  }
  for (const auto& it : aPatch.mRemovedRoutes) {
    out.add_removed_routes(it);
  }
  for (const auto& it : aPatch.mRemovedServices) {
    out.add_removed_services(it.mValue);
  }
  return out;
}

SharedValue<routes::RoutePatch>
PatchFromPb(const pb::RoutePatch& aPatch)
{
  routes::RoutePatch out;
  RouteItemsFromPb(aPatch, out);
  if (aPatch.has_limits()) {
    out.mLimits.push_back(LimitsFromPb(aPatch.limits()));
  }
  out.mRemovedRoutes.insert(aPatch.removed_routes().begin(), aPatch.removed_routes().end());
  for (const auto& it : aPatch.removed_services()) {
    out.mRemovedServices.insert({ it });
  }
  return SharedValue(std::move(out));
}

} // namespace fighold::wire::detail
