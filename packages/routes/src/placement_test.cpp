#include "fighold/routes/placement.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>

namespace fighold::routes {
namespace {

/// Two data centres of a region with two idle servers each.
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

  Placement ChooseFor(std::uint64_t aObjectKey, const std::string& aDataCentre = "a")
  {
    return ChooseServer(
      mPool, mLoads, { aObjectKey, 0, {}, { "leith" }, { aDataCentre }, std::nullopt }, true, mNow);
  }

  ServerLoad& LoadOf(const std::string& aId) { return mLoads[{ aId }]; }
};

// Guards against cache misses because the requests for one object go to different servers.
TEST_CASE_METHOD(PlacementFixture,
                 "ChooseServer, requests for one object, go to one server of the data centre",
                 "[routes]")
{
  for (std::uint64_t key = 1; key <= 200; ++key) {
    const auto first = ChooseFor(key).mServer;
    REQUIRE(first);
    CHECK(first->mDataCentre.mValue == "a");
    CHECK(ChooseFor(key).mServer == first);
  }
}

// Guards against entries that all send requests without an object to the same server because its
// name comes first.
TEST_CASE_METHOD(PlacementFixture,
                 "ChooseServer, requests without an object, are spread over the data centre",
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

// Guards against a single server that has to cache the objects of a whole data centre.
TEST_CASE_METHOD(PlacementFixture,
                 "ChooseServer, one server in the data centre, spreads objects over the region",
                 "[routes]")
{
  mPool.mServers.erase(mPool.mServers.begin());
  std::set<std::string> used;
  for (std::uint64_t key = 1; key <= 200; ++key) {
    used.insert(ChooseFor(key).mServer->mId.mValue);
  }
  CHECK(used == std::set<std::string>{ "a2", "b1", "b2" });
}

// Guards against a route with requests of a few milliseconds that are expected to take as long as
// those of other routes at the same servers.
TEST_CASE_METHOD(PlacementFixture,
                 "ChooseServer, route with its own processing times, is expected to take those",
                 "[routes]")
{
  const ProcessingTimes shortTimes{ 8, 4, 5, 50, mNow };
  const Placement placement =
    ChooseServer(mPool, mLoads, { 0, 0, {}, { "leith" }, { "a" }, shortTimes }, true, mNow);
  CHECK(placement.mExpectedTime == Millis(5));
  CHECK(ChooseFor(0).mExpectedTime == Millis(300));
}

// Guards against waiting at a full server while another one has free slots.
TEST_CASE_METHOD(PlacementFixture,
                 "ChooseServer, first server long busy, sends the request to another one",
                 "[routes]")
{
  const std::string first = ChooseFor(7).mServer->mId.mValue;
  LoadOf(first).mOwnRequests = 12;
  const Placement other = ChooseFor(7);
  REQUIRE(other.mServer);
  CHECK(other.mServer->mId.mValue != first);
  CHECK(other.mCacheState == CacheState::Uncached);
}

// Guards against objects that move across all servers of a data centre as each of them is busy in
// turn, so that no server keeps them cached.
TEST_CASE_METHOD(PlacementFixture,
                 "ChooseServer, first servers of an object busy, stays with few of many",
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
    // Each server is full at times, but none is full all the time.
    for (const Server& it : mPool.mServers) {
      state = state * 1664525U + 1013904223U;
      mLoads[it.mId].mOwnRequests = (state >> 24U) % 31;
    }
    used.insert(ChooseFor(7).mServer->mId);
  }
  CHECK(used.size() <= 6);
}

// Guards against processing an uncached object, which takes three times as long, instead of a short
// wait.
TEST_CASE_METHOD(PlacementFixture,
                 "ChooseServer, first server busy for a moment, waits for it",
                 "[routes]")
{
  const std::string first = ChooseFor(7).mServer->mId.mValue;
  LoadOf(first).mOwnRequests = 3;
  CHECK(ChooseFor(7).mServer->mId.mValue == first);
}

/// A reason for which a server may not get requests.
struct ExclusionRow
{
  const char* mReason;
  std::function<void(ServerLoad&, Instant)> mExclude;
};

// Guards against requests to servers that are gone, or that cannot take more while they are cold.
TEST_CASE_METHOD(PlacementFixture,
                 "ChooseServer, server excluded, gets no request and is listed with the reason",
                 "[routes]")
{
  const std::vector<ExclusionRow> rows{
    { "no-lease", [](ServerLoad& aLoad, Instant aNow) { aLoad.mAliveUntil = aNow; } },
    { "cold-rate",
      [](ServerLoad& aLoad, Instant aNow) {
        aLoad.mColdUntil = aNow + Millis(10);
        aLoad.mNextRateDispatch = aNow + Millis(5);
      } },
    { "ejected", [](ServerLoad& aLoad, Instant aNow) { aLoad.mEjectedUntil = aNow + Millis(10); } },
  };
  for (const ExclusionRow& row : rows) {
    INFO(row.mReason);
    const std::string first = ChooseFor(7).mServer->mId.mValue;
    const ServerLoad before = LoadOf(first);
    row.mExclude(LoadOf(first), mNow);
    const Placement placement = ChooseFor(7);
    CHECK(placement.mServer->mId.mValue != first);
    CHECK(placement.mRejected == std::vector<Rejected>{ { first, row.mReason } });
    LoadOf(first) = before;
  }
}

// Guards against an entry that stops serving when its control group is unreachable, although
// callers and servers are reachable.
TEST_CASE_METHOD(PlacementFixture,
                 "ChooseServer, leases not trusted, uses servers with an expired lease",
                 "[routes]")
{
  for (auto& [id, load] : mLoads) {
    load.mAliveUntil = mNow;
  }
  CHECK_FALSE(ChooseFor(7).mServer);
  CHECK(ChooseServer(mPool, mLoads, { 7, 0, {}, { "leith" }, { "a" }, std::nullopt }, false, mNow)
          .mServer);
}

// Guards against preferring a server that refuses requests at once and therefore seems the fastest.
TEST_CASE_METHOD(PlacementFixture, "ChooseServer, server refuses requests, is avoided", "[routes]")
{
  const std::string first = ChooseFor(7).mServer->mId.mValue;
  ServerLoad load = LoadOf(first);
  for (int n = 0; n < 8; ++n) {
    load = RecordOutcome(
      RecordDispatch(load, std::nullopt, mNow), DispatchOutcome::Refused, 0, std::nullopt, mNow);
  }
  LoadOf(first) = load;
  CHECK(ChooseFor(7).mServer->mId.mValue != first);
  mNow += std::chrono::seconds(30);
  CHECK(ChooseFor(7).mServer->mId.mValue == first);
}

// Guards against rejecting callers because all servers refused requests some seconds ago: refusals
// do not make the processing of other requests longer.
TEST_CASE_METHOD(PlacementFixture,
                 "ChooseServer, every server refused requests, expects the same processing time",
                 "[routes]")
{
  const Duration before = ChooseFor(7).mExpectedTime;
  for (auto& [id, load] : mLoads) {
    for (int n = 0; n < 8; ++n) {
      load = RecordOutcome(
        RecordDispatch(load, std::nullopt, mNow), DispatchOutcome::Refused, 0, std::nullopt, mNow);
    }
  }
  CHECK(ChooseFor(7).mExpectedTime == before);
}

// Guards against sending request after request to a server that is gone.
TEST_CASE_METHOD(PlacementFixture,
                 "RecordOutcome, consecutive failures, eject for twice as long each time",
                 "[routes]")
{
  ServerLoad load;
  Duration before{};
  for (int n = 0; n < 5; ++n) {
    for (std::uint32_t k = 0; k < kConsecutiveFailuresToEject; ++k) {
      load = RecordOutcome(
        RecordDispatch(load, std::nullopt, mNow), DispatchOutcome::Failed, 0, std::nullopt, mNow);
    }
    const Duration length = load.mEjectedUntil - mNow;
    CHECK(length == std::min<Duration>(kMaxEjectionTime, n == 0 ? kBaseEjectionTime : before * 2));
    before = length;
    mNow = load.mEjectedUntil;
  }
  CHECK(
    RecordOutcome(
      RecordDispatch(load, std::nullopt, mNow), DispatchOutcome::Answered, 0, std::nullopt, mNow)
      .mConsecutiveEjections == 0);
}

// With seventy entries, each gets a report of one server only every few seconds. Guards against
// full servers that seem idle because their last reports are old.
TEST_CASE_METHOD(
  PlacementFixture,
  "ChooseServer, all reports old and the region busy, expects the wait of the region",
  "[routes]")
{
  for (auto& [id, load] : mLoads) {
    load.mReportedAt = mNow - std::chrono::seconds(10);
  }
  CHECK(ChooseFor(7).mWait == Duration{});
  RegionLoad& region = mPool.mRegionLoads[{ "leith" }];
  for (int n = 0; n < 60; ++n) {
    region = UpdateRegionLoad(region, mPool.mServers.front(), 9, mNow);
  }
  // Nine requests of others at three slots: three processing times of 300 ms, the last one half
  // over.
  CHECK(ChooseFor(7).mWait > Millis(600));
  // A current report takes precedence over the load of the region.
  LoadOf("a2").mReportedAt = mNow;
  CHECK(ChooseFor(7).mServer->mId.mValue == "a2");
  CHECK(ChooseFor(7).mWait == Duration{});
}

// Guards against an entry that rejects every request because of an old load of a region: it then
// gets no new reports that would correct the load.
TEST_CASE_METHOD(PlacementFixture,
                 "ExpectedOtherRequests, no reports for long, decreases",
                 "[routes]")
{
  const RegionLoad region{ 4, mNow };
  CHECK(ExpectedOtherRequests(region, mPool.mServers.front(), mNow) == Approx(12));
  CHECK(ExpectedOtherRequests(region, mPool.mServers.front(), mNow + 3 * kRegionLoadTimeConstant) <
        1);
}

// Guards against an estimate that takes an old report for the current load.
TEST_CASE_METHOD(PlacementFixture, "EstimateInFlight, old report, counts less", "[routes]")
{
  ServerLoad load = RecordDispatch({}, std::nullopt, mNow);
  load = RecordOutcome(RecordDispatch(load, std::nullopt, mNow),
                       DispatchOutcome::Answered,
                       5,
                       LoadReport{ 3, 4, 3 },
                       mNow);
  CHECK(EstimateInFlight(load, 0, mNow) == Approx(7));
  CHECK(EstimateInFlight(load, 0, mNow + kLoadReportTimeConstant) ==
        Approx(1 + 6 * std::exp(-1.0)));
}

} // namespace
} // namespace fighold::routes
