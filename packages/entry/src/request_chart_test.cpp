#include "request_fixture.hpp"

#include <catch2/catch.hpp>

#include <random>

namespace fighold::entry {
namespace {

TEST_CASE_METHOD(RequestFixture, "Request, unsafe without key, is refused as not run", "[entry]")
{
  Arrive(1, "POST", "");
  CHECK(All<Dispatch>().empty());
  CHECK(LastAnswer().mOutcome == Outcome::NotRun);
  CHECK(LastAnswer().mStatus == 400);
}

TEST_CASE_METHOD(RequestFixture,
                 "Request, unsafe with key, is dispatched after a majority",
                 "[entry]")
{
  Arrive(1, "POST", "k");
  GrantClaim(1, { "c1" });
  CHECK(All<Dispatch>().empty());
  GrantClaim(1, { "c2" });
  REQUIRE(All<Dispatch>().size() == 1);
  CHECK(All<Dispatch>()[0].mSendDeadline == mNow + claims::kValidity);
  CHECK(All<Dispatch>()[0].mConnectionShare == 10);
  GrantClaim(1, { "c3" });
  CHECK(All<Dispatch>().size() == 1);
}

// Guards against counting a replica's duplicate reply towards the majority.
TEST_CASE_METHOD(RequestFixture, "Request, one replica grants twice, is not dispatched", "[entry]")
{
  Arrive(1, "POST", "k");
  GrantClaim(1, { "c1" });
  GrantClaim(1, { "c1" });
  GrantClaim(1, { "stranger" });
  CHECK(All<Dispatch>().empty());
  mNow += claims::kClaimTimeout;
  HandleEvent(Tick{});
  CHECK(LastAnswer().mOutcome == Outcome::NotRun);
  GrantClaim(1, { "c2" });
  CHECK(All<Dispatch>().empty());
}

/// The fixture's region with a capacity of 2 for one entry, of which the base share is 1.
struct ShareFixture : RequestFixture
{
  ShareFixture()
  {
    plan::Plan plan = *mState.mConfiguration->mPlan;
    plan.mRegions[{ "attiki" }] = 2;
    plan.mMaxEntries = 1;
    routing::ApplyLimits(mState.mShares, plan, 1);
  }

  void GrantDemandShare(std::uint64_t aUnits)
  {
    routing::ShareGrant grant{ { 1, ++mGrantNumber }, true, {} };
    grant.mDemand[{ routing::LimitKind::Region, { "attiki" }, {}, {} }] = { aUnits, 1 };
    grant.mDemand[{ routing::LimitKind::Service, { "attiki" }, {}, { "vardia" } }] = { aUnits, 1 };
    mState.mShareReportsSent[mGrantNumber] = mNow;
    HandleEvent(ShareAnswerReceived{ { mGrantNumber, grant } });
  }

