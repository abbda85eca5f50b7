#include "fighold/routes/route_set.hpp"
#include "fighold/routes/route_table.hpp"

#include <catch2/catch.hpp>

#include <functional>

namespace fighold::routes {
namespace {

struct RouteFixture
{
  RouteSet mSet;

  RouteFixture()
  {
    mSet.mNumber = 1;
    mSet.mServices[{ "offers" }] = {};
    mSet.mServices[{ "claims" }] = {};
    mSet.mHosts = { "desk.example" };
    Add("r1", "/offers/", "offers");
    Add("r2", "/offers/old/", "claims");
  }

  void Add(const std::string& aName, const std::string& aPrefix, const std::string& aService)
  {
    Route route;
    route.mName = aName;
    route.mHost = "desk.example";
    route.mPathPrefix = aPrefix;
    route.mServices = { { { aService }, 1 } };
    mSet.mRoutes[aName] = route;
  }

  std::string Find(const std::string& aHost, const std::string& aTarget) const
  {
    const RouteTable table = BuildRouteTable(SharedValue(mSet));
    const Route* route = FindRoute(table, aHost, aTarget);
    return route == nullptr ? "" : route->mName;
  }
};

/// A request target and the route that it matches.
struct TargetRow
{
  const char* mHost;
  const char* mTarget;
  const char* mRoute;
};

// Guards against a request that goes to a service although a longer prefix matches another one.
TEST_CASE_METHOD(RouteFixture, "FindRoute, several prefixes match, returns the longest", "[routes]")
{
  const std::vector<TargetRow> rows{
    { "desk.example", "/offers/", "r1" },
    { "desk.example", "/offers/7", "r1" },
    { "desk.example:8080", "/offers/7?x=/offers/old/", "r1" },
    { "DESK.example", "/offers/old/7", "r2" },
    { "desk.example", "/offers/older", "r1" },
    { "desk.example", "/offers", "" },
    { "desk.example", "/", "" },
    { "desk.example", "*", "" },
    { "other.example", "/offers/7", "" },
    { "", "/offers/7", "" },
  };
  for (const TargetRow& it : rows) {
    INFO(it.mHost << it.mTarget);
    CHECK(Find(it.mHost, it.mTarget) == it.mRoute);
  }
}

/// An error that an operator can make.
struct ErrorRow
{
  const char* mName;
  std::function<void(RouteSet&)> mBreak;
};

// Guards against an invalid route set in force.
TEST_CASE_METHOD(RouteFixture, "CheckRouteSet, one error, is reported", "[routes]")
{
  CHECK(CheckRouteSet(mSet).empty());
  const std::vector<ErrorRow> rows{
    { "unknown service", [](RouteSet& aSet) { aSet.mServices.erase({ "claims" }); } },
    { "weight below 0",
      [](RouteSet& aSet) {
        aSet.mRoutes["r1"].mServices.push_back({ { "claims" }, -1 });
      } },
    { "no weight above 0", [](RouteSet& aSet) { aSet.mRoutes["r1"].mServices[0].mWeight = 0; } },
    { "empty host", [](RouteSet& aSet) { aSet.mRoutes["r1"].mHost.clear(); } },
    { "host without a name", [](RouteSet& aSet) { aSet.mHosts.insert(""); } },
    { "no service", [](RouteSet& aSet) { aSet.mRoutes["r1"].mServices.clear(); } },
    { "prefix without its last slash",
      [](RouteSet& aSet) { aSet.mRoutes["r1"].mPathPrefix = "/offers"; } },
    { "no attempts", [](RouteSet& aSet) { aSet.mRoutes["r1"].mAttempts = 0; } },
    { "no time", [](RouteSet& aSet) { aSet.mRoutes["r1"].mTimeout = Millis(0); } },
  };
  for (const ErrorRow& it : rows) {
    INFO(it.mName);
    RouteSet set = mSet;
    it.mBreak(set);
    CHECK_FALSE(CheckRouteSet(set).empty());
  }
}

// Guards against a patch that changes items that it does not name.
TEST_CASE_METHOD(RouteFixture,
                 "PatchRouteSet, named items, leaves the others unchanged",
                 "[routes]")
{
  RoutePatch patch;
  patch.mNumber = 3;
  patch.mRoutes["r1"] = mSet.mRoutes["r1"];
  patch.mRoutes["r1"].mTimeout = Millis(7);
  patch.mRemovedRoutes = { "r2" };
  const RouteSet next = PatchRouteSet(mSet, patch);
  CHECK(next.mNumber == 3);
  CHECK(next.mRoutes.at("r1").mTimeout == Millis(7));
  CHECK(next.mRoutes.count("r2") == 0);
  CHECK(next.mServices == mSet.mServices);
  CHECK(next.mHosts == mSet.mHosts);
}

// Guards against a service of a weighted route that gets more or less than its share.
TEST_CASE_METHOD(RouteFixture,
                 "PickNext, weights of 90 and 10, is exact after every ten requests",
                 "[routes]")
{
  WeightedRoundRobin roundRobin;
  std::vector<int> counts(3);
  for (int n = 1; n <= 1000; ++n) {
    ++counts[PickNext(roundRobin, { 90, 10, 0 })];
    if (n % 10 == 0) {
      CHECK(counts == std::vector<int>{ n / 10 * 9, n / 10, 0 });
    }
  }
}

// Guards against many entries that all start with the same service.
TEST_CASE_METHOD(RouteFixture,
                 "StartRoundRobin, each position once, picks each index by its weight first",
                 "[routes]")
{
  std::vector<int> counts(3);
  for (std::uint64_t position = 0; position < kRoundRobinStarts; ++position) {
    WeightedRoundRobin roundRobin = StartRoundRobin({ 60, 30, 10 }, position);
    ++counts[PickNext(roundRobin, { 60, 30, 10 })];
  }
  CHECK(counts == std::vector<int>{ 60, 30, 10 });
}

} // namespace
} // namespace fighold::routes
