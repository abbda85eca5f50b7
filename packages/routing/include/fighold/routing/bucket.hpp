#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>

/// Pacing of bytes on links.
namespace fighold::routing {

/// Time for which a bucket collects its rate; longer bursts would pass the link's limit in a
/// second.
constexpr Millis kBurstTime{ 100 };

/// Bytes that may be sent now. The level is below zero after answers that were larger than
/// expected.
struct TokenBucket
{
  std::int64_t mTokens = 0;
  Instant mRefilledAt{};

  friend auto operator<=>(const TokenBucket&, const TokenBucket&) = default;
};

/// @param aTokens bucket to fill
/// @param aRate bytes per second
/// @param aNow time up to which to fill
/// @return the bucket with the bytes since the last filling, at most kBurstTime's worth
TokenBucket
RefillBucket(const TokenBucket& aTokens, std::uint64_t aRate, Instant aNow);

/// @return true when a reservation may be taken: the level covers it, or the bucket is full and the
/// reservation is larger than the bucket
bool
CanReserve(const TokenBucket& aTokens, std::uint64_t aRate, std::uint64_t aBytes);

/// Size of answers that 95 of 100 do not pass, decayed.
struct SizeEstimate
{
  double mBytes = 0;

  friend auto operator<=>(const SizeEstimate&, const SizeEstimate&) = default;
};

/// @param aEstimate estimate before
/// @param aBytes size of an answer
/// @return estimate after; it moves by a part of itself, up 19 times as far as down
SizeEstimate
ObserveSize(const SizeEstimate& aEstimate, std::uint64_t aBytes);

} // namespace fighold::routing
