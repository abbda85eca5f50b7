#pragma once

#include "fighold/entry/backend_codec.hpp"
#include "fighold/entry/decide.hpp"

#include <catch2/catch.hpp>

namespace fighold::entry {

/// An entry that holds a lease, and three backend servers of a service that repeats only safe
/// requests. The tests play the role of the other threads.
struct RequestFixture
{
  State mState;
  Instant mNow{ std::chrono::hours(1) };
  std::vector<Effect> mEffects;
  std::vector<ControlId> mControls{ { "c1" }, { "c2" }, { "c3" } };

  RequestFixture()
  {
    Options options;
    options.mId = { "e1" };
    options.mEntry.mIncarnation = 1;
    options.mEntry.mRegion = { "attiki" };
    options.mControls = mControls;
    mState = MakeState(options, LoadCharts(FIGHOLD_CHARTS_DIR));
    plan::Plan plan;
    plan.mNumber = 1;
    plan.mMaxEntries = 4;
    plan.mRegions[{ "attiki" }] = 60;
    plan.mServices[{ "vardia" }].mDeadline = Millis(5000);
    membership::Configuration configuration;
    configuration.mVersion = 1;
    configuration.mPlan = SharedValue(plan);
    configuration.mShifts[{ "vardia" }].mInUse[{ "attiki" }] = { { { "attiki" }, plan::kWhole } };
    for (const std::string id : { "a1", "a2", "a3" }) {
      membership::BackendServer server;
      server.mService = { "vardia" };
      server.mRegion = { "attiki" };
      server.mSlots = 6;
      server.mConnections = 40;
      configuration.mBackendServers[{ id }] = server;
      mState.mServers[{ id }].mAliveUntil = mNow + std::chrono::hours(1);
    }
    mState.mTable = routing::BuildRoutingTable(configuration);
    mState.mConfiguration = SharedValue(configuration);
    mState.mLease = { 1, mNow + std::chrono::hours(1) };
    mState.mStage = EntryStage::Serving;
    mState.mNextRenew = mNow + std::chrono::hours(1);
    routing::ApplyLimits(mState.mShares, plan, 1);
    routing::ApplyGrant(mState.mShares, { { 1, 1 }, true, {} }, mNow);
    routing::ExtendBaseRight(mState.mShares, mNow + std::chrono::hours(1), mNow);
  }

  void HandleEvent(Event aEvent)
  {
    auto effects = Step(mState, std::move(aEvent), mNow);
    std::move(effects.begin(), effects.end(), std::back_inserter(mEffects));
  }

  void Arrive(RequestId aId, const std::string& aMethod, const std::string& aKey)
  {
    CallerRequest request;
    request.mId = aId;
    request.mService = { "vardia" };
    request.mSafe = net::IsSafeMethod(aMethod);
    request.mKey = aKey;
    request.mPayload = SharedValue(net::HttpRequest{ aMethod, "/x", {}, "body", {} });
    HandleEvent(request);
  }

  void GrantClaim(RequestId aId, const ControlId& aFrom)
  {
    HandleEvent(ClaimReplyReceived{
      aFrom, { { { "e1" }, 1, aId }, claims::ReplyCode::Granted, {}, std::nullopt } });
  }

  void EndDispatch(const Dispatch& aDispatch, net::ExchangeResult aResult)
  {
    DispatchDone done{ aDispatch.mId, aDispatch.mDispatchId, std::move(aResult) };
    done.mMeaning = NativeBackendCodec().mMeaning(aDispatch, done.mResult.mResponse, false);
    HandleEvent(std::move(done));
  }

  template<typename T>
  std::vector<T> All() const
  {
    std::vector<T> found;
    for (const Effect& it : mEffects) {
      if (const auto* effect = std::get_if<T>(&it)) {
        found.push_back(*effect);
      }
    }
    return found;
  }

  CallerAnswer LastAnswer() const
  {
    const auto replies = All<Reply>();
    REQUIRE_FALSE(replies.empty());
    return std::get<CallerAnswer>(replies.back().mAnswer);
  }

  /// @return number of messages that release a key
  int Releases() const
  {
    int count = 0;
    for (const SendControl& it : All<SendControl>()) {
      const auto* result = std::get_if<claims::AttemptResult>(&it.mBody);
      count += result != nullptr && result->mReleased ? 1 : 0;
    }
    return count;
  }

  static net::ExchangeResult Lost() { return { net::ExchangeStage::NoAnswer, {}, "read" }; }
  static net::ExchangeResult Unsent() { return { net::ExchangeStage::NotSent, {}, "connect" }; }
  static net::ExchangeResult Complete()
  {
    return { net::ExchangeStage::Answered, { 200, {}, "ok" }, "" };
  }
  static net::ExchangeResult Shed()
  {
    return { net::ExchangeStage::Answered, { 503, { { "Fighold-Outcome", "not-run" } }, "" }, "" };
  }
};

} // namespace fighold::entry
