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
struct Holder
{
  EntryId mId;
  Incarnation mIncarnation = 0;

  friend auto operator<=>(const Holder&, const Holder&) = default;
};

/// What a holder wants and uses of one limit, its base share included.
struct Want
{
  std::uint64_t mWanted = 0;
  std::uint64_t mInUse = 0;

  friend auto operator<=>(const Want&, const Want&) = default;
};

/// A holder's report.
struct ShareDemand
{
  std::uint64_t mReport = 0; ///< increases with every report of the holder
  GrantNumber mGrant;        ///< newest grant that the holder has applied
  bool mHoldsBase = false;   ///< the holder was given the right to its base shares
  std::map<LimitKey, Want> mWants;

  friend auto operator<=>(const ShareDemand&, const ShareDemand&) = default;
};

/// Part of a limit granted from the demand part.
struct DemandShare
{
  std::uint64_t mUnits = 0;
  std::uint64_t mOf = 0; ///< demand part from which it was granted

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
struct CountedGrants
{
  GrantNumber mLast; ///< number of the last one
  std::uint64_t mUnits = 0;
  Instant mUntil{}; ///< no request that was admitted under them runs any more

  friend auto operator<=>(const CountedGrants&, const CountedGrants&) = default;
};

/// What of one demand part may be in use by a holder.
struct Counted
{
  std::vector<CountedGrants> mGrants;
  std::uint64_t mRunning = 0; ///< reported beyond the base share
  Instant mRunningUntil{};

  friend auto operator<=>(const Counted&, const Counted&) = default;
};

/// What is known of a holder.
struct HolderView
{
  std::uint64_t mReport = 0;
  Instant mHeardAt{};
  bool mBase = false;
  std::map<LimitKey, Counted> mCounted;

  friend auto operator<=>(const HolderView&, const HolderView&) = default;
};

/// Base total of a limit under the plan before, which holders may still use.
struct FormerBase
{
  std::uint64_t mTotal = 0;
  Instant mUntil{};

  friend auto operator<=>(const FormerBase&, const FormerBase&) = default;
};

/// State of the allocator. Every control process keeps it; only the leader grants from it.
struct AllocatorState
{
  Limits mLimits;
  std::uint32_t mEntries = 1;   ///< entries into which base halves are divided
  Duration mHold = kShareLease; ///< lease plus longest deadline
  std::map<LimitKey, FormerBase> mFormerBase;
  Instant mGrantFrom{}; ///< a new leader grants nothing new before
  GrantNumber mNextGrant;
  std::map<Holder, HolderView> mHolders;

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
/// @param aFresh no plan was in use before, so that nothing can have been granted
void
StartAllocating(AllocatorState& aState, std::uint64_t aTerm, bool aFresh, Instant aNow);

/// Divides the demand parts.
/// @param aState state, changed in place
/// @param aRegistered entries of the configuration
/// @param aDemands newest report of each holder that was heard within its lease
/// @param aNow time of the decision
/// @return a grant for each holder in aDemands
std::map<Holder, ShareGrant>
Allocate(AllocatorState& aState,
         const std::set<Holder>& aRegistered,
         const std::map<Holder, ShareDemand>& aDemands,
         Instant aNow);

/// @return units of the demand part under which requests of the holder may run
std::uint64_t
CountedUnits(const HolderView& aHolder, const LimitKey& aKey, Instant aNow);

/// @param aWants what each holder wants
/// @param aUnits units to divide
/// @return max-min fair parts: nobody receives more than wanted, and what one leaves goes to the
/// others
std::vector<std::uint64_t>
DivideFairly(const std::vector<std::uint64_t>& aWants, std::uint64_t aUnits);

} // namespace fighold::routing
