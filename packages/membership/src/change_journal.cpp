#include "fighold/membership/change_journal.hpp"

namespace fighold::membership {
namespace {

template<typename Key, typename Value>
std::set<Key>
DifferingKeys(const std::map<Key, Value>& aFrom, const std::map<Key, Value>& aTo)
{
  std::set<Key> keys;
  auto from = aFrom.begin();
  auto to = aTo.begin();
  while (from != aFrom.end() || to != aTo.end()) {
    if (to == aTo.end() || (from != aFrom.end() && from->first < to->first)) {
      keys.insert(keys.end(), (from++)->first);
    } else if (from == aFrom.end() || to->first < from->first) {
      keys.insert(keys.end(), (to++)->first);
    } else {
      if (!(from->second == to->second)) {
        keys.insert(keys.end(), to->first);
      }
      ++from;
      ++to;
    }
  }
  return keys;
}

} // namespace

VersionChanges
FindChanges(const Configuration& aFrom, const Configuration& aTo)
{
  VersionChanges changes;
  changes.mFrom = aFrom.mVersion;
  changes.mTo = aTo.mVersion;
  changes.mEntries = DifferingKeys(aFrom.mEntries, aTo.mEntries);
  changes.mServers = DifferingKeys(aFrom.mBackendServers, aTo.mBackendServers);
  changes.mDeparted = DifferingKeys(aFrom.mDeparted, aTo.mDeparted);
  changes.mRoutesBefore = aFrom.mRoutes;
  changes.mNeedsWhole = aFrom.mPlanDigest != aTo.mPlanDigest ||
                        aFrom.mPlan->mNumber != aTo.mPlan->mNumber || aFrom.mShifts != aTo.mShifts;
  return changes;
}

void
AppendVersion(ChangeJournal& aJournal,
              const Configuration& aFrom,
              const Configuration& aTo,
              std::size_t aMaxVersions)
{
  if (!aJournal.mChanges.empty() && aJournal.mChanges.back().mTo != aFrom.mVersion) {
    aJournal.mChanges.clear();
  }
  aJournal.mChanges.push_back(FindChanges(aFrom, aTo));
  while (aJournal.mChanges.size() > aMaxVersions) {
    aJournal.mChanges.pop_front();
  }
}

} // namespace fighold::membership
