#include "fighold/routing/allocator.hpp"

#include "fighold/membership/lease.hpp"

#include <algorithm>
#include <numeric>

namespace fighold::routing {
namespace {

std::uint64_t
Less(std::uint64_t aFrom, std::uint64_t aTaken)
{
  return aFrom > aTaken ? aFrom - aTaken : 0;
}

/// Units of the limit that base shares may use, by this plan and by the one before.
std::uint64_t
BaseTotal(const AllocatorState& aState, const LimitKey& aKey, Instant aNow)
{
  const Limit& limit = aState.mLimits.at(aKey);
  const std::uint64_t total = limit.mUnits - limit.mDemand;
  const auto former = aState.mPreviousBase.find(aKey);
  const bool counts = former != aState.mPreviousBase.end() && aNow < former->second.mExpiresAt;
  return counts ? std::max(total, former->second.mTotal) : total;
}

std::uint64_t
DemandPart(const AllocatorState& aState, const LimitKey& aKey, Instant aNow)
{
  return Less(aState.mLimits.at(aKey).mUnits, BaseTotal(aState, aKey, aNow));
}

/// A report shows which grants the holder no longer uses: older ones than the newest it applied.
/// What runs under those is in its count.
void
TakeReport(HolderState& aView,
           const DemandReport& aDemand,
           const Limits& aLimits,
           Duration aHold,
           Instant aNow)
{
  aView.mHeardAt = aNow;
  aView.mBase = aView.mBase || aDemand.mHoldsBase;
  if (aDemand.mReportNumber <= aView.mReportNumber) {
    return;
  }
  aView.mReportNumber = aDemand.mReportNumber;
  for (const auto& [key, limit] : aLimits) {
    OutstandingUse& counted = aView.mOutstandingByLimit[key];
    std::erase_if(counted.mGrants, [&](const OutstandingGrants& aItem) {
      return aItem.mLastNumber < aDemand.mGrant;
    });
    const auto want = aDemand.mDemandByLimit.find(key);
    const std::uint64_t inUse = want == aDemand.mDemandByLimit.end() ? 0 : want->second.mInUse;
    counted.mReportedInUse = Less(inUse, aView.mBase ? limit.mBase : 0);
    counted.mReportExpiresAt = aNow + aHold;
  }
}

void
TakeReports(AllocatorState& aState,
            const std::set<ShareHolder>& aRegistered,
            const std::map<ShareHolder, DemandReport>& aDemands,
            Instant aNow)
{
  for (const ShareHolder& it : aRegistered) {
    aState.mHolders[it].mHeardAt = aNow;
  }
  for (const auto& [holder, demand] : aDemands) {
    TakeReport(aState.mHolders[holder], demand, aState.mLimits, aState.mReclaimDelay, aNow);
  }
  std::erase_if(aState.mHolders, [&](const auto& aItem) {
    return aNow >= aItem.second.mHeardAt + aState.mReclaimDelay;
  });
  for (auto& [holder, view] : aState.mHolders) {
    for (auto& [key, counted] : view.mOutstandingByLimit) {
      std::erase_if(counted.mGrants, [aNow](const OutstandingGrants& aGrants) {
        return aNow >= aGrants.mExpiresAt;
      });
    }
  }
}

/// Gives the right to base shares to a holder while there are places.
void
GivePlace(AllocatorState& aState, HolderState& aView, Instant aNow)
{
  const auto taken = std::count_if(aState.mHolders.begin(),
                                   aState.mHolders.end(),
                                   [](const auto& aItem) { return aItem.second.mBase; });
  aView.mBase =
    aView.mBase || (aNow >= aState.mNoGrantBefore && taken < static_cast<long>(aState.mEntries));
}

void
Count(OutstandingUse& aCounted, const OutstandingGrants& aGrant)
{
  auto& grants = aCounted.mGrants;
  if (!grants.empty() && grants.back().mUnits == aGrant.mUnits) {
    grants.back() = aGrant;
  } else {
    grants.push_back(aGrant);
  }
}

/// Gives what nobody wants away: a unit to each holder that has none, so that its first request
/// after a quiet time does not wait until another holder has given a unit back, which takes two
/// reports; the rest in equal parts to those that want something, so that a burst does not have to
/// wait for the next grant. Parts in proportion would move with every report, and what has moved
/// counts twice until the holder reports again.
void
ShareSurplus(std::vector<std::uint64_t>& aParts, std::uint64_t aUnits)
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
              const std::map<ShareHolder, DemandReport>& aDemands,
              std::map<ShareHolder, ShareGrant>& aGrants,
              Instant aNow)
{
  const std::uint64_t part = DemandPart(aState, aKey, aNow);
  std::uint64_t sum = 0;
  for (const auto& [holder, view] : aState.mHolders) {
    sum += OutstandingUnits(view, aKey, aNow);
  }
  std::vector<std::uint64_t> wants;
  wants.reserve(aDemands.size());
  for (const auto& [holder, demand] : aDemands) {
    const auto want = demand.mDemandByLimit.find(aKey);
    const std::uint64_t base = aState.mHolders.at(holder).mBase ? aState.mLimits.at(aKey).mBase : 0;
    wants.push_back(want == demand.mDemandByLimit.end() ? 0 : Less(want->second.mWanted, base));
  }
  std::vector<std::uint64_t> fair = DivideMaxMinFair(wants, part);
  ShareSurplus(fair, part);
  std::size_t n = 0;
  for (const auto& [holder, demand] : aDemands) {
    HolderState& view = aState.mHolders.at(holder);
    const std::uint64_t counted = OutstandingUnits(view, aKey, aNow);
    // After a plan lowered the limit, more may be counted than the part holds; every holder then
    // keeps its proportion.
    const std::uint64_t most =
      sum <= part ? counted + (part - sum) : Proportion(counted, part, sum);
    const std::uint64_t units = std::min(fair[n++], most);
    ShareGrant& grant = aGrants.at(holder);
    grant.mDemand[aKey] = { units, part };
    Count(view.mOutstandingByLimit[aKey], { grant.mNumber, units, aNow + aState.mReclaimDelay });
    sum += Less(OutstandingUnits(view, aKey, aNow), counted);
  }
}

} // namespace

