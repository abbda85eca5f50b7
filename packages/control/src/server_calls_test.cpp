#include "fighold/control/decide.hpp"

#include "fighold/control/wire_codec.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace fighold::control {
namespace {

/// A group of a single control process, which leads.
struct ServerCallFixture
{
  State mState;
  Instant mNow{ std::chrono::hours(1) };
  std::vector<Effect> mEffects;
  CallId mNextId = 1;

  ServerCallFixture()
  {
    agreement::RecoveredState disk;
    disk.mIncarnation = 4;
    agreement::Options options;
    options.mSelf = { "10.0.0.1:7100" };
    options.mConfigured = { options.mSelf };
    options.mChart = agreement::LoadRoleChart(FIGHOLD_CHARTS_DIR);
    mState =
      MakeState(agreement::MakeNode(options, disk), WireCodec(), LoadCharts(FIGHOLD_CHARTS_DIR));
    Run(40);
    REQUIRE(agreement::IsLeader(mState.mNode));
  }

  void HandleEvent(const Event& aEvent)
  {
    std::uint64_t stored = 0;
    for (Effect& it : Step(mState, aEvent, mNow)) {
      if (const auto* store = std::get_if<Store>(&it)) {
        stored = store->mWrite.mWrite;
      }
      mEffects.push_back(std::move(it));
    }
    if (stored != 0) {
      HandleEvent(Stored{ stored });
    }
  }

  void Run(int aTicks)
  {
    for (int n = 0; n < aTicks; ++n) {
      mNow += kTickInterval;
      HandleEvent(Tick{});
    }
  }

  /// @return answer to a call, or nothing if there is none yet
  template<typename T>
  std::optional<T> AnswerTo(CallId aId) const
  {
    for (const Effect& it : mEffects) {
      if (const auto* answer = std::get_if<AnswerCall>(&it);
          answer != nullptr && answer->mId == aId) {
        return std::get<T>(answer->mAnswer);
      }
    }
    return std::nullopt;
  }

  ServerAnswer SendHeartbeat(Incarnation aIncarnation,
                             std::uint64_t aSequence,
                             bool aLeaving = false)
  {
    ServerHeartbeat heartbeat;
    heartbeat.mId = mNextId++;
    heartbeat.mServerId = { "i-1" };
    heartbeat.mServer.mIncarnation = aIncarnation;
    heartbeat.mServer.mService = { "offers" };
    heartbeat.mServer.mSlots = 3;
    heartbeat.mServer.mLeaving = aLeaving;
    heartbeat.mSequence = aSequence;
    HandleEvent(heartbeat);
    Run(3);
    const auto answer = AnswerTo<ServerAnswer>(heartbeat.mId);
    REQUIRE(answer);
    return *answer;
  }

  ServerAnswer Withdraw(Incarnation aLatest)
  {
    const CallId id = mNextId++;
    HandleEvent(ServerWithdrawal{ id, { "i-1" }, aLatest });
    Run(3);
    const auto answer = AnswerTo<ServerAnswer>(id);
    REQUIRE(answer);
    return *answer;
  }

