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

/// The rig: virtual clock, arrivals, entries, backend servers.
namespace fighold::bench {

/// Events in the order of their times.
struct Clock
{
  struct Item
  {
    Instant mAt;
    std::uint64_t mNumber;
    std::function<void()> mDo;
  };
  struct Later
  {
    bool operator()(const Item& aLeft, const Item& aRight) const
    {
      return std::tie(aLeft.mAt, aLeft.mNumber) > std::tie(aRight.mAt, aRight.mNumber);
    }
  };

  Instant mNow{ std::chrono::hours(1) };
  std::uint64_t mNumber = 0;
  std::priority_queue<Item, std::vector<Item>, Later> mItems;

  void After(Duration aTime, std::function<void()> aDo)
  {
    mItems.push({ mNow + aTime, mNumber++, std::move(aDo) });
  }
};

struct Attempt;

/// A request with one running attempt or, when hedged, two.
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
  std::uint32_t mSeed = 0; ///< of the service times of its attempts
  std::uint32_t mAttempts = 0;
  std::set<BackendServerId> mTried;
  std::vector<std::weak_ptr<Attempt>> mTries;
  bool mDone = false;
};

/// A request at a backend server.
struct Attempt
{
  std::shared_ptr<Job> mJob;
  std::size_t mServer = 0;
  routing::ShareRequest mShare;
  Instant mSentAt{};
  Duration mRuns{};
  bool mRunning = false;
  bool mOver = false;
};

struct Server
{
  routing::Candidate mCandidate;
  RegionId mRegion;
  std::size_t mLoad = 0;
  double mSlowness = 1;
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
  std::map<routing::GroupKey, std::size_t> mTurn; ///< of round robin
  std::map<RequestId, std::shared_ptr<Job>> mWaiting;
};

/// The whole state of a run.
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
  std::map<routing::ShareHolder, routing::DemandReport> mDemands;
  routing::LastSteps mLastSteps;
  std::map<RegionId, std::int64_t> mInFlight;
  std::map<routing::LimitKey, double> mLinkBytes; ///< in this second
  std::optional<Instant> mDrainedAt;
  RequestId mNextId = 1;
  Measured mMeasured;
  Instant mStart{};
};

/// @return service time of an attempt at a healthy server; equal for equal seeds and attempts
Duration
ServiceTime(const Rig& aRig, const Job& aJob, std::uint32_t aAttempt);

/// Handles an arrival at its entry.
void
Arrive(Rig& aRig, const std::shared_ptr<Job>& aJob);

/// Sends what waits at an entry and fits now.
void
SendWaiting(Rig& aRig, std::size_t aEntry);

/// Puts an attempt into its server.
void
ReachServer(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt);

/// Takes a cancelled attempt out of its server.
void
CancelAtServer(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt);

/// Handles an answer at the entry.
void
HandleAnswer(Rig& aRig, const std::shared_ptr<Attempt>& aAttempt, routing::DispatchOutcome aResult);

} // namespace fighold::bench
