#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>

/// Budgets of retries and hedges, for each service.
namespace fighold::routing {

/// Retries and hedges in a hundred requests of a service.
constexpr std::uint32_t kRetryPercent = 10;
constexpr std::uint32_t kHedgePercent = 2;

/// Most unused retries or hedges that a service keeps for a burst.
constexpr std::uint32_t kBudgetBurst = 20;

/// Part of the requests, in percent, whose latency the hedge delay covers. A lower one spends the
/// budget on requests that are only a little late.
constexpr double kHedgeQuantile = 98;

/// Budget of a service at one entry, in hundredths of a request.
struct Budget
{
  std::uint32_t mRetries = 0;
  std::uint32_t mHedges = 0;
  Duration mHedgeDelay{}; ///< decayed quantile of latencies; zero: not known yet

  friend auto operator<=>(const Budget&, const Budget&) = default;
};

/// @return budget after one more request of the service
Budget
CountRequest(const Budget& aBudget);

/// @return budget after an answered request; moves the hedge delay
Budget
ObserveLatency(const Budget& aBudget, Duration aLatency);

/// Decides whether a request is sent to a second server.
/// @param aBudget budget of the service; spent when the result is true
/// @param aIdempotent the request may be repeated
/// @param aElapsed time since the first dispatch
/// @param aRemaining time until the deadline
bool
ShouldHedge(Budget& aBudget, bool aIdempotent, Duration aElapsed, Duration aRemaining);

/// Decides whether a request that was not run, or a safe one that was lost, is tried again.
/// @param aBudget budget of the service; spent when the result is true
/// @param aAttempts dispatches so far
/// @param aRemaining time until the deadline
bool
ShouldRetry(Budget& aBudget, std::uint32_t aAttempts, Duration aRemaining);

} // namespace fighold::routing
