#include "fighold/routes/retry_budget.hpp"

#include <algorithm>

namespace fighold::routes {

RetryLimits
RetryLimitsPerEntry(double aRatio, double aBurst, std::size_t aEntries)
{
  const auto entries = static_cast<double>(std::max<std::size_t>(1, aEntries));
  // With a limit below one token, no retry would be possible before many requests were counted.
  return { aRatio * kUsableBudgetShare, std::max(1.0, aBurst * kUsableBudgetShare / entries) };
}

RetryBudget
CountRequest(RetryBudget aBudget, const RetryLimits& aLimits)
{
  if (!aBudget.mInitialized) {
    aBudget = { aLimits.mBurst, true };
  }
  aBudget.mTokens = std::min(aBudget.mTokens + aLimits.mRatio, aLimits.mBurst);
  return aBudget;
}

bool
MayRetry(const RetryBudget& aBudget)
{
  return aBudget.mTokens >= 1;
}

RetryBudget
SpendRetry(RetryBudget aBudget)
{
  aBudget.mTokens -= 1;
  return aBudget;
}

} // namespace fighold::routes
