#include "environment.hpp"
#include "forward_fixture.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <random>

namespace fighold::entry {
namespace {

using testing::FromEnvironment;

constexpr Millis kGracePeriod{ 6000 };

/// An entry with a configuration and the grace period of the users' small sites.
struct EntryStopFixture : ForwardFixture
{
  EntryStopFixture()
  {
    mState.mOptions.mLookupTimeToLive = Millis(2000);
    mState.mOptions.mLongestDrain = Millis(2200);
    Grant();
  }

  void BeginStop()
  {
    mBudget = PlanStop(mNow, kGracePeriod);
    HandleEvent(Stop{ mBudget });
  }

  /// Moves the clock to a time of the stop.
  void TickAt(Instant aTime)
  {
    mNow = aTime;
    mEffects.clear();
    HandleEvent(Tick{});
  }

  StopBudget mBudget;
};

// Guards against a request that is read late in a stop and sent to a backend server: the process is
// killed before the answer comes.
TEST_CASE_METHOD(EntryStopFixture,
                 "Entry, request late in a stop, is refused as not run",
                 "[entry]")
{
  BeginStop();
  TickAt(mBudget.mArrivalDeadline);
  for (const char* target : { "/read/1", "/claim/1" }) {
    Arrive(target);
    CHECK(EffectsOfType<Dispatch>().empty());
    CHECK(LastAnswer().mOutcome == Outcome::NotRun);
    CHECK(LastAnswer().mStatus == 503);
  }
}

// Guards against a stop that turns requests away while there is time for them.
TEST_CASE_METHOD(EntryStopFixture, "Entry, request early in a stop, is sent", "[entry]")
{
  BeginStop();
  TickAt(mBudget.mArrivalDeadline - Millis(1));
  Arrive("/read/1");
  CHECK(EffectsOfType<Dispatch>().size() == 1);
}

/// Routes whose time-out is longer than any stop.
struct LongRouteStopFixture : EntryStopFixture
{
  LongRouteStopFixture()
  {
    routes::RouteSet set = *mConfiguration.mRoutes;
    set.mNumber = 2;
    set.mRoutes.at("read").mTimeout = std::chrono::seconds(60);
    mConfiguration.mRoutes = SharedValue(set);
    Grant();
  }

