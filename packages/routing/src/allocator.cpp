#include "fighold/routing/allocator.hpp"

#include "fighold/membership/lease.hpp"

#include <algorithm>
#include <numeric>

namespace fighold::routing {
namespace {

std::uint64_t
SubtractOrZero(std::uint64_t aFrom, std::uint64_t aSubtracted)
{
  return aFrom > aSubtracted ? aFrom - aSubtracted : 0;
}

/// Units of the limit that base shares may use, under the plan in force or the previous one.
std::uint64_t
BaseTotal(const AllocatorState& aState, const LimitKey& aKey, Instant aNow)
{
  const Limit& limit = aState.mLimits.at(aKey);
  const std::uint64_t total = limit.mUnits - limit.mDemandUnits;
  const auto previous = aState.mPreviousBase.find(aKey);
  const bool counts = previous != aState.mPreviousBase.end() && aNow < previous->second.mExpiresAt;
  return counts ? std::max(total, previous->second.mTotal) : total;
}

std::uint64_t
DemandTotal(const AllocatorState& aState, const LimitKey& aKey, Instant aNow)
{
  return SubtractOrZero(aState.mLimits.at(aKey).mUnits, BaseTotal(aState, aKey, aNow));
}

/// Drops the grants that are older than the newest one the holder has applied: it no longer admits
/// requests under them, and those that still run are included in its reported use.
void
ApplyReport(HolderState& aHolderState,
            const DemandReport& aReport,
            const Limits& aLimits,
            Duration aReclaimDelay,
            Instant aNow)
{
  aHolderState.mHeardAt = aNow;
  aHolderState.mHoldsBase = aHolderState.mHoldsBase || aReport.mHoldsBase;
  if (aReport.mReportNumber <= aHolderState.mReportNumber) {
    return;
  }
  aHolderState.mReportNumber = aReport.mReportNumber;
  for (const auto& [key, limit] : aLimits) {
    OutstandingUse& outstanding = aHolderState.mOutstandingByLimit[key];
    std::erase_if(outstanding.mGrants, [&](const OutstandingGrants& aItem) {
      return aItem.mLastNumber < aReport.mGrant;
    });
    const auto demand = aReport.mDemandByLimit.find(key);
    const std::uint64_t inUse = demand == aReport.mDemandByLimit.end() ? 0 : demand->second.mInUse;
    outstanding.mReportedInUse =
      SubtractOrZero(inUse, aHolderState.mHoldsBase ? limit.mBasePerEntry : 0);
    outstanding.mReportExpiresAt = aNow + aReclaimDelay;
  }
}

void
ApplyReports(AllocatorState& aState,
             const std::set<ShareHolder>& aRegistered,
             const std::map<ShareHolder, DemandReport>& aReports,
             Instant aNow)
{
  for (const ShareHolder& it : aRegistered) {
    aState.mHolders[it].mHeardAt = aNow;
  }
  for (const auto& [holder, report] : aReports) {
    ApplyReport(aState.mHolders[holder], report, aState.mLimits, aState.mReclaimDelay, aNow);
  }
  std::erase_if(aState.mHolders, [&](const auto& aItem) {
    return aNow >= aItem.second.mHeardAt + aState.mReclaimDelay;
  });
  for (auto& [holder, holderState] : aState.mHolders) {
    for (auto& [key, outstanding] : holderState.mOutstandingByLimit) {
      std::erase_if(outstanding.mGrants, [aNow](const OutstandingGrants& aGrants) {
        return aNow >= aGrants.mExpiresAt;
      });
    }
  }
}

/// Grants a holder the right to base shares while fewer than mBaseShareCount holders have it.
void
GrantBaseRight(AllocatorState& aState, HolderState& aHolderState, Instant aNow)
{
  const auto taken = std::count_if(aState.mHolders.begin(),
                                   aState.mHolders.end(),
                                   [](const auto& aItem) { return aItem.second.mHoldsBase; });
  aHolderState.mHoldsBase =
    aHolderState.mHoldsBase ||
    (aNow >= aState.mNoGrantBefore && taken < static_cast<long>(aState.mBaseShareCount));
}

void
RecordGrant(OutstandingUse& aOutstanding, const OutstandingGrants& aGrant)
{
  auto& grants = aOutstanding.mGrants;
  if (!grants.empty() && grants.back().mUnits == aGrant.mUnits) {
    grants.back() = aGrant;
  } else {
    grants.push_back(aGrant);
  }
}

/// Distributes the units that exceed the demand. Each holder without a unit receives one, so that
/// its first request after an idle time does not wait until another holder has returned a unit,
/// which takes two reports. The rest is divided equally among the holders with demand, so that a
/// burst does not wait for the next grant. Proportional parts would change with every report, and a
/// unit that moves from one holder to another counts twice until the former holder reports again.
void
DistributeSurplus(std::vector<std::uint64_t>& aParts, std::uint64_t aUnits)
{
  std::uint64_t left = aUnits - std::accumulate(aParts.begin(), aParts.end(), std::uint64_t{ 0 });
  std::vector<std::uint64_t*> active;
  active.reserve(aParts.size());
  for (std::uint64_t& it : aParts) {
    if (it > 0) {
      active.push_back(&it);
    } else if (left > 0) {
      it = 1;
      --left;
    }
  }
  if (active.empty()) {
    for (std::uint64_t& it : aParts) {
      active.push_back(&it);
    }
  }
  const std::uint64_t more = left / std::max<std::size_t>(active.size(), 1);
  for (std::uint64_t* it : active) {
    *it += more;
  }
}

/// Divides the demand part of one limit.
void
AllocateLimit(AllocatorState& aState,
              const LimitKey& aKey,
              const std::map<ShareHolder, DemandReport>& aReports,
              std::map<ShareHolder, ShareGrant>& aGrants,
              Instant aNow)
{
  const std::uint64_t part = DemandTotal(aState, aKey, aNow);
  std::uint64_t sum = 0;
  for (const auto& [holder, holderState] : aState.mHolders) {
    sum += OutstandingUnits(holderState, aKey, aNow);
  }
  std::vector<std::uint64_t> demands;
  demands.reserve(aReports.size());
  for (const auto& [holder, report] : aReports) {
    const auto demand = report.mDemandByLimit.find(aKey);
    const std::uint64_t base =
      aState.mHolders.at(holder).mHoldsBase ? aState.mLimits.at(aKey).mBasePerEntry : 0;
    demands.push_back(
      demand == report.mDemandByLimit.end() ? 0 : SubtractOrZero(demand->second.mWanted, base));
  }
  std::vector<std::uint64_t> fair = DivideMaxMinFair(demands, part);
  DistributeSurplus(fair, part);
  std::size_t n = 0;
  for (const auto& [holder, report] : aReports) {
    HolderState& holderState = aState.mHolders.at(holder);
    const std::uint64_t outstanding = OutstandingUnits(holderState, aKey, aNow);
    // After a plan has lowered the limit, the outstanding units may exceed the demand part; each
    // holder then keeps its proportion.
    const std::uint64_t most =
      sum <= part ? outstanding + (part - sum) : Proportion(outstanding, part, sum);
    const std::uint64_t units = std::min(fair[n++], most);
    ShareGrant& grant = aGrants.at(holder);
    grant.mDemand[aKey] = { units, part };
    RecordGrant(holderState.mOutstandingByLimit[aKey],
                { grant.mNumber, units, aNow + aState.mReclaimDelay });
    sum += SubtractOrZero(OutstandingUnits(holderState, aKey, aNow), outstanding);
  }
}

} // namespace

void
SetLimits(AllocatorState& aState, const plan::Plan& aPlan, std::size_t aRegistered, Instant aNow)
{
  std::map<LimitKey, PreviousBase> previous = aState.mPreviousBase;
  aState.mReclaimDelay =
    std::max<Duration>(aState.mReclaimDelay, kShareLease + LongestDeadline(aPlan));
  for (const auto& [key, limit] : aState.mLimits) {
    previous[key] = { BaseTotal(aState, key, aNow), aNow + aState.mReclaimDelay };
  }
  aState.mPreviousBase = std::move(previous);
  aState.mLimits = LimitsOf(aPlan, aRegistered);
  aState.mBaseShareCount =
    std::max({ aPlan.mMaxEntries, static_cast<std::uint32_t>(aRegistered), 1U });
}

void
StartAllocating(AllocatorState& aState, std::uint64_t aTerm, bool aNoEarlierGrants, Instant aNow)
{
  aState.mHolders.clear();
  aState.mNextGrant = { aTerm, 1 };
  aState.mNoGrantBefore =
    aNoEarlierGrants ? aNow : aNow + membership::kConfigurationLease + aState.mReclaimDelay;
}

std::map<ShareHolder, ShareGrant>
Allocate(AllocatorState& aState,
         const std::set<ShareHolder>& aRegistered,
         const std::map<ShareHolder, DemandReport>& aReports,
         Instant aNow)
{
  ApplyReports(aState, aRegistered, aReports, aNow);
  std::map<ShareHolder, ShareGrant> grants;
  for (const auto& [holder, report] : aReports) {
    HolderState& holderState = aState.mHolders.at(holder);
    GrantBaseRight(aState, holderState, aNow);
    grants[holder] = { aState.mNextGrant, holderState.mHoldsBase, {} };
    ++aState.mNextGrant.mCount;
  }
  if (aNow >= aState.mNoGrantBefore) {
    for (const auto& [key, limit] : aState.mLimits) {
      AllocateLimit(aState, key, aReports, grants, aNow);
    }
  }
  return grants;
}

std::uint64_t
OutstandingUnits(const HolderState& aHolder, const LimitKey& aKey, Instant aNow)
{
  const auto outstanding = aHolder.mOutstandingByLimit.find(aKey);
  if (outstanding == aHolder.mOutstandingByLimit.end()) {
    return 0;
  }
  std::uint64_t units =
    aNow < outstanding->second.mReportExpiresAt ? outstanding->second.mReportedInUse : 0;
  for (const OutstandingGrants& it : outstanding->second.mGrants) {
    units = aNow < it.mExpiresAt ? std::max(units, it.mUnits) : units;
  }
  return units;
}

std::vector<std::uint64_t>
DivideMaxMinFair(const std::vector<std::uint64_t>& aDemands, std::uint64_t aUnits)
{
  std::vector<std::size_t> order(aDemands.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return aDemands[aLeft] < aDemands[aRight];
  });
  std::vector<std::uint64_t> parts(aDemands.size(), 0);
  std::size_t others = order.size();
  for (const std::size_t it : order) {
    parts[it] = std::min(aDemands[it], aUnits / others);
    aUnits -= parts[it];
    --others;
  }
  return parts;
}

} // namespace fighold::routing
