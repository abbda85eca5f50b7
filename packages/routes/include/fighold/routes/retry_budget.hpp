#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstddef>

/// Budget of second dispatches of a service at one entry.
namespace fighold::routes {

/// Part of the budget that is used, so that what entries count differently stays inside.
constexpr double kUsableBudgetShare = 0.8;

/// Tokens of a budget. Each request adds a part of a token, each second dispatch takes one.
struct RetryBudget
{
  double mTokens = 0;
  bool mStarted = false;

  friend auto operator<=>(const RetryBudget&, const RetryBudget&) = default;
};

/// What an entry may use of the budget of all.
struct RetryLimits
{
  double mRatio = 0; ///< second dispatches for one request
  double mBurst = 0; ///< second dispatches beyond that

  friend auto operator<=>(const RetryLimits&, const RetryLimits&) = default;
};

/// @param aRatio second dispatches for one request, of all entries together
/// @param aBurst second dispatches beyond that, of all entries together
/// @param aEntries number of entries
RetryLimits
RetryLimitsPerEntry(double aRatio, double aBurst, std::size_t aEntries);

/// @return budget after one more request
RetryBudget
CountRequest(RetryBudget aBudget, const RetryLimits& aLimits);

/// @return true when a second dispatch may be sent
bool
MayRetry(const RetryBudget& aBudget);

/// @return budget after a second dispatch
RetryBudget
SpendRetry(RetryBudget aBudget);

} // namespace fighold::routes
