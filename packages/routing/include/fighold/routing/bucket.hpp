#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>

/// Token buckets that limit the bytes per second on links, and estimates of response sizes.
namespace fighold::routing {

/// Burst capacity of a bucket, as the time in which it fills at its rate. A larger burst would let
/// the bytes of one second exceed the link's limit.
constexpr Millis kBurstTime{ 100 };

/// Token bucket; a token is a byte. The number of tokens is negative after responses that were
/// larger than their reservation.
struct TokenBucket
{
  std::int64_t mTokens = 0;
  Instant mRefilledAt{};

  friend auto operator<=>(const TokenBucket&, const TokenBucket&) = default;
};

/// @param aBucket bucket before
/// @param aRate bytes per second
/// @param aNow time of the refill
/// @return the bucket with the tokens since the last refill added, up to the bytes of kBurstTime
TokenBucket
RefillBucket(const TokenBucket& aBucket, std::uint64_t aRate, Instant aNow);

/// @return true if the tokens cover the reservation, or the bucket is full and the reservation
/// exceeds its capacity
bool
CanReserve(const TokenBucket& aBucket, std::uint64_t aRate, std::uint64_t aBytes);

/// Running estimate of the 95th percentile of response sizes.
struct SizeEstimate
{
  double mBytes = 0;

  friend auto operator<=>(const SizeEstimate&, const SizeEstimate&) = default;
};

/// @param aEstimate estimate before
/// @param aBytes size of a response
/// @return the updated estimate. Each step is a fraction of the estimate. A step up is 19 times as
/// large as a step down (0.95 to 0.05), and the steps cancel out at the 95th percentile.
SizeEstimate
ObserveSize(const SizeEstimate& aEstimate, std::uint64_t aBytes);

} // namespace fighold::routing
