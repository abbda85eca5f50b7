#include "fighold/routing/share.hpp"

#include <algorithm>

namespace fighold::routing {
namespace {

/// Entries report every half second. Converts the bytes since the last report to a rate.
constexpr std::uint64_t kReportsPerSecond = 2;

constexpr std::uint64_t kBytesPerKibibyte = 1024;

LimitKey
RegionKey(const ShareRequest& aRequest)
{
  return { LimitKind::Region, aRequest.mRegion, {}, {} };
}

LimitKey
ServiceKey(const ShareRequest& aRequest)
{
  return { LimitKind::Service, aRequest.mRegion, {}, aRequest.mService };
}

LimitKey
LinkKey(const RegionId& aFrom, const RegionId& aTo)
{
  return { LimitKind::Link, aTo, aFrom, {} };
}

ShareAdmission
RecordRefusal(ShareState& aState,
              const LimitKey& aKey,
              std::uint64_t aUnits,
              const std::string& aReason)
{
  aState.mShares[aKey].mRefused += aUnits;
  return { false, aReason };
}

/// @return true if the share has room for one more request. Deferred requests leave room for the
/// peak use of the other classes, and at least kDeferredReservePercent.
bool
FitsRequest(const ShareState& aState, const LimitKey& aKey, RequestClass aClass, Instant aNow)
{
  const std::uint64_t units = UsableUnits(aState, aKey, aNow);
  const auto held = aState.mShares.find(aKey);
  const HeldShare share = held == aState.mShares.end() ? HeldShare{} : held->second;
  if (aClass != RequestClass::Deferred) {
    return share.mInUse < units;
  }
  const std::uint64_t reserved =
    std::max(share.mNonDeferredPeak, units * kDeferredReservePercent / 100);
  return share.mInUse < units && share.mDeferredInUse + reserved < units;
}

bool
FitsLink(ShareState& aState, const LimitKey& aKey, std::uint64_t aBytes, Instant aNow)
{
  const std::uint64_t rate = UsableUnits(aState, aKey, aNow);
  HeldShare& share = aState.mShares[aKey];
  share.mTokenBucket = RefillBucket(share.mTokenBucket, rate, aNow);
  return CanReserve(share.mTokenBucket, rate, aBytes);
}

void
AddRequest(ShareState& aState, const LimitKey& aKey, RequestClass aClass)
{
  HeldShare& share = aState.mShares[aKey];
  ++share.mInUse;
  share.mDeferredInUse += aClass == RequestClass::Deferred ? 1 : 0;
  share.mNonDeferredPeak = std::max(share.mNonDeferredPeak, share.mInUse - share.mDeferredInUse);
  share.mPeak = std::max(share.mPeak, share.mInUse);
}

void
TakeLinkTokens(ShareState& aState, const LimitKey& aKey, std::int64_t aBytes)
{
  HeldShare& share = aState.mShares[aKey];
  share.mTokenBucket.mTokens -= aBytes;
  share.mPeak += aBytes > 0 ? static_cast<std::uint64_t>(aBytes) : 0;
}

/// @return the value to carry over to the next report: about an eighth less
std::uint64_t
Decayed(std::uint64_t aValue)
{
  return aValue - std::min(aValue, 1 + aValue / 8);
}

} // namespace

void
ApplyLimits(ShareState& aState, const plan::Plan& aPlan, std::size_t aRegistered)
{
  aState.mLimits = LimitsOf(aPlan, aRegistered);
  for (const auto& [id, service] : aPlan.mServices) {
    aState.mResponseSizes.try_emplace(
      id, SizeEstimate{ static_cast<double>(service.mResponseKibibytes * kBytesPerKibibyte) });
  }
}

void
ApplyGrant(ShareState& aState, const ShareGrant& aGrant, Instant aReportSentAt)
{
  if (aGrant.mNumber <= aState.mGrant) {
    return;
  }
  aState.mGrant = aGrant.mNumber;
  aState.mDemandExpiresAt = membership::LeaseEnd(aReportSentAt, kShareLease);
  if (aGrant.mGrantsBase) {
    aState.mHoldsBase = true;
    aState.mBaseExpiresAt = std::max(aState.mBaseExpiresAt, aState.mDemandExpiresAt);
  }
  for (auto& [key, share] : aState.mShares) {
    share.mDemandShare = {};
  }
  for (const auto& [key, demand] : aGrant.mDemand) {
    aState.mShares[key].mDemandShare = demand;
  }
}

void
ExtendBaseRight(ShareState& aState, Instant aLeaseUntil, Instant aNow)
{
  aState.mHoldsBase = aState.mHoldsBase && aNow < aState.mBaseExpiresAt;
  if (aState.mHoldsBase) {
    aState.mBaseExpiresAt = std::max(aState.mBaseExpiresAt, aLeaseUntil);
  }
}

std::uint64_t
UsableUnits(const ShareState& aState, const LimitKey& aKey, Instant aNow)
{
  const auto limit = aState.mLimits.find(aKey);
  if (limit == aState.mLimits.end()) {
    return 0;
  }
  std::uint64_t units =
    aState.mHoldsBase && aNow < aState.mBaseExpiresAt ? limit->second.mBasePerEntry : 0;
  const auto share = aState.mShares.find(aKey);
  if (share != aState.mShares.end() && aNow < aState.mDemandExpiresAt) {
    // If the plan has lowered the demand part since the grant, the share is scaled down with it.
    const DemandShare& demand = share->second.mDemandShare;
    units += demand.mDemandTotal > limit->second.mDemandUnits
               ? Proportion(demand.mUnits, limit->second.mDemandUnits, demand.mDemandTotal)
               : demand.mUnits;
  }
  return units;
}

bool
CanAcquireShares(const ShareState& aState, const ShareRequest& aRequest, Instant aNow)
{
  const bool fits = FitsRequest(aState, RegionKey(aRequest), aRequest.mClass, aNow) &&
                    FitsRequest(aState, ServiceKey(aRequest), aRequest.mClass, aNow);
  if (!fits || aRequest.mEntryRegion == aRequest.mRegion) {
    return fits;
  }
  ShareState copy = aState;
  ShareRequest request = aRequest;
  return AcquireShares(copy, request, aNow).mAdmitted;
}

void
RecordUnmetDemand(ShareState& aState, const ShareRequest& aRequest, Instant aNow)
{
  for (const LimitKey& it : { RegionKey(aRequest), ServiceKey(aRequest) }) {
    if (!FitsRequest(aState, it, aRequest.mClass, aNow)) {
      ++aState.mShares[it].mRefused;
    }
  }
}

ShareAdmission
AcquireShares(ShareState& aState, ShareRequest& aRequest, Instant aNow)
{
  if (!FitsRequest(aState, RegionKey(aRequest), aRequest.mClass, aNow)) {
    return RecordRefusal(aState, RegionKey(aRequest), 1, "region-share-used-up");
  }
  if (!FitsRequest(aState, ServiceKey(aRequest), aRequest.mClass, aNow)) {
    return RecordRefusal(aState, ServiceKey(aRequest), 1, "service-share-used-up");
  }
  const bool remote = aRequest.mEntryRegion != aRequest.mRegion;
  const LimitKey outbound = LinkKey(aRequest.mEntryRegion, aRequest.mRegion);
  const LimitKey inbound = LinkKey(aRequest.mRegion, aRequest.mEntryRegion);
  aRequest.mReservedBytes =
    static_cast<std::uint64_t>(aState.mResponseSizes[aRequest.mService].mBytes);
  if (remote && !FitsLink(aState, outbound, aRequest.mBytes, aNow)) {
    return RecordRefusal(aState, outbound, aRequest.mBytes, "link-share-used-up");
  }
  if (remote && !FitsLink(aState, inbound, aRequest.mReservedBytes, aNow)) {
    return RecordRefusal(aState, inbound, aRequest.mReservedBytes, "link-share-used-up");
  }
  AddRequest(aState, RegionKey(aRequest), aRequest.mClass);
  AddRequest(aState, ServiceKey(aRequest), aRequest.mClass);
  if (remote) {
    TakeLinkTokens(aState, outbound, static_cast<std::int64_t>(aRequest.mBytes));
    TakeLinkTokens(aState, inbound, static_cast<std::int64_t>(aRequest.mReservedBytes));
  }
  return { true, "" };
}

void
ReleaseShares(ShareState& aState,
              const ShareRequest& aRequest,
              std::uint64_t aAnswerBytes,
              Instant aNow)
{
  for (const LimitKey& it : { RegionKey(aRequest), ServiceKey(aRequest) }) {
    HeldShare& share = aState.mShares[it];
    share.mInUse -= std::min<std::uint64_t>(share.mInUse, 1);
    const std::uint64_t deferred = aRequest.mClass == RequestClass::Deferred ? 1 : 0;
    share.mDeferredInUse -= std::min(share.mDeferredInUse, deferred);
  }
  SizeEstimate& size = aState.mResponseSizes[aRequest.mService];
  size = ObserveSize(size, aAnswerBytes);
  if (aRequest.mEntryRegion != aRequest.mRegion) {
    const LimitKey inbound = LinkKey(aRequest.mRegion, aRequest.mEntryRegion);
    HeldShare& share = aState.mShares[inbound];
    share.mTokenBucket = RefillBucket(share.mTokenBucket, UsableUnits(aState, inbound, aNow), aNow);
    TakeLinkTokens(aState,
                   inbound,
                   static_cast<std::int64_t>(aAnswerBytes) -
                     static_cast<std::int64_t>(aRequest.mReservedBytes));
  }
}

DemandReport
BuildDemandReport(ShareState& aState, Instant aNow)
{
  ExtendBaseRight(aState, {}, aNow);
  DemandReport report{ aState.mNextReportNumber++, aState.mGrant, aState.mHoldsBase, {} };
  for (auto& [key, share] : aState.mShares) {
    const bool link = key.mKind == LimitKind::Link;
    // Requests refused one after the other do not each need a unit, so demand at most doubles from
    // one report to the next.
    const std::uint64_t refused = link ? share.mRefused : std::min(share.mRefused, share.mPeak + 1);
    const std::uint64_t used = (share.mPeak + refused) * (link ? kReportsPerSecond : 1);
    // A quarter more than was used, so that growing load is not refused before the share grows.
    const std::uint64_t wanted = used == 0 ? 0 : used + used / 4 + 1;
    share.mWanted = std::max(wanted, Decayed(share.mWanted));
    share.mNonDeferredPeak =
      std::max(share.mInUse - share.mDeferredInUse, Decayed(share.mNonDeferredPeak));
    report.mDemandByLimit[key] = { share.mWanted, share.mInUse };
    share.mPeak = share.mInUse;
    share.mRefused = 0;
  }
  return report;
}

} // namespace fighold::routing
