#include "fighold/routes/region_split.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fighold::routes {

std::map<RegionId, double>
InitialWeights(const std::map<RegionId, double>& aSlots, const RegionId& aLocalRegion)
{
  const double total =
    std::accumulate(aSlots.begin(), aSlots.end(), 0.0, [](double aSum, const auto& aItem) {
      return aSum + aItem.second;
    });
  std::map<RegionId, double> initial;
  if (total <= 0) {
    return initial;
  }
  const auto local = aSlots.find(aLocalRegion);
  const double localSlots = local == aSlots.end() ? 0 : local->second;
  const double others = total - localSlots;
  const double capacity = localSlots / total * static_cast<double>(aSlots.size());
  const double localWeight = others > 0 ? std::min(1.0, kLocalTrafficFactor * capacity) : 1.0;
  for (const auto& [region, slots] : aSlots) {
    initial[region] = region == aLocalRegion ? localWeight : (1 - localWeight) * slots / others;
  }
  return initial;
}

void
AdjustSplit(RegionSplit& aSplit, const std::map<RegionId, Duration>& aCosts, Instant aNow)
{
  if (aNow < aSplit.mNextAdjustment || aCosts.empty()) {
    return;
  }
  aSplit.mNextAdjustment = aNow + kSplitAdjustInterval;
  std::map<RegionId, double> costs;
  for (const auto& [region, cost] : aCosts) {
    const double now = std::chrono::duration<double, std::milli>(cost).count();
    const auto before = aSplit.mSmoothedCostsMs.find(region);
    costs[region] = before == aSplit.mSmoothedCostsMs.end()
                      ? now
                      : before->second + kCostEwmaWeight * (now - before->second);
  }
  aSplit.mSmoothedCostsMs = costs;
  const auto cheapest =
    std::min_element(costs.begin(), costs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  std::optional<RegionId> costliest;
  for (const auto& [region, cost] : costs) {
    const auto weight = aSplit.mWeights.find(region);
    if (weight != aSplit.mWeights.end() && weight->second > 0 &&
        (!costliest || cost > costs.at(*costliest))) {
      costliest = region;
    }
  }
  if (!costliest || costs.at(*costliest) <= cheapest->second * (1 + kSplitHysteresis)) {
    return;
  }
  double& from = aSplit.mWeights[*costliest];
  const double moved = std::min(kSplitStep, from);
  from -= moved;
  aSplit.mWeights[cheapest->first] += moved;
}

std::optional<RegionId>
NextRegion(RegionSplit& aSplit,
           const std::set<RegionId>& aUsable,
           const RegionId& aLocalRegion,
           std::uint64_t aObjectKey)
{
  std::vector<RegionId> regions;
  std::vector<double> weights;
  double sum = 0;
  const auto add = [&](const RegionId& aRegion, double aWeight) {
    regions.push_back(aRegion);
    weights.push_back(aUsable.count(aRegion) > 0 ? aWeight : 0);
    sum += weights.back();
  };
  // The local region comes first, so that an object leaves it only if its weight shrinks.
  if (const auto local = aSplit.mWeights.find(aLocalRegion); local != aSplit.mWeights.end()) {
    add(aLocalRegion, local->second);
  }
  for (const auto& [region, weight] : aSplit.mWeights) {
    if (region != aLocalRegion) {
      add(region, weight);
    }
  }
  if (sum <= 0) {
    return aUsable.empty() ? std::nullopt : std::optional(*aUsable.begin());
  }
  if (aObjectKey == 0) {
    return regions[PickNext(aSplit.mRoundRobin, weights)];
  }
  double point = static_cast<double>(aObjectKey) / std::pow(2.0, 64) * sum;
  for (std::size_t n = 0; n < regions.size(); ++n) {
    if (weights[n] > 0 && point < weights[n]) {
      return regions[n];
    }
    point -= weights[n];
  }
  return *aUsable.begin();
}

} // namespace fighold::routes