void
SetLimits(AllocatorState& aState, const plan::Plan& aPlan, std::size_t aRegistered, Instant aNow)
{
  std::map<LimitKey, PreviousBase> former = aState.mPreviousBase;
  aState.mReclaimDelay =
    std::max<Duration>(aState.mReclaimDelay, kShareLease + LongestDeadline(aPlan));
  for (const auto& [key, limit] : aState.mLimits) {
    former[key] = { BaseTotal(aState, key, aNow), aNow + aState.mReclaimDelay };
  }
  aState.mPreviousBase = std::move(former);
  aState.mLimits = LimitsOf(aPlan, aRegistered);
  aState.mEntries = std::max({ aPlan.mMaxEntries, static_cast<std::uint32_t>(aRegistered), 1U });
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
         const std::map<ShareHolder, DemandReport>& aDemands,
         Instant aNow)
{
  TakeReports(aState, aRegistered, aDemands, aNow);
  std::map<ShareHolder, ShareGrant> grants;
  for (const auto& [holder, demand] : aDemands) {
    HolderState& view = aState.mHolders.at(holder);
    GivePlace(aState, view, aNow);
    grants[holder] = { aState.mNextGrant, view.mBase, {} };
    ++aState.mNextGrant.mCount;
  }
  if (aNow >= aState.mNoGrantBefore) {
    for (const auto& [key, limit] : aState.mLimits) {
      AllocateLimit(aState, key, aDemands, grants, aNow);
    }
  }
  return grants;
}

std::uint64_t
OutstandingUnits(const HolderState& aHolder, const LimitKey& aKey, Instant aNow)
{
  const auto counted = aHolder.mOutstandingByLimit.find(aKey);
  if (counted == aHolder.mOutstandingByLimit.end()) {
    return 0;
  }
  std::uint64_t units =
    aNow < counted->second.mReportExpiresAt ? counted->second.mReportedInUse : 0;
  for (const OutstandingGrants& it : counted->second.mGrants) {
    units = aNow < it.mExpiresAt ? std::max(units, it.mUnits) : units;
  }
  return units;
}

std::vector<std::uint64_t>
DivideMaxMinFair(const std::vector<std::uint64_t>& aWants, std::uint64_t aUnits)
{
  std::vector<std::size_t> order(aWants.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return aWants[aLeft] < aWants[aRight];
  });
  std::vector<std::uint64_t> parts(aWants.size(), 0);
  std::size_t others = order.size();
  for (const std::size_t it : order) {
    parts[it] = std::min(aWants[it], aUnits / others);
    aUnits -= parts[it];
    --others;
  }
  return parts;
}

} // namespace fighold::routing
