#pragma once

#include "fighold/core/time.hpp"

#include <compare>

/// Time limits of a planned stop.
namespace fighold {

/// Limits of a planned stop, in their order. The default has none.
struct StopBudget
{
  Instant mBegan{};                          ///< when the signal came
  Instant mArrivalDeadline = Instant::max(); ///< requests that arrive later are refused
  Instant mAnswerDeadline = Instant::max();  ///< requests still without an answer get one
  Instant mHandlerDeadline = Instant::max(); ///< handlers still without a reply are ended
  Instant mCloseDeadline = Instant::max();   ///< connections that are still open are closed

  friend auto operator<=>(const StopBudget&, const StopBudget&) = default;
};

/// Part of the grace period in which requests are taken. More than half of it is left for their
/// work, since a request that is sent on has to be answered before the process is killed.
constexpr double kArrivalFraction = 0.4;

/// Part of the grace period after which requests are ended. The rest is for the delivery of their
/// answers, on a VM without free processor time as well.
constexpr double kAnswerFraction = 11.0 / 12;

/// Part of the grace period after which no reply is waited for.
constexpr double kHandlerFraction = 15.0 / 16;

/// Part of the grace period after which connections are closed.
constexpr double kCloseFraction = 23.0 / 24;

/// Divides the grace period of a planned stop.
/// @param aBegan when the signal came
/// @param aGracePeriod time from the signal until the process is killed
StopBudget
PlanStop(Instant aBegan, Duration aGracePeriod);

} // namespace fighold
