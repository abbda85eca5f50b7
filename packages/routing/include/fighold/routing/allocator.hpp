#pragma once

#include "fighold/core/time.hpp"
#include "fighold/routing/limit.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

/// The leader's side of shares: who may use how much of each limit.
namespace fighold::routing {

/// Time for which a demand share is leased, counted by the holder from when it asked.
constexpr Millis kShareLease{ 2000 };

/// Number of a grant; those of a later term follow those of an earlier one.
struct GrantNumber
{
  std::uint64_t mTerm = 0;
  std::uint64_t mCount = 0;

  friend auto operator<=>(const GrantNumber&, const GrantNumber&) = default;
};

/// An entry process; a restarted one is another holder, since requests of the former may still run.
struct ShareHolder
{
  EntryId mId;
  Incarnation mIncarnation = 0;

  friend auto operator<=>(const ShareHolder&, const ShareHolder&) = default;
};

/// What a holder wants and uses of one limit, its base share included.
struct LimitDemand
{
  std::uint64_t mWanted = 0;
  std::uint64_t mInUse = 0;

  friend auto operator<=>(const LimitDemand&, const LimitDemand&) = default;
};

/// A holder's report.
struct DemandReport
{
  std::uint64_t mReportNumber = 0; ///< increases with every report of the holder
  GrantNumber mGrant;              ///< newest grant that the holder has applied
  bool mHoldsBase = false;         ///< the holder was given the right to its base shares
  std::map<LimitKey, LimitDemand> mDemandByLimit;

  friend auto operator<=>(const DemandReport&, const DemandReport&) = default;
};

/// Part of a limit granted from the demand part.
struct DemandShare
{
  std::uint64_t mUnits = 0;
  std::uint64_t mDemandTotal = 0; ///< demand part from which it was granted

  friend auto operator<=>(const DemandShare&, const DemandShare&) = default;
};

/// What a holder may use. The right to base shares lasts as long as the holder's configuration
/// lease is renewed; demand shares last for kShareLease.
struct ShareGrant
{
  GrantNumber mNumber;
  bool mBase = false;
  std::map<LimitKey, DemandShare> mDemand;

  friend auto operator<=>(const ShareGrant&, const ShareGrant&) = default;
};

/// Grants of equal size that follow each other, under which requests may run.
struct OutstandingGrants
{
  GrantNumber mLastNumber; ///< number of the last one
  std::uint64_t mUnits = 0;
  Instant mExpiresAt{}; ///< no request that was admitted under them runs any more

  friend auto operator<=>(const OutstandingGrants&, const OutstandingGrants&) = default;
};

/// What of one demand part may be in use by a holder.
struct OutstandingUse
{
  std::vector<OutstandingGrants> mGrants;
  std::uint64_t mReportedInUse = 0; ///< reported beyond the base share
  Instant mReportExpiresAt{};

  friend auto operator<=>(const OutstandingUse&, const OutstandingUse&) = default;
};

/// What is known of a holder.
struct HolderState
{
  std::uint64_t mReportNumber = 0;
  Instant mHeardAt{};
  bool mBase = false;
  std::map<LimitKey, OutstandingUse> mOutstandingByLimit;

  friend auto operator<=>(const HolderState&, const HolderState&) = default;
};

/// Base total of a limit under the plan before, which holders may still use.
struct PreviousBase
{
  std::uint64_t mTotal = 0;
  Instant mExpiresAt{};

  friend auto operator<=>(const PreviousBase&, const PreviousBase&) = default;
};

/// State of the allocator. Every control process keeps it; only the leader grants from it.
struct AllocatorState
{
  Limits mLimits;
  std::uint32_t mEntries = 1;           ///< entries into which base halves are divided
  Duration mReclaimDelay = kShareLease; ///< lease plus longest deadline
  std::map<LimitKey, PreviousBase> mPreviousBase;
  Instant mNoGrantBefore{}; ///< a new leader grants nothing new before
  GrantNumber mNextGrant;
  std::map<ShareHolder, HolderState> mHolders;

  friend auto operator<=>(const AllocatorState&, const AllocatorState&) = default;
};

/// Takes over the limits of a plan.
/// @param aState state, changed in place
/// @param aPlan plan that is in use now
/// @param aRegistered number of registered entries
/// @param aNow time at which the plan was applied
void
SetLimits(AllocatorState& aState, const plan::Plan& aPlan, std::size_t aRegistered, Instant aNow);

/// Begins to lead: forgets what an earlier term granted, and waits until nothing runs under it. The
/// former leader may grant for one configuration lease more before it notices.
/// @param aTerm number that is greater than that of any earlier leader
/// @param aNoEarlierGrants no plan was in use before, so that nothing can have been granted
void
StartAllocating(AllocatorState& aState, std::uint64_t aTerm, bool aNoEarlierGrants, Instant aNow);

/// Divides the demand parts.
/// @param aState state, changed in place
/// @param aRegistered entries of the configuration
/// @param aDemands newest report of each holder that was heard within its lease
/// @param aNow time of the decision
/// @return a grant for each holder in aDemands
std::map<ShareHolder, ShareGrant>
Allocate(AllocatorState& aState,
         const std::set<ShareHolder>& aRegistered,
         const std::map<ShareHolder, DemandReport>& aDemands,
         Instant aNow);

/// @return units of the demand part under which requests of the holder may run
std::uint64_t
OutstandingUnits(const HolderState& aHolder, const LimitKey& aKey, Instant aNow);

/// @param aWants what each holder wants
/// @param aUnits units to divide
/// @return max-min fair parts: nobody receives more than wanted, and what one leaves goes to the
/// others
std::vector<std::uint64_t>
DivideMaxMinFair(const std::vector<std::uint64_t>& aWants, std::uint64_t aUnits);

} // namespace fighold::routing
