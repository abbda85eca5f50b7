#include "share_fixture.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <random>

namespace fighold::routing {
namespace {

/// A simulated entry process.
struct EntryProcess
{
  ShareState mShares;
  plan::Plan mPlan;
  Instant mLeaseUntil{};
  Instant mPausedUntil{};
  std::vector<std::pair<Instant, ShareRequest>> mRunning;
  bool mBusy = false;
};

/// Simulation of entries, leaders and messages with random faults.
struct Schedule
{
  std::mt19937 mRandom;
  Instant mNow{ std::chrono::hours(1) };
  plan::Plan mPlan = MakePlan(60, 11);
  AllocatorState mLeader;
  /// A replaced leader grants until that time, when it notices that it was replaced.
  std::optional<std::pair<AllocatorState, Instant>> mFormerLeader;
  std::uint64_t mTerm = 1;
  std::map<ShareHolder, EntryProcess> mProcesses;
  std::map<ShareHolder, Instant> mRegistered; ///< time of the last renewal
  std::map<ShareHolder, std::pair<DemandReport, Instant>> mReports;
  std::multimap<Instant, std::function<void()>> mMessages;
  std::vector<std::pair<Instant, std::uint64_t>> mFormerCapacities; ///< with the end of their use
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

  bool OneIn(std::uint32_t aCount) { return mRandom() % aCount == 0; }

  void Start(const ShareHolder& aHolder)
  {
    mProcesses[aHolder].mPlan = mPlan;
    ApplyLimits(mProcesses[aHolder].mShares, mPlan, 0);
  }

  /// Messages are lost or delayed by up to three seconds.
  void Send(std::function<void()> aDeliver)
  {
    if (!OneIn(10)) {
      const Millis delay(OneIn(8) ? mRandom() % 3000 : 5 + mRandom() % 40);
      mMessages.emplace(mNow + delay, std::move(aDeliver));
    }
  }

  void Renew(const ShareHolder& aHolder, EntryProcess& aProcess)
  {
    const DemandReport report = BuildDemandReport(aProcess.mShares, mNow);
    Send([this, aHolder, report, sentAt = mNow] { Grant(aHolder, report, sentAt); });
  }

  void Grant(const ShareHolder& aHolder, const DemandReport& aReport, Instant aReportSentAt)
  {
    mRegistered[aHolder] = mNow;
    const bool former = mFormerLeader && mNow < mFormerLeader->second && OneIn(2);
    AllocatorState& leader = former ? mFormerLeader->first : mLeader;
    auto& known = mReports[aHolder];
    if (aReport.mReportNumber > known.first.mReportNumber) {
      known = { aReport, mNow };
    }
    std::set<ShareHolder> registered;
    std::map<ShareHolder, DemandReport> reports;
    for (const auto& [holder, heard] : mRegistered) {
      registered.insert(holder);
      if (mReports.count(holder) > 0 && mNow < mReports.at(holder).second + kShareLease) {
        reports[holder] = mReports.at(holder).first;
      }
    }
    reports[aHolder] = aReport;
    const auto grants = Allocate(leader, registered, reports, mNow);
    const ShareGrant& grant = grants.at(aHolder);
    SendTo(aHolder, [this, plan = mPlan, aReportSentAt](EntryProcess& aProcess) {
      ApplyConfiguration(aProcess, plan, aReportSentAt);
    });
    SendTo(aHolder, [grant, aReportSentAt](EntryProcess& aProcess) {
      ApplyGrant(aProcess.mShares, grant, aReportSentAt);
    });
  }

  void SendTo(const ShareHolder& aHolder, std::function<void(EntryProcess&)> aDeliver)
  {
    Send([this, aHolder, deliver = std::move(aDeliver)] {
      const auto it = mProcesses.find(aHolder);
      if (it != mProcesses.end() && mNow >= it->second.mPausedUntil) {
        deliver(it->second);
      }
    });
  }

  /// Renewal of the configuration lease; it may arrive with or without the shares of the same
  /// renewal.
  void ApplyConfiguration(EntryProcess& aProcess,
                          const plan::Plan& aPlan,
                          Instant aReportSentAt) const
  {
    if (aPlan.mNumber < aProcess.mPlan.mNumber) {
      return;
    }
    if (aPlan.mNumber > aProcess.mPlan.mNumber) {
      aProcess.mPlan = aPlan;
      ApplyLimits(aProcess.mShares, aPlan, 0);
    }
    const Instant until = membership::LeaseEnd(aReportSentAt, membership::kConfigurationLease);
    aProcess.mLeaseUntil = std::max(aProcess.mLeaseUntil, until);
    ExtendBaseRight(aProcess.mShares, until, mNow);
  }

