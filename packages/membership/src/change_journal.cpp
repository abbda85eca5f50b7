#include "fighold/membership/change_journal.hpp"

#include <algorithm>

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

/// Size of an element of a set besides its key: links, and the allocator's own share of the node
/// and of a text.
constexpr std::size_t kNodeBytes = 64;

const std::string&
TextOf(const std::string& aKey)
{
  return aKey;
}

template<typename Id>
const std::string&
TextOf(const Id& aKey)
{
  return aKey.mValue;
}

template<typename Key>
std::size_t
SizeOfKeys(const std::set<Key>& aKeys)
{
  std::size_t bytes = 0;
  for (const Key& it : aKeys) {
    bytes += kNodeBytes + sizeof(Key) + TextOf(it).size();
  }
  return bytes;
}

/// Finds what changed in the route sets. Their numbers tell whether they differ at all.
void
FindRouteChanges(const routes::RouteSet& aFrom,
                 const routes::RouteSet& aTo,
                 VersionChanges& aChanges)
{
  if (aFrom.mNumber == aTo.mNumber) {
    return;
  }
  aChanges.mRouteSet = true;
  aChanges.mRoutes = DifferingKeys(aFrom.mRoutes, aTo.mRoutes);
  aChanges.mServices = DifferingKeys(aFrom.mServices, aTo.mServices);
  aChanges.mNeedsWhole =
    aChanges.mNeedsWhole ||
    !std::includes(aTo.mHosts.begin(), aTo.mHosts.end(), aFrom.mHosts.begin(), aFrom.mHosts.end());
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
  changes.mNeedsWhole = aFrom.mPlanDigest != aTo.mPlanDigest ||
                        aFrom.mPlan->mNumber != aTo.mPlan->mNumber || aFrom.mShifts != aTo.mShifts;
  FindRouteChanges(*aFrom.mRoutes, *aTo.mRoutes, changes);
  return changes;
}

std::size_t
ApproximateSize(const VersionChanges& aChanges)
{
  return sizeof(VersionChanges) + SizeOfKeys(aChanges.mEntries) + SizeOfKeys(aChanges.mServers) +
         SizeOfKeys(aChanges.mDeparted) + SizeOfKeys(aChanges.mRoutes) +
         SizeOfKeys(aChanges.mServices);
}

void
AppendVersion(ChangeJournal& aJournal,
              const Configuration& aFrom,
              const Configuration& aTo,
              const JournalLimits& aLimits)
{
  std::deque<VersionChanges>& changes = aJournal.mChanges;
  if (!changes.empty() && changes.back().mTo != aFrom.mVersion) {
    aJournal = {};
  }
  changes.push_back(FindChanges(aFrom, aTo));
  aJournal.mBytes += ApproximateSize(changes.back());
  while (!changes.empty() &&
         (changes.size() > aLimits.mVersions || aJournal.mBytes > aLimits.mBytes)) {
    aJournal.mBytes -= ApproximateSize(changes.front());
    changes.pop_front();
  }
}

} // namespace fighold::membership
