#include "fighold/membership/change.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

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

  ChangeAnswer ApplyChange(const std::string& aId, ChangeBody aBody)
  {
    const ApplyResult applied =
      Apply(*mConfiguration, Change{ { aId }, std::move(aBody) }, ++mPosition);
    mConfiguration = applied.mConfiguration;
    return applied.mAnswer;
  }

  ChangeAnswer Submit(const std::string& aId, const plan::Plan& aPlan, const std::string& aBase)
  {
    return ApplyChange(aId, SubmitPlan{ aBase, SharedValue(aPlan) });
  }
};

// Guards against accepting two plans with the same number from two operators.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, two plans with equal numbers, accepts one and names it in the conflict",
                 "[membership]")
{
  plan::Plan second = MakePlan(1);
  second.mShiftCap = 500;
  CHECK(Submit("a", MakePlan(1), "").mVerdict == Verdict::Accepted);
  const ChangeAnswer conflicting = Submit("b", second, "");
  CHECK(conflicting.mVerdict == Verdict::Conflict);
  CHECK(conflicting.mPlanDigest == plan::Digest(MakePlan(1)));
  CHECK(mConfiguration->mPlan->mShiftCap == 1000);
}

// Guards against a retry that is treated as a new change.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, both operators retry, repeats the first answer to each",
                 "[membership]")
{
  plan::Plan second = MakePlan(1);
  second.mShiftCap = 500;
  const ChangeAnswer accepted = Submit("a", MakePlan(1), "");
  const ChangeAnswer conflicting = Submit("b", second, "");
  CHECK(Submit("c", MakePlan(2), accepted.mPlanDigest).mVerdict == Verdict::Accepted);
  CHECK(Submit("a", MakePlan(1), "") == accepted);
  CHECK(Submit("b", second, "") == conflicting);
  CHECK(mConfiguration->mPlan->mNumber == 2);
}

TEST_CASE_METHOD(ChangeFixture, "Apply, plan with a lower number, is a conflict", "[membership]")
{
  const ChangeAnswer first = Submit("a", MakePlan(5), "");
  CHECK(Submit("b", MakePlan(4), first.mPlanDigest).mVerdict == Verdict::Conflict);
  CHECK(mConfiguration->mPlan->mNumber == 5);
}