  void RunRequests(EntryProcess& aProcess)
  {
    for (std::size_t n = 0; n < aProcess.mRunning.size();) {
      if (mNow >= aProcess.mRunning[n].first) {
        ReleaseShares(aProcess.mShares, aProcess.mRunning[n].second, 1000, mNow);
        aProcess.mRunning.erase(aProcess.mRunning.begin() + static_cast<long>(n));
      } else {
        ++n;
      }
    }
    // Load moves between entries, so that shares have to follow.
    aProcess.mBusy = OneIn(aProcess.mBusy ? 150 : 400) ? !aProcess.mBusy : aProcess.mBusy;
    const std::uint32_t arrivals = aProcess.mBusy ? 4 : mRandom() % 20 / 19;
    for (std::uint32_t n = arrivals; n > 0 && mNow < aProcess.mLeaseUntil; --n) {
      ShareRequest request{ kService, kRegion, kRegion, RequestClass::Urgent, 100, 0 };
      if (AcquireShares(aProcess.mShares, request, mNow).mAdmitted) {
        const Millis runs(OneIn(2) ? kDeadline.count() : 1 + mRandom() % kDeadline.count());
        aProcess.mRunning.emplace_back(mNow + runs, request);
        ++mAdmitted;
      }
    }
  }

  void InjectFaults()
  {
    if (OneIn(200)) {
      auto it = std::next(mProcesses.begin(), static_cast<long>(mRandom() % mProcesses.size()));
      it->second.mPausedUntil = mNow + Millis(mRandom() % 12'000);
    }
    if (OneIn(400)) { // A crash; requests run on, and it restarts as another holder.
      auto it = std::next(mProcesses.begin(), static_cast<long>(mRandom() % mProcesses.size()));
      const ShareHolder holder = it->first;
      it->second.mLeaseUntil = {};
      it->second.mPausedUntil = Instant::max();
      mCrashed.push_back(it->second);
      mProcesses.erase(it);
      Start({ holder.mId, holder.mIncarnation + 1 });
    }
    if (OneIn(1000)) {
      mFormerLeader = { mLeader, mNow + membership::kConfigurationLease };
      mLeader = AllocatorState{};
      SetLimits(mLeader, mPlan, 0, mNow);
      StartAllocating(mLeader, ++mTerm, false, mNow);
      mReports.clear();
    }
    if (OneIn(500)) {
      const Millis usedFor = membership::kConfigurationLease + mPlan.mServices[kService].mDeadline;
      mFormerCapacities.emplace_back(mNow + usedFor, mPlan.mRegions[kRegion]);
      const std::uint64_t number = mPlan.mNumber + 1;
      mPlan =
        MakePlan(OneIn(2) ? 20 + mRandom() % 80 : mPlan.mRegions[kRegion], 11 + mRandom() % 4);
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
    InjectFaults();
    std::erase_if(mRegistered,
                  [this](const auto& aItem) { return mNow >= aItem.second + Millis(3000); });
    for (auto& [holder, process] : mProcesses) {
      if (mNow >= process.mPausedUntil) {
        RunRequests(process);
        if (OneIn(20)) {
          Renew(holder, process);
        }
      }
    }
  }

  /// Sum over all processes, including crashed ones, of their shares or, if more, running requests.
  std::uint64_t Sum(const LimitKey& aKey) const
  {
    std::uint64_t sum = 0;
    for (const auto& [holder, process] : mProcesses) {
      sum += std::max<std::uint64_t>(StillRunning(process), Usable(process, aKey));
    }
    for (const EntryProcess& it : mCrashed) {
      sum += StillRunning(it);
    }
    return sum;
  }

  std::uint64_t Usable(const EntryProcess& aProcess, const LimitKey& aKey) const
  {
    return mNow < aProcess.mLeaseUntil ? UsableUnits(aProcess.mShares, aKey, mNow) : 0;
  }

  /// Sum of the shares of processes with the newest plan; a lowered limit applies to them at once.
  std::uint64_t SumNewest(const LimitKey& aKey) const
  {
    std::uint64_t sum = 0;
    for (const auto& [holder, process] : mProcesses) {
      sum += process.mPlan.mNumber == mPlan.mNumber ? Usable(process, aKey) : 0;
    }
    return sum;
  }

  std::uint64_t StillRunning(const EntryProcess& aProcess) const
  {
    return static_cast<std::uint64_t>(
      std::count_if(aProcess.mRunning.begin(), aProcess.mRunning.end(), [this](const auto& aItem) {
        return mNow < aItem.first;
      }));
  }

  std::uint64_t GreatestCapacity() const
  {
    std::uint64_t most = mPlan.mRegions.at(kRegion);
    for (const auto& [until, capacity] : mFormerCapacities) {
      most = mNow < until ? std::max(most, capacity) : most;
    }
    return most;
  }

  std::vector<EntryProcess> mCrashed;
};

// Guards against shares that are granted again while requests of their previous holder still run.
TEST_CASE("Allocate, random faults, shares and running requests never exceed a limit", "[share]")
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
  // Ensures that the load was high enough to reach the limits.
  CHECK(admitted > 12'000);
}

} // namespace
} // namespace fighold::routing
