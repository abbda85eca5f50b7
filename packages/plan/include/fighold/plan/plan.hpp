#pragma once

#include "fighold/core/id.hpp"
#include "fighold/core/outcome.hpp"
#include "fighold/core/time.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// The steering plan: what one morning's sheet says, checked.
namespace fighold::plan {

/// Hundredths of a percent; 10,000 is the whole.
using BasisPoints = std::uint32_t;

constexpr BasisPoints kWhole = 10'000;

/// Rules of a service.
struct Service
{
  RequestClass mClass = RequestClass::Standard;
  Millis mDeadline{ 1000 };             ///< longest time from arrival to answer
  bool mRepeatable = false;             ///< true: requests with unsafe methods may be repeated too
  std::uint32_t mResponseKibibytes = 8; ///< expected size of an answer until sizes are observed
  std::optional<std::chrono::minutes>
    mFinishBy; ///< for deferred services: time of day by which work must be done
  std::map<RegionId, BasisPoints>
    mRegionShares; ///< greatest part of a region's capacity; no row: the whole

  friend auto operator<=>(const Service&, const Service&) = default;
};

/// One direction of the link between two regions.
struct Link
{
  RegionId mFrom;
  RegionId mTo;

  friend auto operator<=>(const Link&, const Link&) = default;
};

/// Where requests of one origin region run, in parts that sum to kWhole.
using SplitRow = std::map<RegionId, BasisPoints>;

/// Origin region to its row.
using SplitMatrix = std::map<RegionId, SplitRow>;

/// A block of client addresses and the region they belong to.
struct ClientBlock
{
  std::uint32_t mAddress = 0; ///< IPv4, host order
  std::uint8_t mPrefix = 0;   ///< number of leading bits that count
  RegionId mRegion;

  friend auto operator<=>(const ClientBlock&, const ClientBlock&) = default;
};

/// A checked plan. Immutable once built; shared by pointer.
struct Plan
{
  std::uint64_t mNumber = 0;
  BasisPoints mShiftCap = 0; ///< greatest part of an origin's traffic that one step moves
  std::chrono::seconds mShiftInterval{ 0 };   ///< least time between two steps of a service
  std::uint32_t mMaxEntries = 0;              ///< greatest number of entries; fixes the base shares
  std::map<RegionId, std::uint32_t> mRegions; ///< region to its capacity in requests in flight
  std::map<Link, std::uint32_t> mLinks;       ///< link direction to its limit in Mbit/s
  std::map<ServiceId, Service> mServices;
  std::map<ServiceId, SplitMatrix> mSplits; ///< complete: a row for each service and origin
  std::vector<ClientBlock> mClientBlocks;   ///< sorted by address, then prefix
  std::vector<BackendServerId> mLeaving;    ///< backend servers that the plan takes out, sorted
  std::vector<RegionId> mDrainedRegions;    ///< regions that the plan empties, sorted

  friend auto operator<=>(const Plan&, const Plan&) = default;
};

/// @param aPlan plan to identify
/// @return 32 hexadecimal digits that are equal exactly for equal plans (XXH3, 128 bits; not a
/// protection against
///         forgery)
std::string
Digest(const Plan& aPlan);

/// @param aPlan plan with the client blocks
/// @param aAddress IPv4 address in host order
/// @return region of the longest matching block, or nothing
std::optional<RegionId>
RegionOfClient(const Plan& aPlan, std::uint32_t aAddress);

} // namespace fighold::plan
