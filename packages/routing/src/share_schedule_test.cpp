#include "share_fixture.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <random>

namespace fighold::routing {
namespace {

/// An entry process in the schedule.
struct Process
{
  ShareState mShares;
  plan::Plan mPlan;
  Instant mLeaseUntil{};
  Instant mFrozenUntil{};
  std::vector<std::pair<Instant, ShareRequest>> mRunning;
  bool mHot = false;
};

/// Entries, leaders and messages under a random schedule.
struct Schedule
{
  std::mt19937 mRandom;
  Instant mNow{ std::chrono::hours(1) };
  plan::Plan mPlan = MakePlan(60, 11);
  AllocatorState mLeader;
  std::optional<std::pair<AllocatorState, Instant>> mFormer; ///< grants on until it notices
  std::uint64_t mTerm = 1;
  std::map<ShareHolder, Process> mProcesses;
  std::map<ShareHolder, Instant> mRegistered; ///< when last heard
  std::map<ShareHolder, std::pair<DemandReport, Instant>> mDemands;
  std::multimap<Instant, std::function<void()>> mMessages;
  std::vector<std::pair<Instant, std::uint64_t>> mLimitsUntil; ///< former capacities
  std::uint64_t mAdmitted = 0;

  explicit Schedule(std::uint32_t aSeed)
    : mRandom(aSeed)
  {
    SetLimits(mLeader, mPlan, 0, mNow);
    StartAllocating(mLeader, mTerm, true, mNow);
    for (int n = 0; n < 11; ++n) {
      Start({ { "e" + std::to_string(n) }, 1 });
    }
  }

  bool Chance(std::uint32_t aOneIn) { return mRandom() % aOneIn == 0; }

  void Start(const ShareHolder& aHolder)
  {
    mProcesses[aHolder].mPlan = mPlan;
    ApplyLimits(mProcesses[aHolder].mShares, mPlan, 0);
  }

  /// Messages are lost, or late by up to three seconds.
  void Send(std::function<void()> aDeliver)
  {
    if (!Chance(10)) {
      const Millis delay(Chance(8) ? mRandom() % 3000 : 5 + mRandom() % 40);
      mMessages.emplace(mNow + delay, std::move(aDeliver));
    }
  }

  void Renew(const ShareHolder& aHolder, Process& aProcess)
  {
    const DemandReport demand = BuildDemandReport(aProcess.mShares, mNow);
    Send([this, aHolder, demand, asked = mNow] { Grant(aHolder, demand, asked); });
  }

  void Grant(const ShareHolder& aHolder, const DemandReport& aDemand, Instant aAsked)
  {
    mRegistered[aHolder] = mNow;
    const bool former = mFormer && mNow < mFormer->second && Chance(2);
    AllocatorState& leader = former ? mFormer->first : mLeader;
    auto& known = mDemands[aHolder];
    if (aDemand.mReportNumber > known.first.mReportNumber) {
      known = { aDemand, mNow };
    }
    std::set<ShareHolder> registered;
    std::map<ShareHolder, DemandReport> demands;
    for (const auto& [holder, heard] : mRegistered) {
      registered.insert(holder);
      if (mDemands.count(holder) > 0 && mNow < mDemands.at(holder).second + kShareLease) {
        demands[holder] = mDemands.at(holder).first;
      }
    }
    demands[aHolder] = aDemand;
    const auto grants = Allocate(leader, registered, demands, mNow);
    const ShareGrant& grant = grants.at(aHolder);
    SendTo(aHolder,
           [this, plan = mPlan, aAsked](Process& aProcess) { Take(aProcess, plan, aAsked); });
    SendTo(aHolder,
           [grant, aAsked](Process& aProcess) { ApplyGrant(aProcess.mShares, grant, aAsked); });
  }

  void SendTo(const ShareHolder& aHolder, std::function<void(Process&)> aDeliver)
  {
    Send([this, aHolder, deliver = std::move(aDeliver)] {
      const auto it = mProcesses.find(aHolder);
      if (it != mProcesses.end() && mNow >= it->second.mFrozenUntil) {
        deliver(it->second);
      }
    });
  }

  /// A configuration lease; it may arrive with or without the shares of the same renewal.
  void Take(Process& aProcess, const plan::Plan& aPlan, Instant aAsked) const
  {
    if (aPlan.mNumber < aProcess.mPlan.mNumber) {
      return;
    }
    if (aPlan.mNumber > aProcess.mPlan.mNumber) {
      aProcess.mPlan = aPlan;
      ApplyLimits(aProcess.mShares, aPlan, 0);
    }
    const Instant until = membership::LeaseEnd(aAsked, membership::kConfigurationLease);
    aProcess.mLeaseUntil = std::max(aProcess.mLeaseUntil, until);
    ExtendBaseRight(aProcess.mShares, until, mNow);
  }

  void Run(Process& aProcess)
  {
    for (std::size_t n = 0; n < aProcess.mRunning.size();) {
      if (mNow >= aProcess.mRunning[n].first) {
        ReleaseShares(aProcess.mShares, aProcess.mRunning[n].second, 1000, mNow);
        aProcess.mRunning.erase(aProcess.mRunning.begin() + static_cast<long>(n));
      } else {
        ++n;
      }
    }
    // Load moves between entries, so that shares have to move too.
    aProcess.mHot = Chance(aProcess.mHot ? 150 : 400) ? !aProcess.mHot : aProcess.mHot;
    const std::uint32_t arrivals = aProcess.mHot ? 4 : mRandom() % 20 / 19;
    for (std::uint32_t n = arrivals; n > 0 && mNow < aProcess.mLeaseUntil; --n) {
      ShareRequest request{ kService, kRegion, kRegion, RequestClass::Urgent, 100, 0 };
      if (AcquireShares(aProcess.mShares, request, mNow).mAdmitted) {
        const Millis runs(Chance(2) ? kDeadline.count() : 1 + mRandom() % kDeadline.count());
        aProcess.mRunning.emplace_back(mNow + runs, request);
        ++mAdmitted;
      }
    }
  }

