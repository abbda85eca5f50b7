#pragma once

#include "fighold/plan/plan.hpp"

#include <string>
#include <vector>

/// What a run of the rig simulates.
namespace fighold::bench {

/// How backend servers are chosen.
enum class Policy : std::uint8_t
{
  Fighold,
  RoundRobin,
  LeastOutstanding, ///< fewest own requests over all servers of the group
};

/// Requests of one service.
struct Load
{
  ServiceId mService;
  std::uint32_t mServers = 0; ///< in each region
  std::uint32_t mSlots = 0;
  double mMeanMs = 0; ///< mean service time
  double mUse = 0;    ///< mean part of the slots in use at full rate

  friend auto operator<=>(const Load&, const Load&) = default;
};

/// A deployment with its load.
struct Deployment
{
  std::string mName;
  plan::Plan mPlan;
  std::vector<Load> mLoads;   ///< the short, urgent service first
  std::uint32_t mEntries = 3; ///< in each region
  double mHopMs = 1;          ///< one way between entry and backend server
  bool mBurst = false;        ///< true: twice the rate for a tenth of the time
};

/// One run.
struct Scenario
{
  Policy mPolicy = Policy::Fighold;
  double mRate = 1;           ///< factor of the arrival rates
  std::uint32_t mSlowed = 0;  ///< short-service servers slowed ten times, spread over the regions
  double mStragglers = 0.005; ///< part of the requests that take mStragglerFactor as long
  double mStragglerFactor = 10;
  std::string mDrain; ///< region that is drained a tenth into the run
  double mSeconds = 40;
  std::uint32_t mSeed = 1;
};

/// What a run measured. Times in milliseconds.
struct Measured
{
  std::vector<double> mLatencies; ///< of answered short requests
  std::vector<double> mHoldUps;   ///< of short requests: time not spent running or on the network
  std::uint64_t mRequests = 0;
  std::uint64_t mInTime = 0;   ///< answered within the deadline
  std::uint64_t mFeasible = 0; ///< would be answered in time by an idle, healthy server
  std::uint64_t mHedges = 0;
  std::uint64_t mRetries = 0;
  std::int64_t mLeastHeadroom = 0; ///< of any region, in requests; below 0: a limit was passed
  double mLeastLinkHeadroom = 100; ///< of any link direction over a second, in percent
  double mDrainSeconds = -1;       ///< from the drain until no request runs in the region
};

/// Runs a scenario.
Measured
Run(const Deployment& aDeployment, const Scenario& aScenario);

} // namespace fighold::bench
