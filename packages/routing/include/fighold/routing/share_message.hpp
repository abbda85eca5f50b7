#pragma once

#include "fighold/routing/allocator.hpp"

#include <compare>
#include <cstdint>

/// Messages between entries and the control leader about shares, apart from their encoding.
namespace fighold::routing {

/// Report of an entry to the control processes: its use of and demand for each limit. Only the
/// leader answers.
struct ShareReport
{
  std::uint64_t mRequestNumber = 0; ///< echoed by the answer; the lease starts when this was sent
  ShareHolder mHolder;
  DemandReport mDemand;

  friend auto operator<=>(const ShareReport&, const ShareReport&) = default;
};

/// Answer of the leader to a report.
struct ShareAnswer
{
  std::uint64_t mRequestNumber = 0;
  ShareGrant mGrant;

  friend auto operator<=>(const ShareAnswer&, const ShareAnswer&) = default;
};

} // namespace fighold::routing
