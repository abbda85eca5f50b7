#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>

/// Admission control: whether a request is admitted at its arrival, or rejected at once with a time
/// to retry.
namespace fighold::routes {

/// Share of the time left that an admitted request may be expected to take. Estimates for a busy
/// server are often too low, and a request that completes too late has occupied a slot for nothing.
constexpr double kMaxShareOfTimeLeft = 0.8;

/// Share of a server's slots that must stay free when a request is admitted that can no longer be
/// answered within its target latency; with fewer free slots it would take the place of one that
/// still can. The share is larger for an uncached object, which occupies its slot several times as
/// long.
constexpr double kMinFreeShareCached = 0.0;
constexpr double kMinFreeShareUncached = 0.3;

/// Bounds of the time after which a rejected caller may retry.
constexpr Millis kMinRetryAfter{ 100 };
constexpr Millis kMaxRetryAfter{ 1000 };

/// Relative variation of the timeouts of a route's callers. A caller with less time left than this
/// variation can explain must have tried before.
constexpr double kCallerTimeoutVariation = 0.15;

/// @param aLongest longest timeout that a caller of the route stated
/// @param aTimeLeft time that this caller still waits
/// @return lower bound of the time that the caller has already waited
Duration
EstimatePriorWait(Millis aLongest, Millis aTimeLeft);

/// Input of the admission decision.
struct AdmissionRequest
{
  Duration mExpectedTime{};  ///< until the answer, including the wait for a slot
  Duration mWait{};          ///< for a slot
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

/// Decides about one request.
Admission
Admit(const AdmissionRequest& aRequest);

/// @param aRequest request that was rejected
/// @param aRandom random number, so that callers that are rejected together do not retry together
/// @return time after which a free slot is expected
Millis
RetryAfter(const AdmissionRequest& aRequest, std::uint64_t aRandom);

} // namespace fighold::routes
