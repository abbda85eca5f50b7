#pragma once

#include "fighold/core/finding.hpp"
#include "fighold/membership/change.hpp"

#include <functional>
#include <optional>
#include <string>

/// Route sets and patches as JSON. Member names and the format of numbers are parameters, so that
/// all dialects share one reader and writer.
namespace fighold::control {

/// Member names and keywords of one dialect.
struct RouteNames
{
  std::string mNumber = "number";
  std::string mBase = "base";
  std::string mServices = "services";
  std::string mHosts = "hosts";
  std::string mLimits = "limits";
  std::string mUpsert = "upsert";
  std::string mRemove = "remove";
  std::string mRoutes = "routes";        ///< of a host
  std::string mRemovedRoutes = "routes"; ///< of a removal

  std::string mName = "name";
  std::string mHealthPath = "health_path";
  std::string mMaxConnections = "max_connections";
  std::string mProtocol = "protocol";
  std::string mTls = "tls";
  std::string mWarmUpSeconds = "warm_up_s";
  std::string mWarmUpPerSecond = "warm_up_per_second";

  std::string mHost = "host";
  std::string mPathPrefix = "path_prefix";
  std::string mKind = "kind";
  std::string mRepeatable = "repeatable";
  std::string mOnce = "once";
  std::string mTimeoutMs = "timeout_ms";
  std::string mTargetLatencyMs = "target_latency_ms";
  std::string mPriority = "priority";
  std::string mService = "service";
  std::string mParts = "parts";
  std::string mWeight = "weight";
  std::string mAttempts = "attempts";
  std::string mAffinity = "affinity";
  std::string mAllowedRegions = "allowed_regions";

  std::string mMaxHeaderBytes = "max_header_bytes";
  std::string mMaxBodyBytes = "max_body_bytes";
  std::string mHeaderTimeoutMs = "header_timeout_ms";
  std::string mIdleTimeoutMs = "idle_timeout_ms";

  std::string mNumberPrefix; ///< text before the digits of a number; empty: numbers are plain

  friend auto operator<=>(const RouteNames&, const RouteNames&) = default;
};

/// Reads a complete route set.
/// @param aJson document
/// @param aNames names of the dialect
/// @return change, or all findings with the paths of the members
Checked<membership::SubmitRoutes>
ReadRouteSet(const std::string& aJson, const RouteNames& aNames);

/// Reads a patch: items to add, replace or remove.
/// @return change, or all findings with the paths of the members
Checked<membership::PatchRoutes>
ReadRoutePatch(const std::string& aJson, const RouteNames& aNames);

/// @return the route set as JSON
std::string
WriteRouteSet(const routes::RouteSet& aSet, const RouteNames& aNames);

} // namespace fighold::control
