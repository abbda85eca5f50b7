#pragma once

#include "fighold/entry/decide.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace fighold::entry {

constexpr double kWarmUpPerSecond = 5.7;

/// Lease of a backend server.
constexpr Millis kLease{ 4500 };

/// What one cold server tolerates within a second.
constexpr double kMaxColdPerSecond = kWarmUpPerSecond * 1.5 + 5;

/// Entries of three regions that share the servers of one service. The fixture stands in for their
/// other threads, for the servers, which answer after mServiceTime, and for the control group.
struct EntryGroupFixture
{
  /// A request at a server, and the time of its answer.
  struct Running
  {
    Instant mEnd{};
    std::size_t mEntry = 0;
    DispatchDone mDone;
  };

  const std::vector<std::string> mRegions{ "attiki", "makedonia", "kriti" };
  const Millis mServiceTime{ 200 };
  const Millis mHealthTime{ 70 }; ///< round trip to another region
  Millis mArrivalInterval{ 5 };   ///< between two requests at the entries
  Instant mNow{ std::chrono::hours(1) };
  membership::Configuration mConfiguration;
  std::vector<State> mEntries;
  std::vector<Running> mRunning;
  std::map<BackendServerId, std::vector<Instant>> mSent; ///< arrivals at each server
  std::vector<std::size_t> mSentBy;                      ///< requests that each entry sent on
  std::map<BackendServerId, double> mNamedPerSecond;     ///< limits that servers name
  Millis mLongestRetryAfter{ 0 };                        ///< of the rejected requests
  std::optional<Millis> mHealthAnswer;   ///< time for which the servers say that they stay cold
  std::optional<std::size_t> mOnlyEntry; ///< the entry that gets all requests
  std::size_t mProbes = 0;               ///< health requests
  std::size_t mNotRun = 0;               ///< requests that were rejected
  std::optional<Instant> mLeaseEnd;      ///< of the servers; nothing: a heartbeat came just now
  RequestId mNextId = 1;

  EntryGroupFixture()
  {
    routes::RouteSet set;
    set.mNumber = 1;
    set.mServices[{ "vardia" }].mWarmUpPerSecond = kWarmUpPerSecond;
    set.mServices[{ "vardia" }].mWarmUp = std::chrono::seconds(3);
    set.mHosts = { "desk.example" };
    routes::Route route;
    route.mName = "read";
    route.mHost = "desk.example";
    route.mPathPrefix = "/";
    route.mRepeatable = true;
    route.mTimeout = Millis(1500);
    route.mTargetLatency = Millis(800);
    route.mServices = { { { "vardia" }, 1 } };
    route.mAttempts = 2;
    set.mRoutes[route.mName] = route;
    mConfiguration.mRoutes = SharedValue(set);
    for (std::size_t n = 0; n < 12; ++n) {
      membership::BackendServer server;
      server.mIncarnation = 7;
      server.mService = { "vardia" };
      server.mRegion = { mRegions[n % 3] };
      server.mDataCentre = { mRegions[n % 3] + "-a" };
      server.mAddress = { "10.0.0.1", static_cast<std::uint16_t>(8000 + n) };
      server.mSlots = 7;
      mConfiguration.mBackendServers[{ "s" + std::to_string(n) }] = server;
    }
  }

  /// @param aRegions regions of the entries
  void StartEntries(const std::vector<std::string>& aRegions)
  {
    for (const std::string& it : aRegions) {
      Options options;
      options.mId = { "e" + std::to_string(mEntries.size()) };
      options.mEntry.mIncarnation = 1;
      options.mEntry.mRegion = { it };
      options.mEntry.mDataCentre = { it + "-a" };
      options.mControls = { { "c1" } };
      options.mServeUnleased = true;
      options.mSeed = mEntries.size() + 1;
      mConfiguration.mEntries[options.mId] = options.mEntry;
      mEntries.push_back(MakeState(options, LoadCharts(FIGHOLD_CHARTS_DIR)));
    }
    mSentBy.assign(mEntries.size(), 0);
    ++mConfiguration.mVersion;
    for (State& it : mEntries) {
      Grant(it, {});
    }
  }

  /// Grants a lease to an entry, with leases of all servers.
  /// @param aCold time for which the servers stay cold
  void Grant(State& aEntry, Millis aCold)
  {
    aEntry.mNextRenew = mNow;
    Step(aEntry, Tick{}, mNow);
    membership::LeaseGrant grant;
    grant.mRequestNumber = aEntry.mRenewalsSent.rbegin()->first;
    grant.mLength = membership::kConfigurationLease;
    grant.mVersion = mConfiguration.mVersion;
    grant.mConfiguration = SharedValue(mConfiguration);
    const auto lease = std::chrono::duration_cast<Millis>(mLeaseEnd.value_or(mNow + kLease) - mNow);
    for (const auto& [id, server] : mConfiguration.mBackendServers) {
      grant.mBackendLeases.push_back({ id, server.mIncarnation, lease, 0, aCold });
    }
    Step(aEntry, GrantReceived{ { "c1" }, grant }, mNow);
  }

