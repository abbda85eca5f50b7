#include "fighold/membership/protocol.hpp"

namespace fighold::membership {

std::uint64_t
MakeTimestamp(Instant aNow)
{
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::microseconds>(aNow.time_since_epoch());
  return static_cast<std::uint64_t>(elapsed.count());
}

std::optional<Instant>
EarliestSendTime(const EchoedTimestamp& aTimestamp, Instant aNow)
{
  if (aTimestamp.mClockReading == 0) {
    return std::nullopt;
  }
  // The sender's clock may run fast by up to 1/kClockDriftDivisor.
  const Duration elapsed = aTimestamp.mElapsed - aTimestamp.mElapsed / kClockDriftDivisor;
  const Instant sent = Instant(std::chrono::microseconds(aTimestamp.mClockReading)) + elapsed;
  return sent <= aNow ? std::optional<Instant>(sent) : std::nullopt;
}

LeaseGrant
WithIndexedLeases(LeaseGrant aGrant, const Configuration& aConfiguration)
{
  if (aGrant.mVersion != aConfiguration.mVersion) {
    return aGrant;
  }
  aGrant.mIndexedLeases = IndexLeases(aConfiguration, aGrant.mBackendLeases);
  aGrant.mBackendLeases.clear();
  return aGrant;
}

} // namespace fighold::membership
