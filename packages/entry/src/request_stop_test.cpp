#include "request_fixture.hpp"

#include <catch2/catch.hpp>

namespace fighold::entry {
namespace {

/// An entry whose planned stop has begun.
struct RequestStopFixture : RequestFixture
{
  void BeginStop()
  {
    mBudget = PlanStop(mNow, Millis(6000));
    HandleEvent(Stop{ mBudget });
    mEffects.clear();
  }

  void TickAt(Instant aTime)
  {
    mNow = aTime;
    HandleEvent(Tick{});
  }

  StopBudget mBudget;
};

// Guards against a request that is read late in a stop and runs when the process is killed.
TEST_CASE_METHOD(RequestStopFixture, "Request, late in a stop, is refused as not run", "[entry]")
{
  BeginStop();
  mNow = mBudget.mArrivalDeadline;
  Arrive(1, "GET", "");
  CHECK(All<Dispatch>().empty());
  CHECK(LastAnswer().mOutcome == Outcome::NotRun);
}

// Guards against a request that was read in time and is sent on only when it cannot be answered any
// more, since its claim came late.
TEST_CASE_METHOD(RequestStopFixture,
                 "Request, claim granted late in a stop, is refused and gives the key back",
                 "[entry]")
{
  BeginStop();
  mNow = mBudget.mArrivalDeadline - Millis(1);
  Arrive(1, "POST", "k");
  mNow = mBudget.mArrivalDeadline;
  GrantClaim(1, { "c1" });
  GrantClaim(1, { "c2" });
  CHECK(All<Dispatch>().empty());
  CHECK(LastAnswer().mOutcome == Outcome::NotRun);
  CHECK(Releases() > 0);
}

// Guards against a request that has no answer when the process is killed, and against "not run" for
// one that may have run.
TEST_CASE_METHOD(RequestStopFixture,
                 "Request, in progress at the end of a stop, has an unknown outcome",
                 "[entry]")
{
  mState.mOptions.mLongestDrain = Millis(2200);
  Arrive(1, "GET", "");
  REQUIRE(All<Dispatch>().size() == 1);
  BeginStop();
  TickAt(mNow + mState.mOptions.mLongestDrain);
  CHECK(All<Reply>().empty());
  TickAt(mBudget.mAnswerDeadline);
  CHECK(LastAnswer().mOutcome == Outcome::Unknown);
  CHECK(All<CancelDispatch>().size() == 1);
  CHECK(mState.mInFlight.empty());
}

} // namespace
} // namespace fighold::entry
