#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>

/// Processing times of requests at backend servers, as measured by the entry.
namespace fighold::routes {

/// Weight of the newest request in the moving averages of the processing time.
constexpr double kProcessingTimeEwmaWeight = 0.1;

/// Processing time assumed for a service before its first answer.
constexpr Millis kInitialProcessingTime{ 500 };

/// Initial estimate of the processing time of a cached object, as a fraction of
/// kInitialProcessingTime.
constexpr double kInitialCachedFactor = 0.7;

/// Time without an answer after which the processing time of a route counts as unknown again. If
/// all requests of a route were rejected because of their expected time, no answer would ever
/// correct the estimate. A few of the longest requests complete within this time.
constexpr std::chrono::seconds kProcessingTimeValidity{ 5 };

/// Whether a server has the object of a request cached.
enum class CacheState : std::uint8_t
{
  Unknown,  ///< other entries may have sent requests for the object to the server
  Cached,   ///< this entry sent a request for the object to the server recently
  Uncached, ///< presumably no entry sent a request for the object to the server
};

/// Moving averages of the processing times of a route or a service, without the round trip.
struct ProcessingTimes
{
  /// Objects that the server does not have cached.
  double mUncachedMs = static_cast<double>(kInitialProcessingTime.count());
  /// Objects that the server has cached.
  double mCachedMs = static_cast<double>(kInitialProcessingTime.count()) * kInitialCachedFactor;
  double mMeanMs = static_cast<double>(kInitialProcessingTime.count()); ///< all requests
  std::uint32_t mSamples = 0; ///< answers that the averages rest on
  Instant mLastSampleAt{};

  friend auto operator<=>(const ProcessingTimes&, const ProcessingTimes&) = default;
};

/// @param aProcessingTime time of the request without the round trip
/// @return processing times after an answer
ProcessingTimes
RecordProcessingTime(ProcessingTimes aTimes,
                     Duration aProcessingTime,
                     CacheState aCacheState,
                     Instant aNow);

/// @return the same times as initial estimates, to be replaced by the first answers
ProcessingTimes
WithoutSamples(ProcessingTimes aTimes);

/// @return whether the processing time rests on recent answers
bool
IsProcessingTimeKnown(const ProcessingTimes& aTimes, Instant aNow);

/// @param aHasObject whether the request has an object
/// @return expected processing time in ms
double
ExpectedProcessingMs(const ProcessingTimes& aTimes, bool aHasObject, CacheState aCacheState);

/// @return slowness of a server (see ServerLoad::mSlowness) after an answer
double
UpdateSlowness(double aSlowness,
               const ProcessingTimes& aTimes,
               Duration aProcessingTime,
               CacheState aCacheState);

} // namespace fighold::routes
