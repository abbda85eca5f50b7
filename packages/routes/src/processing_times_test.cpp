#include "fighold/routes/processing_times.hpp"

#include <catch2/catch.hpp>

namespace fighold::routes {
namespace {

/// Times of a route that was answered many times.
struct WorkTimesFixture
{
  Instant mNow{ std::chrono::hours(1) };
  ProcessingTimes mProcessingTimes{ 600, 200, 300, 50, mNow };
};

// Guards against one straggler that makes every server of a service seem busy.
TEST_CASE_METHOD(WorkTimesFixture, "NoteWork, one straggler, moves the mean a little", "[routes]")
{
  const ProcessingTimes times =
    RecordProcessingTime(mProcessingTimes, std::chrono::seconds(20), CacheState::Cached, mNow);
  CHECK(times.mMeanMs <= mProcessingTimes.mMeanMs * 1.25);
  CHECK(times.mUncachedMs == mProcessingTimes.mUncachedMs);
}

// Guards against an assumed time that outlasts the first answers.
TEST_CASE_METHOD(WorkTimesFixture, "NoteWork, first answer, replaces the assumed time", "[routes]")
{
  const ProcessingTimes first =
    RecordProcessingTime(WithoutSamples(mProcessingTimes), Millis(6), CacheState::Unknown, mNow);
  CHECK(first.mMeanMs == Approx(6));
  CHECK(ExpectedProcessingMs(first, false, CacheState::Unknown) == Approx(6));
  CHECK(RecordProcessingTime(first, Millis(10), CacheState::Unknown, mNow).mMeanMs == Approx(8));
}

// Guards against a route that one slow answer shuts out for good: what is refused for its expected
// time is never answered, so that the expectation would never change.
TEST_CASE_METHOD(WorkTimesFixture, "IsWorkKnown, no answer for long, does not hold", "[routes]")
{
  CHECK_FALSE(IsProcessingTimeKnown(WithoutSamples(mProcessingTimes), mNow));
  CHECK(IsProcessingTimeKnown(mProcessingTimes, mNow + kProcessingTimeValidity - Millis(1)));
  CHECK_FALSE(IsProcessingTimeKnown(mProcessingTimes, mNow + kProcessingTimeValidity));
}

} // namespace
} // namespace fighold::routes
