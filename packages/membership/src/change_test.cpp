#include "fighold/membership/change.hpp"

#include <catch2/catch.hpp>

namespace fighold::membership {
namespace {

plan::Plan
MakePlan(std::uint64_t aNumber)
{
  plan::Plan plan;
  plan.mNumber = aNumber;
  plan.mShiftCap = 1000;
  plan.mShiftInterval = std::chrono::seconds(30);
  plan.mMaxEntries = 3;
  plan.mRegions = { { { "attiki" }, 10 }, { { "kriti" }, 10 } };
  plan.mServices[{ "vardia" }] = {};
  plan.mSplits[{ "vardia" }] = { { { "attiki" }, { { { "attiki" }, plan::kWhole } } },
                                 { { "kriti" }, { { { "kriti" }, plan::kWhole } } } };
  return plan;
}

struct ChangeFixture
{
  SharedValue<Configuration> mConfiguration;
  Version mPosition = 0; ///< in the log

  ChangeAnswer Do(const std::string& aId, ChangeBody aBody)
  {
    const ApplyResult applied =
      Apply(*mConfiguration, Change{ { aId }, std::move(aBody) }, ++mPosition);
    mConfiguration = applied.mConfiguration;
    return applied.mAnswer;
  }

  ChangeAnswer Submit(const std::string& aId, const plan::Plan& aPlan, const std::string& aBase)
  {
    return Do(aId, SubmitPlan{ aBase, SharedValue(aPlan) });
  }
};

// Guards against two operators with equal numbers both being told that their plan was accepted.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, two plans with equal numbers, accepts one and names the winner",
                 "[membership]")
{
  plan::Plan second = MakePlan(1);
  second.mShiftCap = 500;
  CHECK(Submit("a", MakePlan(1), "").mVerdict == Verdict::Accepted);
  const ChangeAnswer lost = Submit("b", second, "");
  CHECK(lost.mVerdict == Verdict::Conflict);
  CHECK(lost.mPlanDigest == plan::Digest(MakePlan(1)));
  CHECK(mConfiguration->mPlan->mShiftCap == 1000);
}

// Guards against a resend that is taken for a new change.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, both operators resend, each gets the first answer again",
                 "[membership]")
{
  plan::Plan second = MakePlan(1);
  second.mShiftCap = 500;
  const ChangeAnswer won = Submit("a", MakePlan(1), "");
  const ChangeAnswer lost = Submit("b", second, "");
  CHECK(Submit("c", MakePlan(2), won.mPlanDigest).mVerdict == Verdict::Accepted);
  CHECK(Submit("a", MakePlan(1), "") == won);
  CHECK(Submit("b", second, "") == lost);
  CHECK(mConfiguration->mPlan->mNumber == 2);
}

TEST_CASE_METHOD(ChangeFixture, "Apply, plan with a lower number, is a conflict", "[membership]")
{
  const ChangeAnswer first = Submit("a", MakePlan(5), "");
  CHECK(Submit("b", MakePlan(4), first.mPlanDigest).mVerdict == Verdict::Conflict);
  CHECK(mConfiguration->mPlan->mNumber == 5);
}

