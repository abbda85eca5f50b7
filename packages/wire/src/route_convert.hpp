#pragma once

#include "fighold/core/shared_value.hpp"
#include "fighold/routes/route_set.hpp"
#include "messages.pb.h"

/// Conversion of route sets and patches between values and protobuf messages.
namespace fighold::wire::detail {

pb::RouteSet
RoutesToPb(const routes::RouteSet& aRoutes);

SharedValue<routes::RouteSet>
RoutesFromPb(const pb::RouteSet& aRoutes);

pb::RoutePatch
PatchToPb(const routes::RoutePatch& aPatch);

SharedValue<routes::RoutePatch>
PatchFromPb(const pb::RoutePatch& aPatch);

} // namespace fighold::wire::detail
