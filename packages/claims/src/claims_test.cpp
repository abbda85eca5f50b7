#include "fighold/claims/client.hpp"
#include "fighold/claims/digest.hpp"
#include "fighold/claims/replica.hpp"

#include <catch2/catch.hpp>

namespace fighold::claims {
namespace {

/// Three replicas and two clients without a network: messages are passed by function calls.
struct ClaimsFixture
{
  std::vector<ControlId> mIds{ { "c1" }, { "c2" }, { "c3" } };
  std::map<ControlId, Replica> mReplicas;
  Client mFirst{ { { "e1" }, 1, mIds }, {}, {}, {}, {} };
  Client mSecond{ { { "e2" }, 1, mIds }, {}, {}, {}, {} };
  Instant mNow{ Millis(1'000'000) };
  std::vector<ClaimDecided> mDecisions;

  ClaimsFixture()
  {
    for (const ControlId& it : mIds) {
      mReplicas[it] = MakeReplica({ it, mIds }, false);
    }
  }

  /// Passes an event to a client and its messages to the reachable replicas, whose replies it
  /// receives.
  void Run(Client& aClient, const ClientEvent& aEvent, const std::vector<ControlId>& aReachable)
  {
    for (const ClientEffect& it : Step(aClient, aEvent, mNow)) {
      if (const auto* decided = std::get_if<ClaimDecided>(&it)) {
        mDecisions.push_back(*decided);
        continue;
      }
      const Send& send = std::get<Send>(it);
      if (std::find(aReachable.begin(), aReachable.end(), send.mTo) == aReachable.end()) {
        continue;
      }
      if (const auto* request = std::get_if<ClaimRequest>(&send.mBody)) {
        const ClaimReply reply = ProcessRequest(mReplicas[send.mTo], *request, mNow);
        Run(aClient, ReplyReceived{ send.mTo, reply }, aReachable);
      } else {
        RecordResult(mReplicas[send.mTo], std::get<AttemptResult>(send.mBody), mNow);
      }
    }
  }

  void Claim(Client& aClient,
             std::uint64_t aNumber,
             const std::string& aDigest,
             const std::vector<ControlId>& aReachable)
  {
    Run(aClient, StartClaim{ aNumber, "key", aDigest, mNow + Millis(5000) }, aReachable);
  }

  /// Lets time pass until an attempt of a key that another one holds stops waiting for its answer.
  /// Checks that it has no outcome before.
  void WaitForAnswer(Client& aClient)
  {
    const std::size_t before = mDecisions.size();
    constexpr Millis kStep{ 10 };
    const Instant started = mNow;
    while (mDecisions.size() == before && mNow < started + Millis(400)) {
      mNow += kStep;
      if (mNow >= NextClientTick(aClient).value_or(mNow)) {
        Run(aClient, ClientTick{}, mIds);
      }
    }
    CHECK(mDecisions.size() == before + 1);
    CHECK(mNow - started >= Millis(300));
    CHECK(mNow - started <= Millis(350));
  }

  ClaimOutcome LastOutcome() const { return mDecisions.back().mOutcome; }
};

TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, majority reachable, is granted for a bounded time",
                 "[claims]")
{
  Claim(mFirst, 1, "d", { { "c1" }, { "c3" } });
  REQUIRE(mDecisions.size() == 1);
  CHECK(LastOutcome() == ClaimOutcome::Granted);
  CHECK(mDecisions.back().mValidUntil == mNow + kValidity);
}

// Guards against a second run when the caller retries through another entry.
TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, key claimed by another entry, is reported as dispatched",
                 "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Claim(mSecond, 1, "d", mIds);
  WaitForAnswer(mSecond);
  CHECK(LastOutcome() == ClaimOutcome::Dispatched);
}

TEST_CASE_METHOD(ClaimsFixture, "Claim, response stored, is replayed", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  const StoredResponse response{ 201, { { "X", "y" } }, "done" };
  Run(mFirst, RequestEnded{ 1, true, response }, mIds);
  Claim(mSecond, 1, "d", mIds);
  CHECK(LastOutcome() == ClaimOutcome::Replay);
  CHECK(mDecisions.back().mResponse == response);
}

// Guards against a caller that resends at once through another entry and is told "unknown",
// although it has the answer: the first entry's message with the answer was still on its way.
TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, answer stored shortly after another entry claimed the key, is replayed",
                 "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Claim(mSecond, 1, "d", mIds);
  CHECK(mDecisions.size() == 1);
  mNow += Millis(40);
  Run(mFirst, RequestEnded{ 1, true, StoredResponse{ 201, {}, "done" } }, mIds);
  mNow += Millis(10);
  Run(mSecond, ClientTick{}, mIds);
  REQUIRE(mDecisions.size() == 2);
  CHECK(LastOutcome() == ClaimOutcome::Replay);
}

TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, response over 16 KiB, is reported as dispatched",
                 "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Run(mFirst,
      RequestEnded{
        1, true, StoredResponse{ 200, {}, std::string(kMaxStoredResponseBytes + 1, 'a') } },
      mIds);
  Claim(mSecond, 1, "d", mIds);
  WaitForAnswer(mSecond);
  CHECK(LastOutcome() == ClaimOutcome::Dispatched);
}

