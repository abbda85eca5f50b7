#include "fighold/routes/processing_times.hpp"

#include <catch2/catch.hpp>

namespace fighold::routes {
namespace {

/// Processing times of a route with many answers.
struct ProcessingTimesFixture
{
  Instant mNow{ std::chrono::hours(1) };
  ProcessingTimes mProcessingTimes{ 600, 200, 300, 50, mNow };
};

// Guards against a single much slower request that makes every server of a service seem busy.
TEST_CASE_METHOD(ProcessingTimesFixture,
                 "RecordProcessingTime, one slow request, changes the mean slightly",
                 "[routes]")
{
  const ProcessingTimes times =
    RecordProcessingTime(mProcessingTimes, std::chrono::seconds(20), CacheState::Cached, mNow);
  CHECK(times.mMeanMs <= mProcessingTimes.mMeanMs * 1.25);
  CHECK(times.mUncachedMs == mProcessingTimes.mUncachedMs);
}

// Guards against an initial estimate that still counts after the first answers.
TEST_CASE_METHOD(ProcessingTimesFixture,
                 "RecordProcessingTime, first answer, replaces the initial estimate",
                 "[routes]")
{
  const ProcessingTimes first =
    RecordProcessingTime(WithoutSamples(mProcessingTimes), Millis(6), CacheState::Unknown, mNow);
  CHECK(first.mMeanMs == Approx(6));
  CHECK(ExpectedProcessingMs(first, false, CacheState::Unknown) == Approx(6));
  CHECK(RecordProcessingTime(first, Millis(10), CacheState::Unknown, mNow).mMeanMs == Approx(8));
}

// Guards against a route that is rejected for ever after one slow answer: requests that are
// rejected because of their expected time get no answer, so the estimate would never change.
TEST_CASE_METHOD(ProcessingTimesFixture,
                 "IsProcessingTimeKnown, no answer for long, is false",
                 "[routes]")
{
  CHECK_FALSE(IsProcessingTimeKnown(WithoutSamples(mProcessingTimes), mNow));
  CHECK(IsProcessingTimeKnown(mProcessingTimes, mNow + kProcessingTimeValidity - Millis(1)));
  CHECK_FALSE(IsProcessingTimeKnown(mProcessingTimes, mNow + kProcessingTimeValidity));
}

} // namespace
} // namespace fighold::routes
