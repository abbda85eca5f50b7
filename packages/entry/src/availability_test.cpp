#include "entry_group_fixture.hpp"
#include "environment.hpp"
#include "forward_fixture.hpp"
#include "request_fixture.hpp"

#include <random>

namespace fighold::entry {
namespace {

const AvailabilityStatement kLeaves{ true, {} };

AvailabilityStatement
Pauses(Millis aTime)
{
  return { false, aTime };
}

/// An entry whose servers answer with what the test lets them say.
struct StatementFixture : ForwardFixture
{
  static constexpr int kAtATime = 6;

  StatementFixture() { Grant(); }

  Dispatch LastDispatch() const
  {
    const auto dispatches = EffectsOfType<Dispatch>();
    REQUIRE_FALSE(dispatches.empty());
    return dispatches.back();
  }

  /// Ends a dispatch with an answer of its server.
  void Answer(const Dispatch& aDispatch,
              const AvailabilityStatement& aSaid,
              AnswerMeaning aMeaning = AnswerMeaning::Result)
  {
    DispatchDone done;
    done.mId = aDispatch.mId;
    done.mDispatchId = aDispatch.mDispatchId;
    done.mServer = { aDispatch.mServer.mId, aDispatch.mServer.mIncarnation };
    done.mResult.mStage = net::ExchangeStage::Answered;
    done.mResult.mResponse.mStatus = 200;
    done.mMeaning = aMeaning;
    done.mReport.mAvailability = aSaid;
    mEffects.clear();
    HandleEvent(done);
  }

  /// A statement of a server in the answer to a request that has ended.
  void Say(const std::string& aServer, const AvailabilityStatement& aSaid)
  {
    Dispatch dispatch;
    dispatch.mServer.mId = { aServer };
    dispatch.mServer.mIncarnation = 7;
    Answer(dispatch, aSaid);
  }

  ForwardRequest RequestFor(const std::string& aTarget, const std::string& aObject)
  {
    ForwardRequest request;
    request.mId = mNextId++;
    request.mCallerRequestId = "caller-" + std::to_string(request.mId);
    request.mAffinityKey = aObject;
    net::HttpRequest payload;
    payload.mTarget = aTarget;
    payload.mHost = "desk.example";
    request.mPayload = SharedValue(payload);
    return request;
  }

  /// Sends requests with and without objects, some at a time so that the preferred server is busy.
  /// @return servers that were used
  std::set<std::string> UsedServers(int aRequests = 60)
  {
    std::set<std::string> used;
    for (int n = 0; n < aRequests; n += kAtATime) {
      mEffects.clear();
      for (int m = n; m < n + kAtATime; ++m) {
        const std::string object = m % 2 == 0 ? "" : std::to_string(m % 17);
        HandleEvent(RequestFor(m % 3 == 0 ? "/claim/1" : "/read/1", object));
      }
      for (const Dispatch& it : EffectsOfType<Dispatch>()) {
        used.insert(it.mServer.mId.mValue);
        Answer(it, {});
      }
    }
    return used;
  }

  /// @return whether some of the requests reach a server; some reach another one
  bool Uses(const std::string& aServer, int aRequests = 60)
  {
    const auto used = UsedServers(aRequests);
    CHECK(used.size() > used.count(aServer));
    return used.count(aServer) > 0;
  }

