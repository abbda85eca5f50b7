#include "fighold/routing/budget.hpp"

#include <algorithm>

namespace fighold::routing {
namespace {

constexpr std::uint32_t kOne = 100;

/// Dispatches of one request, the first one included.
constexpr std::uint32_t kMaxAttempts = 3;

/// Step of the hedge delay as a part of its value.
constexpr double kDelayStep = 0.1;

bool
Spend(std::uint32_t& aTokens)
{
  if (aTokens < kOne) {
    return false;
  }
  aTokens -= kOne;
  return true;
}

} // namespace

Budget
CountRequest(const Budget& aBudget)
{
  Budget next = aBudget;
  next.mRetries = std::min(next.mRetries + kRetryPercent, kBudgetBurst * kOne);
  next.mHedges = std::min(next.mHedges + kHedgePercent, kBudgetBurst * kOne);
  return next;
}

Budget
ObserveLatency(const Budget& aBudget, Duration aLatency)
{
  Budget next = aBudget;
  const auto delay = static_cast<double>(next.mHedgeDelay.count());
  const double up = delay * kDelayStep * kHedgeQuantile / 100;
  const double down = delay * kDelayStep * (1 - kHedgeQuantile / 100);
  if (next.mHedgeDelay == Duration::zero()) {
    next.mHedgeDelay = 2 * aLatency;
  } else if (aLatency > next.mHedgeDelay) {
    next.mHedgeDelay =
      std::min(aLatency, next.mHedgeDelay + Duration(static_cast<Duration::rep>(up)));
  } else {
    next.mHedgeDelay -= Duration(static_cast<Duration::rep>(down));
  }
  return next;
}

bool
ShouldHedge(Budget& aBudget, bool aIdempotent, Duration aElapsed, Duration aRemaining)
{
  const bool late = aBudget.mHedgeDelay > Duration::zero() && aElapsed >= aBudget.mHedgeDelay;
  return aIdempotent && late && aRemaining > Duration::zero() && Spend(aBudget.mHedges);
}

bool
ShouldRetry(Budget& aBudget, std::uint32_t aAttempts, Duration aRemaining)
{
  return aAttempts < kMaxAttempts && aRemaining > Duration::zero() && Spend(aBudget.mRetries);
}

} // namespace fighold::routing
