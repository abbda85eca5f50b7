#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>

/// Admission control: whether a request is admitted at its arrival, or rejected at once with a time
/// to retry.
namespace fighold::routes {

/// Maximum expected time of an admitted request that has to wait for a slot, as a fraction of the
/// time left. Estimates for a busy server are often too low, and a request that completes too late
/// has occupied a slot for nothing.
constexpr double kMaxShareOfTimeLeft = 0.8;

/// Share of a server's slots that must stay free if a request is admitted that will miss its target
/// latency. With fewer free slots it would take the place of a request that can still meet its
/// target. The share is larger for an uncached object, which occupies its slot several times as
/// long.
constexpr double kMinFreeShareCached = 0.0;
constexpr double kMinFreeShareUncached = 0.3;

/// Bounds of the time after which a rejected caller may retry.
constexpr Millis kMinRetryAfter{ 100 };
constexpr Millis kMaxRetryAfter{ 1000 };

/// Relative variation of the timeouts of a route's callers. If a caller has less time left than
/// this variation explains, it must have tried before.
constexpr double kCallerTimeoutVariation = 0.15;

/// @param aLongestTimeout longest timeout that a caller of the route stated
/// @param aTimeLeft time that this caller still waits
/// @return lower bound of the time that the caller has already waited
Duration
EstimatePriorWait(Millis aLongestTimeout, Millis aTimeLeft);

/// Input of the admission decision.
struct AdmissionRequest
{
  Duration mExpectedTime{};  ///< expected time until the answer, including mWait
  Duration mWait{};          ///< part of mExpectedTime until a slot is free
  double mFreeShare = 0;     ///< share of the server's slots that is free once the request runs
  bool mUncached = false;    ///< the server does not have the object cached
  Duration mElapsed{};       ///< since the caller's first attempt
  Duration mTargetLatency{}; ///< of the route, counted from the caller's first attempt
  Duration mTimeLeft{};      ///< until the limit of the route or the caller

  friend auto operator<=>(const AdmissionRequest&, const AdmissionRequest&) = default;
};

/// Admission decision.
enum class Admission : std::uint8_t
{
  OnTime, ///< admitted: expected to complete within its target latency
  Late,   ///< admitted: expected to complete later, but takes no other request's place
  NoRoom, ///< rejected: would take the place of a request that can meet its target latency
  NoTime, ///< rejected: not expected to complete before its limit
};

/// Decides whether a request is admitted.
Admission
Admit(const AdmissionRequest& aRequest);

/// @param aRequest request that was rejected
/// @param aRandom random number that spreads the retries of callers that are rejected together
/// @return time after which a free slot is expected
Millis
RetryAfter(const AdmissionRequest& aRequest, std::uint64_t aRandom);

/// @param aPause time until the first server takes requests again
/// @param aRandom random number that spreads the retries of callers that are rejected together
/// @return time after which the request can be served
Millis
RetryAfterPause(Duration aPause, std::uint64_t aRandom);

} // namespace fighold::routes
