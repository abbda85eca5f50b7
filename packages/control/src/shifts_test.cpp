#include "shifts.hpp"

#include "fighold/control/decide.hpp"
#include "fighold/control/wire_codec.hpp"

#include <catch2/catch.hpp>

namespace fighold::control {
namespace {

constexpr std::chrono::seconds kInterval{ 10 };

/// A control group of a single process with two regions. Writes are synced immediately.
struct LeaderFixture
{
  State mState;
  Instant mNow{ std::chrono::hours(1) };
  agreement::RecoveredState mDisk;
  std::set<RegionId> mLiveRegions{ { "attiki" }, { "kriti" } };

  LeaderFixture()
  {
    mDisk.mIncarnation = 7;
    Start();
    plan::Plan plan;
    plan.mNumber = 1;
    plan.mShiftCap = 2500;
    plan.mShiftInterval = kInterval;
    plan.mMaxEntries = 3;
    plan.mServices[{ "vardia" }] = {};
    for (const RegionId& it : mLiveRegions) {
      plan.mRegions[it] = 40;
      plan.mSplits[{ "vardia" }][it] = { { it, plan::kWhole } };
    }
    Change(membership::SubmitPlan{ "", SharedValue(plan) });
    for (const RegionId& it : mLiveRegions) {
      membership::BackendServer server;
      server.mService = { "vardia" };
      server.mRegion = it;
      Change(membership::AnnounceBackendServer{ { it.mValue + "-1" }, server });
    }
  }

  /// Starts the process from its log and waits until it leads.
  void Start()
  {
    agreement::Options options;
    options.mSelf = { "c1" };
    options.mConfigured = { { "c1" } };
    options.mChart = agreement::LoadRoleChart(FIGHOLD_CHARTS_DIR);
    mState =
      MakeState(agreement::MakeNode(options, mDisk), WireCodec(), LoadCharts(FIGHOLD_CHARTS_DIR));
    mState.mShifts.mChart = LoadShiftChart(FIGHOLD_CHARTS_DIR);
    for (int n = 0; n < 200 && !agreement::IsLeader(mState.mNode); ++n) {
      Tick();
    }
    REQUIRE(agreement::IsLeader(mState.mNode));
  }

  void Save(const agreement::Write& aWrite)
  {
    mDisk.mTermVote = aWrite.mTermVote.value_or(mDisk.mTermVote);
    mDisk.mLog.insert(mDisk.mLog.end(), aWrite.mEntries.begin(), aWrite.mEntries.end());
  }

  void HandleEvent(const Event& aEvent)
  {
    std::vector<Event> events{ aEvent };
    while (!events.empty()) {
      const Event event = events.back();
      events.pop_back();
      for (const Effect& it : Step(mState, event, mNow)) {
        if (const auto* store = std::get_if<Store>(&it)) {
          Save(store->mWrite);
          events.emplace_back(Stored{ store->mWrite.mWrite });
        }
      }
    }
  }

  void Change(const membership::ChangeBody& aBody)
  {
    HandleEvent(EntryMessage{ { "e1" }, membership::ChangeRequest{ 1, { {}, aBody } } });
  }

  void Tick()
  {
    for (const RegionId& it : mLiveRegions) {
      mState.mBackends[{ it.mValue + "-1" }] =
        membership::AfterRenewal(mState.mCharts.mBackend,
                                 membership::StartLifecycle(0, mNow),
                                 mNow + membership::kBackendServerLease,
                                 0,
                                 mNow);
    }
    mNow += kTickInterval;
    HandleEvent(control::Tick{});
  }

  std::uint64_t Steps() const { return mState.mConfiguration->mShifts.at({ "vardia" }).mStep; }

  /// @return times at which steps were applied during aTime
  std::vector<Instant> RunFor(Duration aTime)
  {
    std::vector<Instant> times;
    const Instant until = mNow + aTime;
    while (mNow < until) {
      const std::uint64_t before = Steps();
      Tick();
      if (Steps() > before) {
        times.push_back(mNow);
      }
    }
    return times;
  }
};

TEST_CASE_METHOD(LeaderFixture,
                 "TickShifts, all regions live, proposes no step",
                 "[control][shift]")
{
  CHECK(RunFor(5 * kInterval).empty());
}

// Guards against steps that follow one another faster than the plan's interval.
TEST_CASE_METHOD(LeaderFixture,
                 "TickShifts, failed region, applies one step per interval until it is empty",
                 "[control][shift]")
{
  RunFor(3 * kInterval);
  mLiveRegions = { { "attiki" } };
  const auto times = RunFor(10 * kInterval);
  REQUIRE(times.size() == 4);
  for (std::size_t n = 1; n < times.size(); ++n) {
    CHECK(times[n] - times[n - 1] >= kInterval);
  }
  const auto& row = mState.mConfiguration->mShifts.at({ "vardia" }).mInUse.at({ "kriti" });
  CHECK(row == plan::SplitRow{ { { "attiki" }, plan::kWhole } });
}

// Guards against a new leader that applies a step right after one of the previous leader.
TEST_CASE_METHOD(LeaderFixture,
                 "TickShifts, leader restarted between steps, waits a full interval",
                 "[control][shift]")
{
  RunFor(3 * kInterval);
  mLiveRegions = { { "attiki" } };
  const auto before = RunFor(Millis(4000));
  REQUIRE(before.size() == 1);
  Start();
  const Instant started = mNow;
  const auto times = RunFor(3 * kInterval);
  REQUIRE_FALSE(times.empty());
  CHECK(times.front() - started >= kInterval);
}

} // namespace
} // namespace fighold::control
