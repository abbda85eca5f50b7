#include "fighold/routes/work_times.hpp"

#include <catch2/catch.hpp>

namespace fighold::routes {
namespace {

/// Times of a route that was answered many times.
struct WorkTimesFixture
{
  Instant mNow{ std::chrono::hours(1) };
  WorkTimes mTimes{ 600, 200, 300, 50, mNow };
};

// Guards against one straggler that makes every server of a service seem busy.
TEST_CASE_METHOD(WorkTimesFixture, "NoteWork, one straggler, moves the mean a little", "[routes]")
{
  const WorkTimes times = NoteWork(mTimes, std::chrono::seconds(20), Memory::Known, mNow);
  CHECK(times.mMeanMs <= mTimes.mMeanMs * 1.25);
  CHECK(times.mColdMs == mTimes.mColdMs);
}

// Guards against an assumed time that outlasts the first answers.
TEST_CASE_METHOD(WorkTimesFixture, "NoteWork, first answer, replaces the assumed time", "[routes]")
{
  const WorkTimes first = NoteWork(WithoutAnswers(mTimes), Millis(6), Memory::Unknown, mNow);
  CHECK(first.mMeanMs == Approx(6));
  CHECK(ExpectedWorkMs(first, false, Memory::Unknown) == Approx(6));
  CHECK(NoteWork(first, Millis(10), Memory::Unknown, mNow).mMeanMs == Approx(8));
}

// Guards against a route that one slow answer shuts out for good: what is refused for its expected
// time is never answered, so that the expectation would never change.
TEST_CASE_METHOD(WorkTimesFixture, "IsWorkKnown, no answer for long, does not hold", "[routes]")
{
  CHECK_FALSE(IsWorkKnown(WithoutAnswers(mTimes), mNow));
  CHECK(IsWorkKnown(mTimes, mNow + kWorkKnownFor - Millis(1)));
  CHECK_FALSE(IsWorkKnown(mTimes, mNow + kWorkKnownFor));
}

} // namespace
} // namespace fighold::routes
