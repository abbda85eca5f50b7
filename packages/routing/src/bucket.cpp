#include "fighold/routing/bucket.hpp"

#include <algorithm>

namespace fighold::routing {
namespace {

/// Step of the estimate as a fraction of its value. Larger steps follow a change faster but
/// increase the variance.
constexpr double kSizeStep = 0.05;

constexpr double kQuantile = 0.95;

std::int64_t
BytesIn(Duration aTime, std::uint64_t aRate)
{
  return static_cast<std::int64_t>(static_cast<double>(aRate) *
                                   std::chrono::duration<double>(aTime).count());
}

} // namespace

TokenBucket
RefillBucket(const TokenBucket& aBucket, std::uint64_t aRate, Instant aNow)
{
  const Duration elapsed = std::max(aNow - aBucket.mRefilledAt, Duration::zero());
  // All of the elapsed time pays off a deficit, but the bucket holds at most its capacity.
  const std::int64_t capacity = BytesIn(kBurstTime, aRate);
  const auto refill = BytesIn(std::min<Duration>(elapsed, std::chrono::hours(1)), aRate);
  return { std::min(std::max(capacity, std::int64_t{ 0 }), aBucket.mTokens + refill), aNow };
}

bool
CanReserve(const TokenBucket& aBucket, std::uint64_t aRate, std::uint64_t aBytes)
{
  const auto bytes = static_cast<std::int64_t>(aBytes);
  const std::int64_t capacity = BytesIn(kBurstTime, aRate);
  return aBucket.mTokens >= std::min(bytes, capacity) && capacity > 0;
}

SizeEstimate
ObserveSize(const SizeEstimate& aEstimate, std::uint64_t aBytes)
{
  const auto bytes = static_cast<double>(aBytes);
  const double step = std::max(aEstimate.mBytes, 1.0) * kSizeStep;
  if (bytes > aEstimate.mBytes) {
    return { std::min(bytes, aEstimate.mBytes + step * kQuantile) };
  }
  return { std::max(bytes, aEstimate.mBytes - step * (1 - kQuantile)) };
}

} // namespace fighold::routing
