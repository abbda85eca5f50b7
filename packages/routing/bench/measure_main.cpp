#include "fighold/plan/sheet.hpp"
#include "fighold/routing/share.hpp"
#include "scenario.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace fighold::bench {
namespace {

double
Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto n = static_cast<std::size_t>(aFraction * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + static_cast<long>(n), aValues.end());
  return aValues[n];
}

plan::Plan
ReadPlan(const std::string& aName)
{
  const std::string path = std::string(FIGHOLD_EXAMPLES_DIR) + "/" + aName + "/sheet.csv";
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  const auto plan = plan::ParseSheet(text.str(), path);
  if (!plan.mValue) {
    throw FindingsError(plan.mFindings);
  }
  return *plan.mValue;
}

/// Load that rises to the full rate and stays there.
Deployment
Lykavittos()
{
  return { "lykavittos",
           ReadPlan("lykavittos"),
           { { { "vardia" }, 4, 6, 20, 0.9 },
             { { "antikatastasi" }, 4, 3, 60, 0.9 },
             { { "programma" }, 4, 6, 800, 0.6 } },
           3,
           1,
           false };
}

/// Load in bursts at twice the rate of the time between them.
Deployment
Strathcairn()
{
  return { "strathcairn",
           ReadPlan("strathcairn"),
           { { { "offer-sheet" }, 5, 3, 25, 0.9 },
             { { "claim-ledger" }, 4, 3, 120, 0.9 },
             { { "cellar-book" }, 4, 3, 1500, 0.6 } },
           3,
           0.5,
           true };
}

void
Print(const std::string& aName, double aValue)
{
  std::printf("%s: %.3f\n", aName.c_str(), aValue);
}

void
PrintRun(const std::string& aName, const RunResult& aResult)
{
  const auto requests = static_cast<double>(aResult.mRequests);
  Print(aName + ".p50_ms", Quantile(aResult.mLatencies, 0.5));
  Print(aName + ".p99_ms", Quantile(aResult.mLatencies, 0.99));
  Print(aName + ".p999_ms", Quantile(aResult.mLatencies, 0.999));
  Print(aName + ".holdup_p99_ms", Quantile(aResult.mBlockingDelays, 0.99));
  Print(aName + ".in_time_percent_of_feasible",
        100 * static_cast<double>(aResult.mAnsweredInTime) /
          static_cast<double>(aResult.mFeasible));
  Print(aName + ".least_region_headroom", static_cast<double>(aResult.mLeastHeadroom));
  Print(aName + ".hedges_percent", 100 * static_cast<double>(aResult.mHedges) / requests);
  Print(aName + ".retries_percent", 100 * static_cast<double>(aResult.mRetries) / requests);
}

const char*
NameOf(Policy aPolicy)
{
  switch (aPolicy) {
    case Policy::Fighold:
      return "fighold";
    case Policy::RoundRobin:
      return "round_robin";
    case Policy::LeastOutstanding:
      break;
  }
  return "least_outstanding";
}

void
MeasurePolicy(const Deployment& aDeployment, Policy aPolicy)
{
  const std::string name = aDeployment.mName + "." + NameOf(aPolicy);
  Scenario scenario;
  scenario.mPolicy = aPolicy;
  scenario.mRateFactor = 0.65;
  const RunResult healthy = Run(aDeployment, scenario);
  PrintRun(name + ".healthy", healthy);
  for (const std::uint32_t slowed : { 1U, 3U }) {
    Scenario slow = scenario;
    slow.mSlowedServers = slowed;
    const RunResult run = Run(aDeployment, slow);
    PrintRun(name + ".slowed_" + std::to_string(slowed), run);
    Print(name + ".slowed_" + std::to_string(slowed) + ".p99_ratio",
          Quantile(run.mLatencies, 0.99) / Quantile(healthy.mLatencies, 0.99));
  }
  Scenario noStragglers = scenario;
  noStragglers.mStragglerFraction = 0;
  const RunResult without = Run(aDeployment, noStragglers);
  Print(name + ".holdup_p99_added_by_stragglers_ms",
        Quantile(healthy.mBlockingDelays, 0.99) - Quantile(without.mBlockingDelays, 0.99));
  Scenario full = scenario;
  full.mRateFactor = 1;
  PrintRun(name + ".full", Run(aDeployment, full));
}

/// Measures the percentage of a region's capacity that its own three entries can use if only they
/// receive requests.
void
MeasureCapacityUse(const Deployment& aDeployment)
{
  const Instant start{ std::chrono::hours(1) };
  const auto& [region, capacity] = *aDeployment.mPlan.mRegions.begin();
  const routing::LimitKey key{ routing::LimitKind::Region, region, {}, {} };
  routing::AllocatorState state;
  routing::SetLimits(state, aDeployment.mPlan, 9, start);
  routing::StartAllocating(state, 1, true, start);
  std::map<routing::ShareHolder, routing::ShareState> holders;
  std::set<routing::ShareHolder> registered;
  for (std::uint64_t n = 0; n < 9; ++n) {
    const routing::ShareHolder holder{ { "e" + std::to_string(n) }, 1 };
    registered.insert(holder);
    routing::ApplyLimits(holders[holder], aDeployment.mPlan, 9);
  }
  std::uint64_t usable = 0;
  for (int round = 0; round < 20; ++round) {
    const Instant now = start + Millis(500) * round;
    std::map<routing::ShareHolder, routing::DemandReport> reports;
    for (auto& [holder, shares] : holders) {
      reports[holder] = routing::BuildDemandReport(shares, now);
      reports[holder].mDemandByLimit[key].mWanted =
        std::distance(holders.begin(), holders.find(holder)) < 3 ? capacity : 0;
    }
    const auto grants = routing::Allocate(state, registered, reports, now);
    usable = 0;
    for (auto& [holder, shares] : holders) {
      routing::ApplyGrant(shares, grants.at(holder), now);
      usable += reports[holder].mDemandByLimit[key].mWanted > 0
                  ? routing::UsableUnits(shares, key, now)
                  : 0;
    }
  }
  const double percent = 100.0 / capacity;
  const std::uint32_t fixed = 3 * (capacity / aDeployment.mPlan.mMaxEntries);
  Print(aDeployment.mName + ".use.three_busy_entries_percent",
        percent * static_cast<double>(usable));
  Print(aDeployment.mName + ".use.fixed_equal_shares_percent", percent * fixed);
}

void
Measure(const Deployment& aDeployment)
{
  MeasureCapacityUse(aDeployment);
  for (const Policy it : { Policy::Fighold, Policy::RoundRobin, Policy::LeastOutstanding }) {
    MeasurePolicy(aDeployment, it);
  }
  Scenario drain;
  drain.mRateFactor = 0.4;
  drain.mRunSeconds = 500;
  drain.mDrainedRegion = aDeployment.mPlan.mRegions.begin()->first.mValue;
  const RunResult run = Run(aDeployment, drain);
  PrintRun(aDeployment.mName + ".fighold.drain", run);
  Print(aDeployment.mName + ".fighold.drain.seconds", run.mDrainSeconds);
  Print(aDeployment.mName + ".fighold.drain.least_link_headroom_percent", run.mLeastLinkHeadroom);
}

} // namespace
} // namespace fighold::bench

/// Measures all deployments, or the one that the first argument names.
int
main(int aCount, char** aArguments)
{
  const std::string only = aCount > 1 ? aArguments[1] : "";
  try {
    for (const auto& it : { fighold::bench::Lykavittos(), fighold::bench::Strathcairn() }) {
      if (only.empty() || it.mName == only) {
        fighold::bench::Measure(it);
      }
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
  return 0;
}
