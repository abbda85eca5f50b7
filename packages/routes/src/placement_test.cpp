#include "fighold/routes/placement.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>

namespace fighold::routes {
namespace {

/// Two data centres of a region with two servers each, all idle.
struct PlacementFixture
{
  ServerPool mPool;
  ServerLoads mLoads;
  Instant mNow{ std::chrono::hours(1) };

  PlacementFixture()
  {
    for (const std::string id : { "a1", "a2", "b1", "b2" }) {
      Server server;
      server.mId = { id };
      server.mRegion = { "leith" };
      server.mDataCentre = { id.substr(0, 1) };
      server.mSlots = 3;
      mPool.mServers.push_back(server);
      mLoads[{ id }].mAliveUntil = mNow + std::chrono::hours(1);
    }
    mPool.mProcessingTimes = { 600, 200, 300, 50, mNow };
  }

  Placement At(std::uint64_t aObjectKey, const std::string& aDataCentre = "a")
  {
    return ChooseServer(
      mPool, mLoads, { aObjectKey, 0, {}, { "leith" }, { aDataCentre }, std::nullopt }, true, mNow);
  }

  ServerLoad& LoadOf(const std::string& aId) { return mLoads[{ aId }]; }
};

// Pattern "objects": guards against servers that forget objects because each request for one goes
// elsewhere.
TEST_CASE_METHOD(PlacementFixture,
                 "Place, requests for one object, go to one server of the data centre",
                 "[routes]")
{
  for (std::uint64_t key = 1; key <= 200; ++key) {
    const auto first = At(key).mServer;
    REQUIRE(first);
    CHECK(first->mDataCentre.mValue == "a");
    CHECK(At(key).mServer == first);
  }
}

// Pattern "no objects": guards against entries that all send requests without an object to the same
// server, since its name comes first.
TEST_CASE_METHOD(PlacementFixture,
                 "Place, requests without an object, are spread over the data centre",
                 "[routes]")
{
  std::map<std::string, int> sent;
  for (std::uint64_t draw = 1; draw <= 400; ++draw) {
    const Placement placement =
      ChooseServer(mPool, mLoads, { 0, draw, {}, { "leith" }, { "a" }, std::nullopt }, true, mNow);
    ++sent[placement.mServer->mId.mValue];
  }
  CHECK(sent["a1"] > 100);
  CHECK(sent["a2"] > 100);
}

// Pattern "few servers": guards against one server that must remember the objects of a whole data
// centre.
TEST_CASE_METHOD(PlacementFixture,
                 "Place, one server in the data centre, spreads objects over the region",
                 "[routes]")
{
  mPool.mServers.erase(mPool.mServers.begin());
  std::set<std::string> used;
  for (std::uint64_t key = 1; key <= 200; ++key) {
    used.insert(At(key).mServer->mId.mValue);
  }
  CHECK(used == std::set<std::string>{ "a2", "b1", "b2" });
}

// Pattern "routes of different work": guards against a route whose requests take milliseconds and
// are expected to take as long as those of the others at the same servers.
TEST_CASE_METHOD(PlacementFixture,
                 "Place, route with work times of its own, is expected to take those",
                 "[routes]")
{
  const ProcessingTimes shortWork{ 8, 4, 5, 50, mNow };
  const Placement placement =
    ChooseServer(mPool, mLoads, { 0, 0, {}, { "leith" }, { "a" }, shortWork }, true, mNow);
  CHECK(placement.mExpected == Millis(5));
  CHECK(At(0).mExpected == Millis(300));
}

// Pattern "server full": guards against a wait at a full server while another one has slots.
TEST_CASE_METHOD(PlacementFixture,
                 "Place, first server long busy, sends the request to another one",
                 "[routes]")
{
  const std::string first = At(7).mServer->mId.mValue;
  LoadOf(first).mOwnRequests = 12;
  const Placement other = At(7);
  REQUIRE(other.mServer);
  CHECK(other.mServer->mId.mValue != first);
  CHECK(other.mCacheState == CacheState::Uncached);
}

// Pattern "many servers": guards against objects that wander over all servers of a data centre as
// each of them is busy in its turn, so that none remembers them.
TEST_CASE_METHOD(PlacementFixture,
                 "Place, first servers of an object busy, stays with few of many",
                 "[routes]")
{
  mPool.mServers.clear();
  mPool.mProcessingTimes = { 1200, 300, 700, 50, mNow };
  for (int n = 0; n < 25; ++n) {
    Server server;
    server.mId = { "a" + std::to_string(100 + n) };
    server.mRegion = { "leith" };
    server.mDataCentre = { "a" };
    server.mSlots = 9;
    mPool.mServers.push_back(server);
    mLoads[server.mId].mAliveUntil = mNow + std::chrono::hours(1);
    mLoads[server.mId].mReportedAt = mNow;
  }
  std::set<BackendServerId> used;
  std::uint32_t state = 1;
  for (int n = 0; n < 300; ++n) {
    // Every server is full at times, and none all the time.
    for (const Server& it : mPool.mServers) {
      state = state * 1664525U + 1013904223U;
      mLoads[it.mId].mOwnRequests = (state >> 24U) % 31;
    }
    used.insert(At(7).mServer->mId);
  }
  CHECK(used.size() <= 6);
}

// Pattern "server full for a moment": guards against work on a new object, three times as long, in
// place of a short wait.
TEST_CASE_METHOD(PlacementFixture,
                 "Place, first server busy for a moment, waits for it",
                 "[routes]")
{
  const std::string first = At(7).mServer->mId.mValue;
  LoadOf(first).mOwnRequests = 3;
  CHECK(At(7).mServer->mId.mValue == first);
}

/// Why a server may get nothing.
struct RuledOutRow
{
  const char* mReason;
  std::function<void(ServerLoad&, Instant)> mSet;
};

// Guards against requests to servers that are gone, or that cannot bear more while they are cold.
TEST_CASE_METHOD(PlacementFixture,
                 "Place, server ruled out, gets nothing and is named with the reason",
                 "[routes]")
{
  const std::vector<RuledOutRow> rows{
    { "no-lease", [](ServerLoad& aLoad, Instant aNow) { aLoad.mAliveUntil = aNow; } },
    { "cold-rate",
      [](ServerLoad& aLoad, Instant aNow) {
        aLoad.mColdUntil = aNow + Millis(10);
        aLoad.mNextColdDispatch = aNow + Millis(5);
      } },
    { "ejected", [](ServerLoad& aLoad, Instant aNow) { aLoad.mEjectedUntil = aNow + Millis(10); } },
  };
  for (const RuledOutRow& row : rows) {
    INFO(row.mReason);
    const std::string first = At(7).mServer->mId.mValue;
    const ServerLoad before = LoadOf(first);
    row.mSet(LoadOf(first), mNow);
    const Placement placement = At(7);
    CHECK(placement.mServer->mId.mValue != first);
    CHECK(placement.mRejected == std::vector<Rejected>{ { first, row.mReason } });
    LoadOf(first) = before;
  }
}

// Pattern "group lost": guards against an entry that stops serving because its control group is
// away, while callers and servers are there.
TEST_CASE_METHOD(PlacementFixture,
                 "Place, leases not trusted, uses servers whose lease ended",
                 "[routes]")
{
  for (auto& [id, load] : mLoads) {
    load.mAliveUntil = mNow;
  }
  CHECK_FALSE(At(7).mServer);
  CHECK(ChooseServer(mPool, mLoads, { 7, 0, {}, { "leith" }, { "a" }, std::nullopt }, false, mNow)
          .mServer);
}

// Pattern "grey server": guards against a server that turns requests away at once and seems the
// fastest for it.
TEST_CASE_METHOD(PlacementFixture,
                 "Place, server that turns requests away, is left for others",
                 "[routes]")
{
  const std::string first = At(7).mServer->mId.mValue;
  ServerLoad load = LoadOf(first);
  for (int n = 0; n < 8; ++n) {
    load = RecordOutcome(
      RecordDispatch(load, {}, mNow), DispatchOutcome::Refused, 0, std::nullopt, mNow);
  }
  LoadOf(first) = load;
  CHECK(At(7).mServer->mId.mValue != first);
  mNow += std::chrono::seconds(30);
  CHECK(At(7).mServer->mId.mValue == first);
}

// Pattern "all servers grey": guards against a service that goes on refusing its callers because
// its servers turned requests away some seconds ago: that makes no request longer.
TEST_CASE_METHOD(PlacementFixture,
                 "Place, every server turned requests away, expects no longer work for it",
                 "[routes]")
{
  const Duration before = At(7).mExpected;
  for (auto& [id, load] : mLoads) {
    for (int n = 0; n < 8; ++n) {
      load = RecordOutcome(
        RecordDispatch(load, {}, mNow), DispatchOutcome::Refused, 0, std::nullopt, mNow);
    }
  }
  CHECK(At(7).mExpected == before);
}

// Pattern "server lost": guards against requests that each find out anew that a server is gone.
TEST_CASE_METHOD(PlacementFixture,
                 "NoteEnded, failures in a row, eject for twice as long each time",
                 "[routes]")
{
  ServerLoad load;
  Duration before{};
  for (int n = 0; n < 5; ++n) {
    for (std::uint32_t k = 0; k < kConsecutiveFailuresToEject; ++k) {
      load = RecordOutcome(
        RecordDispatch(load, {}, mNow), DispatchOutcome::Failed, 0, std::nullopt, mNow);
    }
    const Duration length = load.mEjectedUntil - mNow;
    CHECK(length == std::min<Duration>(kMaxEjectionTime, n == 0 ? kBaseEjectionTime : before * 2));
    before = length;
    mNow = load.mEjectedUntil;
  }
  CHECK(
    RecordOutcome(RecordDispatch(load, {}, mNow), DispatchOutcome::Answered, 0, std::nullopt, mNow)
      .mConsecutiveEjections == 0);
}

// Pattern "cold start": guards against entries that together send a cold server more than it bears,
// in any second and whatever each one knows.
TEST_CASE_METHOD(PlacementFixture,
                 "LimitWhileCold, any number of entries, stays below the rate and its slack",
                 "[routes]")
{
  for (const std::size_t count : { 1, 2, 8, 11, 70, 79 }) {
    std::vector<EntryId> entries;
    for (std::size_t n = 0; n < count; ++n) {
      entries.push_back({ "entry-" + std::to_string(n) });
    }
    for (const double rate : { 1.0, 3.0, 3.8, 5.7 }) {
      double perSecond = 0;
      std::size_t senders = 0;
      for (const EntryId& it : entries) {
        const ColdLimit limit = ComputeColdLimit({ "s1" }, entries, it, rate);
        if (limit.mIsSender) {
          ++senders;
          perSecond += 1000.0 / static_cast<double>(limit.mMinInterval.count());
        }
      }
      INFO(count << " entries, " << rate << "/s");
      CHECK(senders >= 1);
      CHECK(perSecond <= rate + 0.01);
      // Every sender may begin in the same second.
      CHECK(static_cast<double>(senders) + perSecond <= rate * 1.5 + 5);
    }
  }
}

// Pattern "many entries": each of seventy hears of one server every few seconds. Guards against a
// service of which every server is full and seems idle because its last report is old.
TEST_CASE_METHOD(PlacementFixture,
                 "Place, all reports old and the region busy, expects the wait of the region",
                 "[routes]")
{
  for (auto& [id, load] : mLoads) {
    load.mReportedAt = mNow - std::chrono::seconds(10);
  }
  CHECK(At(7).mWait == Duration{});
  RegionLoad& region = mPool.mRegionLoads[{ "leith" }];
  for (int n = 0; n < 60; ++n) {
    region = UpdateRegionLoad(region, mPool.mServers.front(), 9, mNow);
  }
  // Nine requests of others at three slots: three work times of 300 ms, the last one half over.
  CHECK(At(7).mWait > Millis(600));
  // A report from now goes before what the region says.
  LoadOf("a2").mReportedAt = mNow;
  CHECK(At(7).mServer->mId.mValue == "a2");
  CHECK(At(7).mWait == Duration{});
}

// Pattern "all refused": guards against an entry that refuses on and on for a load of long ago.
TEST_CASE_METHOD(PlacementFixture, "UsualForeign, no reports for long, falls", "[routes]")
{
  const RegionLoad region{ 4, mNow };
  CHECK(ExpectedOtherRequests(region, mPool.mServers.front(), mNow) == Approx(12));
  CHECK(ExpectedOtherRequests(region, mPool.mServers.front(), mNow + 3 * kRegionLoadTimeConstant) <
        1);
}

// Guards against an estimate that takes an old report for the present load.
TEST_CASE_METHOD(PlacementFixture, "BusyEstimate, report grows old, counts less", "[routes]")
{
  ServerLoad load = RecordDispatch({}, {}, mNow);
  load = RecordOutcome(
    RecordDispatch(load, {}, mNow), DispatchOutcome::Answered, 5, LoadReport{ 3, 4, 3 }, mNow);
  CHECK(EstimateInFlight(load, 0, mNow) == Approx(7));
  CHECK(EstimateInFlight(load, 0, mNow + kLoadReportTimeConstant) ==
        Approx(1 + 6 * std::exp(-1.0)));
}

} // namespace
} // namespace fighold::routes
