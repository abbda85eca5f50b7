#include "fighold/membership/lease.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace fighold::membership {
namespace {

struct LeaseFixture
{
  Instant mStart{ std::chrono::hours(1) };
};

// Guards against a lease that outlasts the granter's right because the grant was delayed.
TEST_CASE_METHOD(LeaseFixture,
                 "LeaseEnd, any delay of the grant, is not after the end of the granter's right",
                 "[membership]")
{
  rc::prop("with clocks whose rates differ by up to one percent", [this]() {
    const auto sentAfter = Millis(*rc::gen::inRange(0, 1000));
    const auto delay = Millis(*rc::gen::inRange(0, 5000));
    const auto length = GrantableLength(mStart, mStart + sentAfter + delay);
    RC_PRE(length.has_value());
    const Instant end = LeaseEnd(mStart + sentAfter, *length);
    RC_ASSERT(end <= mStart + kConfigurationLease);
    RC_ASSERT(!IsValid(Lease{ 1, end }, mStart + kConfigurationLease));
  });
}

TEST_CASE_METHOD(LeaseFixture, "GrantableLength, right has expired, is nothing", "[membership]")
{
  CHECK_FALSE(GrantableLength(mStart, mStart + kConfigurationLease).has_value());
}

} // namespace
} // namespace fighold::membership
