#include "gauges.hpp"

#include <catch2/catch.hpp>

namespace fighold::entry {
namespace {

struct GaugesFixture
{
  telemetry::Metrics mMetrics;
  State mState;
  Instant mNow{ std::chrono::hours(1) };

  GaugesFixture()
  {
    plan::Plan plan;
    plan.mNumber = 1;
    plan.mMaxEntries = 1;
    plan.mRegions[{ "attiki" }] = 60;
    plan.mServices[{ "vardia" }] = {};
    membership::Configuration configuration;
    configuration.mPlan = SharedValue(plan);
    mState.mConfiguration = SharedValue(configuration);
    routing::ApplyLimits(mState.mShares, plan, 1);
  }

  bool Contains(const std::string& aText) const
  {
    return mMetrics.Text().find(aText) != std::string::npos;
  }
};

// Guards against unbounded label growth: callers send requests with made-up service names.
TEST_CASE_METHOD(GaugesFixture,
                 "ObserveAnswer, services that the plan does not name, share a label",
                 "[entry]")
{
  for (int n = 0; n < 20; ++n) {
    CallerAnswer answer;
    answer.mService = { "made-up-" + std::to_string(n) };
    ObserveAnswer(mMetrics, mState, answer);
  }
  CHECK(Contains("fighold_request_seconds_count{outcome=\"not-run\",service=\"unknown\"} 20"));
  CHECK_FALSE(Contains("made-up"));
}

TEST_CASE_METHOD(GaugesFixture,
                 "SetGauges, base share held, reports the units of the region",
                 "[entry]")
{
  routing::ApplyGrant(mState.mShares, { { 1, 1 }, true, {} }, mNow);
  SetGauges(mMetrics, mState, mNow);
  CHECK(
    Contains("fighold_share_units{from=\"\",kind=\"region\",region=\"attiki\",service=\"\"} 30"));
}

// Guards against an outage of the control group in which nobody can see what an entry believes.
TEST_CASE_METHOD(GaugesFixture,
                 "SetGauges, servers cold or limited and the last grant old, reports all",
                 "[entry]")
{
  mState.mLastGrant = mNow - std::chrono::seconds(4);
  mState.mServerLoads[{ "s1" }].mColdUntil = mNow + Millis(1);
  mState.mServerLoads[{ "s2" }].mColdUntil = mNow;
  mState.mServerLoads[{ "s3" }].mNamedPerSecond = 2.5;
  SetGauges(mMetrics, mState, mNow);
  CHECK(Contains("fighold_grant_age_seconds 4"));
  CHECK(Contains("fighold_backend_servers_cold 1"));
  CHECK(Contains("fighold_backend_servers_rate_limited 1"));
}

// Guards against servers that are out of use by their own words where nobody can see it.
TEST_CASE_METHOD(GaugesFixture,
                 "SetGauges, servers that leave or pause, counts those that are listed",
                 "[entry]")
{
  membership::Configuration configuration;
  configuration.mBackendServers[{ "s1" }].mIncarnation = 2;
  configuration.mBackendServers[{ "s2" }].mIncarnation = 1;
  mState.mConfiguration = SharedValue(configuration);
  mState.mAvailabilities[{ { "s1" }, 1 }].mState = AvailabilityState::Leaving;
  mState.mAvailabilities[{ { "s1" }, 2 }].mState = AvailabilityState::Leaving;
  mState.mAvailabilities[{ { "s2" }, 1 }] = { AvailabilityState::Paused, mNow + Millis(1), 1 };
  mState.mAvailabilities[{ { "gone" }, 1 }].mState = AvailabilityState::Leaving;
  SetGauges(mMetrics, mState, mNow);
  CHECK(Contains("fighold_backend_servers_leaving 1"));
  CHECK(Contains("fighold_backend_servers_paused 1"));
}

// Guards against a shift between regions that nobody can see from outside.
TEST_CASE_METHOD(GaugesFixture,
                 "SetGauges, split between regions, reports the share of each",
                 "[entry]")
{
  mState.mPools[{ "vardia" }].mSplit.mWeights = { { { "attiki" }, 0.75 }, { { "kriti" }, 0.25 } };
  SetGauges(mMetrics, mState, mNow);
  CHECK(Contains("fighold_region_share{region=\"attiki\",service=\"vardia\"} 0.75"));
  CHECK(Contains("fighold_region_share{region=\"kriti\",service=\"vardia\"} 0.25"));
}

} // namespace
} // namespace fighold::entry
