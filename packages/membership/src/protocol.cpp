#include "fighold/membership/protocol.hpp"

namespace fighold::membership {

std::uint64_t
GiveStamp(Instant aNow)
{
  const auto since = std::chrono::duration_cast<std::chrono::microseconds>(aNow.time_since_epoch());
  return static_cast<std::uint64_t>(since.count());
}

std::optional<Instant>
SentNotBefore(const Stamp& aStamp, Instant aNow)
{
  if (aStamp.mGiven == 0) {
    return std::nullopt;
  }
  // The sender's clock may run fast by the allowance.
  const Duration since = aStamp.mSince - aStamp.mSince / kClockRateParts;
  const Instant sent = Instant(std::chrono::microseconds(aStamp.mGiven)) + since;
  return sent <= aNow ? std::optional<Instant>(sent) : std::nullopt;
}

} // namespace fighold::membership
