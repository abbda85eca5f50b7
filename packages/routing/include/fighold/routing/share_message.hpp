#pragma once

#include "fighold/routing/allocator.hpp"

#include <compare>
#include <cstdint>

/// Messages about shares, as values.
namespace fighold::routing {

/// Entry to control: what the entry uses and wants of each limit. Only a leader answers.
struct ShareReport
{
  std::uint64_t mRequestNumber =
    0; ///< echoed by the answer; the lease counts from when this ask was sent
  ShareHolder mHolder;
  DemandReport mDemand;

  friend auto operator<=>(const ShareReport&, const ShareReport&) = default;
};

/// Leader to entry.
struct ShareAnswer
{
  std::uint64_t mRequestNumber = 0;
  ShareGrant mGrant;

  friend auto operator<=>(const ShareAnswer&, const ShareAnswer&) = default;
};

} // namespace fighold::routing
