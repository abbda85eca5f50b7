#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>

/// Whether a request is taken in at its arrival, or told at once to come back.
namespace fighold::routes {

/// Part of the time left that a request is expected to take at most; estimates of a busy server are
/// often too low, and a request that ends too late has taken a slot for nothing.
constexpr double kMaxShareOfTimeLeft = 0.8;

/// Part of a server's slots that stays free when a request is taken in that cannot be answered
/// within its target any more: with less it would take the slot of one that still can. Work on an
/// object that is new to the server holds its slot several times as long.
constexpr double kMinFreeShareCached = 0.0;
constexpr double kMinFreeShareUncached = 0.3;

/// Bounds of the time after which a refused caller is told to return.
constexpr Millis kMinRetryAfter{ 100 };
constexpr Millis kMaxRetryAfter{ 1000 };

/// Part by which callers of a route differ in how long they wait. One with less time left than that
/// explains has asked before.
constexpr double kCallerTimeoutVariation = 0.15;

/// @param aLongest longest wait that a caller of the route stated
/// @param aLeft time that this caller still waits
/// @return least time for which the caller has waited already
Duration
EstimatePriorWait(Millis aLongest, Millis aLeft);

/// What is known of a request when it is to be sent.
struct AdmissionRequest
{
  Duration mExpected{};   ///< until its answer, the wait for a slot included
  Duration mWait{};       ///< for a slot
  double mFreeShare = 0;  ///< part of the server's slots that is free once the request runs
  bool mUncached = false; ///< the object is new to the server
  Duration mElapsed{};    ///< since the caller first asked
  Duration mTarget{};     ///< latency that the route aims at, from when the caller first asked
  Duration mTimeLeft{};   ///< until the route's or the caller's limit

  friend auto operator<=>(const AdmissionRequest&, const AdmissionRequest&) = default;
};

/// What was decided.
enum class Admission : std::uint8_t
{
  OnTime, ///< it is expected within its target
  Late,   ///< it is expected later, and takes nobody's place
  NoRoom, ///< it would take the place of one that can be answered within its target
  NoTime, ///< it is not expected before its limit
};

/// Decides about one request.
Admission
Admit(const AdmissionRequest& aRequest);

/// @param aRequest request that was not taken in
/// @param aRandom random number, so that callers who are refused together do not return together
/// @return time after which room is expected
Millis
RetryAfter(const AdmissionRequest& aRequest, std::uint64_t aRandom);

} // namespace fighold::routes