TEST_CASE_METHOD(ClaimsFixture, "Claim, same key and different request, is refused", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Claim(mSecond, 1, "other", mIds);
  CHECK(LastOutcome() == ClaimOutcome::Mismatch);
}

// Guards against a key that stays claimed although the backend server did not run its request.
TEST_CASE_METHOD(ClaimsFixture, "Claim, first request not run, is granted to the retry", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Run(mFirst, RequestEnded{ 1, false, std::nullopt }, mIds);
  Claim(mSecond, 1, "d", mIds);
  CHECK(LastOutcome() == ClaimOutcome::Granted);
}

// Guards against a dispatch with grants of a minority.
TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, no majority in time, is undecided and releases its grants",
                 "[claims]")
{
  Claim(mFirst, 1, "d", { { "c1" } });
  CHECK(mDecisions.empty());
  mNow += kClaimTimeout;
  Run(mFirst, ClientTick{}, { { "c1" } });
  REQUIRE(mDecisions.size() == 1);
  CHECK(LastOutcome() == ClaimOutcome::Undecided);
  Claim(mSecond, 1, "d", mIds);
  CHECK(LastOutcome() == ClaimOutcome::Granted);
}

// Guards against an entry that is suspended after it sent its requests and then counts the late
// replies.
TEST_CASE_METHOD(ClaimsFixture, "Claim, replies after the time limit, is not granted", "[claims]")
{
  Claim(mFirst, 1, "d", {});
  mNow += kClaimTimeout;
  const Attempt attempt{ { "e1" }, 1, 1 };
  Run(mFirst, ReplyReceived{ { "c1" }, { attempt, ReplyCode::Granted, {}, {} } }, {});
  Run(mFirst, ReplyReceived{ { "c2" }, { attempt, ReplyCode::Granted, {}, {} } }, {});
  REQUIRE(mDecisions.size() == 1);
  CHECK(LastOutcome() == ClaimOutcome::Undecided);
}

TEST_CASE_METHOD(ClaimsFixture,
                 "ProcessRequest, late request of a released attempt, is refused",
                 "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Run(mFirst, RequestEnded{ 1, false, std::nullopt }, mIds);
  const ClaimReply reply =
    ProcessRequest(mReplicas[{ "c1" }], { "key", "d", { { "e1" }, 1, 1 } }, mNow);
  CHECK(reply.mCode == ReplyCode::Released);
}

TEST_CASE_METHOD(ClaimsFixture, "ProcessRequest, replica full, refuses new keys only", "[claims]")
{
  Replica replica = MakeReplica({ { "c1" }, mIds, 0, 2 }, false);
  CHECK(ProcessRequest(replica, { "a", "d", { { "e1" }, 1, 1 } }, mNow).mCode ==
        ReplyCode::Granted);
  CHECK(ProcessRequest(replica, { "b", "d", { { "e1" }, 1, 2 } }, mNow).mCode ==
        ReplyCode::Granted);
  CHECK(ProcessRequest(replica, { "c", "d", { { "e1" }, 1, 3 } }, mNow).mCode == ReplyCode::Full);
  CHECK(ProcessRequest(replica, { "a", "d", { { "e1" }, 1, 1 } }, mNow).mCode ==
        ReplyCode::Granted);
}

TEST_CASE_METHOD(ClaimsFixture,
                 "RecordResult, responses over the limit, drops the oldest",
                 "[claims]")
{
  Replica replica = MakeReplica({ { "c1" }, mIds, 0, 10, 100 }, false);
  for (std::uint64_t n = 1; n <= 3; ++n) {
    const Attempt attempt{ { "e1" }, 1, n };
    ProcessRequest(replica, { std::to_string(n), "d", attempt }, mNow);
    const StoredResponse response{ 200, {}, std::string(40, 'a') };
    RecordResult(replica, { std::to_string(n), attempt, false, response }, mNow);
  }
  CHECK(replica.mResponseBytes == 80);
  CHECK(ProcessRequest(replica, { "1", "d", { { "e2" }, 1, 1 } }, mNow).mCode == ReplyCode::Held);
  CHECK(ProcessRequest(replica, { "3", "d", { { "e2" }, 1, 1 } }, mNow).mCode ==
        ReplyCode::Answered);
}

