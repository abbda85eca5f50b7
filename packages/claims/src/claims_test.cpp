#include "fighold/claims/asker.hpp"
#include "fighold/claims/digest.hpp"
#include "fighold/claims/holder.hpp"

#include <catch2/catch.hpp>

namespace fighold::claims {
namespace {

/// Three holders and one asker without a network: each test passes messages by hand.
struct ClaimsFixture
{
  std::vector<ControlId> mIds{ { "c1" }, { "c2" }, { "c3" } };
  std::map<ControlId, Holder> mHolders;
  Asker mFirst{ { { "e1" }, 1, mIds }, {}, {}, {}, {} };
  Asker mSecond{ { { "e2" }, 1, mIds }, {}, {}, {}, {} };
  Instant mNow{ Millis(1'000'000) };
  std::vector<Judged> mJudged;

  ClaimsFixture()
  {
    for (const ControlId& it : mIds) {
      mHolders[it] = MakeHolder({ it, mIds }, false);
    }
  }

  /// Hands an event to an asker; its messages reach the holders named, and their replies come back.
  void Run(Asker& aAsker, const AskerEvent& aEvent, const std::vector<ControlId>& aReachable)
  {
    for (const AskerEffect& it : Step(aAsker, aEvent, mNow)) {
      if (const auto* judged = std::get_if<Judged>(&it)) {
        mJudged.push_back(*judged);
        continue;
      }
      const Send& send = std::get<Send>(it);
      if (std::find(aReachable.begin(), aReachable.end(), send.mTo) == aReachable.end()) {
        continue;
      }
      if (const auto* ask = std::get_if<Ask>(&send.mBody)) {
        const Reply reply = Decide(mHolders[send.mTo], *ask, mNow);
        Run(aAsker, Replied{ send.mTo, reply }, aReachable);
      } else {
        NoteResult(mHolders[send.mTo], std::get<Result>(send.mBody), mNow);
      }
    }
  }

  void Claim(Asker& aAsker,
             std::uint64_t aNumber,
             const std::string& aDigest,
             const std::vector<ControlId>& aReachable)
  {
    Run(aAsker, Begin{ aNumber, "key", aDigest, mNow + Millis(5000) }, aReachable);
  }

  Judgement Last() const { return mJudged.back().mJudgement; }
};

TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, majority reachable, is granted for a bounded time",
                 "[claims]")
{
  Claim(mFirst, 1, "d", { { "c1" }, { "c3" } });
  REQUIRE(mJudged.size() == 1);
  CHECK(Last() == Judgement::Granted);
  CHECK(mJudged.back().mValidUntil == mNow + kValidity);
}

// Guards against a second run when the caller resends through another entry.
TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, key claimed by another entry, is told dispatched",
                 "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Claim(mSecond, 1, "d", mIds);
  CHECK(Last() == Judgement::Dispatched);
}

TEST_CASE_METHOD(ClaimsFixture, "Claim, first answer kept, gets it", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  const KeptAnswer answer{ 201, { { "X", "y" } }, "done" };
  Run(mFirst, Finish{ 1, true, answer }, mIds);
  Claim(mSecond, 1, "d", mIds);
  CHECK(Last() == Judgement::FirstAnswer);
  CHECK(mJudged.back().mAnswer == answer);
}

TEST_CASE_METHOD(ClaimsFixture, "Claim, first answer over 16 KiB, is told dispatched", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Run(
    mFirst, Finish{ 1, true, KeptAnswer{ 200, {}, std::string(kMaxAnswerBytes + 1, 'a') } }, mIds);
  Claim(mSecond, 1, "d", mIds);
  CHECK(Last() == Judgement::Dispatched);
}

TEST_CASE_METHOD(ClaimsFixture, "Claim, same key and other body, is refused", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Claim(mSecond, 1, "other", mIds);
  CHECK(Last() == Judgement::Mismatch);
}

// Guards against a key that stays blocked although the backend server said "not run".
TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, first request not run, is granted to the resend",
                 "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Run(mFirst, Finish{ 1, false, std::nullopt }, mIds);
  Claim(mSecond, 1, "d", mIds);
  CHECK(Last() == Judgement::Granted);
}

