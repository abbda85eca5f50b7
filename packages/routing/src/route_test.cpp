#include "fighold/routing/route.hpp"

#include <catch2/catch.hpp>

namespace fighold::routing {
namespace {

struct RouteFixture
{
  membership::Configuration mConfiguration;
  ServerStates mStates;
  RouteRequest mRequest{ 1, { "vardia" }, { "attiki" }, {}, false, std::nullopt };
  Instant mNow{ std::chrono::hours(1) };

  RouteFixture()
  {
    plan::Plan plan;
    plan.mNumber = 1;
    mConfiguration.mPlan = SharedValue(plan);
    mConfiguration.mShifts[{ "vardia" }].mInUse[{ "attiki" }] = { { { "attiki" }, 9000 },
                                                                  { { "kriti" }, 1000 } };
    AddServer("a", "attiki");
    AddServer("b", "attiki");
    AddServer("k", "kriti");
  }

  void AddServer(const std::string& aId, const std::string& aRegion)
  {
    membership::BackendServer server;
    server.mService = { "vardia" };
    server.mRegion = { aRegion };
    server.mSlots = 6;
    mConfiguration.mBackendServers[{ aId }] = server;
    mStates[{ aId }] = ServerState{ mNow + Millis(1000), 0, {} };
  }

  RouteDecision Decide(const Draws& aDraws = {}) const
  {
    return Route(
      mConfiguration, BuildRoutingTable(mConfiguration), mStates, mRequest, aDraws, mNow);
  }
};

TEST_CASE_METHOD(RouteFixture,
                 "ChooseRegion, every random number once, matches the split exactly",
                 "[routing]")
{
  int kriti = 0;
  for (std::uint64_t n = 0; n < plan::kWhole; ++n) {
    kriti += Decide({ n, 0, 0 }).mRegion == RegionId{ "kriti" } ? 1 : 0;
  }
  CHECK(kriti == 1000);
}

TEST_CASE_METHOD(RouteFixture,
                 "Route, one of two servers is busier, chooses the other",
                 "[routing]")
{
  mStates[{ "a" }].mOutstanding = 3;
  CHECK(Decide({ 0, 0, 0 }).mCandidate->mId == BackendServerId{ "b" });
  CHECK(Decide({ 0, 1, 0 }).mCandidate->mId == BackendServerId{ "b" });
}

// Guards against new work for a backend server that has announced its departure.
TEST_CASE_METHOD(RouteFixture, "Route, server is leaving, does not choose it", "[routing]")
{
  mConfiguration.mBackendServers[{ "a" }].mLeaving = true;
  for (std::uint64_t n = 0; n < 4; ++n) {
    CHECK(Decide({ 0, n, n }).mCandidate->mId == BackendServerId{ "b" });
  }
}

// Guards against new work for a backend server that no longer renews its lease.
TEST_CASE_METHOD(RouteFixture,
                 "Route, lease of a server has expired, rejects it with the reason",
                 "[routing]")
{
  mStates[{ "a" }].mAliveUntil = mNow;
  const RouteDecision decision = Decide();
  CHECK(decision.mCandidate->mId == BackendServerId{ "b" });
  CHECK(decision.mRecord.mRejected == std::vector<Rejected>{ { "a", "lease-expired" } });
}

TEST_CASE_METHOD(RouteFixture, "Route, all servers were already tried, chooses none", "[routing]")
{
  mRequest.mAlreadyTried = { { "a" }, { "b" } };
  const RouteDecision decision = Decide();
  CHECK_FALSE(decision.mCandidate.has_value());
  CHECK(decision.mRecord.mReason == "no-usable-backend-server");
}

TEST_CASE_METHOD(RouteFixture, "Route, service is not in the plan, chooses none", "[routing]")
{
  mRequest.mService = { "other" };
  CHECK(Decide().mRecord.mReason == "unknown-service");
}

} // namespace
} // namespace fighold::routing