  const std::set<std::string> mAll{ "s1", "s2", "s3" };
};

// Guards against an entry that goes on sending to a server that said it leaves.
TEST_CASE_METHOD(StatementFixture, "Forward, server says it leaves, is not chosen again", "[entry]")
{
  CHECK(UsedServers() == mAll);
  Say("s1", kLeaves);
  CHECK_FALSE(Uses("s1"));
}

// Guards against an entry that believes heartbeats, or their absence, more than the server's own
// words.
TEST_CASE_METHOD(StatementFixture,
                 "Forward, server says it leaves and heartbeats say ready, is not chosen again",
                 "[entry]")
{
  Say("s1", kLeaves);
  for (int n = 0; n < 6; ++n) {
    mNow += Millis(500);
    Grant();
    CHECK_FALSE(Uses("s1"));
  }
  mNow += std::chrono::seconds(10);
  HandleEvent(Tick{});
  CHECK_FALSE(Uses("s1"));
}

// Guards against a server that is used again because its state was dropped with its entry in the
// configuration.
TEST_CASE_METHOD(StatementFixture,
                 "Forward, leaving server is listed again as the same incarnation, is not chosen",
                 "[entry]")
{
  Say("s1", kLeaves);
  const auto server = mConfiguration.mBackendServers.at({ "s1" });
  mConfiguration.mBackendServers.erase({ "s1" });
  mNow += Millis(500);
  Grant();
  mConfiguration.mBackendServers[{ "s1" }] = server;
  mNow += Millis(500);
  Grant();
  CHECK_FALSE(Uses("s1"));
}

// Guards against a new start of a server that inherits what the one before it said, under its own
// or another identifier at its address, and against late words of the old one.
TEST_CASE_METHOD(StatementFixture,
                 "Forward, leaving server starts again, is chosen whatever the old one said",
                 "[entry]")
{
  Say("s1", kLeaves);
  Say("s2", Pauses(std::chrono::seconds(30)));
  mConfiguration.mBackendServers[{ "s1" }].mIncarnation = 8;
  auto successor = mConfiguration.mBackendServers.at({ "s2" });
  mConfiguration.mBackendServers.erase({ "s2" });
  successor.mIncarnation = 8;
  mConfiguration.mBackendServers[{ "s9" }] = successor;
  mNow += Millis(500);
  Grant();
  Say("s1", kLeaves);
  CHECK(UsedServers() == std::set<std::string>{ "s1", "s3", "s9" });
}

// Guards against a second attempt at a server that has said meanwhile that it leaves.
TEST_CASE_METHOD(StatementFixture,
                 "Forward, refused while the others leave, is not sent to them again",
                 "[entry]")
{
  Arrive("/claim/1");
  const Dispatch first = LastDispatch();
  for (const std::string& it : mAll) {
    if (it != first.mServer.mId.mValue) {
      Say(it, kLeaves);
    }
  }
  Answer(first, Pauses(std::chrono::seconds(4)), AnswerMeaning::NotRun);
  CHECK(EffectsOfType<Dispatch>().empty());
  CHECK(LastAnswer().mOutcome == Outcome::NotRun);
  CHECK(LastAnswer().mRetryAfter >= std::chrono::seconds(4));
  CHECK(LastAnswer().mRetryAfter <= std::chrono::seconds(7));
}

// Guards against words of a server that count for nothing since they came with a failure, or after
// the caller had gone.
TEST_CASE_METHOD(StatementFixture,
                 "Forward, server says it leaves in any answer, is not chosen again",
                 "[entry]")
{
  const auto meaning =
    GENERATE(AnswerMeaning::Result, AnswerMeaning::NotRun, AnswerMeaning::Unusable);
  const bool gone = GENERATE(false, true);
  const RequestId id = Arrive("/claim/1");
  const Dispatch dispatch = LastDispatch();
  if (gone) {
    HandleEvent(CallerGone{ id, "closed" });
  }
  Answer(dispatch, kLeaves, meaning);
  CHECK_FALSE(Uses(dispatch.mServer.mId.mValue));
}

// Guards against callers that wait, or return too early, when no server wants requests.
TEST_CASE_METHOD(StatementFixture,
                 "Forward, all servers pause or leave, refuses at once with the end of a pause",
                 "[entry]")
{
  Say("s1", kLeaves);
  Say("s2", Pauses(std::chrono::seconds(9)));
  Say("s3", Pauses(std::chrono::seconds(5)));
  Arrive("/read/1");
  CHECK(EffectsOfType<Dispatch>().empty());
  CHECK(LastAnswer().mStatus == 503);
  CHECK(LastAnswer().mRetryAfter >= std::chrono::seconds(5));
  CHECK(LastAnswer().mRetryAfter <= std::chrono::seconds(7));
  const auto records = EffectsOfType<LogRecord>();
  REQUIRE_FALSE(records.empty());
  std::map<std::string, std::string> rejected;
  for (const Rejected& it : records.back().mRecord.mRejected) {
    rejected[it.mCandidate] = it.mReason;
  }
  CHECK(rejected["s1"] == "leaving");
  CHECK(rejected["s2"].rfind("paused-for-", 0) == 0);
  CHECK(rejected["s3"].rfind("paused-for-", 0) == 0);
}

// Guards against requests to a server during the pause it asked for, and against a faulty server
// that takes itself out of use for days.
TEST_CASE_METHOD(StatementFixture,
                 "Forward, server pauses, is chosen again after the pause and not before",
                 "[entry]")
{
  const auto [named, kept] = GENERATE(std::pair(Millis(3000), Millis(3000)),
                                      std::pair(Millis(300'000), Millis(300'000)),
                                      std::pair(Millis(86'400'000), kMaxPause));
  Say("s1", Pauses(named));
  const Instant begin = mNow;
  while (mNow < begin + kept) {
    CHECK_FALSE(Uses("s1", kAtATime));
    mNow += kept / 20;
    Grant();
  }
  mNow = begin + kept + Millis(1000);
  Grant();
  CHECK(Uses("s1", 200));
}

// Guards against health requests to a server that wants none.
TEST_CASE_METHOD(StatementFixture,
                 "ProbeServers, server pauses or leaves, sends it no health request",
                 "[entry]")
{
  UsedServers();
  Say("s1", kLeaves);
  Say("s2", Pauses(std::chrono::seconds(30)));
  std::set<std::string> probed;
  mEffects.clear();
  for (int n = 0; n < 30; ++n) {
    mNow += Millis(100);
    Arrive("/read/1");
    HandleEvent(Tick{});
    for (const Dispatch& it : EffectsOfType<Dispatch>()) {
      if (it.mPayload->mTarget == "/health") {
        probed.insert(it.mServer.mId.mValue);
      }
    }
  }
  CHECK(probed == std::set<std::string>{ "s3" });
}

// Guards against dispatches that wait for a connection when the server says that it wants none.
TEST_CASE_METHOD(StatementFixture,
                 "RecordAvailability, server pauses or leaves, holds dispatches that are not sent",
                 "[entry]")
{
  Say("s1", Pauses(Millis(2000)));
  auto holds = EffectsOfType<HoldServer>();
  REQUIRE(holds.size() == 1);
  CHECK(holds.back().mServer == ServerKey{ { "s1" }, 7 });
  CHECK(holds.back().mUntil == mState.mAvailabilities.at({ { "s1" }, 7 }).mPausedUntil);
  Say("s1", kLeaves);
  holds = EffectsOfType<HoldServer>();
  REQUIRE(holds.size() == 1);
  CHECK(holds.back().mUntil == mNow + std::chrono::minutes(1));
}

/// Requests of the plan, whose servers speak the product's own interface.
struct PlanStatementFixture : RequestFixture
{
  void Say(const std::string& aServer, const AvailabilityStatement& aSaid)
  {
    DispatchDone done;
    done.mServer = { { aServer }, 0 };
    done.mResult.mStage = net::ExchangeStage::Answered;
    done.mReport.mAvailability = aSaid;
    HandleEvent(done);
  }
};

// Guards against requests of the plan that reach a server which said in its answers that it wants
// none.
TEST_CASE_METHOD(PlanStatementFixture,
                 "Request, servers pause or leave, are not chosen and no caller waits for them",
                 "[entry]")
{
  Say("a1", kLeaves);
  Say("a2", Pauses(std::chrono::seconds(3)));
  for (RequestId id = 1; id <= 4; ++id) {
    Arrive(id, "GET", "");
  }
  for (const Dispatch& it : All<Dispatch>()) {
    CHECK(it.mServer.mId.mValue == "a3");
  }
  Say("a3", Pauses(std::chrono::seconds(5)));
  mEffects.clear();
  Arrive(9, "GET", "");
  CHECK(All<Dispatch>().empty());
  CHECK(LastAnswer().mOutcome == Outcome::NotRun);
  mNow += std::chrono::seconds(5);
  Arrive(10, "GET", "");
  REQUIRE_FALSE(All<Dispatch>().empty());
  CHECK(All<Dispatch>().back().mServer.mId.mValue == "a2");
}

/// Entries whose servers pause together.
struct PauseGroupFixture : EntryGroupFixture
{
  static bool Granted(std::size_t /*aEntry*/) { return true; }
};

// Guards against requests that all return in the moment in which a pause ends.
TEST_CASE_METHOD(PauseGroupFixture,
                 "Forward, all servers pause together, requests come back spread over time",
                 "[entry]")
{
  StartEntries(kEightEntries);
  Run(std::chrono::seconds(2), Granted);
  for (std::size_t n = 0; n < mEntries.size(); ++n) {
    for (const auto& [id, server] : mConfiguration.mBackendServers) {
      DispatchDone done;
      done.mServer = { id, server.mIncarnation };
      done.mResult.mStage = net::ExchangeStage::Answered;
      done.mReport.mAvailability = Pauses(std::chrono::seconds(4));
      Collect(n, Step(mEntries[n], done, mNow));
    }
  }
  const Instant begin = mNow;
  mSent.clear();
  Run(std::chrono::seconds(10), Granted);
  std::map<int, std::size_t> sentIn; // in each quarter of a second of the pause and after it
  for (const auto& [id, times] : mSent) {
    for (const Instant it : times) {
      CHECK(it >= begin + std::chrono::seconds(4));
      ++sentIn[static_cast<int>((it - begin) / Millis(250))];
    }
  }
  // 50 requests arrive in each quarter of a second.
  CHECK(sentIn[16] > 0);
  CHECK(sentIn[16] <= 25);
  CHECK(sentIn[30] >= 45);
}

/// Entries and servers that say anything at any moment.
struct RandomStatementFixture : EntryGroupFixture
{
  /// What an entry has heard of an incarnation.
  struct Heard
  {
    bool mLeaves = false;
    Instant mPausedUntil{};
  };

