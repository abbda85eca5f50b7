#include "fighold/routing/bucket.hpp"

#include <algorithm>

namespace fighold::routing {
namespace {

/// Step of the estimate as a part of its value. Larger steps follow a change faster but scatter
/// more.
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
RefillBucket(const TokenBucket& aTokens, std::uint64_t aRate, Instant aNow)
{
  const Duration passed = std::max(aNow - aTokens.mRefilledAt, Duration::zero());
  // Debts are paid off over their whole time, but no more than a bucket is collected.
  const std::int64_t most = BytesIn(kBurstTime, aRate);
  const auto worth = BytesIn(std::min<Duration>(passed, std::chrono::hours(1)), aRate);
  return { std::min(std::max(most, std::int64_t{ 0 }), aTokens.mTokens + worth), aNow };
}

bool
CanReserve(const TokenBucket& aTokens, std::uint64_t aRate, std::uint64_t aBytes)
{
  const auto bytes = static_cast<std::int64_t>(aBytes);
  const std::int64_t most = BytesIn(kBurstTime, aRate);
  return aTokens.mTokens >= std::min(bytes, most) && most > 0;
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
