#pragma once

#include "fighold/core/time.hpp"
#include "fighold/routing/limit.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

/// Allocation of shares by the control leader: divides each limit among the entries.
namespace fighold::routing {

/// Lease of a demand share. The holder counts it from the time at which it sent its report.
constexpr Millis kShareLease{ 2000 };

/// Number of a grant, ordered by term and then by count.
struct GrantNumber
{
  std::uint64_t mTerm = 0;
  std::uint64_t mCount = 0;

  friend auto operator<=>(const GrantNumber&, const GrantNumber&) = default;
};

/// An entry process. A restarted process is another holder, since requests of its predecessor may
/// still run.
struct ShareHolder
{
  EntryId mId;
  Incarnation mIncarnation = 0;

  friend auto operator<=>(const ShareHolder&, const ShareHolder&) = default;
};

/// Demand for and use of one limit by a holder, including its base share.
struct LimitDemand
{
  std::uint64_t mWanted = 0;
  std::uint64_t mInUse = 0;

  friend auto operator<=>(const LimitDemand&, const LimitDemand&) = default;
};

/// Report of a holder's demand.
struct DemandReport
{
  std::uint64_t mReportNumber = 0; ///< increases with each report of the holder
  GrantNumber mGrant;              ///< newest grant that the holder has applied
  bool mHoldsBase = false;         ///< the holder has the right to its base shares
  std::map<LimitKey, LimitDemand> mDemandByLimit;

  friend auto operator<=>(const DemandReport&, const DemandReport&) = default;
};

/// Units granted to a holder from the demand part of a limit.
struct DemandShare
{
  std::uint64_t mUnits = 0;
  std::uint64_t mDemandTotal = 0; ///< size of the demand part at the time of the grant

  friend auto operator<=>(const DemandShare&, const DemandShare&) = default;
};

/// Shares that a holder may use. The right to base shares lasts as long as the holder's
/// configuration lease is renewed; demand shares last for kShareLease.
struct ShareGrant
{
  GrantNumber mNumber;
  bool mGrantsBase = false; ///< the grant includes the right to base shares
  std::map<LimitKey, DemandShare> mDemand;

  friend auto operator<=>(const ShareGrant&, const ShareGrant&) = default;
};

/// Consecutive grants of equal size under which requests may still run.
struct OutstandingGrants
{
  GrantNumber mLastNumber; ///< number of the last grant
  std::uint64_t mUnits = 0;
  Instant mExpiresAt{}; ///< time after which requests admitted under them no longer run

  friend auto operator<=>(const OutstandingGrants&, const OutstandingGrants&) = default;
};

/// What is known about the units of one demand part that a holder may be using.
struct OutstandingUse
{
  std::vector<OutstandingGrants> mGrants;
  std::uint64_t mReportedInUse = 0; ///< in use beyond the base share, as reported
  Instant mReportExpiresAt{};       ///< time after which the reported requests no longer run

  friend auto operator<=>(const OutstandingUse&, const OutstandingUse&) = default;
};

/// State of a holder as known to the allocator.
struct HolderState
{
  std::uint64_t mReportNumber = 0; ///< number of its newest report
  Instant mHeardAt{};              ///< time at which it last reported or was last seen registered
  bool mHoldsBase = false;         ///< the holder has the right to its base shares
  std::map<LimitKey, OutstandingUse> mOutstandingByLimit;

  friend auto operator<=>(const HolderState&, const HolderState&) = default;
};

/// Sum of the base shares of a limit under the previous plan. Holders may use them until
/// mExpiresAt.
struct PreviousBase
{
  std::uint64_t mTotal = 0;
  Instant mExpiresAt{};

  friend auto operator<=>(const PreviousBase&, const PreviousBase&) = default;
};

/// State of the allocator. Every control process maintains it, but only the leader grants from it.
struct AllocatorState
{
  Limits mLimits;
  std::uint32_t mBaseShareCount = 1;    ///< number of base shares in each limit
  Duration mReclaimDelay = kShareLease; ///< share lease plus longest deadline
  std::map<LimitKey, PreviousBase> mPreviousBase;
  Instant mNoGrantBefore{}; ///< a new leader grants no new shares before this time
  GrantNumber mNextGrant;
  std::map<ShareHolder, HolderState> mHolders;

  friend auto operator<=>(const AllocatorState&, const AllocatorState&) = default;
};

/// Applies the limits of a plan. Base shares of the previous plan stay reserved for mReclaimDelay,
/// since holders may still use them.
/// @param aState state, changed in place
/// @param aPlan plan in force
/// @param aRegistered number of registered entries
/// @param aNow time at which the plan was applied
void
SetLimits(AllocatorState& aState, const plan::Plan& aPlan, std::size_t aRegistered, Instant aNow);

/// Starts a term as leader: discards the state of earlier grants, and grants no new shares until
/// the requests that were admitted under them no longer run. The previous leader may grant for up
/// to one configuration lease before it notices that it was replaced.
/// @param aTerm term, greater than that of any earlier leader
/// @param aNoEarlierGrants true if no plan was in force before, so that nothing can have been
/// granted
void
StartAllocating(AllocatorState& aState, std::uint64_t aTerm, bool aNoEarlierGrants, Instant aNow);

/// Divides the demand parts among the holders.
/// @param aState state, changed in place
/// @param aRegistered entries of the configuration
/// @param aReports newest report of each holder that reported within the last kShareLease
/// @param aNow time of the decision
/// @return a grant for each holder in aReports
std::map<ShareHolder, ShareGrant>
Allocate(AllocatorState& aState,
         const std::set<ShareHolder>& aRegistered,
         const std::map<ShareHolder, DemandReport>& aReports,
         Instant aNow);

/// @return units of the demand part that requests of the holder may occupy at aNow: the maximum of
/// its unexpired grants and its last report
std::uint64_t
OutstandingUnits(const HolderState& aHolder, const LimitKey& aKey, Instant aNow);

/// @param aDemands demand of each holder
/// @param aUnits units to divide
/// @return max-min fair allocation: no holder receives more than its demand, and the units that it
/// does not need are divided among the others
std::vector<std::uint64_t>
DivideMaxMinFair(const std::vector<std::uint64_t>& aDemands, std::uint64_t aUnits);

} // namespace fighold::routing
