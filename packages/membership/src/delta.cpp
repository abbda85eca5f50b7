#include "fighold/membership/delta.hpp"

#include <algorithm>

namespace fighold::membership {
namespace {

/// Collects the current values of elements that changed, and the keys of those that are gone.
template<typename Key, typename Value>
void
CollectElements(const std::set<Key>& aKeys,
                const std::map<Key, Value>& aTo,
                std::map<Key, Value>& aChanged,
                std::set<Key>& aRemoved)
{
  for (const Key& key : aKeys) {
    const auto it = aTo.find(key);
    if (it == aTo.end()) {
      aRemoved.insert(key);
    } else {
      aChanged.insert(*it);
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

routes::RoutePatch
MakeRoutePatch(const VersionChanges& aChanges, const routes::RouteSet& aTo)
{
  routes::RoutePatch patch;
  patch.mNumber = aTo.mNumber;
  patch.mHosts = aTo.mHosts;
  CollectElements(aChanges.mServices, aTo.mServices, patch.mServices, patch.mRemovedServices);
  CollectElements(aChanges.mRoutes, aTo.mRoutes, patch.mRoutes, patch.mRemovedRoutes);
  patch.mLimits = { aTo.mLimits };
  return patch;
}

} // namespace

std::optional<ConfigurationDelta>
MakeDelta(const ChangeJournal& aJournal, Version aFrom, const Configuration& aTo)
{
  const auto first =
    std::find_if(aJournal.mChanges.begin(),
                 aJournal.mChanges.end(),
                 [&](const VersionChanges& aChanges) { return aChanges.mFrom == aFrom; });
  if (first == aJournal.mChanges.end() || aJournal.mChanges.back().mTo != aTo.mVersion) {
    return std::nullopt;
  }
  VersionChanges all;
  for (auto it = first; it != aJournal.mChanges.end(); ++it) {
    if (it->mNeedsWhole) {
      return std::nullopt;
    }
    all.mEntries.insert(it->mEntries.begin(), it->mEntries.end());
    all.mServers.insert(it->mServers.begin(), it->mServers.end());
    all.mDeparted.insert(it->mDeparted.begin(), it->mDeparted.end());
    all.mRoutes.insert(it->mRoutes.begin(), it->mRoutes.end());
    all.mServices.insert(it->mServices.begin(), it->mServices.end());
    all.mRouteSet = all.mRouteSet || it->mRouteSet;
  }
  ConfigurationDelta delta;
  delta.mFrom = aFrom;
  delta.mChanged.mVersion = aTo.mVersion;
  delta.mChanged.mDrains = aTo.mDrains;
  CollectElements(all.mEntries, aTo.mEntries, delta.mChanged.mEntries, delta.mRemovedEntries);
  CollectElements(
    all.mServers, aTo.mBackendServers, delta.mChanged.mBackendServers, delta.mRemovedServers);
  CollectElements(all.mDeparted, aTo.mDeparted, delta.mChanged.mDeparted, delta.mForgotten);
  if (all.mRouteSet) {
    delta.mRoutes = MakeRoutePatch(all, *aTo.mRoutes);
  }
  return delta;
}

std::optional<ConfigurationDelta>
MakeDelta(const Configuration& aFrom, const Configuration& aTo)
{
  return MakeDelta(ChangeJournal{ { FindChanges(aFrom, aTo) }, 0 }, aFrom.mVersion, aTo);
}

Configuration
ApplyDelta(const Configuration& aBase, const ConfigurationDelta& aDelta)
{
  Configuration next = aBase;
  next.mVersion = aDelta.mChanged.mVersion;
  next.mDrains = aDelta.mChanged.mDrains;
  next.mAnswers.clear();
  next.mHistory.clear();
  next.mWithdrawn.clear();
  ApplyMapDiff(next.mEntries, aDelta.mChanged.mEntries, aDelta.mRemovedEntries);
  ApplyMapDiff(next.mBackendServers, aDelta.mChanged.mBackendServers, aDelta.mRemovedServers);
  ApplyMapDiff(next.mDeparted, aDelta.mChanged.mDeparted, aDelta.mForgotten);
  if (aDelta.mRoutes) {
    next.mRoutes = SharedValue(routes::PatchRouteSet(*aBase.mRoutes, *aDelta.mRoutes));
  }
  return next;
}

} // namespace fighold::membership
