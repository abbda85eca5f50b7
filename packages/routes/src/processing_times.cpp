#include "fighold/routes/processing_times.hpp"

#include <algorithm>

namespace fighold::routes {
namespace {

double
Milliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

ProcessingTimes
RecordProcessingTime(ProcessingTimes aTimes,
                     Duration aProcessingTime,
                     CacheState aCacheState,
                     Instant aNow)
{
  ++aTimes.mSamples;
  aTimes.mLastSampleAt = aNow;
  // The first answers count as a plain mean, because the initial estimate says little.
  const double weight = std::max(kProcessingTimeEwmaWeight, 1.0 / aTimes.mSamples);
  const auto update = [&aProcessingTime, weight](double& aAverage) {
    // A single much slower request must not make every server seem busy.
    const double processingTime = std::clamp(Milliseconds(aProcessingTime), 1.0, 3 * aAverage);
    aAverage += weight * (processingTime - aAverage);
  };
  update(aTimes.mMeanMs);
  if (aCacheState != CacheState::Unknown) {
    update(aCacheState == CacheState::Cached ? aTimes.mCachedMs : aTimes.mUncachedMs);
  }
  aTimes.mCachedMs = std::min(aTimes.mCachedMs, aTimes.mUncachedMs);
  return aTimes;
}

ProcessingTimes
WithoutSamples(ProcessingTimes aTimes)
{
  aTimes.mSamples = 0;
  return aTimes;
}

bool
IsProcessingTimeKnown(const ProcessingTimes& aTimes, Instant aNow)
{
  return aTimes.mSamples > 0 && aNow < aTimes.mLastSampleAt + kProcessingTimeValidity;
}

double
ExpectedProcessingMs(const ProcessingTimes& aTimes, bool aHasObject, CacheState aCacheState)
{
  if (!aHasObject) {
    return aTimes.mMeanMs;
  }
  return aCacheState == CacheState::Uncached ? aTimes.mUncachedMs : aTimes.mCachedMs;
}

double
UpdateSlowness(double aSlowness,
               const ProcessingTimes& aTimes,
               Duration aProcessingTime,
               CacheState aCacheState)
{
  if (aCacheState == CacheState::Unknown) {
    return aSlowness;
  }
  constexpr double kSlowest = 5;
  const double usual =
    std::max(1.0, aCacheState == CacheState::Cached ? aTimes.mCachedMs : aTimes.mUncachedMs);
  const double ratio = std::clamp(Milliseconds(aProcessingTime) / usual, 1 / kSlowest, kSlowest);
  return aSlowness + 2 * kProcessingTimeEwmaWeight * (ratio - aSlowness);
}

} // namespace fighold::routes
