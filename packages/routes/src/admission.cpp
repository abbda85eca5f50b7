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
EstimatePriorWait(Millis aLongest, Millis aLeft)
{
  const auto least = Millis(static_cast<std::int64_t>(static_cast<double>(aLongest.count()) *
                                                      (1 - kCallerTimeoutVariation)));
  return std::max(Millis(0), least - aLeft);
}

Admission
Admit(const AdmissionRequest& aRequest)
{
  const double expected = Milliseconds(aRequest.mExpected);
  // At a server with a free slot the estimate has no wait in it, which is its uncertain part.
  const double part = aRequest.mFreeShare >= 0 ? 1 : kMaxShareOfTimeLeft;
  if (expected > Milliseconds(aRequest.mTimeLeft) * part) {
    return Admission::NoTime;
  }
  if (aRequest.mElapsed + aRequest.mExpected <= aRequest.mTarget) {
    return Admission::OnTime;
  }
  return aRequest.mFreeShare >= (aRequest.mUncached ? kMinFreeShareUncached : kMinFreeShareCached)
           ? Admission::Late
           : Admission::NoRoom;
}

Millis
RetryAfter(const AdmissionRequest& aRequest, std::uint64_t aRandom)
{
  // The wait that is too long now passes while the requests in front of it end.
  const auto wait = std::chrono::duration_cast<Millis>(aRequest.mWait);
  const Millis least = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter / 2);
  const auto spread =
    static_cast<std::int64_t>(aRandom % static_cast<std::uint64_t>(least.count()));
  return std::min(kMaxRetryAfter, least + Millis(spread));
}

} // namespace fighold::routes
