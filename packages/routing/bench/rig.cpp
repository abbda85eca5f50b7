#include "rig.hpp"

#include <cmath>

namespace fighold::bench {
namespace {

constexpr Millis kRenewalInterval{ 500 };
constexpr Millis kShiftCheckInterval{ 250 };

Duration
FromMs(double aMs)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

/// Starts waiting attempts at a server while it has free slots. Attempts past their deadline fail.
void
StartWaitingAttempts(Rig& aRig, std::size_t aServer)
{
  Server& server = aRig.mServers[aServer];
  while (server.mRunning < server.mCandidate.mSlots && !server.mWaiting.empty()) {
    const auto attempt = server.mWaiting.front();
    server.mWaiting.pop_front();
    if (aRig.mClock.mNow >= attempt->mJob->mDeadline) {
      aRig.mClock.ScheduleAfter(FromMs(aRig.mDeployment.mLocalLatencyMs), [&aRig, attempt] {
        EndAttempt(aRig, attempt, routing::DispatchOutcome::Failed);
      });
      continue;
    }
    attempt->mRunning = true;
    ++server.mRunning;
    const Duration serviceTime =
      std::chrono::duration_cast<Duration>(attempt->mServiceTime * server.mSlowdownFactor);
    const double latencyMs = aRig.mEntries[attempt->mJob->mEntry].mRegion == server.mRegion
                               ? aRig.mDeployment.mLocalLatencyMs
                               : 35;
    aRig.mClock.ScheduleAfter(serviceTime, [&aRig, attempt, aServer, latencyMs] {
      if (!attempt->mRunning) {
        return;
      }
      attempt->mRunning = false;
      --aRig.mServers[aServer].mRunning;
      StartWaitingAttempts(aRig, aServer);
      aRig.mClock.ScheduleAfter(FromMs(latencyMs), [&aRig, attempt] {
        EndAttempt(aRig, attempt, routing::DispatchOutcome::Answered);
      });
    });
  }
}

void
AddServers(Rig& aRig)
{
  std::uint32_t slowed = 0;
  for (std::size_t workload = 0; workload < aRig.mDeployment.mWorkloads.size(); ++workload) {
    const Workload& it = aRig.mDeployment.mWorkloads[workload];
    for (std::uint32_t n = 0; n < it.mServers; ++n) {
      for (const auto& [region, capacity] : aRig.mConfiguration.mPlan->mRegions) {
        Server server;
        server.mRegion = region;
        server.mWorkload = workload;
        server.mCandidate.mId = { it.mService.mValue + "-" + region.mValue + std::to_string(n) };
        server.mCandidate.mSlots = it.mSlots;
        server.mSlowdownFactor = workload == 0 && slowed < aRig.mScenario.mSlowedServers ? 10 : 1;
        slowed += workload == 0 ? 1 : 0;
        aRig.mGroups[{ it.mService, region }].push_back(aRig.mServers.size());
        aRig.mServers.push_back(server);
      }
    }
  }
}

void
AddEntries(Rig& aRig)
{
  for (const auto& [region, capacity] : aRig.mConfiguration.mPlan->mRegions) {
    for (std::uint32_t n = 0; n < aRig.mDeployment.mEntries; ++n) {
      Entry entry;
      entry.mRegion = region;
      entry.mHolder = { { region.mValue + std::to_string(n) }, 1 };
      routing::ApplyLimits(entry.mShares, *aRig.mConfiguration.mPlan, 0);
      for (const Server& it : aRig.mServers) {
        entry.mStates[it.mCandidate.mId].mAliveUntil = Instant::max();
      }
      aRig.mEntries.push_back(entry);
    }
  }
}

/// Renews the lease and the shares of an entry, and gives it load reports that are half a renewal
/// interval old.
void
Renew(Rig& aRig, std::size_t aEntry)
{
  Entry& entry = aRig.mEntries[aEntry];
  const Instant now = aRig.mClock.mNow;
  routing::ExtendBaseRight(entry.mShares, now + membership::kConfigurationLease, now);
  aRig.mDemandReports[entry.mHolder] = routing::BuildDemandReport(entry.mShares, now);
  std::set<routing::ShareHolder> registered;
  for (const Entry& it : aRig.mEntries) {
    registered.insert(it.mHolder);
  }
  const auto grant =
    routing::Allocate(aRig.mAllocator, registered, aRig.mDemandReports, now).at(entry.mHolder);
  std::map<BackendServerId, std::uint32_t> reports;
  for (const Server& it : aRig.mServers) {
    reports[it.mCandidate.mId] = it.mRunning + static_cast<std::uint32_t>(it.mWaiting.size());
  }
  aRig.mClock.ScheduleAfter(FromMs(70), [&aRig, aEntry, grant, reports, now] {
    Entry& holder = aRig.mEntries[aEntry];
    routing::ApplyGrant(holder.mShares, grant, now);
    for (const auto& [id, load] : reports) {
      holder.mStates[id].mReportedLoad = load;
      holder.mStates[id].mReportedAt = now - kRenewalInterval / 2;
    }
    DispatchWaiting(aRig, aEntry);
  });
  aRig.mClock.ScheduleAfter(kRenewalInterval, [&aRig, aEntry] { Renew(aRig, aEntry); });
}

/// Takes the shift steps that are due, and records when a drained region is empty.
void
RunShiftCheck(Rig& aRig)
{
  routing::RegionView view;
  for (const Server& it : aRig.mServers) {
    const routing::GroupKey key{ aRig.mDeployment.mWorkloads[it.mWorkload].mService, it.mRegion };
    view.mLiveGroups.insert(key);
    view.mInFlight[key] += it.mRunning + it.mWaiting.size();
  }
  const Instant now = aRig.mClock.mNow;
  for (const ServiceId& it : routing::ServicesByClass(*aRig.mConfiguration.mPlan)) {
    if (const auto step =
          routing::NextShiftStep(aRig.mConfiguration, it, view, aRig.mLastSteps, now)) {
      aRig.mConfiguration =
        *membership::Apply(aRig.mConfiguration, { {}, step->mChange }, 1).mConfiguration;
      aRig.mLastSteps[it] = { now + aRig.mConfiguration.mPlan->mShiftInterval,
                              now,
                              step->mAddedInFlight };
    }
  }
  const RegionId drained{ aRig.mScenario.mDrainedRegion };
  if (aRig.mDrainedAt && aRig.mResult.mDrainSeconds < 0 && aRig.mInFlight[drained] == 0) {
    bool empty = true;
    for (const auto& [service, shift] : aRig.mConfiguration.mShifts) {
      for (const auto& [origin, row] : shift.mInUse) {
        empty = empty && row.count(drained) == 0;
      }
    }
    if (empty) {
      aRig.mResult.mDrainSeconds = std::chrono::duration<double>(now - *aRig.mDrainedAt).count();
    }
  }
  aRig.mClock.ScheduleAfter(kShiftCheckInterval, [&aRig] { RunShiftCheck(aRig); });
}

/// Updates the lowest link headroom with the bytes of the last second.
void
RecordLinkHeadroom(Rig& aRig)
{
  const routing::Limits limits = routing::LimitsOf(*aRig.mConfiguration.mPlan, 0);
  for (auto& [key, bytes] : aRig.mLinkBytes) {
    const double free = 100 * (1 - bytes / static_cast<double>(limits.at(key).mUnits));
    aRig.mResult.mLeastLinkHeadroom = std::min(aRig.mResult.mLeastLinkHeadroom, free);
    bytes = 0;
  }
  aRig.mClock.ScheduleAfter(std::chrono::seconds(1), [&aRig] { RecordLinkHeadroom(aRig); });
}

/// @param aElapsedFraction elapsed time as a fraction of the run
/// @return factor on the arrival rate at that time: a ramp up to the full rate, or bursts
double
RateFactor(const Rig& aRig, double aElapsedFraction)
{
  if (aRig.mDeployment.mBursty) {
    return std::fmod(aElapsedFraction * 4, 1) < 0.1 ? 1 : 0.5;
  }
  return std::min(1.0, 0.3 + aElapsedFraction * 2);
}

void
ScheduleArrival(Rig& aRig,
                std::size_t aWorkload,
                const RegionId& aRegion,
                std::size_t aFirstEntry,
                Instant aStart)
{
  const Workload& workload = aRig.mDeployment.mWorkloads[aWorkload];
  const double rate = aRig.mScenario.mRateFactor * workload.mUtilization * workload.mServers *
                      workload.mSlots / workload.mMeanMs;
  const double interval = std::exponential_distribution<double>(rate)(aRig.mArrivalRandom);
  const std::size_t entry = aFirstEntry + aRig.mArrivalRandom() % aRig.mDeployment.mEntries;
  const std::uint32_t seed = aRig.mArrivalRandom();
  const double thinning = std::uniform_real_distribution<double>()(aRig.mArrivalRandom);
  aRig.mClock.ScheduleAfter(FromMs(interval), [=, &aRig] {
    const double elapsedFraction =
      std::chrono::duration<double>(aRig.mClock.mNow - aStart).count() / aRig.mScenario.mRunSeconds;
    if (elapsedFraction >= 1) {
      return;
    }
    ScheduleArrival(aRig, aWorkload, aRegion, aFirstEntry, aStart);
    if (thinning < RateFactor(aRig, elapsedFraction)) {
      auto job = std::make_shared<Job>();
      job->mId = aRig.mNextId++;
      job->mWorkload = aWorkload;
      job->mOrigin = aRegion;
      job->mEntry = entry;
      job->mArrivedAt = aRig.mClock.mNow;
      job->mDeadline = aRig.mClock.mNow + aRig.mConfiguration.mPlan->mServices
                                            .at(aRig.mDeployment.mWorkloads[aWorkload].mService)
                                            .mDeadline;
      job->mSeed = seed;
      AcceptRequest(aRig, job);
    }
  });
}

} // namespace

Duration
ServiceTime(const Rig& aRig, const Job& aJob, std::uint32_t aAttempt)
{
  constexpr double kSigma = 0.4;
  std::mt19937 random(aJob.mSeed + aAttempt * 7919);
  std::normal_distribution<double> normal(-kSigma * kSigma / 2, kSigma);
  const double ms = aRig.mDeployment.mWorkloads[aJob.mWorkload].mMeanMs * std::exp(normal(random));
  const bool straggler =
    std::uniform_real_distribution<double>()(random) < aRig.mScenario.mStragglerFraction;
  return FromMs(straggler ? ms * aRig.mScenario.mStragglerFactor : ms);
}

void
EnqueueAtServer(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt)
{
  if (!aAttempt->mEnded) {
    aRig.mServers[aAttempt->mServer].mWaiting.push_back(aAttempt);
    StartWaitingAttempts(aRig, aAttempt->mServer);
  }
}

void
CancelAtServer(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt)
{
  Server& server = aRig.mServers[aAttempt->mServer];
  if (aAttempt->mRunning) {
    aAttempt->mRunning = false;
    --server.mRunning;
  }
  std::erase(server.mWaiting, aAttempt);
  StartWaitingAttempts(aRig, aAttempt->mServer);
}

RunResult
Run(const Deployment& aDeployment, const Scenario& aScenario)
{
  Rig rig{ aDeployment,
           aScenario,
           {},
           std::mt19937(aScenario.mSeed),
           std::mt19937(aScenario.mSeed + 1),
           {},
           {},
           {},
           {},
           {},
           {},
           {},
           {},
           {},
           {},
           1,
           {} };
  rig.mConfiguration =
    *membership::Apply({}, { {}, membership::SubmitPlan{ "", SharedValue(aDeployment.mPlan) } }, 1)
       .mConfiguration;
  rig.mResult.mLeastHeadroom = std::numeric_limits<std::int64_t>::max();
  const Instant start = rig.mClock.mNow;
  rig.mStart = start;
  routing::SetLimits(rig.mAllocator, aDeployment.mPlan, 0, start);
  routing::StartAllocating(rig.mAllocator, 1, true, start);
  AddServers(rig);
  AddEntries(rig);
  for (std::size_t n = 0; n < rig.mEntries.size(); ++n) {
    rig.mClock.ScheduleAfter(Millis(n * 13), [&rig, n] { Renew(rig, n); });
  }
  // Arrivals start after every entry has received its shares.
  rig.mClock.ScheduleAfter(std::chrono::seconds(1), [&rig] {
    const Instant begin = rig.mClock.mNow;
    std::size_t entry = 0;
    for (const auto& [region, capacity] : rig.mConfiguration.mPlan->mRegions) {
      for (std::size_t workload = 0; workload < rig.mDeployment.mWorkloads.size(); ++workload) {
        ScheduleArrival(rig, workload, region, entry, begin);
      }
      entry += rig.mDeployment.mEntries;
    }
  });
  rig.mClock.ScheduleAfter(kShiftCheckInterval, [&rig] { RunShiftCheck(rig); });
  rig.mClock.ScheduleAfter(std::chrono::seconds(1), [&rig] { RecordLinkHeadroom(rig); });
  if (!aScenario.mDrainedRegion.empty()) {
    rig.mClock.ScheduleAfter(FromMs(aScenario.mRunSeconds * 100), [&rig] {
      rig.mConfiguration.mDrains.mRegions.insert({ rig.mScenario.mDrainedRegion });
      rig.mDrainedAt = rig.mClock.mNow;
    });
  }
  const Instant end = start + FromMs((aScenario.mRunSeconds + 40) * 1000);
  while (!rig.mClock.mEvents.empty() && rig.mClock.mEvents.top().mAt < end) {
    const auto item = rig.mClock.mEvents.top();
    rig.mClock.mEvents.pop();
    rig.mClock.mNow = item.mAt;
    item.mAction();
  }
  return rig.mResult;
}

} // namespace fighold::bench
