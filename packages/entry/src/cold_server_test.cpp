#include "entry_group_fixture.hpp"

namespace fighold::entry {
namespace {

// Guards against entries that take the last word about a server for current while the control group
// is down: a server that turned cold meanwhile got the full rate of all of them.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, control group down for seconds, stays within what a cold server bears",
                 "[entry]")
{
  StartEntries(kEightEntries);
  Run(std::chrono::seconds(2), [](std::size_t) { return true; });
  CHECK(BusiestSecond() > kMaxColdPerSecond);
  Run(std::chrono::seconds(4), [](std::size_t) { return false; });
  mSent.clear();
  Run(std::chrono::seconds(6), [](std::size_t) { return false; });
  CHECK(BusiestSecond() <= kMaxColdPerSecond);
}

// Guards against an outage of the control group in which callers are rejected, although the servers
// say themselves that they are not cold.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, control group down and servers healthy, serves as before",
                 "[entry]")
{
  StartEntries(kEightEntries);
  mHealthAnswer = Millis(0);
  Run(std::chrono::seconds(2), [](std::size_t) { return true; });
  CHECK(mProbes == 0);
  Run(std::chrono::seconds(4), [](std::size_t) { return false; });
  mNotRun = 0;
  mSent.clear();
  Run(std::chrono::seconds(6), [](std::size_t) { return false; });
  CHECK(mNotRun <= 60); // of 1,200
  CHECK(BusiestSecond() > kMaxColdPerSecond);
}

// Guards against a server that turns cold between two health requests and gets the full rate of all
// entries until the next one is answered.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, control group down and servers turn cold, keeps to their bound",
                 "[entry]")
{
  StartEntries(kEightEntries);
  mHealthAnswer = Millis(0);
  Run(std::chrono::seconds(5), [](std::size_t) { return false; });
  for (int n = 0; n < 5; ++n) {
    INFO("turn " << n);
    mHealthAnswer = Millis(3000);
    mSent.clear();
    Run(Millis(2900), [](std::size_t) { return false; });
    CHECK(BusiestSecond() <= kMaxColdPerSecond);
    mHealthAnswer = Millis(0);
    Run(Millis(2900 + 70 * n), [](std::size_t) { return false; });
  }
}

// Guards against entries that know that a server is cold and entries that are cut off from the
// control group which together exceed what the server bears.
TEST_CASE_METHOD(
  EntryGroupFixture,
  "Forward, some entries cut off, stays within what a cold server bears with the others",
  "[entry]")
{
  StartEntries(kEightEntries);
  Run(std::chrono::seconds(4), [](std::size_t aEntry) { return aEntry % 2 == 0; });
  Run(
    std::chrono::seconds(2), [](std::size_t aEntry) { return aEntry % 2 == 0; }, Millis(3000));
  mSent.clear();
  Run(
    std::chrono::seconds(6), [](std::size_t aEntry) { return aEntry % 2 == 0; }, Millis(3000));
  CHECK(BusiestSecond() <= kMaxColdPerSecond);
}

// Guards against an entry that rejects all its callers while the control group is down, because
// other entries are nearer to every server.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, control group down and no server near, still reaches some servers",
                 "[entry]")
{
  std::vector<std::string> regions = kEightEntries;
  regions.emplace_back("thessalia");
  StartEntries(regions);
  Run(std::chrono::seconds(4), [](std::size_t) { return false; });
  mSent.clear();
  mSentBy.assign(mEntries.size(), 0);
  Run(std::chrono::seconds(6), [](std::size_t) { return false; });
  for (std::size_t n = 0; n < mEntries.size(); ++n) {
    INFO(regions[n] << " " << n);
    CHECK(mSentBy[n] > 6);
  }
}