  std::uint64_t mGrantNumber = 1;
};

// Guards against exceeding the capacity of a region.
TEST_CASE_METHOD(ShareFixture,
                 "Request, share of the region used up, waits until another request ends",
                 "[entry]")
{
  Arrive(1, "GET", "");
  Arrive(2, "GET", "");
  REQUIRE(All<Dispatch>().size() == 1);
  CHECK(All<Reply>().empty());
  EndDispatch(All<Dispatch>()[0], Complete());
  REQUIRE(All<Dispatch>().size() == 2);
  CHECK(All<Dispatch>()[1].mId == 2);
}

TEST_CASE_METHOD(ShareFixture,
                 "Request, waiting when a demand share is granted, is dispatched",
                 "[entry]")
{
  Arrive(1, "GET", "");
  Arrive(2, "GET", "");
  Arrive(3, "GET", "");
  GrantDemandShare(1);
  CHECK(All<Dispatch>().size() == 2);
}

// Guards against a request that waits forever, or is sent after its deadline.
TEST_CASE_METHOD(ShareFixture,
                 "Request, deadline passed in the queue, is answered as not run",
                 "[entry]")
{
  Arrive(1, "GET", "");
  Arrive(2, "GET", "");
  mNow += Millis(5001);
  HandleEvent(Tick{});
  CHECK(LastAnswer().mOutcome == Outcome::NotRun);
  CHECK(LastAnswer().mReason == "no-share-of-the-limits");
  EndDispatch(All<Dispatch>()[0], Lost());
  CHECK(All<Dispatch>().size() == 1);
}

// Guards against a request that waits although the time left is too short for its answer: the
// caller was told only at the deadline.
TEST_CASE_METHOD(ShareFixture,
                 "Request, no time left for the answer in the queue, is answered as not run",
                 "[entry]")
{
  for (const std::string id : { "a1", "a2", "a3" }) {
    mState.mServers[{ id }].mLatency = Millis(2000);
  }
  Arrive(1, "GET", "");
  Arrive(2, "GET", "");
  mNow += Millis(2900);
  HandleEvent(Tick{});
  CHECK(All<Reply>().empty());
  mNow += Millis(200);
  HandleEvent(Tick{});
  CHECK(LastAnswer().mOutcome == Outcome::NotRun);
  EndDispatch(All<Dispatch>()[0], Complete());
  CHECK(All<Dispatch>().size() == 1);
}

// Guards against a share that leaks when its request is cancelled.
TEST_CASE_METHOD(ShareFixture,
                 "Request, caller disconnected, releases its share to the next request",
                 "[entry]")
{
  Arrive(1, "GET", "");
  Arrive(2, "GET", "");
  HandleEvent(CallerGone{ 1 });
  CHECK(All<Dispatch>().size() == 2);
}

// Guards against a request that is sent on after its caller has left, because it waited for its
// turn in the inbox for longer than the caller.
TEST_CASE_METHOD(ShareFixture, "Request, caller left before its turn, is not sent", "[entry]")
{
  HandleEvent(CallerGone{ 1 });
  Arrive(1, "GET", "");
  CHECK(All<Dispatch>().empty());
  CHECK(All<Reply>().size() == 1);
  Arrive(2, "GET", "");
  CHECK(All<Dispatch>().size() == 1);
}

// Guards against an entry that keeps using its base share after the right to it has expired.
TEST_CASE_METHOD(ShareFixture,
                 "Request, right to the base share expired, is not dispatched",
                 "[entry]")
{
  mNow += std::chrono::hours(1);
  mState.mLease.mUntil = mNow + std::chrono::hours(1);
  Arrive(1, "GET", "");
  CHECK(All<Dispatch>().empty());
}

/// Result of a dispatch and the expected reaction.
struct OutcomeRow
{
  const char* mName;
  const char* mMethod;
  net::ExchangeResult mResult;
  bool mRetried;                   ///< the request is dispatched again
  std::optional<Outcome> mOutcome; ///< outcome of the answer, if it is not
};

// Guards against running a request twice that may not be repeated, and against answering "not run"
// for a request that may have run.
TEST_CASE_METHOD(RequestFixture,
                 "Request, each result of its dispatch, is repeated only if allowed",
                 "[entry]")
{
  const std::vector<OutcomeRow> rows{
    { "safe, lost", "GET", Lost(), true, std::nullopt },
    { "safe, unsent", "GET", Unsent(), true, std::nullopt },
    { "safe, shed", "GET", Shed(), true, std::nullopt },
    { "safe, complete", "GET", Complete(), false, Outcome::Run },
    { "unsafe, lost", "POST", Lost(), false, Outcome::Unknown },
    { "unsafe, unsent", "POST", Unsent(), true, std::nullopt },
    { "unsafe, shed", "POST", Shed(), true, std::nullopt },
    { "unsafe, complete", "POST", Complete(), false, Outcome::Run },
  };
  RequestId id = 0;
  for (const OutcomeRow& row : rows) {
    INFO(row.mName);
    mEffects.clear();
    ++id;
    Arrive(id, row.mMethod, "k" + std::to_string(id));
    GrantClaim(id, { "c1" });
    GrantClaim(id, { "c2" });
    REQUIRE(All<Dispatch>().size() == 1);
    EndDispatch(All<Dispatch>()[0], row.mResult);
    CHECK(All<Dispatch>().size() == (row.mRetried ? 2 : 1));
    CHECK(All<Reply>().size() == (row.mRetried ? 0 : 1));
    if (row.mOutcome) {
      CHECK(LastAnswer().mOutcome == *row.mOutcome);
    }
  }
}

// Guards against "not run" for a request that may have run at a server which was lost before.
TEST_CASE_METHOD(RequestFixture,
                 "Request, lost and then refused, has an unknown outcome",
                 "[entry]")
{
  for (const bool shed : { true, false }) {
    mEffects.clear();
    Arrive(shed ? 1 : 2, "GET", "");
    EndDispatch(All<Dispatch>().back(), Lost());
    while (All<Reply>().empty()) {
      EndDispatch(All<Dispatch>().back(), shed ? Shed() : Unsent());
    }
    CHECK(All<Dispatch>().size() == 3);
    CHECK(LastAnswer().mOutcome == Outcome::Unknown);
  }
}

// Guards against a dispatch under a claim that the replicas may have expired.
TEST_CASE_METHOD(RequestFixture,
                 "Request, unsent after its claim expired, is not sent again",
                 "[entry]")
{
  mState.mLease.mUntil = mNow + std::chrono::hours(1);
  Arrive(1, "POST", "k");
  GrantClaim(1, { "c1" });
  GrantClaim(1, { "c2" });
  mState.mInFlight.at(1).mDeadline = mNow + std::chrono::hours(1);
  mNow += claims::kValidity;
  EndDispatch(All<Dispatch>()[0], Unsent());
  CHECK(All<Dispatch>().size() == 1);
  CHECK(LastAnswer().mOutcome == Outcome::NotRun);
  CHECK(Releases() == 3);
}

TEST_CASE_METHOD(RequestFixture, "Request, stored response found, is answered with it", "[entry]")
{
  Arrive(1, "POST", "k");
  HandleEvent(ClaimReplyReceived{ { "c2" },
                                  { { { "e1" }, 1, 1 },
                                    claims::ReplyCode::Answered,
                                    { { "e2" }, 1, 1 },
                                    claims::StoredResponse{ 201, { { "X", "y" } }, "first" } } });
  CHECK(All<Dispatch>().empty());
  CHECK(LastAnswer().mOutcome == Outcome::Run);
  CHECK(LastAnswer().mResponse == net::HttpResponse{ 201, { { "X", "y" } }, "first" });
}

// Guards against work for a caller that has disconnected, and against a key that stays claimed.
TEST_CASE_METHOD(RequestFixture,
                 "Request, caller disconnected, cancels the dispatch or the claim",
                 "[entry]")
{
  Arrive(1, "GET", "");
  HandleEvent(CallerGone{ 1 });
  REQUIRE(All<CancelDispatch>().size() == 1);
  CHECK(All<CancelDispatch>()[0].mDispatchId == All<Dispatch>()[0].mDispatchId);
  CHECK(mState.mServers[All<Dispatch>()[0].mServer.mId].mOutstanding == 0);
  Arrive(2, "POST", "k");
  HandleEvent(CallerGone{ 2 });
  CHECK(LastAnswer().mOutcome == Outcome::NotRun);
  CHECK(Releases() == 3);
  CHECK(mState.mInFlight.empty());
}

TEST_CASE_METHOD(RequestFixture,
                 "Request, entry draining, closes the connection after the answer",
                 "[entry]")
{
  HandleEvent(Stop{});
  Arrive(1, "GET", "");
  EndDispatch(All<Dispatch>().back(), Complete());
  CHECK(All<Reply>().back().mClose);
}

// Guards against excluding a server because a reused connection to it went silent.
TEST_CASE_METHOD(RequestFixture,
                 "Request, reused connection silent, may be retried at the same server",
                 "[entry]")
{
  Arrive(1, "GET", "");
  const auto first = All<Dispatch>()[0];
  auto silent = Lost();
  silent.mSilent = true;
  silent.mReused = true;
  EndDispatch(first, silent);
  REQUIRE(All<Dispatch>().size() == 2);
  CHECK(mState.mInFlight.at(1).mTried == std::set{ All<Dispatch>()[1].mServer.mId });
}

// Guards against a server whose latency looks low because nothing could be sent to it.
TEST_CASE_METHOD(RequestFixture, "Request, unsent, does not change the server's latency", "[entry]")
{
  Arrive(1, "GET", "");
  const Dispatch dispatch = All<Dispatch>()[0];
  mState.mServers[dispatch.mServer.mId].mLatency = Millis(80);
  mNow += Millis(1);
  EndDispatch(dispatch, Unsent());
  CHECK(mState.mServers[dispatch.mServer.mId].mLatency == Millis(80));
}

// Guards against duplicate dispatches, and against duplicate or missing answers, in any order of
// events. Seeds 1 to 300.
TEST_CASE_METHOD(RequestFixture,
                 "Request, random events, is run at most once and answered once",
                 "[entry]")
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    mEffects.clear();
    RequestId last = seed * 1000;
    const auto recent = [&] { return last - random() % 6; };
    std::map<RequestId, int> mayHaveRun;
    std::map<RequestId, std::vector<Outcome>> answers;
    for (int n = 0; n < 300; ++n) {
      const auto dispatches = All<Dispatch>();
      switch (random() % 8) {
        case 0:
          ++last;
          Arrive(last, "POST", "k" + std::to_string(last));
          break;
        case 1:
        case 2:
        case 3:
          GrantClaim(recent(), mControls[random() % 3]);
          break;
        case 4:
          if (random() % 4 == 0) {
            HandleEvent(CallerGone{ recent() });
          }
          break;
        case 5:
          mNow += Millis(random() % 300);
          HandleEvent(Tick{});
          break;
        default:
          if (!dispatches.empty()) {
            const Dispatch& dispatch = dispatches[random() % dispatches.size()];
            const auto it = mState.mInFlight.find(dispatch.mId);
            const bool current =
              it != mState.mInFlight.end() && it->second.mDispatchId == dispatch.mDispatchId;
            const std::vector<net::ExchangeResult> results{ Lost(), Complete(), Unsent(), Shed() };
            const std::size_t kind = random() % results.size();
            mayHaveRun[dispatch.mId] += current && kind < 2 ? 1 : 0;
            EndDispatch(dispatch, results[kind]);
          }
      }
    }
    mNow += Millis(20'000);
    HandleEvent(Tick{});
    for (const Reply& it : All<Reply>()) {
      answers[it.mId].push_back(std::get<CallerAnswer>(it.mAnswer).mOutcome);
    }
    INFO("seed " << seed);
    for (const auto& [id, count] : mayHaveRun) {
      REQUIRE(count <= 1);
      REQUIRE((count == 0 || answers[id] != std::vector{ Outcome::NotRun }));
    }
    for (const auto& [id, outcomes] : answers) {
      REQUIRE(outcomes.size() == 1);
    }
    mState.mInFlight.clear();
  }
}

} // namespace
} // namespace fighold::entry