// Guards against a backend server that returns to service through a late, repeated announcement.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, leaving server announces again, stays leaving until a new incarnation",
                 "[membership]")
{
  Submit("a", MakePlan(1), "");
  BackendServer server;
  server.mIncarnation = 7;
  server.mService = { "vardia" };
  server.mRegion = { "attiki" };
  CHECK(Do("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Accepted);
  CHECK(Do("", DepartBackendServer{ { "s" }, 7 }).mVerdict == Verdict::Accepted);
  CHECK(Do("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Refused);
  CHECK(mConfiguration->mBackendServers.at({ "s" }).mLeaving);
  server.mIncarnation = 8;
  CHECK(Do("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Accepted);
  CHECK_FALSE(mConfiguration->mBackendServers.at({ "s" }).mLeaving);
}

// Guards against a late announcement that returns a departed server to service after it was
// removed, or after a newer incarnation took its place.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, departed or replaced incarnation announces after removal, is refused",
                 "[membership]")
{
  Submit("a", MakePlan(1), "");
  BackendServer server;
  server.mIncarnation = 7;
  server.mService = { "vardia" };
  server.mRegion = { "attiki" };
  Do("", AnnounceBackendServer{ { "s" }, server });
  Do("", DepartBackendServer{ { "s" }, 7 });
  CHECK(Do("", RemoveBackendServer{ { "s" }, 7 }).mVerdict == Verdict::Accepted);
  CHECK(Do("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Refused);
  server.mIncarnation = 8;
  CHECK(Do("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Accepted);
  server.mIncarnation = 9;
  CHECK(Do("", AnnounceBackendServer{ { "s" }, server, 8 }).mVerdict == Verdict::Accepted);
  server.mIncarnation = 8;
  CHECK(Do("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Refused);
  // Incarnation 6 was announced before 8 and 9, but arrives after them.
  server.mIncarnation = 6;
  CHECK(Do("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Conflict);
  CHECK(mConfiguration->mBackendServers.at({ "s" }).mIncarnation == 9);
  Do("", DepartBackendServer{ { "s" }, 9 });
  Do("", RemoveBackendServer{ { "s" }, 9 });
  CHECK(Do("", ForgetDeparted{ { "s" }, 7 }).mVerdict == Verdict::Accepted);
  server.mIncarnation = 7;
  CHECK(Do("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Accepted);
}

// Guards against an announcement that arrives after the departure that overtook it.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, departure before its announcement, refuses the announcement",
                 "[membership]")
{
  Submit("a", MakePlan(1), "");
  BackendServer server;
  server.mIncarnation = 7;
  server.mService = { "vardia" };
  server.mRegion = { "attiki" };
  Do("", DepartBackendServer{ { "s" }, 7 });
  CHECK(Do("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Refused);
}

// Guards against versions that entries must confirm although nothing changed for them.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, change without effect, keeps the version and needs no log entry",
                 "[membership]")
{
  Submit("a", MakePlan(1), "");
  BackendServer server;
  server.mIncarnation = 7;
  server.mService = { "vardia" };
  server.mRegion = { "attiki" };
  const Change change{ {}, AnnounceBackendServer{ { "s" }, server } };
  CHECK_FALSE(AnswerIfUnchanged(*mConfiguration, change).has_value());
  Do("", change.mBody);
  const Version version = mConfiguration->mVersion;
  const auto settled = AnswerIfUnchanged(*mConfiguration, change);
  REQUIRE(settled.has_value());
  CHECK(settled->mVerdict == Verdict::Accepted);
  const ApplyResult again = Apply(*mConfiguration, change, version + 5);
  CHECK(again.mConfiguration->mVersion == version);
  CHECK(again.mAnswer.mVersion == version);
}

// Guards against a stopping entry that returns to the look-ups through a late renewal.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, leaving entry registers again, stays leaving and registered",
                 "[membership]")
{
  Entry entry;
  entry.mIncarnation = 5;
  Do("", RegisterEntry{ { "e" }, entry });
  Entry leaving = entry;
  leaving.mLeaving = true;
  Do("", RegisterEntry{ { "e" }, leaving });
  Do("", RegisterEntry{ { "e" }, entry });
  CHECK(IsDrained(*mConfiguration, EntryId{ "e" }));
  CHECK(mConfiguration->mEntries.at({ "e" }).mRegisteredAt == 1);
}

TEST_CASE_METHOD(ChangeFixture,
                 "Apply, more plans than the history holds, keeps the newest",
                 "[membership]")
{
  std::string base;
  for (std::uint64_t n = 1; n <= kMaxHistory + 5; ++n) {
    base = Submit("c" + std::to_string(n), MakePlan(n), base).mPlanDigest;
  }
  REQUIRE(mConfiguration->mHistory.size() == kMaxHistory);
  CHECK(mConfiguration->mHistory.front().mNumber == 6);
  CHECK(mConfiguration->mHistory.back().mChange == ChangeId{ "c101" });
  CHECK(mConfiguration->mHistory.back().mDigest == base);
}

TEST_CASE_METHOD(ChangeFixture,
                 "Apply, server of a service that the plan does not name, is refused",
                 "[membership]")
{
  Submit("a", MakePlan(1), "");
  BackendServer server;
  server.mService = { "other" };
  server.mRegion = { "attiki" };
  CHECK(Do("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Refused);
}

// Guards against an entry that restarts on a configuration older than one that it has shown to
// callers.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, new incarnation of an entry, is registered at the new version",
                 "[membership]")
{
  Entry entry;
  entry.mIncarnation = 1;
  Do("", RegisterEntry{ { "e" }, entry });
  Do("", RegisterEntry{ { "e" }, entry });
  CHECK(mConfiguration->mEntries.at({ "e" }).mRegisteredAt == 1);
  entry.mIncarnation = 2;
  Do("", RegisterEntry{ { "e" }, entry });
  CHECK(mConfiguration->mEntries.at({ "e" }).mRegisteredAt == 3);
}

// Guards against two shift steps taken at once by a resend or an old leader.
TEST_CASE_METHOD(ChangeFixture, "Apply, same shift step twice, takes it once", "[membership]")
{
  Submit("a", MakePlan(1), "");
  Shift shift = mConfiguration->mShifts.at({ "vardia" });
  shift.mStep = 1;
  CHECK(Do("", TakeShiftStep{ { "vardia" }, shift }).mVerdict == Verdict::Accepted);
  CHECK(Do("", TakeShiftStep{ { "vardia" }, shift }).mVerdict == Verdict::Conflict);
  CHECK(mConfiguration->mShifts.at({ "vardia" }).mStep == 1);
}

// Guards against a plan that moves all traffic at once by naming a new split.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, plan with another split, keeps the split in use",
                 "[membership]")
{
  const ChangeAnswer first = Submit("a", MakePlan(1), "");
  plan::Plan next = MakePlan(2);
  next.mSplits[{ "vardia" }][{ "attiki" }] = { { { "kriti" }, plan::kWhole } };
  Submit("b", next, first.mPlanDigest);
  const auto& row = mConfiguration->mShifts.at({ "vardia" }).mInUse.at({ "attiki" });
  CHECK(row == plan::SplitRow{ { { "attiki" }, plan::kWhole } });
}

} // namespace
} // namespace fighold::membership
