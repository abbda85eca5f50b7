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

/// Virtual clock and the queue of future events, ordered by time and then by insertion.
struct Clock
{
  struct Event
  {
    Instant mAt;
    std::uint64_t mNumber;
    std::function<void()> mAction;
  };
  struct Later
  {
    bool operator()(const Event& aLeft, const Event& aRight) const
    {
      return std::tie(aLeft.mAt, aLeft.mNumber) > std::tie(aRight.mAt, aRight.mNumber);
    }
  };

  Instant mNow{ std::chrono::hours(1) };
  std::uint64_t mNumber = 0;
  std::priority_queue<Event, std::vector<Event>, Later> mEvents;

  void ScheduleAfter(Duration aDelay, std::function<void()> aAction)
  {
    mEvents.push({ mNow + aDelay, mNumber++, std::move(aAction) });
  }
};

struct Attempt;

/// A request with one running attempt or, if hedged, two.
struct Job
{
  RequestId mId = 0;
  std::size_t mLoad = 0;
  RegionId mOrigin;
  RegionId mRegion;
  std::size_t mEntry = 0;
  Instant mArrived{};
  Instant mUntil{};
  Instant mDispatched{};
  std::uint32_t mSeed = 0; ///< for the service times of its attempts
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
  std::size_t mLoad = 0;
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
  std::map<routing::GroupKey, std::size_t> mNextServer; ///< position of round robin
  std::map<RequestId, std::shared_ptr<Job>> mWaiting;
};

/// State of a run.
struct Rig
{
  const Deployment& mDeployment;
  const Scenario& mScenario;
  Clock mClock;
  std::mt19937 mArrivals;
  std::mt19937 mDraws;
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
  Measured mMeasured;
  Instant mStart{};
};

/// @return service time of an attempt at a healthy server; the same for the same seed and attempt
Duration
ServiceTime(const Rig& aRig, const Job& aJob, std::uint32_t aAttempt);

/// Handles the arrival of a request at its entry.
void
Arrive(Rig& aRig, const std::shared_ptr<Job>& aJob);

/// Dispatches the waiting requests of an entry that may be sent now.
void
SendWaiting(Rig& aRig, std::size_t aEntry);

/// Handles the arrival of an attempt at its server.
void
ReachServer(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt);

/// Removes a cancelled attempt from its server.
void
CancelAtServer(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt);

/// Handles an answer at the entry.
void
HandleAnswer(Rig& aRig,
             const std::shared_ptr<Attempt>& aAttempt,
             routing::DispatchOutcome aOutcome);

} // namespace fighold::bench
