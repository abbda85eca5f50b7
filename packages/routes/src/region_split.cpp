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
  std::map<RegionId, double> parts;
  if (total <= 0) {
    return parts;
  }
  const auto own = aSlots.find(aLocalRegion);
  const double ownSlots = own == aSlots.end() ? 0 : own->second;
  const double others = total - ownSlots;
  const double fair = ownSlots / total * static_cast<double>(aSlots.size());
  const double ownPart = others > 0 ? std::min(1.0, kLocalTrafficFactor * fair) : 1.0;
  for (const auto& [region, slots] : aSlots) {
    parts[region] = region == aLocalRegion ? ownPart : (1 - ownPart) * slots / others;
  }
  return parts;
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
  std::optional<RegionId> dearest;
  for (const auto& [region, cost] : costs) {
    const auto part = aSplit.mWeights.find(region);
    if (part != aSplit.mWeights.end() && part->second > 0 &&
        (!dearest || cost > costs.at(*dearest))) {
      dearest = region;
    }
  }
  if (!dearest || costs.at(*dearest) <= cheapest->second * (1 + kSplitHysteresis)) {
    return;
  }
  double& from = aSplit.mWeights[*dearest];
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
  const auto add = [&](const RegionId& aRegion, double aPart) {
    regions.push_back(aRegion);
    weights.push_back(aUsable.count(aRegion) > 0 ? aPart : 0);
    sum += weights.back();
  };
  // The own region first, so that an object leaves it only when its part shrinks.
  if (const auto own = aSplit.mWeights.find(aLocalRegion); own != aSplit.mWeights.end()) {
    add(aLocalRegion, own->second);
  }
  for (const auto& [region, part] : aSplit.mWeights) {
    if (region != aLocalRegion) {
      add(region, part);
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