  std::mt19937_64 mRandomSource;
  std::map<std::pair<std::size_t, ServerKey>, Heard> mHeard;
  std::size_t mDispatches = 0;

  explicit RandomStatementFixture(std::uint64_t aSeed)
    : mRandomSource(aSeed)
  {
    StartEntries({ "attiki", "makedonia", "kriti" });
  }

  bool Chance(unsigned aOneIn) { return mRandomSource() % aOneIn == 0; }

  AvailabilityStatement RandomStatement()
  {
    AvailabilityStatement said;
    said.mLeaving = Chance(60);
    if (Chance(30)) {
      said.mPause = Millis(1 + mRandomSource() % 6000);
    }
    return said;
  }

  /// Ends a dispatch in any way, if its time has come.
  void EndDispatch(std::size_t aEntry, const Dispatch& aDispatch)
  {
    DispatchDone done;
    done.mId = aDispatch.mId;
    done.mDispatchId = aDispatch.mDispatchId;
    done.mServer = { aDispatch.mServer.mId, aDispatch.mServer.mIncarnation };
    const auto kind = mRandomSource() % 10;
    done.mResult.mStage = kind == 0   ? net::ExchangeStage::NotSent
                          : kind == 1 ? net::ExchangeStage::NoAnswer
                                      : net::ExchangeStage::Answered;
    done.mMeaning = kind == 2   ? AnswerMeaning::NotRun
                    : kind == 3 ? AnswerMeaning::Unusable
                                : AnswerMeaning::Result;
    if (done.mResult.mStage == net::ExchangeStage::Answered) {
      done.mReport.mAvailability = RandomStatement();
      Heard& heard = mHeard[{ aEntry, done.mServer }];
      heard.mLeaves = heard.mLeaves || done.mReport.mAvailability.mLeaving;
      heard.mPausedUntil =
        std::max(heard.mPausedUntil, mNow + done.mReport.mAvailability.mPause.value_or(Millis(0)));
    }
    Handle(aEntry, done);
  }

