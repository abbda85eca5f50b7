#pragma once

#include "fighold/plan/plan.hpp"

#include <string>
#include <vector>

/// Simulated deployments, scenarios and results.
namespace fighold::bench {

/// Load-balancing policy.
enum class Policy : std::uint8_t
{
  Fighold,
  RoundRobin,
  LeastOutstanding, ///< fewest of the entry's own requests among all servers of the group
};

/// Workload of one service.
struct Workload
{
  ServiceId mService;
  std::uint32_t mServers = 0; ///< in each region
  std::uint32_t mSlots = 0;
  double mMeanMs = 0;      ///< mean service time
  double mUtilization = 0; ///< mean fraction of the slots in use at full rate

  friend auto operator<=>(const Workload&, const Workload&) = default;
};

/// A deployment with its workloads.
struct Deployment
{
  std::string mName;
  plan::Plan mPlan;
  std::vector<Workload> mWorkloads; ///< the first one is short and urgent
  std::uint32_t mEntries = 3;       ///< in each region
  double mLocalLatencyMs = 1;       ///< one-way latency within a region
  bool mBursty = false;             ///< true: twice the rate during a tenth of the time
};

/// Parameters of one run.
struct Scenario
{
  Policy mPolicy = Policy::Fighold;
  double mRateFactor = 1; ///< factor on the arrival rates
  /// Servers of the short service that are ten times slower, spread over the regions.
  std::uint32_t mSlowedServers = 0;
  double mStragglerFraction = 0.005; ///< fraction of requests slowed by mStragglerFactor
  double mStragglerFactor = 10;
  std::string mDrainedRegion; ///< region that is drained after a tenth of the run
  double mRunSeconds = 40;
  std::uint32_t mSeed = 1;
};

/// Results of a run. Times are in milliseconds.
struct RunResult
{
  std::vector<double> mLatencies;      ///< of answered short requests
  std::vector<double> mBlockingDelays; ///< latency of short requests less service and network time
  std::uint64_t mRequests = 0;
  std::uint64_t mAnsweredInTime = 0; ///< requests answered before their deadline
  std::uint64_t mFeasible = 0;       ///< requests that an idle, healthy server would answer in time
  std::uint64_t mHedges = 0;
  std::uint64_t mRetries = 0;
  std::int64_t mLeastHeadroom = 0; ///< lowest of all regions, in requests; below 0: exceeded
  double mLeastLinkHeadroom = 100; ///< lowest of all link directions in any second, in percent
  double mDrainSeconds = -1;       ///< from the drain until no request runs in the region
};

/// Runs a scenario.
RunResult
Run(const Deployment& aDeployment, const Scenario& aScenario);

} // namespace fighold::bench
