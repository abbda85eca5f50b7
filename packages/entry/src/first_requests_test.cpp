#include "entry_group_fixture.hpp"

namespace fighold::entry {
namespace {

/// A region whose room is small beside its demand, and entries that learn of the servers one after
/// another before the first request arrives.
struct SmallRegionFixture : EntryGroupFixture
{
  /// Kriti has one server, the other regions have five and six.
  SmallRegionFixture()
  {
    std::size_t n = 0;
    for (auto& [id, server] : mConfiguration.mBackendServers) {
      const std::string region = n == 0 ? "kriti" : mRegions[n % 2];
      server.mRegion = { region };
      server.mDataCentre = { region + "-a" };
      ++n;
    }
  }

  /// Starts entries that know no server yet, and makes one more server known each half second.
  void StartOneByOne(const std::vector<std::string>& aRegions)
  {
    const auto servers = mConfiguration.mBackendServers;
    mConfiguration.mBackendServers.clear();
    StartEntries(aRegions);
    for (const auto& [id, server] : servers) {
      mConfiguration.mBackendServers[id] = server;
      ++mConfiguration.mVersion;
      Wait(Millis(500));
    }
  }

  /// Lets time pass without requests.
  void Wait(Millis aLength)
  {
    const Instant end = mNow + aLength;
    for (; mNow < end; mNow += Millis(250)) {
      for (State& it : mEntries) {
        Grant(it, {});
        Step(it, Tick{}, mNow);
      }
    }
  }

  /// Lets requests arrive at the first entry for two seconds.
  /// @return share of them that it sent to kriti
  double ShareOfKriti()
  {
    mSent.clear();
    mOnlyEntry = 0;
    mArrivalInterval = Millis(20);
    Run(std::chrono::seconds(2), [](std::size_t) { return true; });
    double kriti = 0;
    double all = 0;
    for (const auto& [id, sent] : mSent) {
      const bool isKriti = mConfiguration.mBackendServers.at(id).mRegion.mValue == "kriti";
      kriti += isKriti ? static_cast<double>(sent.size()) : 0;
      all += static_cast<double>(sent.size());
    }
    return all > 0 ? kriti / all : 0;
  }
};

// Guards against an entry that sends the first requests of a region with little room all to that
// region, because its servers became known first or all regions seemed idle: seconds later most of
// the region's requests ran elsewhere.
TEST_CASE_METHOD(
  SmallRegionFixture,
  "Forward, first requests of a region with little room, start at its share of slots",
  "[entry]")
{
  StartOneByOne({ "kriti", "attiki", "makedonia" });
  Wait(std::chrono::seconds(8));
  // One of twelve servers, three regions: a quarter of the region's requests have room there.
  const double first = ShareOfKriti();
  CHECK(first <= 0.25 + 0.15);
  CHECK(first >= 0.25 - 0.15);
  CHECK(std::abs(ShareOfKriti() - first) <= 0.15);
}

// Guards against a split that cannot change any more after it kept still without requests.
TEST_CASE_METHOD(SmallRegionFixture,
                 "Forward, requests after a pause without any, keep the split of before",
                 "[entry]")
{
  StartOneByOne({ "kriti", "attiki", "makedonia" });
  const double before = ShareOfKriti();
  Wait(std::chrono::seconds(20));
  CHECK(std::abs(ShareOfKriti() - before) <= 0.15);
}

} // namespace
} // namespace fighold::entry