// Guards against a grant after an outage that renews the trust in an old word about a server: the
// lease of the server may outlast the outage.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, contact regained without a new heartbeat, stays within the same bound",
                 "[entry]")
{
  StartEntries(kEightEntries);
  Run(std::chrono::seconds(3), [](std::size_t) { return false; });
  mLeaseEnd = mNow + Millis(1500);
  mSent.clear();
  Run(Millis(1400), [](std::size_t) { return true; });
  CHECK_FALSE(mSent.empty());
  CHECK(BusiestSecond() <= kMaxColdPerSecond);
}

// Guards against a heartbeat after an outage that renews the trust in a server: an evacuation that
// was ordered during the outage is not in force yet, and the servers of its data centre turn cold
// between two heartbeats.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, contact regained and servers turn cold, keeps to their bound",
                 "[entry]")
{
  StartEntries(kEightEntries);
  mHealthAnswer = Millis(0);
  Run(std::chrono::seconds(5), [](std::size_t) { return false; });
  for (const int regained : { 200, 900, 2000, 5000 }) {
    INFO("turns cold " << regained << " ms after the contact was regained");
    Run(Millis(regained), [](std::size_t) { return true; });
    mHealthAnswer = Millis(3000);
    mSent.clear();
    Run(Millis(700), [](std::size_t) { return true; });
    Run(
      Millis(2300), [](std::size_t) { return true; }, Millis(2300));
    CHECK(BusiestSecond() <= kMaxColdPerSecond);
    mHealthAnswer = Millis(0);
    Run(std::chrono::seconds(4), [](std::size_t) { return false; });
  }
}

// Guards against a bound on the requests between two health answers that holds only while few
// requests arrive.
TEST_CASE_METHOD(
  EntryGroupFixture,
  "Forward, control group down and many requests, keeps to the bound of cold servers",
  "[entry]")
{
  StartEntries(kEightEntries);
  mHealthAnswer = Millis(0);
  for (const int interval : { 4, 2, 1 }) {
    INFO("a request every " << interval << " ms");
    mArrivalInterval = Millis(interval);
    mHealthAnswer = Millis(0);
    Run(std::chrono::seconds(5), [](std::size_t) { return false; });
    CHECK(BusiestSecond() > kMaxColdPerSecond);
    mHealthAnswer = Millis(3000);
    mSent.clear();
    Run(Millis(2900), [](std::size_t) { return false; });
    CHECK(BusiestSecond() <= kMaxColdPerSecond);
  }
}

// Guards against an outage in which most of many entries can use hardly any server, although the
// servers say themselves that they are not cold.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, control group down for many entries, serves most requests",
                 "[entry]")
{
  std::vector<std::string> regions;
  for (std::size_t n = 0; n < 60; ++n) {
    regions.push_back(mRegions[n % 3]);
  }
  StartEntries(regions);
  mArrivalInterval = Millis(10);
  mHealthAnswer = Millis(0);
  Run(std::chrono::seconds(4), [](std::size_t) { return false; });
  mNotRun = 0;
  mSent.clear();
  Run(std::chrono::seconds(6), [](std::size_t) { return false; });
  CHECK(mNotRun <= 120); // of 600
  mHealthAnswer = Millis(3000);
  mSent.clear();
  Run(Millis(2900), [](std::size_t) { return false; });
  CHECK(BusiestSecond() <= kMaxColdPerSecond);
}

// Guards against seconds after an outage in which most of many entries still can't use most
// servers, although they are in contact and the servers say that they are not cold.
TEST_CASE_METHOD(EntryGroupFixture,
                 "Forward, contact regained for many entries, serves most requests",
                 "[entry]")
{
  std::vector<std::string> regions;
  for (std::size_t n = 0; n < 60; ++n) {
    regions.push_back(mRegions[n % 3]);
  }
  StartEntries(regions);
  mArrivalInterval = Millis(10);
  mHealthAnswer = Millis(0);
  Run(std::chrono::seconds(4), [](std::size_t) { return false; });
  mNotRun = 0;
  Run(std::chrono::seconds(4), [](std::size_t) { return true; });
  CHECK(mNotRun <= 40); // of 400
}

} // namespace
} // namespace fighold::entry
