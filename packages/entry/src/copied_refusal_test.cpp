#include "copied_refusal_fixture.hpp"

namespace fighold::entry {
namespace {

using testing::AnswerKind;
using testing::AttemptPlan;

std::string
NativeHeaders(const AttemptPlan& aPlan, std::uint64_t aAttempt)
{
  std::string text = "Fighold-Max-Requests-Per-Second: " + std::to_string(aAttempt) + "\r\n";
  text += aPlan.mKind == AnswerKind::Refuse ? "Fighold-Outcome: not-run\r\n" : "";
  text += aPlan.mIsLeaving ? "Fighold-Leaving: 1\r\n" : "";
  text += aPlan.mPause > 0 ? "Retry-After: " + std::to_string(aPlan.mPause) + "\r\n" : "";
  return text + "Fighold-Cold-Ms: " + std::to_string(aAttempt) + "\r\n";
}

routes::ServerReport
NativeReport(const PlannedAnswer& aAnswer)
{
  routes::ServerReport report;
  report.mRate = routes::RateStatement{ static_cast<double>(aAnswer.mAttempt) };
  report.mCold = Millis(aAnswer.mAttempt);
  report.mAvailability.mLeaving = aAnswer.mPlan.mIsLeaving;
  if (aAnswer.mPlan.mStatus == 503 && aAnswer.mPlan.mPause > 0) {
    report.mAvailability.mPause = Millis(1000 * aAnswer.mPlan.mPause);
  }
  return report;
}

} // namespace

// Guards against the copy of a refusal that is taken for the answer to a later attempt, or believed
// in what it states of the server, at any place of a kept connection and whoever sends the
// identifier again.
TEST_CASE("Backend, native server copies refusals at any later place, promises only what holds",
          "[entry]")
{
  RunCopiedRefusals(
    { NativeBackendCodec(), { "Fighold-Request-Id", NativeHeaders }, NativeReport, true });
}

} // namespace fighold::entry
