#pragma once

#include "fighold/routing/budget.hpp"
#include "fighold/routing/queue.hpp"
#include "fighold/routing/route.hpp"
#include "fighold/routing/share.hpp"
#include "fighold/routing/shift.hpp"
#include "scenario.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <tuple>

/// Discrete-event simulation with a virtual clock, arrivals, entries and backend servers.
namespace fighold::bench {

/// Virtual clock and queue of future events. Events at the same time run in the order in which they
/// were scheduled.
struct Clock
{
  struct Event
  {
    Instant mAt;
    std::uint64_t mSequence;
    std::function<void()> mAction;
  };
  struct FiresLater
  {
    bool operator()(const Event& aLeft, const Event& aRight) const
    {
      return std::tie(aLeft.mAt, aLeft.mSequence) > std::tie(aRight.mAt, aRight.mSequence);
    }
  };

  Instant mNow{ std::chrono::hours(1) };
  std::uint64_t mSequence = 0;
  std::priority_queue<Event, std::vector<Event>, FiresLater> mEvents;

  void ScheduleAfter(Duration aDelay, std::function<void()> aAction)
  {
    mEvents.push({ mNow + aDelay, mSequence++, std::move(aAction) });
  }
};

struct Attempt;

/// A request with one running attempt or, if hedged, two.
struct Job
{
  RequestId mId = 0;
  std::size_t mWorkload = 0; ///< index of the workload in the deployment
  RegionId mOrigin;
  RegionId mRegion;
  std::size_t mEntry = 0;
  Instant mArrivedAt{};
  Instant mDeadline{};
  Instant mFirstDispatchedAt{};
  std::uint32_t mSeed = 0; ///< seed of the service times of its attempts
  std::uint32_t mAttempts = 0;
  std::set<BackendServerId> mTriedServers;
  std::vector<std::weak_ptr<Attempt>> mActiveAttempts;
  bool mAnswered = false;
};

/// One dispatch of a request to a backend server.
struct Attempt
{
  std::shared_ptr<Job> mJob;
  std::size_t mServer = 0;
  routing::ShareRequest mShare;
  Instant mSentAt{};
  Duration mServiceTime{};
  bool mRunning = false;
  bool mEnded = false;
};

struct Server
{
  routing::Candidate mCandidate;
  RegionId mRegion;
  std::size_t mWorkload = 0;
  double mSlowdownFactor = 1;
  std::uint32_t mRunning = 0;
  std::deque<std::shared_ptr<Attempt>> mWaiting;
};

struct Entry
{
  routing::ShareHolder mHolder;
  RegionId mRegion;
  routing::ServerStates mStates;
  routing::Queue mQueue;
  std::map<std::size_t, routing::Budget> mBudgets;
  routing::ShareState mShares;
  std::map<routing::GroupKey, std::size_t> mNextServer; ///< round-robin position
  std::map<RequestId, std::shared_ptr<Job>> mWaiting;
};

/// State of a run.
struct Rig
{
  const Deployment& mDeployment;
  const Scenario& mScenario;
  Clock mClock;
  std::mt19937 mArrivalRandom;
  std::mt19937 mChoiceRandom;
  membership::Configuration mConfiguration;
  std::vector<Server> mServers;
  std::map<routing::GroupKey, std::vector<std::size_t>> mGroups;
  std::vector<Entry> mEntries;
  routing::AllocatorState mAllocator;
  std::map<routing::ShareHolder, routing::DemandReport> mDemandReports;
  routing::LastSteps mLastSteps;
  std::map<RegionId, std::int64_t> mInFlight;
  std::map<routing::LimitKey, double> mLinkBytes; ///< in the current second
  std::optional<Instant> mDrainedAt;
  RequestId mNextId = 1;
  RunResult mResult;
  Instant mStart{};
};

/// @return service time of an attempt at a healthy server; the same for the same seed and attempt
Duration
ServiceTime(const Rig& aRig, const Job& aJob, std::uint32_t aAttempt);

/// Queues a new request at its entry, or dispatches it at once with a baseline policy.
void
AcceptRequest(Rig& aRig, const std::shared_ptr<Job>& aJob);

/// Dispatches the waiting requests of an entry that may be sent now.
void
DispatchWaiting(Rig& aRig, std::size_t aEntry);

/// Queues an attempt at its server, unless it has ended before it arrived there.
void
EnqueueAtServer(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt);

/// Removes a cancelled attempt from its server.
void
CancelAtServer(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt);

/// Ends an attempt at the entry with an answer or a failure.
void
EndAttempt(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt, routing::DispatchOutcome aOutcome);

} // namespace fighold::bench
