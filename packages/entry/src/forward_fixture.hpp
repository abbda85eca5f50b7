#pragma once

#include "fighold/entry/decide.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace fighold::entry {

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

} // namespace fighold::entry