  void Collect(std::size_t aEntry, const std::vector<Effect>& aEffects)
  {
    for (const Effect& it : aEffects) {
      if (const auto* dispatch = std::get_if<Dispatch>(&it)) {
        DispatchDone done;
        done.mId = dispatch->mId;
        done.mDispatchId = dispatch->mDispatchId;
        done.mResult.mStage = net::ExchangeStage::Answered;
        done.mResult.mResponse.mStatus = 200;
        if (dispatch->mPayload->mTarget == "/health") {
          ++mProbes;
          done.mReport.mCold = mHealthAnswer;
          mRunning.push_back({ mNow + mHealthTime, aEntry, done });
          continue;
        }
        mSent[dispatch->mServer.mId].push_back(mNow);
        ++mSentBy[aEntry];
        const auto named = mNamedPerSecond.find(dispatch->mServer.mId);
        done.mReport.mRate = routes::RateStatement{};
        if (named != mNamedPerSecond.end()) {
          done.mReport.mRate->mPerSecond = named->second;
        }
        mRunning.push_back({ mNow + mServiceTime, aEntry, done });
      } else if (const auto* reply = std::get_if<Reply>(&it)) {
        const auto& answer = std::get<ForwardAnswer>(reply->mAnswer);
        mNotRun += answer.mOutcome == Outcome::NotRun ? 1 : 0;
        mLongestRetryAfter = std::max(mLongestRetryAfter, answer.mRetryAfter);
      }
    }
  }

  void Arrive(std::size_t aEntry)
  {
    ForwardRequest request;
    request.mId = mNextId++;
    request.mCallerRequestId = "caller-" + std::to_string(request.mId);
    net::HttpRequest payload;
    payload.mTarget = "/1";
    payload.mHost = "desk.example";
    request.mPayload = SharedValue(payload);
    Collect(aEntry, Step(mEntries[aEntry], request, mNow));
  }

  /// Lets requests arrive at the entries in turn, one every mArrivalInterval.
  /// @param aGrants whether the control group grants leases to an entry
  /// @param aCold time for which it reports the servers as cold
  template<typename Granted>
  void Run(Millis aLength, const Granted& aGrants, Millis aCold = {})
  {
    const Instant end = mNow + aLength;
    Instant nextGrant = mNow;
    while (mNow < end) {
      if (mNow >= nextGrant) {
        nextGrant += membership::kRenewInterval;
        for (std::size_t n = 0; n < mEntries.size(); ++n) {
          if (aGrants(n)) {
            Grant(mEntries[n], aCold);
          }
        }
      }
      const auto ended =
        std::partition(mRunning.begin(), mRunning.end(), [this](const Running& aRunning) {
          return aRunning.mEnd > mNow;
        });
      std::vector<Running> done(ended, mRunning.end());
      mRunning.erase(ended, mRunning.end());
      for (const Running& it : done) {
        Collect(it.mEntry, Step(mEntries[it.mEntry], it.mDone, mNow));
      }
      for (std::size_t n = 0; n < mEntries.size(); ++n) {
        if (mNow >= NextTick(mEntries[n], mNow - Millis(1))) {
          Collect(n, Step(mEntries[n], Tick{}, mNow));
        }
      }
      Arrive(mOnlyEntry.value_or(mNextId % mEntries.size()));
      mNow += mArrivalInterval;
    }
  }

  /// @return most requests that one server got within a span of time
  std::size_t MostWithin(const std::vector<Instant>& aSent, Millis aSpan) const
  {
    std::ptrdiff_t most = 0;
    for (auto it = aSent.begin(); it != aSent.end(); ++it) {
      most = std::max(most, std::lower_bound(it, aSent.end(), *it + aSpan) - it);
    }
    return static_cast<std::size_t>(most);
  }

  /// @return most requests that any server got within a second
  std::size_t BusiestSecond() const
  {
    std::size_t most = 0;
    for (const auto& [id, sent] : mSent) {
      most = std::max(most, MostWithin(sent, std::chrono::seconds(1)));
    }
    return most;
  }
};

const std::vector<std::string> kEightEntries{ "attiki",    "attiki",    "attiki", "makedonia",
                                              "makedonia", "makedonia", "kriti",  "kriti" };

} // namespace fighold::entry