  const membership::BackendServer& Registered() const
  {
    return mState.mConfiguration->mBackendServers.at({ "i-1" });
  }
};

// Guards against a backend server that is acknowledged but gets no requests.
TEST_CASE_METHOD(ServerCallFixture,
                 "Heartbeat, new server, is registered before it is acknowledged",
                 "[control]")
{
  CHECK(SendHeartbeat(100, 1).mAccepted);
  CHECK(Registered().mIncarnation == 100);
  CHECK_FALSE(Registered().mLeaving);
}

// Guards against a delayed heartbeat that registers a replaced incarnation again, or removes its
// successor.
TEST_CASE_METHOD(ServerCallFixture,
                 "Heartbeat, of an earlier incarnation, changes nothing",
                 "[control]")
{
  SendHeartbeat(100, 1);
  SendHeartbeat(200, 1);
  CHECK(Registered().mIncarnation == 200);
  CHECK(SendHeartbeat(100, 9).mAccepted);
  CHECK(SendHeartbeat(100, 10, true).mAccepted);
  CHECK(Registered().mIncarnation == 200);
  CHECK_FALSE(Registered().mLeaving);
}

// Guards against a late heartbeat that reverts a departure.
TEST_CASE_METHOD(ServerCallFixture,
                 "Heartbeat, delayed until after the departure, changes nothing",
                 "[control]")
{
  SendHeartbeat(100, 1);
  CHECK(SendHeartbeat(100, 5, true).mAccepted);
  CHECK(HasDeparted(*mState.mConfiguration, { "i-1" }, 100));
  CHECK(SendHeartbeat(100, 4).mAccepted);
  CHECK(SendHeartbeat(100, 6).mAccepted);
  CHECK(HasDeparted(*mState.mConfiguration, { "i-1" }, 100));
}

// Guards against a server that is deregistered without a heartbeat and still gets requests.
TEST_CASE_METHOD(ServerCallFixture,
                 "Withdrawal, registered server, departs before it is acknowledged",
                 "[control]")
{
  SendHeartbeat(100, 1);
  const CallId id = mNextId++;
  HandleEvent(ServerWithdrawal{ id, { "i-1" } });
  Run(3);
  CHECK(AnswerTo<ServerAnswer>(id)->mAccepted);
  CHECK(Registered().mLeaving);
}

// Guards against an acknowledged withdrawal that no record keeps: the announcement of the server,
// on its way meanwhile, brings it back (review/10).
TEST_CASE_METHOD(ServerCallFixture,
                 "Withdrawal, server not known yet, refuses its late announcement",
                 "[control]")
{
  CHECK(Withdraw(150).mAccepted);
  CHECK(mState.mConfiguration->mWithdrawn.count({ "i-1" }) == 1);
  CHECK(SendHeartbeat(100, 1).mAccepted);
  CHECK(SendHeartbeat(150, 2).mAccepted);
  CHECK(mState.mConfiguration->mBackendServers.empty());
  // A later start under the same identifier is a new server.
  CHECK(SendHeartbeat(151, 1).mAccepted);
  CHECK(Registered().mIncarnation == 151);
}

// Guards against a withdrawal of the incarnation that one process knows, while the server's present
// one is committed but not applied there.
TEST_CASE_METHOD(ServerCallFixture,
                 "Withdrawal, later incarnation on its way, covers it",
                 "[control]")
{
  SendHeartbeat(100, 1);
  CHECK(Withdraw(250).mAccepted);
  CHECK(Registered().mLeaving);
  CHECK(SendHeartbeat(200, 1).mAccepted);
  CHECK(Registered().mIncarnation == 100);
  CHECK(Registered().mLeaving);
}

// Guards against a withdrawal of a known server that does not cover it because of a wrong clock.
TEST_CASE_METHOD(ServerCallFixture,
                 "Withdrawal, clock behind the server's start, covers the registered incarnation",
                 "[control]")
{
  SendHeartbeat(100, 1);
  CHECK(Withdraw(50).mAccepted);
  CHECK(Registered().mLeaving);
  CHECK(HasDeparted(*mState.mConfiguration, { "i-1" }, 100));
}

// Guards against withdrawals that are kept for good, or too short a time for a late announcement.
TEST_CASE_METHOD(ServerCallFixture, "Withdrawal, ten minutes old, is forgotten", "[control]")
{
  CHECK(Withdraw(150).mAccepted);
  const auto wait = [this](std::chrono::seconds aTime) {
    for (const Instant until = mNow + aTime; mNow < until;) {
      Run(1);
    }
  };
  wait(std::chrono::seconds(590));
  CHECK(mState.mConfiguration->mWithdrawn.size() == 1);
  wait(std::chrono::seconds(20));
  CHECK(mState.mConfiguration->mWithdrawn.empty());
  CHECK(mState.mDepartedSince.empty());
}

// Guards against withdrawals of random identifiers that fill the memory, and against one that is
// acknowledged without a record.
TEST_CASE_METHOD(ServerCallFixture,
                 "Withdrawal, too many of unknown servers, is not acknowledged",
                 "[control]")
{
  membership::Configuration configuration = *mState.mConfiguration;
  for (int n = 0; n < 4096; ++n) {
    configuration.mWithdrawn[{ "x-" + std::to_string(n) }] = 5;
  }
  mState.mConfiguration = SharedValue(configuration);
  CHECK_FALSE(Withdraw(150).mDecided);
  SendHeartbeat(100, 1);
  CHECK(Withdraw(150).mAccepted);
}

// Guards against a server's word that it leaves which is acknowledged and ignored, because a
// heartbeat with a higher sequence came before.
TEST_CASE_METHOD(ServerCallFixture,
                 "Heartbeat, departure behind a higher sequence, departs",
                 "[control]")
{
  SendHeartbeat(100, 1);
  SendHeartbeat(100, 1'000'000);
  CHECK(SendHeartbeat(100, 2, true).mAccepted);
  CHECK(Registered().mLeaving);
}

// Guards against an acknowledgement by a process that cannot forward the report.
TEST_CASE_METHOD(ServerCallFixture,
                 "Heartbeat, no contact with a leader, is not decided",
                 "[control]")
{
  SendHeartbeat(100, 1);
  mNow += std::chrono::seconds(10);
  ServerHeartbeat heartbeat;
  heartbeat.mId = mNextId++;
  heartbeat.mServerId = { "i-1" };
  heartbeat.mServer.mIncarnation = 100;
  mState.mWasLeader = false;
  mState.mNode.mQuorumConfirmedAt = {};
  HandleEvent(heartbeat);
  CHECK_FALSE(AnswerTo<ServerAnswer>(heartbeat.mId)->mDecided);
}

// Guards against an entry that learns too late that the caches of a server are cold, or considers
// them cold for too long.
TEST_CASE_METHOD(ServerCallFixture,
                 "Heartbeat, server reports cold caches, remaining time is sent to entries",
                 "[control]")
{
  SendHeartbeat(100, 1);
  ServerHeartbeat heartbeat;
  heartbeat.mId = mNextId++;
  heartbeat.mServerId = { "i-1" };
  heartbeat.mServer = Registered();
  heartbeat.mSequence = 2;
  heartbeat.mCold = Millis(3000);
  HandleEvent(heartbeat);
  membership::LeaseRenewal renewal;
  renewal.mId = { "e1" };
  renewal.mRequestNumber = 1;
  const auto cold = [&] {
    mEffects.clear();
    ++renewal.mRequestNumber;
    // A new incarnation of the entry gets all leases.
    ++renewal.mEntry.mIncarnation;
    HandleEvent(EntryMessage{ { "e1" }, renewal });
    for (const Effect& it : mEffects) {
      if (const auto* send = std::get_if<SendEntry>(&it)) {
        const auto& leases = std::get<membership::LeaseGrant>(send->mBody).mBackendLeases;
        return leases.empty() ? Millis(-1) : leases.front().mCold;
      }
    }
    return Millis(-2);
  };
  CHECK(cold() == Millis(3000));
  mNow += Millis(1000);
  CHECK(cold() == Millis(2000));
  heartbeat.mId = mNextId++;
  heartbeat.mSequence = 3;
  heartbeat.mCold = Millis(0);
  HandleEvent(heartbeat);
  CHECK(cold() == Millis(0));
}

// Guards against leases that load the network although the receiver has them: each is sent once per
// renewal.
TEST_CASE_METHOD(ServerCallFixture,
                 "Renewal of an entry, no lease renewed since, gets no leases",
                 "[control]")
{
  SendHeartbeat(100, 1);
  membership::LeaseRenewal renewal;
  renewal.mId = { "e1" };
  renewal.mEntry.mIncarnation = 9;
  const auto leases = [&] {
    mEffects.clear();
    ++renewal.mRequestNumber;
    renewal.mHeld = mState.mConfiguration->mVersion;
    HandleEvent(EntryMessage{ { "e1" }, renewal });
    for (const Effect& it : mEffects) {
      if (const auto* send = std::get_if<SendEntry>(&it)) {
        return std::get<membership::LeaseGrant>(send->mBody).mBackendLeases.size();
      }
    }
    return std::size_t{ 99 };
  };
  CHECK(leases() == 1);
  mNow += Millis(10);
  CHECK(leases() == 0);
  SendHeartbeat(100, 2);
  CHECK(leases() == 1);
}

// Guards against an entry that starts, asks all control processes five times a second, and gets so
// many copies of the same large delta that none arrives while its renewal is still remembered.
TEST_CASE_METHOD(ServerCallFixture,
                 "Renewal of an entry, large delta on its way already, gets none",
                 "[control]")
{
  SendHeartbeat(100, 1);
  const auto addServers = [this](std::size_t aCount) {
    membership::Configuration next = *mState.mConfiguration;
    for (std::size_t n = 0; n < aCount; ++n) {
      next.mBackendServers[{ "s-" + std::to_string(n) }] = Registered();
    }
    ++next.mVersion;
    membership::AppendVersion(mState.mJournal, *mState.mConfiguration, next, kJournalLimits);
    mState.mConfiguration = SharedValue(next);
    mState.mDeltas.clear();
  };
  membership::LeaseRenewal renewal;
  renewal.mId = { "e1" };
  const auto grant = [&](bool aOmitWhole) {
    mEffects.clear();
    ++renewal.mRequestNumber;
    renewal.mOmitWhole = aOmitWhole;
    HandleEvent(EntryMessage{ { "e1" }, renewal });
    for (const Effect& it : mEffects) {
      if (const auto* send = std::get_if<SendEntry>(&it)) {
        return std::get<membership::LeaseGrant>(send->mBody);
      }
    }
    FAIL("no grant");
    return membership::LeaseGrant{};
  };
  addServers(10);
  CHECK(grant(true).mDelta);
  addServers(300);
  CHECK_FALSE(grant(true).mDelta);
  CHECK_FALSE(grant(true).mConfiguration);
  CHECK(grant(false).mDelta);
  // The next change is a small delta again for an entry that has applied the large one.
  renewal.mHeld = mState.mConfiguration->mVersion;
  addServers(301);
  CHECK(grant(true).mDelta);
}

// Guards against deltas of a large configuration that take the memory of a control process, one for
// each version that some entry holds.
TEST_CASE_METHOD(ServerCallFixture,
                 "Renewals of entries, each with another version, keep few deltas",
                 "[control]")
{
  SendHeartbeat(100, 1);
  const Version first = mState.mConfiguration->mVersion;
  for (int n = 0; n < 40; ++n) {
    membership::Configuration next = *mState.mConfiguration;
    next.mBackendServers[{ "s-" + std::to_string(n) }] = Registered();
    ++next.mVersion;
    membership::AppendVersion(mState.mJournal, *mState.mConfiguration, next, kJournalLimits);
    mState.mConfiguration = SharedValue(next);
  }
  mState.mDeltas.clear();
  for (Version held = first; held < mState.mConfiguration->mVersion; ++held) {
    membership::LeaseRenewal renewal;
    renewal.mId = { "e" + std::to_string(held) };
    renewal.mHeld = held;
    HandleEvent(EntryMessage{ renewal.mId, renewal });
  }
  CHECK(mState.mDeltas.size() > 0);
  CHECK(mState.mDeltas.size() <= 16);
}

// Guards against a delta that counts as small because its services or hosts are not counted.
TEST_CASE_METHOD(ServerCallFixture,
                 "Renewal of an entry, delta of many services or hosts, counts as large",
                 "[control]")
{
  routes::RouteSet routes = *mState.mConfiguration->mRoutes;
  const bool hosts = GENERATE(false, true);
  for (int n = 0; n < 300; ++n) {
    const std::string name = "n-" + std::to_string(n);
    if (hosts) {
      routes.mHosts.insert(name);
    } else {
      routes.mServices[{ name }] = {};
    }
  }
  ++routes.mNumber;
  membership::Configuration next = *mState.mConfiguration;
  next.mRoutes = SharedValue(routes);
  ++next.mVersion;
  membership::AppendVersion(mState.mJournal, *mState.mConfiguration, next, kJournalLimits);
  membership::LeaseRenewal renewal;
  renewal.mId = { "e1" };
  renewal.mHeld = mState.mConfiguration->mVersion;
  renewal.mOmitWhole = true;
  mState.mConfiguration = SharedValue(next);
  mState.mDeltas.clear();
  mEffects.clear();
  HandleEvent(EntryMessage{ { "e1" }, renewal });
  const auto isGrant = [](const Effect& aEffect) {
    return std::holds_alternative<SendEntry>(aEffect);
  };
  const auto sent = std::find_if(mEffects.begin(), mEffects.end(), isGrant);
  REQUIRE(sent != mEffects.end());
  const auto& grant = std::get<membership::LeaseGrant>(std::get<SendEntry>(*sent).mBody);
  CHECK_FALSE(grant.mDelta);
  CHECK_FALSE(grant.mConfiguration);
}

// Guards against a stale read: a route set older than one that another process has acknowledged.
TEST_CASE_METHOD(ServerCallFixture,
                 "Read of the route set, leader, waits for a majority to confirm it",
                 "[control]")
{
  const CallId id = mNextId++;
  HandleEvent(RoutesCall{ id });
  CHECK_FALSE(AnswerTo<RoutesAnswer>(id));
  Run(10);
  const auto answer = AnswerTo<RoutesAnswer>(id);
  REQUIRE(answer);
  CHECK(answer->mCurrent);
}

// Guards against look-ups that return entries which are stopping, or none although some are
// available.
TEST_CASE_METHOD(ServerCallFixture,
                 "Look-up, entries of several regions, returns the nearest that are not leaving",
                 "[control]")
{
  membership::Configuration configuration = *mState.mConfiguration;
  const auto add = [&](const std::string& aId, const std::string& aRegion, bool aLeaving) {
    membership::Entry entry;
    entry.mAddress = { "10.0.0." + std::to_string(configuration.mEntries.size() + 1), 80 };
    entry.mRegion = { aRegion };
    entry.mDataCentre = { aRegion + "-a" };
    entry.mLeaving = aLeaving;
    configuration.mEntries[{ aId }] = entry;
  };
  add("e1", "leith", false);
  add("e2", "leith", true);
  add("e3", "bordeaux", false);
  mState.mConfiguration = SharedValue(configuration);
  const auto lookUp = [&](const std::string& aRegion) {
    const CallId id = mNextId++;
    HandleEvent(DirectoryCall{ id, { aRegion }, { aRegion + "-a" } });
    return AnswerTo<DirectoryAnswer>(id)->mEntries;
  };
  CHECK(lookUp("leith") == std::vector<Endpoint>{ { "10.0.0.1", 80 } });
  CHECK(lookUp("bordeaux") == std::vector<Endpoint>{ { "10.0.0.3", 80 } });
  CHECK(lookUp("hongkong").size() == 2);
}

} // namespace
} // namespace fighold::control
