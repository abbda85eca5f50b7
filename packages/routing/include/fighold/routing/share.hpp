#pragma once

#include "fighold/core/outcome.hpp"
#include "fighold/membership/lease.hpp"
#include "fighold/routing/allocator.hpp"
#include "fighold/routing/bucket.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

/// The holder's side of shares: whether a request fits into the shares of this entry.
namespace fighold::routing {

/// Least part of a share of requests, in percent, that deferred work leaves to other classes.
constexpr std::uint64_t kDeferredReservePercent = 25;

/// What an entry holds and uses of one limit.
struct HeldShare
{
  DemandShare mDemand;
  std::uint64_t mInUse = 0;           ///< requests in flight; bytes per second for a link
  std::uint64_t mDeferredInUse = 0;   ///< of these, deferred requests
  std::uint64_t mNonDeferredPeak = 0; ///< decayed peak of the other classes
  std::uint64_t mPeak = 0;            ///< most in use since the last report
  std::uint64_t mRefused = 0;         ///< refused for this limit since the last report
  std::uint64_t mWanted = 0; ///< of the last report; decays, so that shares follow peaks of seconds
  TokenBucket mTokenBucket;  ///< of a link

  friend auto operator<=>(const HeldShare&, const HeldShare&) = default;
};

/// Shares of one entry.
struct ShareState
{
  Limits mLimits;
  bool mHoldsBase = false;
  Instant
    mBaseExpiresAt{}; ///< end of the right to base shares unless the configuration lease is renewed
  GrantNumber mGrant;
  Instant mDemandExpiresAt{}; ///< end of the lease of the demand shares
  std::uint64_t mNextReportNumber = 1;
  std::map<LimitKey, HeldShare> mShares;
  std::map<ServiceId, SizeEstimate> mResponseSizes;

  friend auto operator<=>(const ShareState&, const ShareState&) = default;
};

/// A request as the shares see it.
struct ShareRequest
{
  ServiceId mService;
  RegionId mEntryRegion; ///< where the entry is
  RegionId mRegion;      ///< where the request runs
  RequestClass mClass = RequestClass::Standard;
  std::uint64_t mBytes = 0;         ///< size of the request
  std::uint64_t mReservedBytes = 0; ///< reserved answer size; set by AcquireShares

  friend auto operator<=>(const ShareRequest&, const ShareRequest&) = default;
};

/// Result of AcquireShares.
struct ShareAdmission
{
  bool mAdmitted = false;
  std::string mReason; ///< limit that is used up

  friend auto operator<=>(const ShareAdmission&, const ShareAdmission&) = default;
};

/// Takes over the limits of a plan. What is in use stays counted; a lowered limit holds at once.
void
ApplyLimits(ShareState& aState, const plan::Plan& aPlan, std::size_t aRegistered);

/// Takes over a grant, unless it is older than the one held.
/// @param aAskedAt time at which the report that it answers was sent; the lease counts from there
void
ApplyGrant(ShareState& aState, const ShareGrant& aGrant, Instant aAskedAt);

/// Extends the right to base shares with the configuration lease. A right that has run out is not
/// revived, because the leader may have given the place to another entry.
/// @param aLeaseUntil end of the configuration lease
void
ExtendBaseRight(ShareState& aState, Instant aLeaseUntil, Instant aNow);

/// @return units of the limit that this entry may use now
std::uint64_t
UsableUnits(const ShareState& aState, const LimitKey& aKey, Instant aNow);

/// @return true when AcquireShares would admit the request
bool
CanAcquireShares(const ShareState& aState, const ShareRequest& aRequest, Instant aNow);

/// Counts a request that has to wait for a share, so that the next report asks for more.
void
RecordUnmetDemand(ShareState& aState, const ShareRequest& aRequest, Instant aNow);

/// Takes a request into the shares of its region, its service and, between regions, the links.
/// @param aState state, changed in place when the request is admitted
/// @param aRequest request; receives the reservation
/// @param aNow time of the decision
/// @return whether it fits; a request that fits must be released once it no longer runs
ShareAdmission
AcquireShares(ShareState& aState, ShareRequest& aRequest, Instant aNow);

/// Gives back what an admitted request used and settles its reservation.
/// @param aAnswerBytes real size of the answer
void
ReleaseShares(ShareState& aState,
              const ShareRequest& aRequest,
              std::uint64_t aAnswerBytes,
              Instant aNow);

/// Makes the report for the leader, and begins a new period of measurement.
DemandReport
BuildDemandReport(ShareState& aState, Instant aNow);

} // namespace fighold::routing
