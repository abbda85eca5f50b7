#include "fighold/membership/indexed_leases.hpp"

#include <algorithm>

namespace fighold::membership {
namespace {

std::uint32_t
RoundDown(Millis aTime)
{
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, aTime / kLeaseUnit));
}

std::uint32_t
RoundUp(Millis aTime)
{
  return RoundDown(aTime + kLeaseUnit - Millis(1));
}

/// Empties a vector that holds only zeros.
void
DropZeros(std::vector<std::uint32_t>& aValues)
{
  if (std::all_of(aValues.begin(), aValues.end(), [](std::uint32_t aIt) { return aIt == 0; })) {
    aValues.clear();
  }
}

bool
FitsOrIsEmpty(const std::vector<std::uint32_t>& aValues, std::size_t aSize)
{
  return aValues.empty() || aValues.size() == aSize;
}

} // namespace

IndexedLeases
IndexLeases(const Configuration& aConfiguration, const std::vector<BackendLease>& aLeases)
{
  IndexedLeases indexed;
  auto server = aConfiguration.mBackendServers.begin();
  const auto end = aConfiguration.mBackendServers.end();
  std::uint32_t skipped = 0;
  for (const BackendLease& it : aLeases) {
    while (server != end && server->first < it.mId) {
      ++server;
      ++skipped;
    }
    if (server == end || server->first != it.mId ||
        server->second.mIncarnation != it.mIncarnation) {
      continue;
    }
    indexed.mSkipped.push_back(skipped);
    indexed.mRemaining.push_back(RoundDown(it.mRemaining));
    indexed.mInFlight.push_back(it.mInFlight);
    indexed.mCold.push_back(RoundUp(it.mCold));
    ++server;
    skipped = 0;
  }
  DropZeros(indexed.mInFlight);
  DropZeros(indexed.mCold);
  return indexed;
}

std::vector<BackendLease>
ExpandLeases(const Configuration& aConfiguration, const IndexedLeases& aLeases)
{
  const std::size_t count = aLeases.mSkipped.size();
  if (aLeases.mRemaining.size() != count || !FitsOrIsEmpty(aLeases.mInFlight, count) ||
      !FitsOrIsEmpty(aLeases.mCold, count)) {
    return {};
  }
  std::vector<BackendLease> leases;
  leases.reserve(std::min(count, aConfiguration.mBackendServers.size()));
  auto server = aConfiguration.mBackendServers.begin();
  const auto end = aConfiguration.mBackendServers.end();
  for (std::size_t n = 0; n < count; ++n) {
    for (std::uint32_t skip = aLeases.mSkipped[n]; skip > 0 && server != end; --skip) {
      ++server;
    }
    if (server == end) {
      return {};
    }
    leases.push_back({ server->first,
                       server->second.mIncarnation,
                       aLeases.mRemaining[n] * kLeaseUnit,
                       aLeases.mInFlight.empty() ? 0 : aLeases.mInFlight[n],
                       aLeases.mCold.empty() ? Millis(0) : aLeases.mCold[n] * kLeaseUnit });
    ++server;
  }
  return leases;
}

} // namespace fighold::membership