  /// Checks each dispatch against what the entry has heard, and keeps it until it ends.
  void Handle(std::size_t aEntry, const Event& aEvent)
  {
    for (const Effect& it : Step(mEntries[aEntry], aEvent, mNow)) {
      const auto* dispatch = std::get_if<Dispatch>(&it);
      if (dispatch == nullptr) {
        continue;
      }
      ++mDispatches;
      const Heard& heard =
        mHeard[{ aEntry, { dispatch->mServer.mId, dispatch->mServer.mIncarnation } }];
      CHECK_FALSE(heard.mLeaves);
      CHECK(mNow >= heard.mPausedUntil);
      mOpen.emplace_back(aEntry, *dispatch);
    }
  }

  /// A change of the configuration: a server starts again, vanishes, or comes back as it was.
  void ChangeServers()
  {
    const auto n = mRandomSource() % 12;
    const BackendServerId id{ "s" + std::to_string(n) };
    const auto listed = mConfiguration.mBackendServers.find(id);
    if (listed == mConfiguration.mBackendServers.end()) {
      mConfiguration.mBackendServers[id] = mRemoved.at(id);
    } else if (Chance(2)) {
      listed->second.mIncarnation += 1;
    } else {
      mRemoved[id] = listed->second;
      mConfiguration.mBackendServers.erase(listed);
    }
    ++mConfiguration.mVersion;
  }