// Guards against a dispatch on a minority's word.
TEST_CASE_METHOD(ClaimsFixture,
                 "Claim, no majority in time, is not decided and gives back",
                 "[claims]")
{
  Claim(mFirst, 1, "d", { { "c1" } });
  CHECK(mJudged.empty());
  mNow += kAskTimeout;
  Run(mFirst, AskerTick{}, { { "c1" } });
  REQUIRE(mJudged.size() == 1);
  CHECK(Last() == Judgement::NotDecided);
  Claim(mSecond, 1, "d", mIds);
  CHECK(Last() == Judgement::Granted);
}

// Guards against an entry that was frozen after its asks and takes the late replies for a claim.
TEST_CASE_METHOD(ClaimsFixture, "Claim, replies after the time limit, is not granted", "[claims]")
{
  Claim(mFirst, 1, "d", {});
  mNow += kAskTimeout;
  const Attempt attempt{ { "e1" }, 1, 1 };
  Run(mFirst, Replied{ { "c1" }, { attempt, Verdict::Granted, {}, {} } }, {});
  Run(mFirst, Replied{ { "c2" }, { attempt, Verdict::Granted, {}, {} } }, {});
  REQUIRE(mJudged.size() == 1);
  CHECK(Last() == Judgement::NotDecided);
}

TEST_CASE_METHOD(ClaimsFixture, "Decide, late ask of a released attempt, is withdrawn", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  Run(mFirst, Finish{ 1, false, std::nullopt }, mIds);
  const Reply reply = Decide(mHolders[{ "c1" }], { "key", "d", { { "e1" }, 1, 1 } }, mNow);
  CHECK(reply.mVerdict == Verdict::Withdrawn);
}

TEST_CASE_METHOD(ClaimsFixture, "Decide, holder full, refuses new keys only", "[claims]")
{
  Holder holder = MakeHolder({ { "c1" }, mIds, 0, 2 }, false);
  CHECK(Decide(holder, { "a", "d", { { "e1" }, 1, 1 } }, mNow).mVerdict == Verdict::Granted);
  CHECK(Decide(holder, { "b", "d", { { "e1" }, 1, 2 } }, mNow).mVerdict == Verdict::Granted);
  CHECK(Decide(holder, { "c", "d", { { "e1" }, 1, 3 } }, mNow).mVerdict == Verdict::Full);
  CHECK(Decide(holder, { "a", "d", { { "e1" }, 1, 1 } }, mNow).mVerdict == Verdict::Granted);
}

TEST_CASE_METHOD(ClaimsFixture, "NoteResult, answers over the bound, drops the oldest", "[claims]")
{
  Holder holder = MakeHolder({ { "c1" }, mIds, 0, 10, 100 }, false);
  for (std::uint64_t n = 1; n <= 3; ++n) {
    const Attempt attempt{ { "e1" }, 1, n };
    Decide(holder, { std::to_string(n), "d", attempt }, mNow);
    const KeptAnswer answer{ 200, {}, std::string(40, 'a') };
    NoteResult(holder, { std::to_string(n), attempt, false, answer }, mNow);
  }
  CHECK(holder.mKeptBytes == 80);
  CHECK(Decide(holder, { "1", "d", { { "e2" }, 1, 1 } }, mNow).mVerdict == Verdict::Held);
  CHECK(Decide(holder, { "3", "d", { { "e2" }, 1, 1 } }, mNow).mVerdict == Verdict::Answered);
}

