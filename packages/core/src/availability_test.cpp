#include "fighold/core/availability.hpp"

#include <catch2/catch.hpp>

namespace fighold {
namespace {

struct AvailabilityFixture
{
  Instant mNow{ std::chrono::hours(1) };
  Availability mAvailability;
};

// Guards against a server that is passed over without a word of the reason or of its end.
TEST_CASE_METHOD(AvailabilityFixture,
                 "ExclusionReason, server of each state, names what excludes it",
                 "[core]")
{
  CHECK(ExclusionReason(mAvailability, 1000, mNow).empty());
  mAvailability = { AvailabilityState::Paused, mNow + Millis(1500), 1 };
  CHECK(ExclusionReason(mAvailability, 0, mNow) == "paused-for-1500-ms");
  CHECK(ExclusionReason(mAvailability, 0, mNow + Millis(1500)).empty());
  CHECK(ExclusionReason(mAvailability, 1, mNow + Millis(1500)) == "resuming");
  mAvailability = { AvailabilityState::Resuming, mNow, 2 };
  CHECK(ExclusionReason(mAvailability, 1, mNow).empty());
  CHECK(ExclusionReason(mAvailability, 2, mNow) == "resuming");
  mAvailability.mState = AvailabilityState::Leaving;
  CHECK(ExclusionReason(mAvailability, 0, mNow) == "leaving");
}

} // namespace
} // namespace fighold
