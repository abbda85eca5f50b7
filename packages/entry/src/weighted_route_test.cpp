#include "entry_group_fixture.hpp"

namespace fighold::entry {
namespace {

/// A route whose requests go to two services, nine of ten to the first.
struct WeightedRouteFixture : EntryGroupFixture
{
  WeightedRouteFixture()
  {
    SetWeights(90, 10);
    for (std::size_t n = 0; n < 6; ++n) {
      membership::BackendServer server = mConfiguration.mBackendServers.begin()->second;
      server.mService = { "hall" };
      server.mRegion = { mRegions[n % 3] };
      server.mDataCentre = { mRegions[n % 3] + "-b" };
      server.mAddress = { "10.0.0.2", static_cast<std::uint16_t>(8000 + n) };
      mConfiguration.mBackendServers[{ "hall" + std::to_string(n) }] = server;
    }
  }

  void SetWeights(double aFirst, double aSecond)
  {
    routes::RouteSet set = *mConfiguration.mRoutes;
    ++set.mNumber;
    set.mServices[{ "hall" }] = set.mServices.at({ "vardia" });
    set.mRoutes.at("read").mWeighted = true;
    set.mRoutes.at("read").mServices = { { { "vardia" }, aFirst }, { { "hall" }, aSecond } };
    mConfiguration.mRoutes = SharedValue(set);
    ++mConfiguration.mVersion;
  }

  /// Starts as many entries as aCount in all regions.
  void StartMany(std::size_t aCount)
  {
    std::vector<std::string> regions;
    for (std::size_t n = 0; n < aCount; ++n) {
      regions.push_back(mRegions[n % 3]);
    }
    StartEntries(regions);
  }

  /// @return requests that the servers of "hall" got, and those of all services
  std::pair<double, double> CountSent() const
  {
    std::pair<double, double> count;
    for (const auto& [id, sent] : mSent) {
      const bool hall = mConfiguration.mBackendServers.at(id).mService.mValue == "hall";
      count.first += hall ? static_cast<double>(sent.size()) : 0;
      count.second += static_cast<double>(sent.size());
    }
    return count;
  }

  double ShareOfHall() const { return CountSent().first / CountSent().second; }
};

constexpr double kTenth = 0.1;

// Guards against entries with a request every few seconds that all start with the same part: the
// other part got nothing until each of them had seen ten requests.
TEST_CASE_METHOD(WeightedRouteFixture,
                 "Forward, weighted route and a request for each entry, keeps the shares together",
                 "[entry]")
{
  StartMany(150);
  for (std::size_t n = 0; n < mEntries.size(); ++n) {
    Arrive(n);
  }
  CHECK(ShareOfHall() >= 0.1 - kTenth / 2);
  CHECK(ShareOfHall() <= 0.1 + kTenth / 2);
}

// Guards against shares that stay those of the old weights.
TEST_CASE_METHOD(WeightedRouteFixture,
                 "Forward, weights changed, follows the new ones from the next request on",
                 "[entry]")
{
  StartMany(8);
  Run(std::chrono::seconds(2), [](std::size_t) { return true; });
  CHECK(std::abs(ShareOfHall() - 0.1) <= 0.1 * kTenth);
  SetWeights(40, 60);
  for (State& it : mEntries) {
    Grant(it, {});
  }
  mSent.clear();
  Run(std::chrono::seconds(2), [](std::size_t) { return true; });
  CHECK(std::abs(ShareOfHall() - 0.6) <= 0.6 * kTenth);
}

// Guards against requests that are moved to the other part because the servers of theirs are
// drained: what doesn't fit a part is rejected.
TEST_CASE_METHOD(WeightedRouteFixture,
                 "Forward, all servers of a part drained, rejects its requests",
                 "[entry]")
{
  StartMany(8);
  for (const std::string& it : mRegions) {
    mConfiguration.mDrains.mDataCentres.insert({ it + "-b" });
  }
  ++mConfiguration.mVersion;
  for (State& it : mEntries) {
    Grant(it, {});
  }
  mNotRun = 0;
  Run(std::chrono::seconds(2), [](std::size_t) { return true; });
  const double asked = static_cast<double>(mNotRun) + CountSent().second;
  CHECK(CountSent().first == 0);
  CHECK(std::abs(static_cast<double>(mNotRun) / asked - 0.1) <= 0.1 * kTenth);
}

// Guards against the same for a part whose servers are cold or name a limit.
TEST_CASE_METHOD(WeightedRouteFixture,
                 "Forward, all servers of a part limited, rejects what doesn't fit there",
                 "[entry]")
{
  SetWeights(50, 50);
  for (std::size_t n = 0; n < 6; ++n) {
    mNamedPerSecond[{ "hall" + std::to_string(n) }] = 0.5;
  }
  StartMany(8);
  Run(std::chrono::seconds(4), [](std::size_t) { return true; });
  const auto [hall, all] = CountSent();
  const double asked = static_cast<double>(mNotRun) + all;
  CHECK(std::abs((all - hall) / asked - 0.5) <= 0.5 * kTenth);
  CHECK(mNotRun > 0);
}

} // namespace
} // namespace fighold::entry
