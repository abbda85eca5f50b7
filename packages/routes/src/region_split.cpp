#include "fighold/routes/region_split.hpp"

#include <algorithm>
#include <numeric>

namespace fighold::routes {

std::map<RegionId, double>
InitialParts(const std::map<RegionId, double>& aSlots, const RegionId& aOwn)
{
  const double total =
    std::accumulate(aSlots.begin(), aSlots.end(), 0.0, [](double aSum, const auto& aItem) {
      return aSum + aItem.second;
    });
  std::map<RegionId, double> parts;
  if (total <= 0) {
    return parts;
  }
  const auto own = aSlots.find(aOwn);
  const double ownSlots = own == aSlots.end() ? 0 : own->second;
  const double ownPart = std::min(1.0, ownSlots / total * static_cast<double>(aSlots.size()));
  for (const auto& [region, slots] : aSlots) {
    if (region == aOwn) {
      parts[region] = ownPart;
    } else {
      parts[region] = total > ownSlots ? (1 - ownPart) * slots / (total - ownSlots) : 0;
    }
  }
  return parts;
}

void
StepSplit(RegionSplit& aSplit, const std::map<RegionId, Duration>& aCosts, Instant aNow)
{
  if (aNow < aSplit.mNextStep || aCosts.empty()) {
    return;
  }
  aSplit.mNextStep = aNow + kSplitInterval;
  const auto cheapest =
    std::min_element(aCosts.begin(), aCosts.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  std::optional<RegionId> dearest;
  for (const auto& [region, cost] : aCosts) {
    const auto part = aSplit.mParts.find(region);
    if (part != aSplit.mParts.end() && part->second > 0 &&
        (!dearest || cost > aCosts.at(*dearest))) {
      dearest = region;
    }
  }
  if (!dearest || std::chrono::duration<double>(aCosts.at(*dearest)) <=
                    std::chrono::duration<double>(cheapest->second) * (1 + kSplitMargin)) {
    return;
  }
  double& from = aSplit.mParts[*dearest];
  const double moved = std::min(kSplitStep, from);
  from -= moved;
  aSplit.mParts[cheapest->first] += moved;
}

std::optional<RegionId>
NextRegion(RegionSplit& aSplit, const std::set<RegionId>& aUsable)
{
  std::vector<RegionId> regions;
  std::vector<double> weights;
  double sum = 0;
  for (const auto& [region, part] : aSplit.mParts) {
    regions.push_back(region);
    weights.push_back(aUsable.count(region) > 0 ? part : 0);
    sum += weights.back();
  }
  if (sum <= 0) {
    return aUsable.empty() ? std::nullopt : std::optional(*aUsable.begin());
  }
  return regions[NextTurn(aSplit.mTurn, weights)];
}

} // namespace fighold::routes
