#include "fighold/membership/backend_lifecycle.hpp"
#include "fighold/membership/lease.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace fighold::membership {
namespace {

struct BackendLifecycleFixture
{
  BackendChart mChart = LoadBackendChart(FIGHOLD_CHARTS_DIR);
  Instant mStart{ std::chrono::hours(1) };
  BackendLifecycle mLifecycle = StartLifecycle(7, mStart);

  void Renew(Millis aAt)
  {
    mLifecycle =
      AfterRenewal(mChart, mLifecycle, mStart + aAt + kBackendServerLease, 0, mStart + aAt);
  }

  void Tick(Millis aAt) { mLifecycle = AfterTick(mChart, mLifecycle, mStart + aAt); }
};

TEST_CASE_METHOD(BackendLifecycleFixture,
                 "BackendLifecycle, renewed until after the warm-up, warms and serves",
                 "[membership]")
{
  Renew(Millis(10));
  CHECK(mLifecycle.mStage == BackendStage::Warming);
  for (Millis at{ 500 }; at <= kWarmUp; at += Millis(500)) {
    Renew(at);
    Tick(at);
  }
  CHECK(mLifecycle.mStage == BackendStage::Serving);
}

// Guards against a server that stays in service after it stopped renewing.
TEST_CASE_METHOD(BackendLifecycleFixture,
                 "BackendLifecycle, renewals stop, expires and is gone after the retention",
                 "[membership]")
{
  Renew(Millis(10));
  Tick(Millis(2010));
  CHECK(mLifecycle.mStage == BackendStage::Expired);
  CHECK_FALSE(IsAlive(mLifecycle, mStart + Millis(2010)));
  Tick(Millis(2010) + kRemoveBackendServerAfter);
  CHECK(mLifecycle.mStage == BackendStage::Gone);
}

// Guards against a late renewal that puts a departed server back into service.
TEST_CASE_METHOD(BackendLifecycleFixture,
                 "BackendLifecycle, renewal after the departure, stays leaving",
                 "[membership]")
{
  Renew(Millis(10));
  mLifecycle = AfterDeparture(mChart, mLifecycle, mStart + Millis(20));
  Renew(Millis(30));
  CHECK(mLifecycle.mStage == BackendStage::Leaving);
  CHECK_FALSE(IsAlive(mLifecycle, mStart + Millis(30)));
}

TEST_CASE_METHOD(BackendLifecycleFixture,
                 "BackendLifecycle, renewal after it expired, warms again",
                 "[membership]")
{
  Tick(Millis(2000));
  REQUIRE(mLifecycle.mStage == BackendStage::Expired);
  Renew(Millis(2500));
  CHECK(mLifecycle.mStage == BackendStage::Warming);
}

TEST_CASE_METHOD(BackendLifecycleFixture,
                 "BackendLifecycle, any sequence of events, is alive only within its lease",
                 "[membership]")
{
  rc::prop("and never after its departure", [this]() {
    const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(0, 3000)));
    BackendLifecycle lifecycle = StartLifecycle(1, mStart);
    Instant now = mStart;
    Instant lease = mStart;
    bool departed = false;
    for (const auto& [kind, wait] : events) {
      now += Millis(wait);
      if (kind == 0) {
        lifecycle = AfterDeparture(mChart, lifecycle, now);
        departed = departed || lifecycle.mStage == BackendStage::Leaving;
      } else if (kind < 10) {
        lifecycle = AfterRenewal(mChart, lifecycle, now + kBackendServerLease, 0, now);
        lease = now + kBackendServerLease;
      } else {
        lifecycle = AfterTick(mChart, lifecycle, now);
      }
      RC_ASSERT(!departed || !IsAlive(lifecycle, now));
      RC_ASSERT(now < lease || !IsAlive(lifecycle, now));
    }
  });
}

} // namespace
} // namespace fighold::membership
