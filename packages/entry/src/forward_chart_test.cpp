#include "fighold/entry/decide.hpp"
#include "fighold/routes/admission.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace fighold::entry {
namespace {

/// An entry with a route set and three backend servers. The test stands in for the other threads.
struct ForwardFixture
{
  State mState;
  Instant mNow{ std::chrono::hours(1) };
  std::vector<Effect> mEffects;
  membership::Configuration mConfiguration;
  RequestId mNextId = 1;

  ForwardFixture()
  {
    Options options;
    options.mId = { "e1" };
    options.mEntry.mIncarnation = 1;
    options.mEntry.mRegion = { "leith" };
    options.mEntry.mDataCentre = { "leith-a" };
    options.mControls = { { "c1" } };
    options.mServeUnleased = true;
    mState = MakeState(options, LoadCharts(FIGHOLD_CHARTS_DIR));
    mConfiguration.mVersion = 1;
    routes::RouteSet set;
    set.mNumber = 1;
    set.mServices[{ "offers" }].mWarmUpPerSecond = 3;
    set.mHosts = { "desk.example" };
    for (const bool repeatable : { true, false }) {
      routes::Route route;
      route.mName = repeatable ? "read" : "claim";
      route.mHost = "desk.example";
      route.mPathPrefix = repeatable ? "/read/" : "/claim/";
      route.mRepeatable = repeatable;
      route.mTimeout = Millis(1500);
      route.mTargetLatency = Millis(800);
      route.mServices = { { { "offers" }, 1 } };
      route.mAttempts = 2;
      set.mRoutes[route.mName] = route;
    }
    mConfiguration.mRoutes = SharedValue(set);
    mConfiguration.mEntries[{ "e1" }] = options.mEntry;
    for (const std::string id : { "s1", "s2", "s3" }) {
      membership::BackendServer server;
      server.mIncarnation = 7;
      server.mService = { "offers" };
      server.mRegion = { "leith" };
      server.mDataCentre = { id == "s3" ? "leith-b" : "leith-a" };
      server.mAddress = { "10.0.0.1", static_cast<std::uint16_t>(8000 + id.back()) };
      server.mSlots = 3;
      mConfiguration.mBackendServers[{ id }] = server;
    }
  }

  void HandleEvent(Event aEvent)
  {
    auto effects = Step(mState, std::move(aEvent), mNow);
    std::move(effects.begin(), effects.end(), std::back_inserter(mEffects));
  }

  /// Grants a lease with the configuration and leases for all its servers.
  void Grant()
  {
    HandleEvent(Tick{});
    membership::LeaseGrant grant;
    grant.mRequestNumber = mState.mRenewalsSent.rbegin()->first;
    grant.mLength = membership::kConfigurationLease;
    ++mConfiguration.mVersion;
    grant.mVersion = mConfiguration.mVersion;
    grant.mConfiguration = SharedValue(mConfiguration);
    for (const auto& [id, server] : mConfiguration.mBackendServers) {
      grant.mBackendLeases.push_back({ id, server.mIncarnation, std::chrono::seconds(60), 0 });
    }
    HandleEvent(GrantReceived{ { "c1" }, grant });
  }

  RequestId Arrive(const std::string& aTarget)
  {
    ForwardRequest request;
    request.mId = mNextId++;
    request.mCallerRequestId = "caller-" + std::to_string(request.mId);
    net::HttpRequest payload;
    payload.mTarget = aTarget;
    payload.mHost = "desk.example";
    request.mPayload = SharedValue(payload);
    mEffects.clear();
    HandleEvent(request);
    return request.mId;
  }

  template<typename T>
  std::vector<T> EffectsOfType() const
  {
    std::vector<T> found;
    for (const Effect& it : mEffects) {
      if (const auto* effect = std::get_if<T>(&it)) {
        found.push_back(*effect);
      }
    }
    return found;
  }

  ForwardAnswer LastAnswer() const
  {
    const auto replies = EffectsOfType<Reply>();
    REQUIRE_FALSE(replies.empty());
    return std::get<ForwardAnswer>(replies.back().mAnswer);
  }

  void FinishDispatch(net::ExchangeStage aStage, AnswerMeaning aMeaning)
  {
    const Dispatch dispatch = EffectsOfType<Dispatch>().back();
    DispatchDone done;
    done.mId = dispatch.mId;
    done.mDispatchId = dispatch.mDispatchId;
    done.mResult.mStage = aStage;
    done.mResult.mResponse.mStatus = 200;
    done.mMeaning = aMeaning;
    mEffects.clear();
    HandleEvent(done);
  }
};

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
