#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>

/// How long requests take at a backend server, as the entry sees it.
namespace fighold::routes {

/// Weight of the newest request in the decayed work times.
constexpr double kProcessingTimeEwmaWeight = 0.1;

/// Work time of a service of which no answer was seen yet.
constexpr Millis kInitialProcessingTime{ 500 };

/// Work time on an object that the server handled lately, as a part of the usual one, until
/// answers show it.
constexpr double kInitialCachedFactor = 0.7;

/// Time without an answer after which the work of a route counts as unknown again, so that a route
/// whose requests are refused for their expected time is tried once more. A few of the longest
/// requests end in that time.
constexpr std::chrono::seconds kProcessingTimeValidity{ 5 };

/// What is known of whether a server remembered the object of a request.
enum class CacheState : std::uint8_t
{
  Unknown,  ///< other entries may have sent it there
  Cached,   ///< this entry had sent it there lately
  Uncached, ///< no entry is taken to have sent it there
};

/// Decayed work times of a route or a service, without the time on the way.
struct ProcessingTimes
{
  double mUncachedMs =
    static_cast<double>(kInitialProcessingTime.count()); ///< on an object that is new there
  double mCachedMs =
    static_cast<double>(kInitialProcessingTime.count()) * kInitialCachedFactor; ///< on a known one
  double mMeanMs = static_cast<double>(kInitialProcessingTime.count());         ///< of all
  std::uint32_t mSamples = 0; ///< that these times rest on
  Instant mLastSampleAt{};    ///< the last of them

  friend auto operator<=>(const ProcessingTimes&, const ProcessingTimes&) = default;
};

/// @param aProcessingTime time of the request less the time on the way
/// @return work times after an answer
ProcessingTimes
RecordProcessingTime(ProcessingTimes aTimes,
                     Duration aProcessingTime,
                     CacheState aCacheState,
                     Instant aNow);

/// @return the same times, to start from where no answer was seen yet
ProcessingTimes
WithoutSamples(ProcessingTimes aTimes);

/// @return whether answers of late say how long the work takes
bool
IsProcessingTimeKnown(const ProcessingTimes& aTimes, Instant aNow);

/// @param aHasObject the request names an object
/// @return expected work
double
ExpectedProcessingMs(const ProcessingTimes& aTimes, bool aHasObject, CacheState aCacheState);

/// @return slowness of a server after an answer
double
UpdateSlowness(double aSlowness,
               const ProcessingTimes& aTimes,
               Duration aProcessingTime,
               CacheState aCacheState);

} // namespace fighold::routes
