#pragma once

#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>

/// How long requests take at a backend server, as the entry sees it.
namespace fighold::routes {

/// Weight of the newest request in the decayed work times.
constexpr double kWorkWeight = 0.1;

/// Work time of a service of which no answer was seen yet.
constexpr Millis kAssumedWork{ 500 };

/// Work time on an object that the server handled lately, as a part of the usual one, until
/// answers show it.
constexpr double kAssumedWarmPart = 0.7;

/// Time without an answer after which the work of a route counts as unknown again, so that a route
/// whose requests are refused for their expected time is tried once more. A few of the longest
/// requests end in that time.
constexpr std::chrono::seconds kWorkKnownFor{ 5 };

/// What is known of whether a server remembered the object of a request.
enum class Memory : std::uint8_t
{
  Unknown, ///< other entries may have sent it there
  Known,   ///< this entry had sent it there lately
  New,     ///< no entry is taken to have sent it there
};

/// Decayed work times of a route or a service, without the time on the way.
struct WorkTimes
{
  double mColdMs = static_cast<double>(kAssumedWork.count()); ///< on an object that is new there
  double mWarmMs = static_cast<double>(kAssumedWork.count()) * kAssumedWarmPart; ///< on a known one
  double mMeanMs = static_cast<double>(kAssumedWork.count());                    ///< of all
  std::uint32_t mAnswers = 0; ///< that these times rest on
  Instant mAnsweredAt{};      ///< the last of them

  friend auto operator<=>(const WorkTimes&, const WorkTimes&) = default;
};

/// @param aWork time of the request less the time on the way
/// @return work times after an answer
WorkTimes
NoteWork(WorkTimes aTimes, Duration aWork, Memory aMemory, Instant aNow);

/// @return the same times, to start from where no answer was seen yet
WorkTimes
WithoutAnswers(WorkTimes aTimes);

/// @return whether answers of late say how long the work takes
bool
IsWorkKnown(const WorkTimes& aTimes, Instant aNow);

/// @param aHasObject the request names an object
/// @return expected work
double
ExpectedWorkMs(const WorkTimes& aTimes, bool aHasObject, Memory aMemory);

/// @return slowness of a server after an answer
double
NoteSlowness(double aSlowness, const WorkTimes& aTimes, Duration aWork, Memory aMemory);

} // namespace fighold::routes
