#include "fighold/routes/work_times.hpp"

#include <algorithm>

namespace fighold::routes {
namespace {

double
Milliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

WorkTimes
NoteWork(WorkTimes aTimes, Duration aWork, Memory aMemory, Instant aNow)
{
  ++aTimes.mAnswers;
  aTimes.mAnsweredAt = aNow;
  // The first answers count as a plain mean: what was assumed before says little.
  const double weight = std::max(kWorkWeight, 1.0 / aTimes.mAnswers);
  const auto move = [&aWork, weight](double& aKept) {
    // A straggler runs many times longer and must not make every server seem busy.
    const double work = std::clamp(Milliseconds(aWork), 1.0, 3 * aKept);
    aKept += weight * (work - aKept);
  };
  move(aTimes.mMeanMs);
  if (aMemory != Memory::Unknown) {
    move(aMemory == Memory::Known ? aTimes.mWarmMs : aTimes.mColdMs);
  }
  aTimes.mWarmMs = std::min(aTimes.mWarmMs, aTimes.mColdMs);
  return aTimes;
}

WorkTimes
WithoutAnswers(WorkTimes aTimes)
{
  aTimes.mAnswers = 0;
  return aTimes;
}

bool
IsWorkKnown(const WorkTimes& aTimes, Instant aNow)
{
  return aTimes.mAnswers > 0 && aNow < aTimes.mAnsweredAt + kWorkKnownFor;
}

double
ExpectedWorkMs(const WorkTimes& aTimes, bool aHasObject, Memory aMemory)
{
  if (!aHasObject) {
    return aTimes.mMeanMs;
  }
  return aMemory == Memory::New ? aTimes.mColdMs : aTimes.mWarmMs;
}

double
NoteSlowness(double aSlowness, const WorkTimes& aTimes, Duration aWork, Memory aMemory)
{
  if (aMemory == Memory::Unknown) {
    return aSlowness;
  }
  constexpr double kSlowest = 5;
  const double usual = std::max(1.0, aMemory == Memory::Known ? aTimes.mWarmMs : aTimes.mColdMs);
  const double ratio = std::clamp(Milliseconds(aWork) / usual, 1 / kSlowest, kSlowest);
  return aSlowness + 2 * kWorkWeight * (ratio - aSlowness);
}

} // namespace fighold::routes
