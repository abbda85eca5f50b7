#include "fighold/routing/budget.hpp"

#include <algorithm>

namespace fighold::routing {
namespace {

/// Tokens that a retry or a hedge costs. A token is a hundredth of a request.
constexpr std::uint32_t kTokensPerAttempt = 100;

/// Maximum number of dispatches of one request, including the first.
constexpr std::uint32_t kMaxAttempts = 3;

/// Step by which the estimate of the hedge delay moves, as a fraction of its value.
constexpr double kHedgeDelayStep = 0.1;

bool
SpendTokens(std::uint32_t& aTokens)
{
  if (aTokens < kTokensPerAttempt) {
    return false;
  }
  aTokens -= kTokensPerAttempt;
  return true;
}

} // namespace

Budget
CountRequest(const Budget& aBudget)
{
  Budget next = aBudget;
  next.mRetries = std::min(next.mRetries + kRetryPercent, kBudgetBurst * kTokensPerAttempt);
  next.mHedges = std::min(next.mHedges + kHedgePercent, kBudgetBurst * kTokensPerAttempt);
  return next;
}

Budget
ObserveLatency(const Budget& aBudget, Duration aLatency)
{
  Budget next = aBudget;
  const auto delay = static_cast<double>(next.mHedgeDelay.count());
  const double up = delay * kHedgeDelayStep * kHedgeQuantile / 100;
  const double down = delay * kHedgeDelayStep * (1 - kHedgeQuantile / 100);
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
  const bool afterDelay = aBudget.mHedgeDelay > Duration::zero() && aElapsed >= aBudget.mHedgeDelay;
  return aIdempotent && afterDelay && aRemaining > Duration::zero() && SpendTokens(aBudget.mHedges);
}

bool
ShouldRetry(Budget& aBudget, std::uint32_t aAttempts, Duration aRemaining)
{
  return aAttempts < kMaxAttempts && aRemaining > Duration::zero() && SpendTokens(aBudget.mRetries);
}

} // namespace fighold::routing