  void Disturb()
  {
    if (Chance(200)) {
      auto it = std::next(mProcesses.begin(), static_cast<long>(mRandom() % mProcesses.size()));
      it->second.mFrozenUntil = mNow + Millis(mRandom() % 12'000);
    }
    if (Chance(400)) { // A crashed process's requests run on; it starts again as another holder.
      auto it = std::next(mProcesses.begin(), static_cast<long>(mRandom() % mProcesses.size()));
      const ShareHolder holder = it->first;
      it->second.mLeaseUntil = {};
      it->second.mFrozenUntil = Instant::max();
      mGone.push_back(it->second);
      mProcesses.erase(it);
      Start({ holder.mId, holder.mIncarnation + 1 });
    }
    if (Chance(1000)) {
      mFormer = { mLeader, mNow + membership::kConfigurationLease };
      mLeader = AllocatorState{};
      SetLimits(mLeader, mPlan, 0, mNow);
      StartAllocating(mLeader, ++mTerm, false, mNow);
      mDemands.clear();
    }
    if (Chance(500)) {
      const Millis lasts = membership::kConfigurationLease + mPlan.mServices[kService].mDeadline;
      mLimitsUntil.emplace_back(mNow + lasts, mPlan.mRegions[kRegion]);
      const std::uint64_t number = mPlan.mNumber + 1;
      mPlan =
        MakePlan(Chance(2) ? 20 + mRandom() % 80 : mPlan.mRegions[kRegion], 11 + mRandom() % 4);
      mPlan.mNumber = number;
      SetLimits(mLeader, mPlan, 0, mNow);
    }
  }

  void Step()
  {
    mNow += Millis(20);
    while (!mMessages.empty() && mMessages.begin()->first <= mNow) {
      const auto deliver = std::move(mMessages.begin()->second);
      mMessages.erase(mMessages.begin());
      deliver();
    }
    Disturb();
    std::erase_if(mRegistered,
                  [this](const auto& aItem) { return mNow >= aItem.second + Millis(3000); });
    for (auto& [holder, process] : mProcesses) {
      if (mNow >= process.mFrozenUntil) {
        Run(process);
        if (Chance(20)) {
          Renew(holder, process);
        }
      }
    }
  }

  /// Shares and what runs beyond them, over all processes, gone ones included.
  std::uint64_t Sum(const LimitKey& aKey) const
  {
    std::uint64_t sum = 0;
    for (const auto& [holder, process] : mProcesses) {
      sum += std::max<std::uint64_t>(StillRunning(process), Usable(process, aKey));
    }
    for (const Process& it : mGone) {
      sum += StillRunning(it);
    }
    return sum;
  }

  std::uint64_t Usable(const Process& aProcess, const LimitKey& aKey) const
  {
    return mNow < aProcess.mLeaseUntil ? UsableUnits(aProcess.mShares, aKey, mNow) : 0;
  }

  /// Shares of the processes that have the newest plan; a lowered limit holds for them at once.
  std::uint64_t SumNewest(const LimitKey& aKey) const
  {
    std::uint64_t sum = 0;
    for (const auto& [holder, process] : mProcesses) {
      sum += process.mPlan.mNumber == mPlan.mNumber ? Usable(process, aKey) : 0;
    }
    return sum;
  }

  std::uint64_t StillRunning(const Process& aProcess) const
  {
    return static_cast<std::uint64_t>(
      std::count_if(aProcess.mRunning.begin(), aProcess.mRunning.end(), [this](const auto& aItem) {
        return mNow < aItem.first;
      }));
  }

  std::uint64_t GreatestCapacity() const
  {
    std::uint64_t most = mPlan.mRegions.at(kRegion);
    for (const auto& [until, capacity] : mLimitsUntil) {
      most = mNow < until ? std::max(most, capacity) : most;
    }
    return most;
  }

  std::vector<Process> mGone;
};

// Guards against shares that are granted again while requests of their former holder still run.
TEST_CASE("Allocate, random faults, shares and running requests never pass a limit", "[share]")
{
  std::uint64_t admitted = 0;
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Schedule schedule(seed);
    for (int step = 0; step < 5000; ++step) {
      CAPTURE(step);
      schedule.Step();
      const std::uint64_t capacity = schedule.GreatestCapacity();
      const std::uint64_t newest = schedule.mPlan.mRegions.at(kRegion);
      REQUIRE(schedule.Sum(kRegionLimit) <= capacity);
      REQUIRE(schedule.Sum(kServiceLimit) <= capacity * 8 / 10);
      REQUIRE(schedule.SumNewest(kRegionLimit) <= newest);
      REQUIRE(schedule.SumNewest(kServiceLimit) <= newest * 8 / 10);
    }
    admitted += schedule.mAdmitted;
  }
  // A schedule that admits little would not come near a limit.
  CHECK(admitted > 12'000);
}

} // namespace
} // namespace fighold::routing