TEST_CASE_METHOD(ClaimsFixture, "Decide, retention passed, grants the key again", "[claims]")
{
  Claim(mFirst, 1, "d", mIds);
  mNow += kRetention;
  Claim(mSecond, 1, "d", mIds);
  CHECK(Last() == Judgement::Dispatched);
  mNow += Millis(60'000);
  Claim(mSecond, 2, "d", mIds);
  CHECK(Last() == Judgement::Granted);
  CHECK(mHolders[{ "c1" }].mRecords.size() == 1);
}

// Guards against a holder that grants a key again after it lost its memory.
TEST_CASE_METHOD(ClaimsFixture,
                 "Holder, restarted, abstains until it copied a majority",
                 "[claims]")
{
  Claim(mFirst, 1, "d", { { "c1" }, { "c2" } });
  Holder& restarted = mHolders[{ "c1" }];
  restarted = MakeHolder({ { "c1" }, mIds, 1 }, true);
  const Ask ask{ "key", "d", { { "e2" }, 1, 1 } };
  CHECK(TickHolder(restarted, mNow).empty());
  CHECK(Decide(restarted, ask, mNow).mVerdict == Verdict::Abstained);
  mNow += WithClockAllowance(kValidity);
  const auto asks = TickHolder(restarted, mNow);
  REQUIRE(asks.size() == 2);
  for (const auto& [to, copyAsk] : asks) {
    CHECK(Decide(restarted, ask, mNow).mVerdict == Verdict::Abstained);
    TakePage(restarted, to, *MakePage(mHolders[to], copyAsk, mNow), mNow);
  }
  CHECK(restarted.mStage == HolderStage::Active);
  CHECK(Decide(restarted, ask, mNow).mVerdict == Verdict::Held);
}

TEST_CASE_METHOD(ClaimsFixture,
                 "Holder, restarted and alone, grants after the retention",
                 "[claims]")
{
  Holder holder = MakeHolder({ { "c1" }, mIds, 1 }, true);
  const Ask ask{ "key", "d", { { "e2" }, 1, 1 } };
  TickHolder(holder, mNow);
  TickHolder(holder, mNow + kRetention);
  CHECK(Decide(holder, ask, mNow + kRetention).mVerdict == Verdict::Abstained);
  const Instant later = mNow + WithClockAllowance(kRetention + kValidity);
  TickHolder(holder, later);
  CHECK(Decide(holder, ask, later).mVerdict == Verdict::Granted);
}

// Guards against a restarted holder that sides with one of two owners: its forgotten grant may have
// been the other one's majority.
TEST_CASE_METHOD(ClaimsFixture, "Holder, copies that name two owners, grants to nobody", "[claims]")
{
  Claim(mFirst, 1, "d", { { "c2" } });
  Claim(mSecond, 1, "d", { { "c3" } });
  Holder& restarted = mHolders[{ "c1" }];
  restarted = MakeHolder({ { "c1" }, mIds, 1 }, true);
  TickHolder(restarted, mNow);
  mNow += WithClockAllowance(kValidity);
  for (const auto& [to, ask] : TickHolder(restarted, mNow)) {
    TakePage(restarted, to, *MakePage(mHolders[to], ask, mNow), mNow);
  }
  REQUIRE(restarted.mStage == HolderStage::Active);
  for (const std::string entry : { "e1", "e2", "e3" }) {
    CHECK(Decide(restarted, { "key", "d", { { entry }, 1, 1 } }, mNow).mVerdict ==
          Verdict::Abstained);
  }
  const auto page = MakePage(restarted, CopyAsk{}, mNow);
  REQUIRE(page->mRecords.size() == 1);
  CHECK_FALSE(page->mRecords[0].mOwner);
}

// Guards against a page that was asked for by an earlier start and lacks later grants.
TEST_CASE_METHOD(ClaimsFixture, "TakePage, page for an earlier start, is ignored", "[claims]")
{
  Holder restarted = MakeHolder({ { "c1" }, mIds, 2 }, true);
  TickHolder(restarted, mNow);
  mNow += WithClockAllowance(kValidity);
  TickHolder(restarted, mNow);
  TakePage(restarted, { "c2" }, { 1, "", true, {} }, mNow);
  TakePage(restarted, { "c3" }, { 1, "", true, {} }, mNow);
  CHECK(restarted.mStage == HolderStage::Copying);
}

// Guards against pages that stop at the first one.
TEST_CASE_METHOD(ClaimsFixture, "Holder, copies 1,000 keys, takes them page by page", "[claims]")
{
  Holder source = MakeHolder({ { "c2" }, mIds }, false);
  for (std::uint64_t n = 0; n < 1000; ++n) {
    Decide(source, { std::to_string(n), "d", { { "e1" }, 1, n } }, mNow);
  }
  Holder copy = MakeHolder({ { "c1" }, { { "c1" }, { "c2" } }, 1 }, true);
  TickHolder(copy, mNow);
  mNow += WithClockAllowance(kValidity);
  TickHolder(copy, mNow);
  std::optional<CopyAsk> ask = CopyAsk{ 1, "" };
  while (ask) {
    ask = TakePage(copy, { "c2" }, *MakePage(source, *ask, mNow), mNow);
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
