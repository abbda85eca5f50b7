#include "rig.hpp"

#include <algorithm>

namespace fighold::bench {
namespace {

constexpr std::uint64_t kRequestBytes = 500;

/// Latencies of requests that arrive during the warm-up are left out, since entries ask for demand
/// shares only once requests arrive.
constexpr std::chrono::seconds kWarmUp{ 6 };

const plan::Service&
ServiceOf(const Rig& aRig, const Job& aJob)
{
  return aRig.mConfiguration.mPlan->mServices.at(
    aRig.mDeployment.mWorkloads[aJob.mWorkload].mService);
}

routing::GroupKey
GroupOf(const Rig& aRig, const Job& aJob)
{
  return { aRig.mDeployment.mWorkloads[aJob.mWorkload].mService, aJob.mRegion };
}

/// One-way latency; 35 ms between regions.
Duration
OneWayLatency(const Rig& aRig, const RegionId& aFrom, const RegionId& aTo)
{
  const double ms = aFrom == aTo ? aRig.mDeployment.mLocalLatencyMs : 35;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

routing::ShareRequest
ShareRequestOf(const Rig& aRig, const Job& aJob)
{
  return { aRig.mDeployment.mWorkloads[aJob.mWorkload].mService,
           aRig.mEntries[aJob.mEntry].mRegion,
           aJob.mRegion,
           ServiceOf(aRig, aJob).mClass,
           kRequestBytes,
           0 };
}

std::vector<routing::Candidate>
Candidates(const Rig& aRig, const routing::GroupKey& aGroup)
{
  std::vector<routing::Candidate> candidates;
  const auto group = aRig.mGroups.find(aGroup);
  if (group != aRig.mGroups.end()) {
    for (const std::size_t it : group->second) {
      candidates.push_back(aRig.mServers[it].mCandidate);
    }
  }
  return candidates;
}

std::size_t
IndexOf(const Rig& aRig, const routing::GroupKey& aGroup, const BackendServerId& aId)
{
  for (const std::size_t it : aRig.mGroups.at(aGroup)) {
    if (aRig.mServers[it].mCandidate.mId == aId) {
      return it;
    }
  }
  throw std::logic_error("no such server");
}

/// Chooses a server by one of the baseline policies.
std::optional<std::size_t>
ChooseByBaseline(Rig& aRig, Entry& aEntry, const routing::GroupKey& aGroup)
{
  const auto& group = aRig.mGroups.at(aGroup);
  if (aRig.mScenario.mPolicy == Policy::RoundRobin) {
    return group[aEntry.mNextServer[aGroup]++ % group.size()];
  }
  const std::size_t first = aRig.mChoiceRandom() % group.size();
  std::size_t best = group[first];
  for (std::size_t n = 1; n < group.size(); ++n) {
    const std::size_t other = group[(first + n) % group.size()];
    const auto outstanding = [&](std::size_t aServer) {
      return aEntry.mStates[aRig.mServers[aServer].mCandidate.mId].mOutstanding;
    };
    best = outstanding(other) < outstanding(best) ? other : best;
  }
  return best;
}

std::optional<std::size_t>
Choose(Rig& aRig, const Job& aJob)
{
  Entry& entry = aRig.mEntries[aJob.mEntry];
  const routing::GroupKey group = GroupOf(aRig, aJob);
  if (aRig.mScenario.mPolicy != Policy::Fighold) {
    return ChooseByBaseline(aRig, entry, group);
  }
  const routing::ChoiceRequest request{
    ServiceOf(aRig, aJob).mClass, aJob.mTriedServers, aRig.mDeployment.mEntries, true
  };
  const auto choice = routing::ChooseBackendServer(Candidates(aRig, group),
                                                   entry.mStates,
                                                   request,
                                                   aRig.mChoiceRandom(),
                                                   aRig.mChoiceRandom(),
                                                   aRig.mClock.mNow);
  if (!choice.mCandidate) {
    return std::nullopt;
  }
  return IndexOf(aRig, group, choice.mCandidate->mId);
}

void
ScheduleHedgeCheck(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt);

void
CancelRunning(Rig& aRig, const Job& aJob);

/// Sends one attempt if a server and shares are available.
bool
Dispatch(Rig& aRig, const std::shared_ptr<Job>& aJob)
{
  Entry& entry = aRig.mEntries[aJob->mEntry];
  auto attempt = std::make_shared<Attempt>();
  attempt->mShare = ShareRequestOf(aRig, *aJob);
  const bool fighold = aRig.mScenario.mPolicy == Policy::Fighold;
  const auto server = Choose(aRig, *aJob);
  const Instant now = aRig.mClock.mNow;
  if (!server ||
      (fighold && !routing::AcquireShares(entry.mShares, attempt->mShare, now).mAdmitted)) {
    return false;
  }
  attempt->mJob = aJob;
  attempt->mServer = *server;
  attempt->mSentAt = now;
  attempt->mServiceTime = ServiceTime(aRig, *aJob, aJob->mAttempts);
  if (aJob->mAttempts++ == 0) {
    aJob->mFirstDispatchedAt = now;
  }
  const BackendServerId& id = aRig.mServers[*server].mCandidate.mId;
  aJob->mTriedServers.insert(id);
  ++entry.mStates[id].mOutstanding;
  const std::int64_t headroom =
    std::int64_t{ aRig.mConfiguration.mPlan->mRegions.at(aJob->mRegion) } -
    ++aRig.mInFlight[aJob->mRegion];
  aRig.mResult.mLeastHeadroom = std::min(aRig.mResult.mLeastHeadroom, headroom);
  aRig.mClock.ScheduleAfter(OneWayLatency(aRig, entry.mRegion, aJob->mRegion),
                            [&aRig, attempt] { EnqueueAtServer(aRig, attempt); });
  aJob->mActiveAttempts.push_back(attempt);
  if (fighold) {
    ScheduleHedgeCheck(aRig, attempt);
    aRig.mClock.ScheduleAfter(aJob->mDeadline - now, [&aRig, aJob] { CancelRunning(aRig, *aJob); });
  }
  return true;
}

/// Schedules a check after the hedge delay. If the attempt still runs then, the check counts a
/// failure of the server and, if the budget allows, sends a second attempt.
void
ScheduleHedgeCheck(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt)
{
  const auto job = aAttempt->mJob;
  const Duration delay = aRig.mEntries[job->mEntry].mBudgets[job->mWorkload].mHedgeDelay;
  if (delay == Duration::zero()) {
    return;
  }
  aRig.mClock.ScheduleAfter(delay, [&aRig, aAttempt, job] {
    Entry& entry = aRig.mEntries[job->mEntry];
    const Instant now = aRig.mClock.mNow;
    if (aAttempt->mEnded || job->mAnswered) {
      return;
    }
    routing::ServerState& state = entry.mStates[aRig.mServers[aAttempt->mServer].mCandidate.mId];
    state =
      routing::RecordResult(state, routing::DispatchOutcome::Overdue, now - aAttempt->mSentAt, now);
    routing::Budget spent = entry.mBudgets[job->mWorkload];
    const bool hedge =
      job->mAttempts == 1 &&
      routing::ShouldHedge(spent, true, now - aAttempt->mSentAt, job->mDeadline - now);
    if (hedge && Dispatch(aRig, job)) {
      entry.mBudgets[job->mWorkload] = spent;
      ++aRig.mResult.mHedges;
    }
  });
}

/// Releases the shares of an attempt and counts its bytes on the link.
void
ReleaseAttempt(Rig& aRig, const Attempt& aAttempt, std::uint64_t aBytes)
{
  const Job& job = *aAttempt.mJob;
  Entry& entry = aRig.mEntries[job.mEntry];
  routing::ServerState& state = entry.mStates[aRig.mServers[aAttempt.mServer].mCandidate.mId];
  state.mOutstanding -= std::min(state.mOutstanding, 1U);
  if (aRig.mScenario.mPolicy == Policy::Fighold) {
    routing::ReleaseShares(entry.mShares, aAttempt.mShare, aBytes, aRig.mClock.mNow);
  }
  --aRig.mInFlight[job.mRegion];
  if (entry.mRegion != job.mRegion) {
    aRig.mLinkBytes[{ routing::LimitKind::Link, entry.mRegion, job.mRegion, {} }] +=
      static_cast<double>(aBytes);
  }
}

/// Cancels the attempts that still run. Their shares are released once the cancellation reaches the
/// server.
void
CancelRunning(Rig& aRig, const Job& aJob)
{
  for (const auto& it : aJob.mActiveAttempts) {
    const auto attempt = it.lock();
    if (attempt && !attempt->mEnded) {
      attempt->mEnded = true;
      aRig.mClock.ScheduleAfter(
        OneWayLatency(aRig, aRig.mEntries[aJob.mEntry].mRegion, aJob.mRegion), [&aRig, attempt] {
          CancelAtServer(aRig, attempt);
          ReleaseAttempt(aRig, *attempt, 0);
          DispatchWaiting(aRig, attempt->mJob->mEntry);
        });
    }
  }
}

/// Records the latency of an answered request and the time for which other requests delayed it.
void
RecordLatency(Rig& aRig, const Attempt& aAttempt)
{
  const Job& job = *aAttempt.mJob;
  const auto ms = [](Duration aTime) {
    return std::chrono::duration<double, std::milli>(aTime).count();
  };
  const Duration latency = aRig.mClock.mNow - job.mArrivedAt;
  aRig.mResult.mAnsweredInTime += aRig.mClock.mNow <= job.mDeadline ? 1 : 0;
  const Instant warmUpEnd = aRig.mStart + kWarmUp;
  if (job.mWorkload == 0 && job.mArrivedAt >= warmUpEnd) {
    const Duration network =
      2 * OneWayLatency(aRig, aRig.mEntries[job.mEntry].mRegion, job.mRegion);
    const Duration serviceTime = std::chrono::duration_cast<Duration>(
      aAttempt.mServiceTime * aRig.mServers[aAttempt.mServer].mSlowdownFactor);
    aRig.mResult.mLatencies.push_back(ms(latency));
    // If a hedge wins, the delay before it was sent is not time blocked by other requests.
    const Duration hedgeDelay =
      job.mAttempts > 1 ? aAttempt.mSentAt - job.mFirstDispatchedAt : Duration::zero();
    aRig.mResult.mBlockingDelays.push_back(ms(latency - network - serviceTime - hedgeDelay));
  }
}

} // namespace

void
AcceptRequest(Rig& aRig, const std::shared_ptr<Job>& aJob)
{
  Entry& entry = aRig.mEntries[aJob->mEntry];
  const auto& row = aRig.mConfiguration.mShifts.at(GroupOf(aRig, *aJob).mService).mInUse;
  aJob->mRegion = routing::ChooseRegion(row.at(aJob->mOrigin), aRig.mChoiceRandom());
  ++aRig.mResult.mRequests;
  const Duration minLatency =
    ServiceTime(aRig, *aJob, 0) + 2 * OneWayLatency(aRig, entry.mRegion, aJob->mRegion);
  aRig.mResult.mFeasible += aJob->mArrivedAt + minLatency <= aJob->mDeadline ? 1 : 0;
  routing::Budget& budget = entry.mBudgets[aJob->mWorkload];
  budget = routing::CountRequest(budget);
  if (aRig.mScenario.mPolicy != Policy::Fighold) {
    Dispatch(aRig, aJob);
    return;
  }
  const routing::WaitingRequest waiting{ aJob->mId,
                                         GroupOf(aRig, *aJob),
                                         ServiceOf(aRig, *aJob).mClass,
                                         aJob->mDeadline,
                                         2 * OneWayLatency(aRig, entry.mRegion, aJob->mRegion) };
  if (routing::Enqueue(entry.mQueue, waiting, aRig.mClock.mNow)) {
    entry.mWaiting[aJob->mId] = aJob;
    routing::RecordUnmetDemand(entry.mShares, ShareRequestOf(aRig, *aJob), aRig.mClock.mNow);
    DispatchWaiting(aRig, aJob->mEntry);
  }
}

void
DispatchWaiting(Rig& aRig, std::size_t aEntry)
{
  Entry& entry = aRig.mEntries[aEntry];
  const Instant now = aRig.mClock.mNow;
  for (const routing::WaitingRequest& it : routing::RemoveExpired(entry.mQueue, now)) {
    entry.mWaiting.erase(it.mId);
  }
  const auto mayDispatch = [&](const routing::GroupKey& aGroup, RequestClass aClass) {
    const routing::ShareRequest request{ aGroup.mService, entry.mRegion, aGroup.mRegion,
                                         aClass,          kRequestBytes, 0 };
    const routing::ChoiceRequest choice{ aClass, {}, aRig.mDeployment.mEntries, true };
    return routing::CanAcquireShares(entry.mShares, request, now) &&
           routing::ChooseBackendServer(Candidates(aRig, aGroup), entry.mStates, choice, 0, 0, now)
             .mCandidate.has_value();
  };
  while (const auto next = routing::Dequeue(entry.mQueue, mayDispatch, now)) {
    const auto job = entry.mWaiting.at(next->mId);
    entry.mWaiting.erase(next->mId);
    Dispatch(aRig, job);
  }
}

void
EndAttempt(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt, routing::DispatchOutcome aOutcome)
{
  if (aAttempt->mEnded) {
    return;
  }
  const auto job = aAttempt->mJob;
  Entry& entry = aRig.mEntries[job->mEntry];
  const Instant now = aRig.mClock.mNow;
  aAttempt->mEnded = true;
  const std::uint64_t bytes = std::uint64_t{ 1024 } * ServiceOf(aRig, *job).mResponseKibibytes;
  ReleaseAttempt(aRig, *aAttempt, aOutcome == routing::DispatchOutcome::Answered ? bytes : 0);
  if (aRig.mScenario.mPolicy == Policy::Fighold && aOutcome != routing::DispatchOutcome::Failed) {
    routing::ServerState& state = entry.mStates[aRig.mServers[aAttempt->mServer].mCandidate.mId];
    routing::Budget& budget = entry.mBudgets[job->mWorkload];
    const Duration latency = now - aAttempt->mSentAt;
    // A late answer was already counted as overdue and does not reset the consecutive failures.
    const bool late = budget.mHedgeDelay > Duration::zero() && latency > budget.mHedgeDelay;
    if (!late) {
      state = routing::RecordResult(state, aOutcome, latency, now);
    }
    // The latency is counted from the first dispatch: with the latency of the winning attempt,
    // hedges would lower the hedge delay more and more.
    budget = routing::ObserveLatency(budget, now - job->mFirstDispatchedAt);
  }
  if (!job->mAnswered && aOutcome == routing::DispatchOutcome::Answered) {
    job->mAnswered = true;
    RecordLatency(aRig, *aAttempt);
    CancelRunning(aRig, *job);
  }
  DispatchWaiting(aRig, job->mEntry);
}

} // namespace fighold::bench