TEST_CASE_METHOD(ClaimsFixture,
                 "ProcessRequest, retention passed, grants the key again",
                 "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  mNow += kRetention;
  Claim(mSecond, 1, "d", mIds);
  WaitForAnswer(mSecond);
  CHECK(LastOutcome() == ClaimOutcome::Dispatched);
  mNow += Millis(60'000);
  Claim(mSecond, 2, "d", mIds);
  CHECK(LastOutcome() == ClaimOutcome::Granted);
  CHECK(mReplicas[{ "c1" }].mRecords.size() == 1);
}

// Guards against a replica that grants a key again after a restart.
TEST_CASE_METHOD(ClaimsFixture,
                 "Replica, restarted, abstains until it copied a majority",
                 "[claims]")
{
  Claim(mFirst, 1, "d", { { "c1" }, { "c2" } });
  Replica& restarted = mReplicas[{ "c1" }];
  restarted = MakeReplica({ { "c1" }, mIds, 1 }, true);
  const ClaimRequest request{ "key", "d", { { "e2" }, 1, 1 } };
  CHECK(TickReplica(restarted, mNow).empty());
  CHECK(ProcessRequest(restarted, request, mNow).mCode == ReplyCode::Abstained);
  mNow += WithClockAllowance(kValidity);
  const auto requests = TickReplica(restarted, mNow);
  REQUIRE(requests.size() == 2);
  for (const auto& [to, copyRequest] : requests) {
    CHECK(ProcessRequest(restarted, request, mNow).mCode == ReplyCode::Abstained);
    ApplyCopyPage(restarted, to, *MakeCopyPage(mReplicas[to], copyRequest, mNow), mNow);
  }
  CHECK(restarted.mStage == ReplicaStage::Active);
  CHECK(ProcessRequest(restarted, request, mNow).mCode == ReplyCode::Held);
}

TEST_CASE_METHOD(ClaimsFixture,
                 "Replica, restarted and alone, grants after the retention",
                 "[claims]")
{
  Replica replica = MakeReplica({ { "c1" }, mIds, 1 }, true);
  const ClaimRequest request{ "key", "d", { { "e2" }, 1, 1 } };
  TickReplica(replica, mNow);
  TickReplica(replica, mNow + kRetention);
  CHECK(ProcessRequest(replica, request, mNow + kRetention).mCode == ReplyCode::Abstained);
  const Instant later = mNow + WithClockAllowance(kRetention + kValidity);
  TickReplica(replica, later);
  CHECK(ProcessRequest(replica, request, later).mCode == ReplyCode::Granted);
}

// Guards against a restarted replica that picks one of two owners: its forgotten grant may have
// completed the other one's majority.
TEST_CASE_METHOD(ClaimsFixture, "Replica, copies that name two owners, blocks the key", "[claims]")
{
  Claim(mFirst, 1, "d", { { "c2" } });
  Claim(mSecond, 1, "d", { { "c3" } });
  Replica& restarted = mReplicas[{ "c1" }];
  restarted = MakeReplica({ { "c1" }, mIds, 1 }, true);
  TickReplica(restarted, mNow);
  mNow += WithClockAllowance(kValidity);
  for (const auto& [to, request] : TickReplica(restarted, mNow)) {
    ApplyCopyPage(restarted, to, *MakeCopyPage(mReplicas[to], request, mNow), mNow);
  }
  REQUIRE(restarted.mStage == ReplicaStage::Active);
  for (const std::string entry : { "e1", "e2", "e3" }) {
    CHECK(ProcessRequest(restarted, { "key", "d", { { entry }, 1, 1 } }, mNow).mCode ==
          ReplyCode::Abstained);
  }
  const auto page = MakeCopyPage(restarted, CopyRequest{}, mNow);
  REQUIRE(page->mRecords.size() == 1);
  CHECK_FALSE(page->mRecords[0].mOwner);
}

// Guards against a page that an earlier start requested and that lacks later grants.
TEST_CASE_METHOD(ClaimsFixture, "ApplyCopyPage, page for an earlier start, is ignored", "[claims]")
{
  Replica restarted = MakeReplica({ { "c1" }, mIds, 2 }, true);
  TickReplica(restarted, mNow);
  mNow += WithClockAllowance(kValidity);
  TickReplica(restarted, mNow);
  ApplyCopyPage(restarted, { "c2" }, { 1, "", true, {} }, mNow);
  ApplyCopyPage(restarted, { "c3" }, { 1, "", true, {} }, mNow);
  CHECK(restarted.mStage == ReplicaStage::Copying);
}

// Guards against a copy that stops after the first page.
TEST_CASE_METHOD(ClaimsFixture, "Replica, 1,000 keys to copy, copies them page by page", "[claims]")
{
  Replica source = MakeReplica({ { "c2" }, mIds }, false);
  for (std::uint64_t n = 0; n < 1000; ++n) {
    ProcessRequest(source, { std::to_string(n), "d", { { "e1" }, 1, n } }, mNow);
  }
  Replica copy = MakeReplica({ { "c1" }, { { "c1" }, { "c2" } }, 1 }, true);
  TickReplica(copy, mNow);
  mNow += WithClockAllowance(kValidity);
  TickReplica(copy, mNow);
  std::optional<CopyRequest> request = CopyRequest{ 1, "" };
  while (request) {
    request = ApplyCopyPage(copy, { "c2" }, *MakeCopyPage(source, *request, mNow), mNow);
  }
  CHECK(copy.mCopies[{ "c2" }].mDone);
  CHECK(copy.mRecords.size() == 1000);
}

TEST_CASE("RequestDigest, same text split differently, differs", "[claims]")
{
  CHECK(RequestDigest("POST", "/a", "b") != RequestDigest("POST", "/ab", ""));
  CHECK(RequestDigest("POST", "/a", "b") == RequestDigest("POST", "/a", "b"));
}

} // namespace
} // namespace fighold::claims