// Guards against a late duplicate announcement that puts a leaving server back into service.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, leaving server announces again, stays leaving until a new incarnation",
                 "[membership]")
{
  Submit("a", MakePlan(1), "");
  BackendServer server;
  server.mIncarnation = 7;
  server.mService = { "vardia" };
  server.mRegion = { "attiki" };
  CHECK(ApplyChange("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Accepted);
  CHECK(ApplyChange("", DepartBackendServer{ { "s" }, 7 }).mVerdict == Verdict::Accepted);
  CHECK(ApplyChange("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Refused);
  CHECK(mConfiguration->mBackendServers.at({ "s" }).mLeaving);
  server.mIncarnation = 8;
  CHECK(ApplyChange("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Accepted);
  CHECK_FALSE(mConfiguration->mBackendServers.at({ "s" }).mLeaving);
}

// Guards against a late announcement that puts a departed server back into service after it was
// removed or replaced by a newer incarnation.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, departed or replaced incarnation announces after removal, is refused",
                 "[membership]")
{
  Submit("a", MakePlan(1), "");
  BackendServer server;
  server.mIncarnation = 7;
  server.mService = { "vardia" };
  server.mRegion = { "attiki" };
  ApplyChange("", AnnounceBackendServer{ { "s" }, server });
  ApplyChange("", DepartBackendServer{ { "s" }, 7 });
  CHECK(ApplyChange("", RemoveBackendServer{ { "s" }, 7 }).mVerdict == Verdict::Accepted);
  CHECK(ApplyChange("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Refused);
  server.mIncarnation = 8;
  CHECK(ApplyChange("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Accepted);
  server.mIncarnation = 9;
  CHECK(ApplyChange("", AnnounceBackendServer{ { "s" }, server, 8 }).mVerdict == Verdict::Accepted);
  server.mIncarnation = 8;
  CHECK(ApplyChange("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Refused);
  // The announcement of incarnation 6 was sent before those of 8 and 9 but arrives after them.
  server.mIncarnation = 6;
  CHECK(ApplyChange("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Conflict);
  CHECK(mConfiguration->mBackendServers.at({ "s" }).mIncarnation == 9);
  ApplyChange("", DepartBackendServer{ { "s" }, 9 });
  ApplyChange("", RemoveBackendServer{ { "s" }, 9 });
  CHECK(ApplyChange("", ForgetDeparted{ { "s" }, 7 }).mVerdict == Verdict::Accepted);
  server.mIncarnation = 7;
  CHECK(ApplyChange("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Accepted);
}

// Guards against an announcement that was overtaken by the departure.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, departure before its announcement, refuses the announcement",
                 "[membership]")
{
  Submit("a", MakePlan(1), "");
  BackendServer server;
  server.mIncarnation = 7;
  server.mService = { "vardia" };
  server.mRegion = { "attiki" };
  ApplyChange("", DepartBackendServer{ { "s" }, 7 });
  CHECK(ApplyChange("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Refused);
}

// Guards against new versions that entries must confirm although nothing changed for them.
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
  ApplyChange("", change.mBody);
  const Version version = mConfiguration->mVersion;
  const auto answer = AnswerIfUnchanged(*mConfiguration, change);
  REQUIRE(answer.has_value());
  CHECK(answer->mVerdict == Verdict::Accepted);
  const ApplyResult again = Apply(*mConfiguration, change, version + 5);
  CHECK(again.mConfiguration->mVersion == version);
  CHECK(again.mAnswer.mVersion == version);
}

// Guards against a late renewal that returns a stopping entry to the look-ups.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, leaving entry registers again, stays leaving and registered",
                 "[membership]")
{
  Entry entry;
  entry.mIncarnation = 5;
  ApplyChange("", RegisterEntry{ { "e" }, entry });
  Entry leaving = entry;
  leaving.mLeaving = true;
  ApplyChange("", RegisterEntry{ { "e" }, leaving });
  ApplyChange("", RegisterEntry{ { "e" }, entry });
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
  CHECK(ApplyChange("", AnnounceBackendServer{ { "s" }, server }).mVerdict == Verdict::Refused);
}

// Guards against an entry that restarts with a configuration older than one it has served with.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, new incarnation of an entry, is registered at the new version",
                 "[membership]")
{
  Entry entry;
  entry.mIncarnation = 1;
  ApplyChange("", RegisterEntry{ { "e" }, entry });
  ApplyChange("", RegisterEntry{ { "e" }, entry });
  CHECK(mConfiguration->mEntries.at({ "e" }).mRegisteredAt == 1);
  entry.mIncarnation = 2;
  ApplyChange("", RegisterEntry{ { "e" }, entry });
  CHECK(mConfiguration->mEntries.at({ "e" }).mRegisteredAt == 3);
}

// Guards against a shift step that is taken twice because of a retry or an old leader.
TEST_CASE_METHOD(ChangeFixture, "Apply, same shift step twice, takes it once", "[membership]")
{
  Submit("a", MakePlan(1), "");
  Shift shift = mConfiguration->mShifts.at({ "vardia" });
  shift.mStep = 1;
  CHECK(ApplyChange("", TakeShiftStep{ { "vardia" }, shift }).mVerdict == Verdict::Accepted);
  CHECK(ApplyChange("", TakeShiftStep{ { "vardia" }, shift }).mVerdict == Verdict::Conflict);
  CHECK(mConfiguration->mShifts.at({ "vardia" }).mStep == 1);
}

// Guards against a plan with a new split that moves all traffic at once.
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

// Guards against an acknowledged withdrawal or departure that any later order of announcements,
// withdrawals and departures undoes, and against a later start that is not used.
TEST_CASE("Apply, random announcements and withdrawals, keeps what departed out of use",
          "[membership]")
{
  rc::prop("no departed incarnation is in use", [] {
    ChangeFixture fixture;
    std::map<std::string, Incarnation> withdrawn;
    std::set<std::pair<std::string, Incarnation>> departed;
    const auto count = *rc::gen::inRange(1, 60);
    for (int n = 0; n < count; ++n) {
      const std::string id = "s" + std::to_string(*rc::gen::inRange(0, 3));
      const auto incarnation = *rc::gen::inRange<Incarnation>(1, 8);
      const auto known = fixture.mConfiguration->mBackendServers.find({ id });
      const bool isKnown = known != fixture.mConfiguration->mBackendServers.end();
      BackendServer server;
      server.mIncarnation = incarnation;
      switch (*rc::gen::inRange(0, 4)) {
        case 0: {
          const Incarnation replaces = isKnown ? known->second.mIncarnation : 0;
          const auto answer =
            fixture.ApplyChange("", AnnounceBackendServer{ { id }, server, replaces });
          const bool gone = incarnation <= withdrawn[id] || departed.count({ id, incarnation }) > 0;
          RC_ASSERT((answer.mVerdict == Verdict::Accepted) == !gone);
          if (!gone && replaces != 0 && replaces != incarnation) {
            departed.insert({ id, replaces });
          }
          break;
        }
        case 1:
          fixture.ApplyChange("", WithdrawBackendServer{ { id }, incarnation });
          withdrawn[id] = std::max(withdrawn[id], incarnation);
          break;
        case 2:
          fixture.ApplyChange("", DepartBackendServer{ { id }, incarnation });
          departed.insert({ id, incarnation });
          break;
        default:
          fixture.ApplyChange("", RemoveBackendServer{ { id }, incarnation });
          break;
      }
      for (const auto& [key, it] : fixture.mConfiguration->mBackendServers) {
        const bool gone = it.mIncarnation <= withdrawn[key.mValue] ||
                          departed.count({ key.mValue, it.mIncarnation }) > 0;
        RC_ASSERT(it.mLeaving == gone);
      }
    }
  });
}

// Guards against a version that every entry has to confirm although the change is none of theirs,
// and against a withdrawal that is answered without a record because no entry sees it.
TEST_CASE_METHOD(ChangeFixture,
                 "Apply, withdrawal of an unknown server, is recorded under the same version",
                 "[membership]")
{
  const WithdrawBackendServer withdrawal{ { "s" }, 7 };
  CHECK_FALSE(AnswerIfUnchanged(*mConfiguration, Change{ {}, withdrawal }));
  const Version before = mConfiguration->mVersion;
  ApplyChange("", withdrawal);
  CHECK(mConfiguration->mVersion == before);
  CHECK(HasDeparted(*mConfiguration, { "s" }, 7));
  CHECK_FALSE(HasDeparted(*mConfiguration, { "s" }, 8));
  CHECK(AnswerIfUnchanged(*mConfiguration, Change{ {}, withdrawal }));
  CHECK(ApplyChange("", ForgetDeparted{ { "s" }, 6 }).mVerdict == Verdict::Refused);
  CHECK(ApplyChange("", ForgetDeparted{ { "s" }, 7 }).mVerdict == Verdict::Accepted);
  CHECK_FALSE(HasDeparted(*mConfiguration, { "s" }, 7));
}

} // namespace
} // namespace fighold::membership
