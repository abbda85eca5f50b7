#include "fighold/claims/client.hpp"
#include "fighold/claims/digest.hpp"
#include "fighold/claims/replica.hpp"

#include <catch2/catch.hpp>

namespace fighold::claims {
namespace {

/// Three holders and one asker without a network: each test passes messages by hand.
struct ClaimsFixture
{
  std::vector<ControlId> mIds{ { "c1" }, { "c2" }, { "c3" } };
  std::map<ControlId, Replica> mReplicas;
  Client mFirst{ { { "e1" }, 1, mIds }, {}, {}, {}, {} };
  Client mSecond{ { { "e2" }, 1, mIds }, {}, {}, {}, {} };
  Instant mNow{ Millis(1'000'000) };
  std::vector<ClaimDecided> mJudged;

  ClaimsFixture()
  {
    for (const ControlId& it : mIds) {
      mReplicas[it] = MakeReplica({ it, mIds }, false);
    }
  }

  /// Hands an event to an asker; its messages reach the holders named, and their replies come back.
  void Run(Client& aClient, const ClientEvent& aEvent, const std::vector<ControlId>& aReachable)
  {
    for (const ClientEffect& it : Step(aClient, aEvent, mNow)) {
      if (const auto* judged = std::get_if<ClaimDecided>(&it)) {
        mJudged.push_back(*judged);
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

  ClaimOutcome Last() const { return mJudged.back().mOutcome; }
};

TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, majority reachable, is granted for a bounded time",
                 "[claims]")
{
  Claim(mFirst, 1, "d", { { "c1" }, { "c3" } });
  REQUIRE(mJudged.size() == 1);
  CHECK(Last() == ClaimOutcome::Granted);
  CHECK(mJudged.back().mValidUntil == mNow + kValidity);
}

// Guards against a second run when the caller resends through another entry.
TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, key claimed by another entry, is told dispatched",
                 "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Claim(mSecond, 1, "d", mIds);
  CHECK(Last() == ClaimOutcome::Dispatched);
}

TEST_CASE_METHOD(ClaimsFixture, "Claim, first answer kept, gets it", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  const StoredResponse answer{ 201, { { "X", "y" } }, "done" };
  Run(mFirst, RequestEnded{ 1, true, answer }, mIds);
  Claim(mSecond, 1, "d", mIds);
  CHECK(Last() == ClaimOutcome::Replay);
  CHECK(mJudged.back().mResponse == answer);
}

TEST_CASE_METHOD(ClaimsFixture, "Claim, first answer over 16 KiB, is told dispatched", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Run(mFirst,
      RequestEnded{
        1, true, StoredResponse{ 200, {}, std::string(kMaxStoredResponseBytes + 1, 'a') } },
      mIds);
  Claim(mSecond, 1, "d", mIds);
  CHECK(Last() == ClaimOutcome::Dispatched);
}

TEST_CASE_METHOD(ClaimsFixture, "Claim, same key and other body, is refused", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Claim(mSecond, 1, "other", mIds);
  CHECK(Last() == ClaimOutcome::Mismatch);
}

// Guards against a key that stays blocked although the backend server said "not run".
TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, first request not run, is granted to the resend",
                 "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Run(mFirst, RequestEnded{ 1, false, std::nullopt }, mIds);
  Claim(mSecond, 1, "d", mIds);
  CHECK(Last() == ClaimOutcome::Granted);
}

// Guards against a dispatch on a minority's word.
TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, no majority in time, is not decided and gives back",
                 "[claims]")
{
  Claim(mFirst, 1, "d", { { "c1" } });
  CHECK(mJudged.empty());
  mNow += kClaimTimeout;
  Run(mFirst, ClientTick{}, { { "c1" } });
  REQUIRE(mJudged.size() == 1);
  CHECK(Last() == ClaimOutcome::Undecided);
  Claim(mSecond, 1, "d", mIds);
  CHECK(Last() == ClaimOutcome::Granted);
}

// Guards against an entry that was frozen after its asks and takes the late replies for a claim.
TEST_CASE_METHOD(ClaimsFixture, "Claim, replies after the time limit, is not granted", "[claims]")
{
  Claim(mFirst, 1, "d", {});
  mNow += kClaimTimeout;
  const Attempt attempt{ { "e1" }, 1, 1 };
  Run(mFirst, ReplyReceived{ { "c1" }, { attempt, ReplyCode::Granted, {}, {} } }, {});
  Run(mFirst, ReplyReceived{ { "c2" }, { attempt, ReplyCode::Granted, {}, {} } }, {});
  REQUIRE(mJudged.size() == 1);
  CHECK(Last() == ClaimOutcome::Undecided);
}

TEST_CASE_METHOD(ClaimsFixture, "Decide, late ask of a released attempt, is withdrawn", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Run(mFirst, RequestEnded{ 1, false, std::nullopt }, mIds);
  const ClaimReply reply =
    ProcessRequest(mReplicas[{ "c1" }], { "key", "d", { { "e1" }, 1, 1 } }, mNow);
  CHECK(reply.mCode == ReplyCode::Released);
}

TEST_CASE_METHOD(ClaimsFixture, "Decide, holder full, refuses new keys only", "[claims]")
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

TEST_CASE_METHOD(ClaimsFixture, "NoteResult, answers over the bound, drops the oldest", "[claims]")
{
  Replica replica = MakeReplica({ { "c1" }, mIds, 0, 10, 100 }, false);
  for (std::uint64_t n = 1; n <= 3; ++n) {
    const Attempt attempt{ { "e1" }, 1, n };
    ProcessRequest(replica, { std::to_string(n), "d", attempt }, mNow);
    const StoredResponse answer{ 200, {}, std::string(40, 'a') };
    RecordResult(replica, { std::to_string(n), attempt, false, answer }, mNow);
  }
  CHECK(replica.mResponseBytes == 80);
  CHECK(ProcessRequest(replica, { "1", "d", { { "e2" }, 1, 1 } }, mNow).mCode == ReplyCode::Held);
  CHECK(ProcessRequest(replica, { "3", "d", { { "e2" }, 1, 1 } }, mNow).mCode ==
        ReplyCode::Answered);
}

TEST_CASE_METHOD(ClaimsFixture, "Decide, retention passed, grants the key again", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  mNow += kRetention;
  Claim(mSecond, 1, "d", mIds);
  CHECK(Last() == ClaimOutcome::Dispatched);
  mNow += Millis(60'000);
  Claim(mSecond, 2, "d", mIds);
  CHECK(Last() == ClaimOutcome::Granted);
  CHECK(mReplicas[{ "c1" }].mRecords.size() == 1);
}

// Guards against a holder that grants a key again after it lost its memory.
TEST_CASE_METHOD(ClaimsFixture,
                 "Holder, restarted, abstains until it copied a majority",
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
                 "Holder, restarted and alone, grants after the retention",
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

// Guards against a restarted holder that sides with one of two owners: its forgotten grant may have
// been the other one's majority.
TEST_CASE_METHOD(ClaimsFixture, "Holder, copies that name two owners, grants to nobody", "[claims]")
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

// Guards against a page that was asked for by an earlier start and lacks later grants.
TEST_CASE_METHOD(ClaimsFixture, "TakePage, page for an earlier start, is ignored", "[claims]")
{
  Replica restarted = MakeReplica({ { "c1" }, mIds, 2 }, true);
  TickReplica(restarted, mNow);
  mNow += WithClockAllowance(kValidity);
  TickReplica(restarted, mNow);
  ApplyCopyPage(restarted, { "c2" }, { 1, "", true, {} }, mNow);
  ApplyCopyPage(restarted, { "c3" }, { 1, "", true, {} }, mNow);
  CHECK(restarted.mStage == ReplicaStage::Copying);
}

// Guards against pages that stop at the first one.
TEST_CASE_METHOD(ClaimsFixture, "Holder, copies 1,000 keys, takes them page by page", "[claims]")
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

TEST_CASE("RequestDigest, parts joined differently, differ", "[claims]")
{
  CHECK(RequestDigest("POST", "/a", "b") != RequestDigest("POST", "/ab", ""));
  CHECK(RequestDigest("POST", "/a", "b") == RequestDigest("POST", "/a", "b"));
}

} // namespace
} // namespace fighold::claims
