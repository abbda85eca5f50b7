#include "fighold/routes/admission.hpp"

#include <algorithm>

namespace fighold::routes {
namespace {

double
Milliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

Duration
EstimatePriorWait(Millis aLongestTimeout, Millis aTimeLeft)
{
  const auto minimum = Millis(static_cast<std::int64_t>(
    static_cast<double>(aLongestTimeout.count()) * (1 - kCallerTimeoutVariation)));
  return std::max(Millis(0), minimum - aTimeLeft);
}

Admission
Admit(const AdmissionRequest& aRequest)
{
  const double expected = Milliseconds(aRequest.mExpectedTime);
  // With a free slot the estimate contains no wait, which is its uncertain part.
  const double maxShare = aRequest.mFreeShare >= 0 ? 1 : kMaxShareOfTimeLeft;
  if (expected > Milliseconds(aRequest.mTimeLeft) * maxShare) {
    return Admission::NoTime;
  }
  if (aRequest.mElapsed + aRequest.mExpectedTime <= aRequest.mTargetLatency) {
    return Admission::OnTime;
  }
  return aRequest.mFreeShare >= (aRequest.mUncached ? kMinFreeShareUncached : kMinFreeShareCached)
           ? Admission::Late
           : Admission::NoRoom;
}

Millis
RetryAfter(const AdmissionRequest& aRequest, std::uint64_t aRandom)
{
  // The wait that is too long now shrinks as the requests ahead complete.
  const auto wait = std::chrono::duration_cast<Millis>(aRequest.mWait);
  const Millis minimum = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter / 2);
  const auto spread =
    static_cast<std::int64_t>(aRandom % static_cast<std::uint64_t>(minimum.count()));
  return std::min(kMaxRetryAfter, minimum + Millis(spread));
}

Millis
RetryAfterPause(Duration aPause, std::uint64_t aRandom)
{
  const Millis pause = std::max(kMinRetryAfter, std::chrono::ceil<Millis>(aPause));
  const Millis spread = std::min(pause, kMaxRetryAfter);
  return pause + Millis(aRandom % static_cast<std::uint64_t>(spread.count()));
}

} // namespace fighold::routes
