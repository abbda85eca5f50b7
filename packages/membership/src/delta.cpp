#include "fighold/membership/delta.hpp"

#include <algorithm>

namespace fighold::membership {
namespace {

/// Collects the elements that were added or changed, and the keys that were removed.
template<typename Key, typename Value>
void
DiffMaps(const std::map<Key, Value>& aFrom,
         const std::map<Key, Value>& aTo,
         std::map<Key, Value>& aChanged,
         std::set<Key>& aRemoved)
{
  for (const auto& [key, value] : aTo) {
    const auto it = aFrom.find(key);
    if (it == aFrom.end() || !(it->second == value)) {
      aChanged[key] = value;
    }
  }
  for (const auto& [key, value] : aFrom) {
    if (aTo.count(key) == 0) {
      aRemoved.insert(key);
    }
  }
}

template<typename Key, typename Value>
void
ApplyMapDiff(std::map<Key, Value>& aBase,
             const std::map<Key, Value>& aChanged,
             const std::set<Key>& aRemoved)
{
  for (const Key& it : aRemoved) {
    aBase.erase(it);
  }
  for (const auto& [key, value] : aChanged) {
    aBase[key] = value;
  }
}

/// @return patch, or nothing when a host was removed, which a patch cannot express
std::optional<routes::RoutePatch>
MakeRoutePatch(const routes::RouteSet& aFrom, const routes::RouteSet& aTo)
{
  if (!std::includes(
        aTo.mHosts.begin(), aTo.mHosts.end(), aFrom.mHosts.begin(), aFrom.mHosts.end())) {
    return std::nullopt;
  }
  routes::RoutePatch patch;
  patch.mNumber = aTo.mNumber;
  patch.mHosts = aTo.mHosts;
  DiffMaps(aFrom.mServices, aTo.mServices, patch.mServices, patch.mRemovedServices);
  DiffMaps(aFrom.mRoutes, aTo.mRoutes, patch.mRoutes, patch.mRemovedRoutes);
  patch.mLimits = { aTo.mLimits };
  return patch;
}

} // namespace

std::optional<ConfigurationDelta>
MakeDelta(const Configuration& aFrom, const Configuration& aTo)
{
  if (aFrom.mPlanDigest != aTo.mPlanDigest || aFrom.mPlan->mNumber != aTo.mPlan->mNumber ||
      aFrom.mShifts != aTo.mShifts) {
    return std::nullopt;
  }
  ConfigurationDelta delta;
  delta.mFrom = aFrom.mVersion;
  delta.mChanged.mVersion = aTo.mVersion;
  delta.mChanged.mDrains = aTo.mDrains;
  DiffMaps(aFrom.mEntries, aTo.mEntries, delta.mChanged.mEntries, delta.mRemovedEntries);
  DiffMaps(aFrom.mBackendServers,
           aTo.mBackendServers,
           delta.mChanged.mBackendServers,
           delta.mRemovedServers);
  DiffMaps(aFrom.mDeparted, aTo.mDeparted, delta.mChanged.mDeparted, delta.mForgotten);
  if (aFrom.mRoutes->mNumber != aTo.mRoutes->mNumber) {
    delta.mRoutes = MakeRoutePatch(*aFrom.mRoutes, *aTo.mRoutes);
    if (!delta.mRoutes) {
      return std::nullopt;
    }
  }
  return delta;
}

Configuration
ApplyDelta(const Configuration& aBase, const ConfigurationDelta& aDelta)
{
  Configuration next = aBase;
  next.mVersion = aDelta.mChanged.mVersion;
  next.mDrains = aDelta.mChanged.mDrains;
  next.mAnswers.clear();
  next.mHistory.clear();
  ApplyMapDiff(next.mEntries, aDelta.mChanged.mEntries, aDelta.mRemovedEntries);
  ApplyMapDiff(next.mBackendServers, aDelta.mChanged.mBackendServers, aDelta.mRemovedServers);
  ApplyMapDiff(next.mDeparted, aDelta.mChanged.mDeparted, aDelta.mForgotten);
  if (aDelta.mRoutes) {
    next.mRoutes = SharedValue(routes::PatchRouteSet(*aBase.mRoutes, *aDelta.mRoutes));
  }
  return next;
}

} // namespace fighold::membership
