#include "fighold/routes/admission.hpp"
#include "forward_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace fighold::entry {
namespace {

/// An end of a dispatch and what follows.
struct EndRow
{
  const char* mName;
  const char* mTarget;
  net::ExchangeStage mStage;
  AnswerMeaning mMeaning;
  bool mRetried;
  Outcome mOutcome;
};

// Guards against running a request twice that may run only once, and against a wrong "not run".
TEST_CASE_METHOD(ForwardFixture,
                 "Forward, each way a dispatch can end, is retried only if allowed",
                 "[entry]")
{
  using net::ExchangeStage;
  const std::vector<EndRow> rows{
    { "read, complete answer",
      "/read/1",
      ExchangeStage::Answered,
      AnswerMeaning::Result,
      false,
      Outcome::Run },
    { "read, refused", "/read/1", ExchangeStage::Answered, AnswerMeaning::NotRun, true, {} },
    { "read, lost", "/read/1", ExchangeStage::NoAnswer, AnswerMeaning::Result, true, {} },
    { "read, unusable", "/read/1", ExchangeStage::Answered, AnswerMeaning::Unusable, true, {} },
    { "read, unsent", "/read/1", ExchangeStage::NotSent, AnswerMeaning::Result, true, {} },
    { "claim, complete answer",
      "/claim/1",
      ExchangeStage::Answered,
      AnswerMeaning::Result,
      false,
      Outcome::Run },
    { "claim, refused", "/claim/1", ExchangeStage::Answered, AnswerMeaning::NotRun, true, {} },
    { "claim, lost",
      "/claim/1",
      ExchangeStage::NoAnswer,
      AnswerMeaning::Result,
      false,
      Outcome::Unknown },
    { "claim, unusable",
      "/claim/1",
      ExchangeStage::Answered,
      AnswerMeaning::Unusable,
      false,
      Outcome::Unknown },
    { "claim, unsent", "/claim/1", ExchangeStage::NotSent, AnswerMeaning::Result, true, {} },
  };
  for (const EndRow& it : rows) {
    INFO(it.mName);
    mState = MakeState(mState.mOptions, LoadCharts(FIGHOLD_CHARTS_DIR));
    Grant();
    Arrive(it.mTarget);
    const auto first = EffectsOfType<Dispatch>();
    REQUIRE(first.size() == 1);
    FinishDispatch(it.mStage, it.mMeaning);
    const auto second = EffectsOfType<Dispatch>();
    REQUIRE(second.size() == (it.mRetried ? 1 : 0));
    if (it.mRetried) {
      CHECK(second[0].mServer.mId != first[0].mServer.mId);
      CHECK(EffectsOfType<Reply>().empty());
    } else {
      CHECK(LastAnswer().mOutcome == it.mOutcome);
    }
  }
}

// Guards against answering "not run" although an earlier dispatch of the request may have run.
TEST_CASE_METHOD(ForwardFixture,
                 "Forward, lost and then refused, has an unknown outcome",
                 "[entry]")
{
  Grant();
  Arrive("/read/1");
  FinishDispatch(net::ExchangeStage::NoAnswer, AnswerMeaning::Result);
  REQUIRE(EffectsOfType<Dispatch>().size() == 1);
  FinishDispatch(net::ExchangeStage::Answered, AnswerMeaning::NotRun);
  CHECK(EffectsOfType<Dispatch>().empty());
  CHECK(LastAnswer().mOutcome == Outcome::Unknown);
}

// Guards against answering 404 for a route that the entry does not know yet after a restart.
TEST_CASE_METHOD(ForwardFixture,
                 "Forward, no route set known, is rejected with a time to retry",
                 "[entry]")
{
  Arrive("/read/1");
  CHECK(LastAnswer().mStatus == 503);
  CHECK(LastAnswer().mRetryAfter > Millis(0));
  Grant();
  Arrive("/none/1");
  CHECK(LastAnswer().mStatus == 404);
}

// Guards against holding a request until its deadline although no server can take it.
TEST_CASE_METHOD(ForwardFixture,
                 "Forward, all servers busy for long, is rejected at once",
                 "[entry]")
{
  Grant();
  for (auto& [id, load] : mState.mServerLoads) {
    load.mOwnRequests = 30;
  }
  Arrive("/read/1");
  CHECK(EffectsOfType<Dispatch>().empty());
  CHECK(LastAnswer().mOutcome == Outcome::NotRun);
  CHECK(LastAnswer().mRetryAfter >= routes::kMinRetryAfter);
}

// Guards against a new route whose requests are all rejected because those of an older route at the
// same servers take longer than its callers wait.
TEST_CASE_METHOD(ForwardFixture, "Forward, new route next to a slow one, is sent", "[entry]")
{
  Grant();
  mState.mPools.at({ "offers" }).mPool.mProcessingTimes = { 5000, 3000, 4000, 50, mNow };
  Arrive("/read/1");
  REQUIRE(EffectsOfType<Dispatch>().size() == 1);
  mNow += Millis(5);
  FinishDispatch(net::ExchangeStage::Answered, AnswerMeaning::Result);
  Arrive("/read/2");
  CHECK(EffectsOfType<Dispatch>().size() == 1);
}

// Guards against processing a request whose caller has disconnected.
TEST_CASE_METHOD(ForwardFixture,
                 "Forward, caller gone, cancels the dispatch and frees its slot",
                 "[entry]")
{
  Grant();
  const RequestId id = Arrive("/read/1");
  const Dispatch dispatch = EffectsOfType<Dispatch>().at(0);
  HandleEvent(CallerGone{ id });
  REQUIRE(EffectsOfType<CancelDispatch>().size() == 1);
  CHECK(EffectsOfType<CancelDispatch>()[0].mDispatchId == dispatch.mDispatchId);
  CHECK(mState.mServerLoads[dispatch.mServer.mId].mOwnRequests == 0);
  CHECK(mState.mForwards.empty());
}

// Guards against a request that is sent on after its caller has left, because it waited for its
// turn in the inbox for longer than the caller.
TEST_CASE_METHOD(ForwardFixture, "Forward, caller left before its turn, is not sent", "[entry]")
{
  Grant();
  HandleEvent(CallerGone{ mNextId, "closed" });
  Arrive("/read/1");
  CHECK(EffectsOfType<Dispatch>().empty());
  CHECK(LastAnswer().mReason == "caller-gone");
  CHECK(mState.mForwards.empty());
  CHECK(mState.mGoneBeforeArrival.empty());
  Arrive("/read/2");
  CHECK(EffectsOfType<Dispatch>().size() == 1);
}

// Guards against a log from which a caller that left cannot be told from a connection that this
// entry closed.
TEST_CASE_METHOD(ForwardFixture, "Forward, caller gone, logs what ended the connection", "[entry]")
{
  Grant();
  const RequestId id = Arrive("/read/1");
  HandleEvent(CallerGone{ id, "Connection reset by peer" });
  const DecisionRecord record = EffectsOfType<LogRecord>().back().mRecord;
  CHECK(record.mReason == "caller-gone");
  const std::vector<Field>& fields = record.mFields;
  CHECK(std::count(fields.begin(), fields.end(), Field{ "error", "Connection reset by peer" }) ==
        1);
}

// Guards against requests to a data centre that is drained, and against a burst to its servers,
// which have become cold, when the drain ends.
TEST_CASE_METHOD(ForwardFixture,
                 "Forward, data centre drained and restored, gets no requests and then few",
                 "[entry]")
{
  mConfiguration.mDrains.mDataCentres = { { "leith-a" } };
  Grant();
  for (int n = 0; n < 6; ++n) {
    Arrive("/read/" + std::to_string(n));
    for (const Dispatch& it : EffectsOfType<Dispatch>()) {
      CHECK(it.mServer.mId.mValue == "s3");
    }
  }
  routes::RouteSet set = *mConfiguration.mRoutes;
  set.mServices[{ "offers" }].mWarmUp = std::chrono::seconds(3);
  set.mNumber = 2;
  mConfiguration.mRoutes = SharedValue(set);
  mConfiguration.mDrains.mDataCentres.clear();
  Grant();
  std::map<std::string, int> sent;
  for (int n = 0; n < 20; ++n) {
    Arrive("/read/" + std::to_string(n));
    for (const Dispatch& it : EffectsOfType<Dispatch>()) {
      ++sent[it.mServer.mId.mValue];
    }
  }
  CHECK(sent["s1"] <= 1);
  CHECK(sent["s2"] <= 1);
}

// Guards against a request to an address that another server uses now.
TEST_CASE_METHOD(ForwardFixture,
                 "Forward, address reused by a later server, goes only to that one",
                 "[entry]")
{
  membership::BackendServer later = mConfiguration.mBackendServers.at({ "s1" });
  later.mIncarnation = 8;
  later.mService = { "other" };
  mConfiguration.mBackendServers[{ "s9" }] = later;
  Grant();
  for (int n = 0; n < 12; ++n) {
    Arrive("/read/" + std::to_string(n));
    for (const Dispatch& it : EffectsOfType<Dispatch>()) {
      CHECK(it.mServer.mId.mValue != "s1");
    }
  }
}

// Guards against an entry that rejects callers because its control group is unreachable.
TEST_CASE_METHOD(ForwardFixture,
                 "Forward, lease expired, is served with the last known configuration",
                 "[entry]")
{
  Grant();
  mNow += std::chrono::minutes(2);
  Arrive("/read/1");
  CHECK(EffectsOfType<Dispatch>().size() == 1);
  mState.mOptions.mServeUnleased = false;
  Arrive("/read/1");
  CHECK(LastAnswer().mStatus == 503);
}

} // namespace
} // namespace fighold::entry
