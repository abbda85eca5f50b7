#include "share_fixture.hpp"

#include <catch2/catch.hpp>

#include <random>

namespace fighold::routing {
namespace {

TEST_CASE("DivideLimit, any limit, base shares and demand part add up to the limit", "[share]")
{
  for (std::uint64_t units = 0; units < 200; ++units) {
    for (std::uint32_t entries = 1; entries < 40; ++entries) {
      const Limit limit = DivideLimit(units, entries);
      REQUIRE(limit.mBasePerEntry * entries + limit.mDemandUnits == units);
      REQUIRE(limit.mBasePerEntry * entries * 2 <= units);
    }
  }
  CHECK(DivideLimit(60, 11) == Limit{ 60, 2, 38 });
}

TEST_CASE("DivideMaxMinFair, one holder needs little, the others receive the rest", "[share]")
{
  CHECK(DivideMaxMinFair({ 2, 30, 30 }, 38) == std::vector<std::uint64_t>{ 2, 18, 18 });
  CHECK(DivideMaxMinFair({ 5, 5 }, 38) == std::vector<std::uint64_t>{ 5, 5 });
}

/// An entry in region attiki with base shares only.
struct HolderFixture
{
  ShareState mShares;
  Instant mNow{ std::chrono::hours(1) };
  ShareRequest mRequest{ kService, kRegion, kRegion, RequestClass::Standard, 1000, 0 };

  HolderFixture()
  {
    plan::Plan plan = MakePlan(40, 2);
    plan.mRegions[{ "kriti" }] = 40;
    plan.mLinks[{ kRegion, { "kriti" } }] = 10;
    plan.mLinks[{ { "kriti" }, kRegion }] = 10;
    ApplyLimits(mShares, plan, 0);
    ApplyGrant(mShares, { { 1, 1 }, true, {} }, mNow);
  }

  int AdmitAll()
  {
    int admitted = 0;
    while (admitted < 1000 && AcquireShares(mShares, mRequest, mNow).mAdmitted) {
      ++admitted;
    }
    return admitted;
  }
};

TEST_CASE_METHOD(HolderFixture, "AcquireShares, share is used up, names the limit", "[share]")
{
  CHECK(AdmitAll() == 8);
  CHECK(AcquireShares(mShares, mRequest, mNow).mReason == "service-share-used-up");
  ReleaseShares(mShares, mRequest, 100, mNow);
  CHECK(AdmitAll() == 1);
}

TEST_CASE_METHOD(HolderFixture, "AcquireShares, deferred request, leaves a quarter free", "[share]")
{
  mRequest.mClass = RequestClass::Deferred;
  CHECK(AdmitAll() == 6);
}

// Guards against a lowered limit that takes effect only with the next grant.
TEST_CASE_METHOD(HolderFixture,
                 "ApplyLimits, limit is lowered, scales demand shares down at once",
                 "[share]")
{
  ApplyGrant(mShares, { { 1, 2 }, true, { { kServiceLimit, { 16, 16 } } } }, mNow);
  CHECK(UsableUnits(mShares, kServiceLimit, mNow) == 24);
  ApplyLimits(mShares, MakePlan(20, 2), 0);
  CHECK(UsableUnits(mShares, kServiceLimit, mNow) == 4 + 8);
}

// Guards against a reordered report that hides requests which started after it was sent.
TEST_CASE("Allocate, report arrives after a newer one, is ignored", "[share]")
{
  const Instant now{ std::chrono::hours(1) };
  const ShareHolder holder{ { "e1" }, 1 };
  AllocatorState state;
  SetLimits(state, MakePlan(60, 11), 1, now);
  StartAllocating(state, 1, true, now);
  const ShareHolder other{ { "e2" }, 1 };
  const DemandReport greedy{ 1, { 1, 1 }, false, { { kRegionLimit, { 60, 0 } } } };
  const DemandReport busy{ 2, { 1, 9 }, false, { { kRegionLimit, { 0, 20 } } } };
  const DemandReport late{ 1, { 1, 8 }, false, { { kRegionLimit, { 0, 3 } } } };
  for (const DemandReport& it : { busy, late }) {
    const auto grants =
      Allocate(state, { holder, other }, { { holder, it }, { other, greedy } }, now);
    CHECK(OutstandingUnits(state.mHolders.at(holder), kRegionLimit, now) == 20);
    CHECK(grants.at(other).mDemand.at(kRegionLimit).mUnits == 18);
  }
}

// Guards against an entry that resumes after a pause and uses shares that were granted to others in
// the meantime.
TEST_CASE_METHOD(HolderFixture, "AcquireShares, lease has expired, admits nothing", "[share]")
{
  mNow += Millis(2000);
  CHECK(AdmitAll() == 0);
  ExtendBaseRight(mShares, mNow + Millis(2000), mNow);
  CHECK(AdmitAll() == 0);
}

// Guards against answers from other regions that use more of a link than the entry's share.
TEST_CASE_METHOD(HolderFixture,
                 "AcquireShares, answers over a link, stay within its rate",
                 "[share]")
{
  mRequest.mRegion = { "kriti" };
  const std::uint64_t rate =
    UsableUnits(mShares, { LimitKind::Link, kRegion, { "kriti" }, {} }, mNow);
  CHECK(rate == 1'225'000 / 4);
  std::uint64_t bytes = 0;
  const std::uint64_t answer = 20'000;
  for (int n = 0; n < 1000; ++n) {
    mNow += Millis(10);
    ExtendBaseRight(mShares, mNow + Millis(2000), mNow);
    if (AcquireShares(mShares, mRequest, mNow).mAdmitted) {
      ReleaseShares(mShares, mRequest, answer, mNow);
      bytes += answer;
    }
  }
  CHECK(bytes <= rate * 10 + rate / 10 + answer);
  CHECK(bytes >= rate * 9);
}

TEST_CASE("ObserveSize, sizes from 1 to 100 kB, converges to the 95th percentile", "[share]")
{
  std::mt19937 random(1);
  SizeEstimate estimate{ 8192 };
  double sum = 0;
  for (int n = 0; n < 20'000; ++n) {
    estimate = ObserveSize(estimate, 1000 * (1 + random() % 100));
    sum += n >= 10'000 ? estimate.mBytes : 0;
  }
  CHECK(sum / 10'000 == Approx(95'000).epsilon(0.05));
}

} // namespace
} // namespace fighold::routing
