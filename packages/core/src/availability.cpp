#include "fighold/core/availability.hpp"

namespace fighold {

bool
IsPaused(const Availability& aAvailability, Instant aNow)
{
  return aAvailability.mState == AvailabilityState::Paused && aNow < aAvailability.mPausedUntil;
}

std::string
ExclusionReason(const Availability& aAvailability, std::uint32_t aOwnRequests, Instant aNow)
{
  if (aAvailability.mState == AvailabilityState::Leaving) {
    return "leaving";
  }
  if (IsPaused(aAvailability, aNow)) {
    const auto left = std::chrono::ceil<Millis>(aAvailability.mPausedUntil - aNow);
    return "paused-for-" + std::to_string(left.count()) + "-ms";
  }
  return aOwnRequests >= aAvailability.mMaxRequests ? "resuming" : "";
}

} // namespace fighold
