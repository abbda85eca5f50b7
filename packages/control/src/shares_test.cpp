#include "shares.hpp"

#include "fighold/control/decide.hpp"
#include "fighold/control/wire_codec.hpp"

#include <catch2/catch.hpp>

namespace fighold::control {
namespace {

/// A control group of a single process with a registered entry. Writes are synced immediately.
struct SharesFixture
{
  State mState;
  Instant mNow{ std::chrono::hours(1) };
  agreement::RecoveredState mDisk;
  std::vector<Effect> mEffects;
  routing::ShareReport mReport{ 1, { { "e1" }, 7 }, { 1, {}, false, {} } };

  SharesFixture()
  {
    mDisk.mIncarnation = 5;
    Start();
  }

  void Start()
  {
    agreement::Options options;
    options.mSelf = { "c1" };
    options.mConfigured = { { "c1" } };
    options.mChart = agreement::LoadRoleChart(FIGHOLD_CHARTS_DIR);
    mState =
      MakeState(agreement::MakeNode(options, mDisk), WireCodec(), LoadCharts(FIGHOLD_CHARTS_DIR));
  }

  void Lead()
  {
    for (int n = 0; n < 200 && !MayGrantSince(mState, mNow); ++n) {
      mNow += kTickInterval;
      HandleEvent(Tick{});
    }
    REQUIRE(MayGrantSince(mState, mNow).has_value());
  }

  void HandleEvent(const Event& aEvent)
  {
    for (const Effect& it : Step(mState, aEvent, mNow)) {
      if (const auto* store = std::get_if<Store>(&it)) {
        mDisk.mTermVote = store->mWrite.mTermVote.value_or(mDisk.mTermVote);
        const auto& entries = store->mWrite.mEntries;
        mDisk.mLog.insert(mDisk.mLog.end(), entries.begin(), entries.end());
        HandleEvent(Stored{ store->mWrite.mWrite });
      } else {
        mEffects.push_back(it);
      }
    }
  }

  void Change(const membership::ChangeBody& aBody)
  {
    HandleEvent(
      ChangeCall{ 1, { { "change-" + std::to_string(aBody.index()) }, aBody }, Millis(1000) });
  }

  void SubmitPlan()
  {
    plan::Plan plan;
    plan.mNumber = 1;
    plan.mShiftCap = 1000;
    plan.mShiftInterval = std::chrono::seconds(30);
    plan.mMaxEntries = 2;
    plan.mRegions[{ "attiki" }] = 8;
    plan.mServices[{ "vardia" }].mDeadline = Millis(5000);
    plan.mSplits[{ "vardia" }][{ "attiki" }] = { { { "attiki" }, plan::kWhole } };
    Change(membership::SubmitPlan{ "", SharedValue(plan) });
    Change(membership::RegisterEntry{ { "e1" }, { 7, {}, { "attiki" }, { "a" }, 0 } });
  }

  /// @return units of the region granted in answer to a report, including the base share
  std::uint64_t UnitsOfReport(const std::string& aFrom = "e1")
  {
    mEffects.clear();
    HandleEvent(EntryMessage{ { aFrom }, mReport });
    ++mReport.mDemand.mReportNumber;
    for (const Effect& it : mEffects) {
      const auto* send = std::get_if<SendEntry>(&it);
      const auto* answer =
        send == nullptr ? nullptr : std::get_if<routing::ShareAnswer>(&send->mBody);
      if (answer != nullptr) {
        const routing::LimitKey key{ routing::LimitKind::Region, { "attiki" }, {}, {} };
        const auto demand = answer->mGrant.mDemand.find(key);
        const auto units = demand == answer->mGrant.mDemand.end() ? 0 : demand->second.mUnits;
        return (answer->mGrant.mGrantsBase ? 2 : 0) + units;
      }
    }
    return 0;
  }
};

// Guards against a leader that, after the first plan, waits for the lease and the longest deadline
// before it grants shares, because the plan was accepted before its next tick.
TEST_CASE_METHOD(SharesFixture,
                 "HandleShareReport, first plan accepted before the next tick, grants immediately",
                 "[control][share]")
{
  Lead();
  mState.mShares.mTerm = 0;
  SubmitPlan();
  HandleEvent(Tick{});
  CHECK(UnitsOfReport() >= 2);
}

// Guards against a new leader that grants shares still in use under the previous leader's grants.
TEST_CASE_METHOD(SharesFixture,
                 "HandleShareReport, leader of a later term, waits for lease and deadline",
                 "[control][share]")
{
  Lead();
  SubmitPlan();
  Start();
  Lead();
  HandleEvent(Tick{});
  CHECK(UnitsOfReport() == 0);
  const Instant until = mNow + Millis(2000) + Millis(2000) + Millis(5000) + Millis(1000);
  while (mNow < until) {
    mNow += kTickInterval;
    HandleEvent(Tick{});
  }
  CHECK(UnitsOfReport() >= 2);
}

// Guards against an entry that acquires shares on behalf of another one.
TEST_CASE_METHOD(SharesFixture,
                 "HandleShareReport, report on behalf of another entry, is not answered",
                 "[control][share]")
{
  Lead();
  SubmitPlan();
  HandleEvent(Tick{});
  CHECK(UnitsOfReport("e2") == 0);
}

} // namespace
} // namespace fighold::control
