#pragma once

#include "fighold/core/outcome.hpp"
#include "fighold/membership/lease.hpp"
#include "fighold/routing/allocator.hpp"
#include "fighold/routing/bucket.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

/// Use of shares by an entry: admission of requests within them.
namespace fighold::routing {

/// Minimum percentage of a share of requests that deferred requests leave to the other classes.
constexpr std::uint64_t kDeferredReservePercent = 25;

/// Share and use of one limit by an entry.
struct HeldShare
{
  DemandShare mDemandShare;
  std::uint64_t mInUse = 0;           ///< requests in flight; not used for a link
  std::uint64_t mDeferredInUse = 0;   ///< deferred requests among them
  std::uint64_t mNonDeferredPeak = 0; ///< decaying peak of the other classes
  std::uint64_t mPeak = 0;    ///< maximum in use since the last report; for a link, bytes sent
  std::uint64_t mRefused = 0; ///< units refused since the last report
  std::uint64_t mWanted = 0;  ///< reported demand; decays over seconds to cover repeated peaks
  TokenBucket mTokenBucket;   ///< for a link

  friend auto operator<=>(const HeldShare&, const HeldShare&) = default;
};

/// Limits of an entry, its shares and their use.
struct ShareState
{
  Limits mLimits;
  bool mHoldsBase = false;
  Instant mBaseExpiresAt{}; ///< end of the right to base shares; see ExtendBaseRight
  GrantNumber mGrant;
  Instant mDemandExpiresAt{}; ///< end of the lease of the demand shares
  std::uint64_t mNextReportNumber = 1;
  std::map<LimitKey, HeldShare> mShares;
  std::map<ServiceId, SizeEstimate> mResponseSizes;

  friend auto operator<=>(const ShareState&, const ShareState&) = default;
};

/// Properties of a request that its shares depend on.
struct ShareRequest
{
  ServiceId mService;
  RegionId mEntryRegion; ///< region of the entry
  RegionId mRegion;      ///< region of the backend server
  RequestClass mClass = RequestClass::Standard;
  std::uint64_t mBytes = 0;         ///< size of the request
  std::uint64_t mReservedBytes = 0; ///< reserved size of the answer; set by AcquireShares

  friend auto operator<=>(const ShareRequest&, const ShareRequest&) = default;
};

/// Result of AcquireShares.
struct ShareAdmission
{
  bool mAdmitted = false;
  std::string mReason; ///< name of the exhausted limit

  friend auto operator<=>(const ShareAdmission&, const ShareAdmission&) = default;
};

/// Applies the limits of a plan. Running requests stay counted; a lowered limit takes effect at
/// once.
void
ApplyLimits(ShareState& aState, const plan::Plan& aPlan, std::size_t aRegistered);

/// Applies a grant if it is newer than the last one applied.
/// @param aReportSentAt time at which the entry sent the report that this grant answers; the lease
/// starts then
void
ApplyGrant(ShareState& aState, const ShareGrant& aGrant, Instant aReportSentAt);

/// Extends the right to base shares with the configuration lease. An expired right is not renewed,
/// because the leader may have granted it to another entry.
/// @param aLeaseUntil end of the configuration lease
void
ExtendBaseRight(ShareState& aState, Instant aLeaseUntil, Instant aNow);

/// @return units of the limit that this entry may use at aNow
std::uint64_t
UsableUnits(const ShareState& aState, const LimitKey& aKey, Instant aNow);

/// @return true if AcquireShares would admit the request
bool
CanAcquireShares(const ShareState& aState, const ShareRequest& aRequest, Instant aNow);

/// Counts a request that has to wait for a share as unmet demand in the next report.
void
RecordUnmetDemand(ShareState& aState, const ShareRequest& aRequest, Instant aNow);

/// Admits a request if the shares of its region and service and, between regions, of the links in
/// both directions allow it.
/// @param aState state, changed in place
/// @param aRequest request; receives the reservation
/// @param aNow time of the decision
/// @return the result; ReleaseShares must be called for an admitted request once it no longer runs
ShareAdmission
AcquireShares(ShareState& aState, ShareRequest& aRequest, Instant aNow);

/// Releases the shares of an admitted request and corrects its reservation on the links.
/// @param aAnswerBytes actual size of the answer
void
ReleaseShares(ShareState& aState,
              const ShareRequest& aRequest,
              std::uint64_t aAnswerBytes,
              Instant aNow);

/// Builds the report for the leader and starts a new measurement period.
DemandReport
BuildDemandReport(ShareState& aState, Instant aNow);

} // namespace fighold::routing