  void StepRandomly()
  {
    mNow += Millis(mRandomSource() % 20);
    const std::size_t entry = mRandomSource() % mEntries.size();
    if (Chance(100)) {
      ChangeServers();
    }
    if (Chance(25)) {
      Grant(mEntries[entry], {});
    }
    if (Chance(10)) {
      Handle(entry, Tick{});
    }
    if (!mOpen.empty() && Chance(2)) {
      const std::size_t n = mRandomSource() % mOpen.size();
      const auto [sender, dispatch] = mOpen[n];
      mOpen.erase(mOpen.begin() + static_cast<std::ptrdiff_t>(n));
      EndDispatch(sender, dispatch);
    } else {
      ForwardRequest request;
      request.mId = mNextId++;
      request.mAffinityKey = Chance(2) ? std::to_string(mRandomSource() % 20) : "";
      net::HttpRequest payload;
      payload.mTarget = "/1";
      payload.mHost = "desk.example";
      request.mPayload = SharedValue(payload);
      Handle(entry, request);
      if (Chance(20)) {
        Handle(entry, CallerGone{ request.mId, "closed" });
      }
    }
  }

  std::vector<std::pair<std::size_t, Dispatch>> mOpen;
  std::map<BackendServerId, membership::BackendServer> mRemoved;
};

// Guards against any way to a server that wants no requests: first and second attempts, objects,
// health requests, changes of the configuration, entries that are cut off, late answers.
TEST_CASE("Forward, servers say anything at any moment, get nothing that they do not want",
          "[entry]")
{
  const std::uint64_t first = testing::FromEnvironment("FIGHOLD_SEED", 1);
  const std::uint64_t runs = testing::FromEnvironment("FIGHOLD_RUNS", 20);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    INFO("seed " << seed);
    RandomStatementFixture fixture(seed);
    for (int n = 0; n < 3000; ++n) {
      fixture.StepRandomly();
    }
    CHECK(fixture.mDispatches > 500);
  }
}

} // namespace
} // namespace fighold::entry
