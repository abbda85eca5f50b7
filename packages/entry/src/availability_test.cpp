#include "forward_fixture.hpp"
#include "request_fixture.hpp"

#include <set>

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

} // namespace
} // namespace fighold::entry
