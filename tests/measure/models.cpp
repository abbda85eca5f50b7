#include "models.hpp"

#include <algorithm>
#include <random>

namespace fighold::measure {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr std::uint32_t kStreets = 1U << 24U; ///< /24 blocks in the address space
constexpr int kNestedEvery = 16;

RegionId
RegionOf(int aNumber)
{
  return { "region-" + std::to_string(aNumber % kRegions) };
}

std::string
Host(int aNumber)
{
  return "10." + std::to_string(aNumber / 62500) + "." + std::to_string(aNumber / 250 % 250) + "." +
         std::to_string(aNumber % 250 + 1);
}

} // namespace

plan::Plan
MakePlan(int aBlocks)
{
  plan::Plan plan;
  plan.mNumber = 1;
  plan.mShiftCap = 1000;
  plan.mShiftInterval = std::chrono::seconds(30);
  plan.mMaxEntries = 2400;
  plan.mServices[{ "vardia" }] = plan::Service{};
  for (int n = 0; n < kRegions; ++n) {
    plan.mRegions[RegionOf(n)] = 60;
    plan.mSplits[{ "vardia" }][RegionOf(n)][RegionOf(n)] = plan::kWhole;
  }
  std::mt19937_64 random(kSeed);
  const auto wide = aBlocks - aBlocks / kNestedEvery;
  const std::uint32_t stride = kStreets / static_cast<std::uint32_t>(wide);
  for (int n = 0; n < wide; ++n) {
    const auto place = static_cast<std::uint32_t>(n) * stride;
    const auto street = place + static_cast<std::uint32_t>(random() % stride);
    plan.mClientBlocks.push_back(
      { street << 8U, 24, RegionOf(static_cast<int>(random() % kRegions)) });
    if (n < aBlocks - wide) {
      plan.mClientBlocks.push_back({ (street << 8U) + 64, 28, RegionOf(n) });
    }
  }
  std::sort(plan.mClientBlocks.begin(), plan.mClientBlocks.end());
  return plan;
}

membership::Configuration
MakeConfiguration(const plan::Plan& aPlan, int aEntries, int aServers)
{
  membership::Configuration configuration;
  configuration.mVersion = 1;
  configuration.mPlan = SharedValue(aPlan);
  configuration.mPlanDigest = "generated";
  configuration.mShifts[{ "vardia" }].mInUse = aPlan.mSplits.at({ "vardia" });
  for (int n = 0; n < aEntries; ++n) {
    configuration.mEntries[{ "e" + std::to_string(n) }] = {
      1, { Host(n), 8080 }, RegionOf(n), { RegionOf(n).mValue + "-a" }, 1
    };
  }
  for (int n = 0; n < aServers; ++n) {
    configuration.mBackendServers[{ "server-" + std::to_string(n) }] = {
      1, { "vardia" }, RegionOf(n), { RegionOf(n).mValue + "-a" }, { Host(n), 9090 }, 6, 330, false
    };
  }
  return configuration;
}

} // namespace fighold::measure
