#include "fighold/routing/shift.hpp"

#include <catch2/catch.hpp>

#include <random>

namespace fighold::routing {
namespace {

using plan::kWhole;

constexpr std::chrono::seconds kInterval{ 30 };

/// Three regions with a capacity of 60 requests, an urgent and a deferred service. Each region
/// serves its own traffic.
struct ShiftFixture
{
  plan::Plan mPlan;
  membership::Configuration mConfiguration;
  RegionView mRegions;
  LastSteps mSteps;
  Instant mNow{ std::chrono::hours(1) };

  ShiftFixture()
  {
    mPlan.mNumber = 1;
    mPlan.mShiftCap = 1000;
    mPlan.mShiftInterval = kInterval;
    mPlan.mMaxEntries = 11;
    mPlan.mServices[{ "vardia" }].mClass = RequestClass::Urgent;
    mPlan.mServices[{ "programma" }].mClass = RequestClass::Deferred;
    for (const char* region : { "attiki", "kriti", "makedonia" }) {
      AddRegion({ region });
    }
    SetPlan();
  }

  void AddRegion(const RegionId& aRegion)
  {
    mPlan.mRegions[aRegion] = 60;
    for (auto& [id, service] : mPlan.mServices) {
      service.mRegionShares[aRegion] = 6000;
      mPlan.mSplits[id][aRegion] = { { aRegion, kWhole } };
      mRegions.mLiveGroups.insert({ id, aRegion });
    }
  }

  void SetPlan()
  {
    mConfiguration =
      *membership::Apply(
         mConfiguration,
         { {}, membership::SubmitPlan{ mConfiguration.mPlanDigest, SharedValue(mPlan) } },
         mConfiguration.mVersion + 1)
         .mConfiguration;
    ++mPlan.mNumber;
  }

  void FailRegion(const RegionId& aRegion)
  {
    std::erase_if(mRegions.mLiveGroups,
                  [&](const GroupKey& aKey) { return aKey.mRegion == aRegion; });
  }

  std::optional<ShiftStep> Next(const ServiceId& aService = { "vardia" }) const
  {
    return NextShiftStep(mConfiguration, aService, mRegions, mSteps, mNow);
  }

  /// Applies the next step like the leader.
  /// @return false if there is none
  bool TakeStep(const ServiceId& aService = { "vardia" })
  {
    const auto step = Next(aService);
    if (!step) {
      return false;
    }
    const auto applied =
      membership::Apply(mConfiguration, { {}, step->mChange }, mConfiguration.mVersion + 1);
    REQUIRE(applied.mAnswer.mVerdict == membership::Verdict::Accepted);
    mConfiguration = *applied.mConfiguration;
    mSteps[aService] = { mNow + kInterval, mNow, step->mAddedInFlight };
    return true;
  }

  plan::SplitRow Row(const RegionId& aOrigin, const ServiceId& aService = { "vardia" }) const
  {
    return mConfiguration.mShifts.at(aService).mInUse.at(aOrigin);
  }