  /// Lets a server refuse a request of a stop.
  /// @return how often the request is sent again
  std::size_t RefuseAt(Duration aBeforeArrivalDeadline)
  {
    BeginStop();
    Arrive("/read/1");
    REQUIRE(EffectsOfType<Dispatch>().size() == 1);
    mNow = mBudget.mArrivalDeadline - aBeforeArrivalDeadline;
    FinishDispatch(net::ExchangeStage::Answered, AnswerMeaning::NotRun);
    return EffectsOfType<Dispatch>().size();
  }
};

// Guards against a request that is at a backend server when the process is killed, and ends without
// an answer.
TEST_CASE_METHOD(LongRouteStopFixture,
                 "Entry, request in progress at the end of a stop, is answered and cancelled",
                 "[entry]")
{
  BeginStop();
  Arrive("/read/1");
  const Dispatch dispatch = EffectsOfType<Dispatch>().at(0);
  TickAt(mNow + Millis(2200));
  TickAt(mBudget.mAnswerDeadline - Millis(1));
  CHECK(EffectsOfType<Reply>().empty());
  TickAt(mBudget.mAnswerDeadline);
  CHECK(LastAnswer().mOutcome == Outcome::Unknown);
  REQUIRE(EffectsOfType<CancelDispatch>().size() == 1);
  CHECK(EffectsOfType<CancelDispatch>()[0].mDispatchId == dispatch.mDispatchId);
  CHECK(mState.mForwards.empty());
}

// Guards against a second dispatch that cannot be answered before the process is killed.
TEST_CASE_METHOD(LongRouteStopFixture,
                 "Entry, request refused by a server late in a stop, is not sent again",
                 "[entry]")
{
  CHECK(RefuseAt(Millis(0)) == 0);
  CHECK(LastAnswer().mOutcome == Outcome::NotRun);
}

// Guards against a stop that gives up requests that can still be answered.
TEST_CASE_METHOD(LongRouteStopFixture,
                 "Entry, request refused by a server early in a stop, is sent again",
                 "[entry]")
{
  CHECK(RefuseAt(Millis(1)) == 1);
}

/// What became of a request.
struct Fate
{
  bool mIsCurrent = false; ///< its last dispatch runs
  bool mMayHaveRun = false;
  std::uint64_t mDispatchId = 0;
  std::size_t mDispatches = 0;
  std::size_t mReplies = 0;
};

/// Requests, ends of their dispatches, callers that leave and configurations at random moments
/// around a stop.
struct RandomStopFixture : EntryStopFixture
{
  explicit RandomStopFixture(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  bool OneIn(std::uint64_t aCount) { return mRandom() % aCount == 0; }

  void Collect()
  {
    for (const Effect& it : mEffects) {
      if (const auto* dispatch = std::get_if<Dispatch>(&it)) {
        if (mFates.count(dispatch->mId) == 0) {
          continue; // a health request
        }
        Fate& fate = mFates.at(dispatch->mId);
        mLateFirst += fate.mDispatches == 0 && mNow >= mBudget.mArrivalDeadline ? 1 : 0;
        mLate += mNow >= mBudget.mAnswerDeadline ? 1 : 0;
        ++fate.mDispatches;
        fate.mIsCurrent = true;
        fate.mDispatchId = dispatch->mDispatchId;
      } else if (const auto* reply = std::get_if<Reply>(&it)) {
        Fate& fate = mFates.at(reply->mId);
        ++fate.mReplies;
        const auto& answer = std::get<ForwardAnswer>(reply->mAnswer);
        const bool mayHaveRun = fate.mMayHaveRun || fate.mIsCurrent;
        mFalseNotRun += answer.mOutcome == Outcome::NotRun && mayHaveRun ? 1 : 0;
        mKeptOpen += mHasBegun && !reply->mClose ? 1 : 0;
        fate.mIsCurrent = false;
      }
    }
    mEffects.clear();
  }

  void ArriveOne()
  {
    mFates[mNextId] = {};
    Arrive(OneIn(3) ? "/claim/1" : "/read/1");
    Collect();
  }

  void EndOne(RequestId aId)
  {
    Fate& fate = mFates.at(aId);
    DispatchDone done;
    done.mId = aId;
    done.mDispatchId = fate.mDispatchId;
    done.mResult.mStage = std::array{ net::ExchangeStage::Answered,
                                      net::ExchangeStage::NoAnswer,
                                      net::ExchangeStage::NotSent }
                            .at(mRandom() % 3);
    done.mResult.mResponse.mStatus = 200;
    done.mMeaning = OneIn(2) ? AnswerMeaning::Result : AnswerMeaning::NotRun;
    const bool refused = done.mResult.mStage == net::ExchangeStage::NotSent ||
                         (done.mResult.mStage == net::ExchangeStage::Answered &&
                          done.mMeaning == AnswerMeaning::NotRun);
    fate.mMayHaveRun = fate.mMayHaveRun || !refused;
    fate.mIsCurrent = false;
    HandleEvent(done);
    Collect();
  }

  void ChangeRoutes()
  {
    routes::RouteSet set = *mConfiguration.mRoutes;
    ++set.mNumber;
    for (auto& [name, route] : set.mRoutes) {
      route.mTimeout = Millis(200 + mRandom() % 9000);
    }
    mConfiguration.mRoutes = SharedValue(set);
    Grant();
    Collect();
  }

  std::vector<RequestId> Running() const
  {
    std::vector<RequestId> running;
    for (const auto& [id, fate] : mFates) {
      if (fate.mIsCurrent) {
        running.push_back(id);
      }
    }
    return running;
  }

  /// Handles random events until the end of a stop that begins after a second.
  void Run()
  {
    const Instant stopAt = mNow + Millis(mRandom() % 1000);
    Instant nextTick = mNow;
    while (!mHasBegun || mNow < mBudget.mCloseDeadline) {
      mNow += Millis(mRandom() % 20);
      if (!mHasBegun && mNow >= stopAt) {
        mHasBegun = true;
        BeginStop();
        Collect();
      }
      if (mNow >= nextTick) {
        HandleEvent(Tick{});
        Collect();
        nextTick = NextTick(mState, mNow);
      }
      const auto running = Running();
      if (OneIn(3)) {
        ArriveOne();
      } else if (!running.empty() && OneIn(4)) {
        EndOne(running[mRandom() % running.size()]);
      } else if (!running.empty() && OneIn(20)) {
        HandleEvent(CallerGone{ running[mRandom() % running.size()] });
        Collect();
      } else if (OneIn(100)) {
        ChangeRoutes();
      }
    }
  }

  std::mt19937_64 mRandom;
  std::map<RequestId, Fate> mFates;
  bool mHasBegun = false;
  int mLateFirst = 0;   ///< requests that arrived late in the stop and were sent
  int mLate = 0;        ///< requests that were sent at the end of the stop
  int mFalseNotRun = 0; ///< requests that may have run and were answered "not run"
  int mKeptOpen = 0;    ///< answers of the stop after which the connection stays open
};

// Guards against any order of requests, answers, cancellations, configurations and a stop in which
// a request has no answer, two, or a wrong one when the process is killed.
TEST_CASE("Entry, stop at any moment, answers each request once and in time", "[entry]")
{
  const std::uint64_t first = FromEnvironment("FIGHOLD_SEED", 1);
  const std::uint64_t runs = FromEnvironment("FIGHOLD_RUNS", 20);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    RandomStopFixture fixture(seed);
    fixture.Run();
    INFO("seed " << seed);
    CHECK(fixture.mState.mStage == EntryStage::Ended);
    CHECK(fixture.mFates.size() > 100);
    const auto once = [](const auto& aFate) { return aFate.second.mReplies == 1; };
    CHECK(std::all_of(fixture.mFates.begin(), fixture.mFates.end(), once));
    CHECK(fixture.mLateFirst == 0);
    CHECK(fixture.mLate == 0);
    CHECK(fixture.mFalseNotRun == 0);
    CHECK(fixture.mKeptOpen == 0);
  }
}

} // namespace
} // namespace fighold::entry
