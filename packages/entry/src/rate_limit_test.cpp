#include "entry_group_fixture.hpp"
#include "fighold/routes/admission.hpp"

namespace fighold::entry {
namespace {

constexpr Millis kWindow{ 4000 };

/// What a server that names a limit may get within kWindow.
double
MaxWithinWindow(double aPerSecond)
{
  constexpr double kFactor = 1.5;
  constexpr double kSlack = 5;
  return kFactor * aPerSecond * std::chrono::duration<double>(kWindow).count() + kSlack;
}

/// All entries in contact with the control group.
bool
AlwaysGranted(std::size_t /*aEntry*/)
{
  return true;
}

// Guards against servers in need that get as much as before from entries that they told how much
// they take.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, servers name limits, stays within them over all entries",
                 "[entry]")
{
  StartEntries(kEightEntries);
  Run(std::chrono::seconds(2), AlwaysGranted);
  const std::map<BackendServerId, double> named{
    { { "s0" }, 1 }, { { "s1" }, 2 }, { { "s2" }, 3.3 }, { { "s3" }, 4.5 }, { { "s4" }, 0.3 }
  };
  mNamedPerSecond = named;
  Run(std::chrono::seconds(4), AlwaysGranted);
  mSent.clear();
  Run(std::chrono::seconds(20), AlwaysGranted);
  for (const auto& [id, perSecond] : named) {
    INFO(id.mValue << " names " << perSecond << "/s");
    CHECK(static_cast<double>(MostWithin(mSent[id], kWindow)) <= MaxWithinWindow(perSecond));
    // What a server takes is not left unused.
    CHECK(static_cast<double>(mSent[id].size()) >= 20 * perSecond * 0.6);
  }
}

// Guards against a limited server that most of the many entries send nothing to, or each one a
// request too much.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, seventy entries and a limited server, stay within the limit",
                 "[entry]")
{
  std::vector<std::string> regions;
  for (std::size_t n = 0; n < 70; ++n) {
    regions.push_back(mRegions[n % mRegions.size()]);
  }
  StartEntries(regions);
  mNamedPerSecond = { { { "s0" }, 1 }, { { "s1" }, 5 } };
  Run(std::chrono::seconds(8), AlwaysGranted);
  mSent.clear();
  Run(std::chrono::seconds(40), AlwaysGranted);
  CHECK(static_cast<double>(MostWithin(mSent[{ "s0" }], kWindow)) <= MaxWithinWindow(1));
  CHECK(static_cast<double>(MostWithin(mSent[{ "s1" }], kWindow)) <= MaxWithinWindow(5));
}

// Guards against a server that stays out of use after it no longer names a limit.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, server names its limit no longer, gets its part from all entries again",
                 "[entry]")
{
  StartEntries(kEightEntries);
  mNamedPerSecond = { { { "s0" }, 1 } };
  Run(std::chrono::seconds(4), AlwaysGranted);
  mNamedPerSecond.clear();
  Run(std::chrono::seconds(10), AlwaysGranted);
  for (const State& it : mEntries) {
    CHECK_FALSE(it.mServerLoads.at({ "s0" }).mNamedPerSecond);
  }
  mSent.clear();
  Run(std::chrono::seconds(4), AlwaysGranted);
  CHECK(mSent[{ "s0" }].size() > 20);
}

// Guards against a new incarnation that inherits the limit of the one before it.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, limited server restarted, starts without a limit",
                 "[entry]")
{
  StartEntries(kEightEntries);
  mNamedPerSecond = { { { "s0" }, 1 } };
  Run(std::chrono::seconds(4), AlwaysGranted);
  mNamedPerSecond.clear();
  ++mConfiguration.mBackendServers[{ "s0" }].mIncarnation;
  ++mConfiguration.mVersion;
  Run(Millis(5), AlwaysGranted);
  for (const State& it : mEntries) {
    CHECK_FALSE(it.mServerLoads.at({ "s0" }).mNamedPerSecond);
  }
}

// Guards against requests that wait for their deadline although all servers are at their limits.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, all servers at their limits, is rejected at once with a time to retry",
                 "[entry]")
{
  StartEntries(kEightEntries);
  for (const auto& [id, server] : mConfiguration.mBackendServers) {
    mNamedPerSecond[id] = 1;
  }
  Run(std::chrono::seconds(4), AlwaysGranted);
  mSent.clear();
  mNotRun = 0;
  Run(std::chrono::seconds(4), AlwaysGranted);
  std::size_t sent = 0;
  for (const auto& [id, times] : mSent) {
    sent += times.size();
  }
  CHECK(sent + mNotRun == 800);
  CHECK(sent >= 24);
  // The next turns of the entries are seconds apart.
  CHECK(mLongestRetryAfter > routes::kMaxRetryAfter / 2);
}

} // namespace
} // namespace fighold::entry
