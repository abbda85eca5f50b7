#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

/// Whether a backend server wants requests, as its own answers say.
namespace fighold {

/// What a backend server says in an answer about further requests.
struct AvailabilityStatement
{
  bool mLeaving = false;        ///< it is about to stop and wants no requests any more
  std::optional<Millis> mPause; ///< it wants no requests for so long

  friend auto operator<=>(const AvailabilityStatement&, const AvailabilityStatement&) = default;
};

/// States of charts/availability.scxml, in the order of AvailabilityRegistry().
enum class AvailabilityState : std::uint8_t
{
  Available,
  Paused,
  Resuming,
  Leaving,
};

/// What an entry has heard from one incarnation of a backend server.
struct Availability
{
  /// mMaxRequests without a limit.
  static constexpr std::uint32_t kUnlimited = std::numeric_limits<std::uint32_t>::max();

  AvailabilityState mState = AvailabilityState::Available;
  Instant mPausedUntil{};                  ///< end of the last pause
  std::uint32_t mMaxRequests = kUnlimited; ///< requests of this entry at the server at a time

  friend auto operator<=>(const Availability&, const Availability&) = default;
};

/// Longest pause that is kept to. It bounds how long a faulty value takes a server out of use.
constexpr Millis kMaxPause{ 3'600'000 };

/// @return true until the pause that the server asked for has ended
bool
IsPaused(const Availability& aAvailability, Instant aNow);

/// @param aOwnRequests requests of this entry that run or wait at the server
/// @return why the server may not get a request, with the rest of its pause; empty if it may
std::string
ExclusionReason(const Availability& aAvailability, std::uint32_t aOwnRequests, Instant aNow);

} // namespace fighold
