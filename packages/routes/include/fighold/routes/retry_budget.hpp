#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstddef>

/// Retry budget of a service at one entry.
namespace fighold::routes {

/// Fraction of the budget that the entries use. The rest covers differences in how they count
/// requests.
constexpr double kUsableBudgetShare = 0.8;

/// Token bucket: each request adds a fraction of a token, each retry takes one.
struct RetryBudget
{
  double mTokens = 0;
  bool mInitialized = false; ///< the bucket was filled at the first request

  friend auto operator<=>(const RetryBudget&, const RetryBudget&) = default;
};

/// One entry's part of the shared retry budget.
struct RetryLimits
{
  double mRatio = 0; ///< retries per request
  double mBurst = 0; ///< capacity of the token bucket, in retries

  friend auto operator<=>(const RetryLimits&, const RetryLimits&) = default;
};

/// @param aRatio retries per request, of all entries together
/// @param aBurst retries beyond that, of all entries together
/// @param aEntries number of entries
RetryLimits
RetryLimitsPerEntry(double aRatio, double aBurst, std::size_t aEntries);

/// @return budget after one more request
RetryBudget
CountRequest(RetryBudget aBudget, const RetryLimits& aLimits);

/// @return true if a retry may be sent
bool
MayRetry(const RetryBudget& aBudget);

/// @return budget after a retry
RetryBudget
SpendRetry(RetryBudget aBudget);

} // namespace fighold::routes
