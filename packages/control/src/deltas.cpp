#include "deltas.hpp"

namespace fighold::control {
namespace {

/// Elements of a delta from which it is sent like a whole configuration, one at a time to an entry:
/// about 25 KB, a tenth of a second of the slowest link of an entry (2 Mbit/s).
constexpr std::size_t kLargeDelta = 256;

/// Deltas that are kept for further entries. Each may be as large as the configuration, while there
/// may be as many versions held as there are entries. Most hold one of the newest.
constexpr std::size_t kMaxDeltas = 16;

/// @return delta from a version to the current configuration, or nothing if that version is not
/// kept
std::optional<SharedValue<membership::ConfigurationDelta>>
DeltaFrom(State& aState, Version aHeld)
{
  const auto known = aState.mDeltas.find(aHeld);
  if (known != aState.mDeltas.end()) {
    return known->second;
  }
  std::optional<SharedValue<membership::ConfigurationDelta>> delta;
  if (auto made = membership::MakeDelta(aState.mJournal, aHeld, *aState.mConfiguration)) {
    delta = SharedValue(std::move(*made));
  }
  aState.mDeltas[aHeld] = delta;
  if (aState.mDeltas.size() > kMaxDeltas) {
    aState.mDeltas.erase(aState.mDeltas.begin());
  }
  return delta;
}

/// @return number of the elements that a patch adds, changes, removes or repeats
std::size_t
CountElements(const routes::RoutePatch& aPatch)
{
  return aPatch.mHosts.size() + aPatch.mServices.size() + aPatch.mRemovedServices.size() +
         aPatch.mRoutes.size() + aPatch.mRemovedRoutes.size();
}

/// @return true if a delta may take as long on a link as a whole configuration, such as one for an
/// entry that has just started
bool
IsLarge(const membership::ConfigurationDelta& aDelta)
{
  const membership::Configuration& changed = aDelta.mChanged;
  const std::size_t routes = aDelta.mRoutes ? CountElements(*aDelta.mRoutes) : 0;
  return changed.mEntries.size() + changed.mBackendServers.size() + changed.mDeparted.size() +
           aDelta.mRemovedEntries.size() + aDelta.mRemovedServers.size() +
           aDelta.mForgotten.size() + routes >=
         kLargeDelta;
}

} // namespace

std::optional<SharedValue<membership::ConfigurationDelta>>
DeltaForGrant(State& aState, const membership::LeaseRenewal& aRenewal)
{
  auto delta = DeltaFrom(aState, aRenewal.mHeld);
  if (delta && aRenewal.mOmitWhole && IsLarge(**delta)) {
    delta.reset();
  }
  return delta;
}

} // namespace fighold::control
