#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>

/// Budgets that limit retries and hedged requests, one for each service.
namespace fighold::routing {

/// Retries and hedges allowed, as a percentage of a service's requests.
constexpr std::uint32_t kRetryPercent = 10;
constexpr std::uint32_t kHedgePercent = 2;

/// Maximum number of unused retries or hedges that a service accumulates for a burst.
constexpr std::uint32_t kBudgetBurst = 20;

/// Percentile of the latency that the hedge delay follows. A lower one spends the budget on
/// requests that are only slightly late.
constexpr double kHedgeQuantile = 98;

/// Budget of a service at one entry; mRetries and mHedges are in hundredths of a request.
struct Budget
{
  std::uint32_t mRetries = 0;
  std::uint32_t mHedges = 0;
  Duration mHedgeDelay{}; ///< running estimate of kHedgeQuantile; zero: not known yet

  friend auto operator<=>(const Budget&, const Budget&) = default;
};

/// @return the budget after one more request of the service
Budget
CountRequest(const Budget& aBudget);

/// @return the budget after an answered request, with the hedge delay adjusted to its latency
Budget
ObserveLatency(const Budget& aBudget, Duration aLatency);

/// Decides whether to send a request to a second server as well.
/// @param aBudget budget of the service; charged if the result is true
/// @param aIdempotent true if the request may be executed more than once
/// @param aElapsed time since the first dispatch
/// @param aRemaining time until the deadline
bool
ShouldHedge(Budget& aBudget, bool aIdempotent, Duration aElapsed, Duration aRemaining);

/// Decides whether to retry a request that was not executed, or an idempotent one without an
/// answer.
/// @param aBudget budget of the service; charged if the result is true
/// @param aAttempts number of dispatches so far
/// @param aRemaining time until the deadline
bool
ShouldRetry(Budget& aBudget, std::uint32_t aAttempts, Duration aRemaining);

} // namespace fighold::routing