  plan::BasisPoints Part(const RegionId& aOrigin, const RegionId& aTarget) const
  {
    const plan::SplitRow row = Row(aOrigin);
    return row.count(aTarget) == 0 ? 0 : row.at(aTarget);
  }
};

TEST_CASE_METHOD(ShiftFixture, "NextShiftStep, split equals the plan, returns no step", "[shift]")
{
  CHECK_FALSE(Next().has_value());
}

// Guards against a failed region whose traffic moves to the other regions all at once.
TEST_CASE_METHOD(ShiftFixture,
                 "NextShiftStep, region without live servers, moves the cap in each interval",
                 "[shift]")
{
  FailRegion({ "kriti" });
  for (plan::BasisPoints part = 9000; part > 0; part -= 1000) {
    REQUIRE(TakeStep());
    CHECK(Part({ "kriti" }, { "kriti" }) == part);
    CHECK_FALSE(TakeStep());
    mNow += kInterval;
  }
  REQUIRE(TakeStep());
  CHECK(Row({ "kriti" }) == plan::SplitRow{ { { "attiki" }, 5000 }, { { "makedonia" }, 5000 } });
  mNow += kInterval;
  CHECK_FALSE(Next().has_value());
}

TEST_CASE_METHOD(ShiftFixture,
                 "NextShiftStep, region recovers, moves traffic back in the same steps",
                 "[shift]")
{
  const RegionView allLive = mRegions;
  FailRegion({ "kriti" });
  TakeStep();
  mRegions = allLive;
  CHECK_FALSE(Next().has_value());
  mNow += kInterval;
  REQUIRE(TakeStep());
  CHECK(Row({ "kriti" }) == plan::SplitRow{ { { "kriti" }, kWhole } });
}

// Guards against a failover that overloads the remaining regions.
TEST_CASE_METHOD(ShiftFixture, "NextShiftStep, other regions are full, keeps the split", "[shift]")
{
  FailRegion({ "kriti" });
  mRegions.mInFlight[{ { "programma" }, { "attiki" } }] = 60;
  mRegions.mInFlight[{ { "vardia" }, { "makedonia" } }] = 36;
  CHECK_FALSE(Next().has_value());
  mRegions.mInFlight[{ { "vardia" }, { "makedonia" } }] = 35;
  const auto step = Next();
  REQUIRE(step.has_value());
  CHECK(step->mAddedInFlight == std::map<RegionId, std::uint64_t>{ { { "makedonia" }, 1 } });
  CHECK(step->mChange.mShift.mInUse.at({ "kriti" }).at({ "makedonia" }) == 277);
}

// Guards against two services that use the same headroom because reports do not show the first
// service's step yet.
TEST_CASE_METHOD(
  ShiftFixture,
  "NextShiftStep, urgent step is not in the reports yet, deferred service uses the rest",
  "[shift]")
{
  CHECK(ServicesByClass(*mConfiguration.mPlan).front() == ServiceId{ "vardia" });
  FailRegion({ "kriti" });
  mRegions.mInFlight[{ { "vardia" }, { "makedonia" } }] = 57;
  mRegions.mInFlight[{ { "programma" }, { "attiki" } }] = 57;
  REQUIRE(TakeStep());
  CHECK(mSteps[{ "vardia" }].mAddedInFlight ==
        std::map<RegionId, std::uint64_t>{ { { "attiki" }, 3 } });
  CHECK(Row({ "kriti" }).at({ "attiki" }) == 833);
  const auto deferred = Next({ "programma" });
  REQUIRE(deferred.has_value());
  CHECK(deferred->mAddedInFlight == std::map<RegionId, std::uint64_t>{ { { "makedonia" }, 3 } });
}

TEST_CASE_METHOD(ShiftFixture,
                 "NextShiftStep, plan drains a region, moves its part away",
                 "[shift]")
{
  mPlan.mDrainedRegions = { { "attiki" } };
  SetPlan();
  REQUIRE(TakeStep());
  CHECK(Part({ "attiki" }, { "attiki" }) == 9000);
}

TEST_CASE_METHOD(ShiftFixture,
                 "NextShiftStep, operator drains a region, moves its part away",
                 "[shift]")
{
  mConfiguration.mDrains.mRegions.insert({ "attiki" });
  REQUIRE(TakeStep());
  CHECK(Part({ "attiki" }, { "attiki" }) == 9000);
}

TEST_CASE_METHOD(ShiftFixture, "NextShiftStep, all regions are drained, keeps the split", "[shift]")
{
  mConfiguration.mDrains.mRegions = { { "attiki" }, { "kriti" }, { "makedonia" } };
  CHECK_FALSE(Next().has_value());
}

TEST_CASE_METHOD(ShiftFixture,
                 "NextShiftStep, plan removes a region, moves its part away",
                 "[shift]")
{
  mPlan.mRegions.erase({ "kriti" });
  for (auto& [id, matrix] : mPlan.mSplits) {
    matrix.erase({ "kriti" });
  }
  SetPlan();
  REQUIRE(TakeStep());
  CHECK(Row({ "kriti" }).at({ "kriti" }) == 9000);
}

TEST_CASE_METHOD(ShiftFixture,
                 "NextShiftStep, plan adds a region, moves the cap towards it",
                 "[shift]")
{
  AddRegion({ "ionia" });
  mPlan.mSplits[{ "vardia" }][{ "attiki" }] = { { { "attiki" }, 5000 }, { { "ionia" }, 5000 } };
  SetPlan();
  REQUIRE(TakeStep());
  CHECK(Part({ "attiki" }, { "ionia" }) == 1000);
  CHECK(Part({ "ionia" }, { "ionia" }) == kWhole);
}

// Guards against combinations of failures, recoveries, drains and new plans in which a step moves
// more than the cap within an interval, moves traffic to a region that may not serve, or exceeds a
// region's headroom.
TEST_CASE("NextShiftStep, random events, respects cap, interval and headroom", "[shift]")
{
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    ShiftFixture fixture;
    const RegionView allLive = fixture.mRegions;
    const std::vector<RegionId> regions{ { "attiki" }, { "kriti" }, { "makedonia" } };
    Instant lastStep = fixture.mNow - kInterval;
    for (int n = 0; n < 300; ++n) {
      fixture.mNow += std::chrono::seconds(random() % 20);
      const RegionId& region = regions[random() % 3];
      switch (random() % 6) {
        case 0:
          fixture.FailRegion(region);
          break;
        case 1:
          fixture.mRegions.mLiveGroups = allLive.mLiveGroups;
          break;
        case 2:
          fixture.mConfiguration.mDrains.mRegions = { region };
          break;
        case 3:
          fixture.mConfiguration.mDrains.mRegions.clear();
          break;
        case 4:
          fixture.mRegions.mInFlight[{ { "vardia" }, region }] = random() % 37;
          break;
        default:
          fixture.mPlan.mShiftCap = 100 + random() % 2000;
          fixture.SetPlan();
      }
      const auto before = fixture.mConfiguration.mShifts.at({ "vardia" }).mInUse;
      if (!fixture.TakeStep()) {
        continue;
      }
      REQUIRE(fixture.mNow - lastStep >= kInterval);
      lastStep = fixture.mNow;
      std::map<RegionId, std::uint64_t> gained;
      for (const auto& [origin, row] : fixture.mConfiguration.mShifts.at({ "vardia" }).mInUse) {
        plan::BasisPoints moved = 0;
        plan::BasisPoints sum = 0;
        for (const auto& [target, part] : row) {
          sum += part;
          const auto held = before.at(origin).find(target);
          const plan::BasisPoints old = held == before.at(origin).end() ? 0 : held->second;
          if (part > old) {
            moved += part - old;
            gained[target] += std::uint64_t{ 36 } * (part - old);
            REQUIRE(MayServe(
              fixture.mConfiguration, fixture.mRegions.mLiveGroups, { { "vardia" }, target }));
          }
        }
        REQUIRE(sum == kWhole);
        REQUIRE(moved <= fixture.mConfiguration.mPlan->mShiftCap);
      }
      for (const auto& [target, units] : gained) {
        REQUIRE(fixture.mRegions.mInFlight[{ { "vardia" }, target }] * kWhole + units <=
                std::uint64_t{ 36 } * kWhole);
      }
    }
  }
}

} // namespace
} // namespace fighold::routing
