#include "leases.hpp"

#include <algorithm>

namespace fighold::control {
namespace {

using membership::kBackendServerLease;
using membership::kConfigurationLease;

/// Time between two renewals of a follower; four fit into its lease.
constexpr Millis kFollowerRenewInterval{ 250 };

/// Time without renewal after which an entry is taken out of the configuration, and so out of the
/// look-ups.
constexpr Millis kRemoveEntryAfter{ 3000 };

/// Renewals whose grants may still arrive.
constexpr std::uint64_t kAsksKept = 16;

/// Time between two proposals about one entry.
constexpr Millis kEntryProposalInterval{ 1000 };

/// Longest time for which a granted lease may last by the granter's clock.
Duration
LongestLease()
{
  const Duration lease = kConfigurationLease;
  return lease + lease / membership::kClockRateParts;
}

bool
IsRegistered(const State& aState, const EntryId& aId, Incarnation aIncarnation)
{
  const auto it = aState.mConfiguration->mEntries.find(aId);
  return it != aState.mConfiguration->mEntries.end() && it->second.mIncarnation == aIncarnation;
}

/// Proposes a change about an entry, not more often than the interval.
void
ProposeAboutEntry(Context& aContext, const EntryId& aId, const membership::ChangeBody& aBody)
{
  Instant& next = aContext.mState.mNextEntryProposal[aId];
  if (aContext.mNow >= next) {
    next = aContext.mNow + kEntryProposalInterval;
    Propose(aContext, membership::Change{ {}, aBody });
  }
}

void
TakeReport(Context& aContext, const membership::BackendReport& aReport)
{
  const Instant until = aContext.mNow - aReport.mAge + kBackendServerLease;
  BackendView& view = aContext.mState.mBackends[aReport.mId];
  if (view.mIncarnation != aReport.mIncarnation) {
    view = BackendView{ aReport.mIncarnation, until, aReport.mInFlight };
  } else if (until > view.mAliveUntil) {
    view.mAliveUntil = until;
    view.mInFlight = aReport.mInFlight;
  }
}

void
TakeReports(Context& aContext, const std::vector<membership::BackendReport>& aReports)
{
  for (const membership::BackendReport& it : aReports) {
    TakeReport(aContext, it);
    if (!agreement::IsLeader(aContext.mState.mNode)) {
      aContext.mState.mReports[it.mId] = { it, aContext.mNow - it.mAge };
    }
  }
}

std::vector<membership::BackendLease>
LivingBackends(const State& aState, Instant aNow)
{
  std::vector<membership::BackendLease> leases;
  for (const auto& [id, view] : aState.mBackends) {
    const auto left = std::chrono::duration_cast<Millis>(view.mAliveUntil - aNow);
    if (left > Millis(0)) {
      leases.push_back({ id, view.mIncarnation, left, view.mInFlight });
    }
  }
  return leases;
}

void
SendFollowerRenewal(Context& aContext)
{
  State& state = aContext.mState;
  state.mNextRenew = aContext.mNow + kFollowerRenewInterval;
  const auto leader = agreement::Leader(state.mNode);
  if (!leader) {
    return;
  }
  membership::ControlRenew renew;
  renew.mAsk = state.mNextAsk++;
  renew.mHeld = state.mConfiguration->mVersion;
  for (const auto& [id, view] : state.mEntries) {
    const auto age = std::chrono::duration_cast<Millis>(aContext.mNow - view.mHeardAt);
    if (age < 2 * kConfigurationLease) {
      renew.mEntries[id] = { view.mIncarnation, view.mHeld, age };
    }
  }
  for (auto& [id, report] : state.mReports) {
    report.first.mAge = std::chrono::duration_cast<Millis>(aContext.mNow - report.second);
    renew.mReports.push_back(report.first);
  }
  state.mReports.clear();
  state.mAsked[renew.mAsk] = aContext.mNow;
  if (renew.mAsk > kAsksKept) {
    state.mAsked.erase(state.mAsked.begin(), state.mAsked.upper_bound(renew.mAsk - kAsksKept));
  }
  aContext.mEffects.emplace_back(SendControl{ *leader, std::move(renew) });
}

/// Time at which an entry was last heard of; an entry that a new leader has not heard of may have
/// renewed elsewhere until just before the change of leader.
Instant
LastHeard(const State& aState, const EntryId& aId)
{
  const auto it = aState.mEntries.find(aId);
  return it == aState.mEntries.end() ? aState.mLeaderSince
                                     : std::max(it->second.mHeardAt, aState.mLeaderSince);
}

/// Oldest version with which a follower may still grant leases.
Version
OldestGrantable(const State& aState, Instant aNow)
{
  Version oldest = aState.mConfiguration->mVersion;
  for (const auto& [id, peer] : aState.mNode.mPeers) {
    const auto it = aState.mControls.find(id);
    const Instant heard = it == aState.mControls.end()
                            ? aState.mLeaderSince
                            : std::max(it->second.mHeardAt, aState.mLeaderSince);
    if (aNow < heard + LongestLease()) {
      oldest = std::min(oldest, it == aState.mControls.end() ? 0 : it->second.mApplied);
    }
  }
  return oldest;
}

Version
OldestHeld(const State& aState, Instant aNow)
{
  Version oldest = aState.mConfiguration->mVersion;
  for (const auto& [id, entry] : aState.mConfiguration->mEntries) {
    const auto it = aState.mEntries.find(id);
    const bool known = it != aState.mEntries.end() && it->second.mIncarnation == entry.mIncarnation;
    if (aNow < LastHeard(aState, id) + LongestLease()) {
      oldest = std::min(oldest, known ? it->second.mHeld : 0);
    }
  }
  return oldest;
}

void
RemoveLostEntries(Context& aContext)
{
  const State& state = aContext.mState;
  std::vector<std::pair<EntryId, Incarnation>> lost;
  for (const auto& [id, entry] : state.mConfiguration->mEntries) {
    if (aContext.mNow >= LastHeard(state, id) + kRemoveEntryAfter) {
      lost.emplace_back(id, entry.mIncarnation);
    }
  }
  for (const auto& [id, incarnation] : lost) {
    ProposeAboutEntry(aContext, id, membership::RemoveEntry{ id, incarnation });
  }
}

} // namespace

std::optional<Instant>
GrantRight(const State& aState, Instant aNow)
{
  const Instant began = agreement::IsLeader(aState.mNode)
                          ? agreement::QuorumAt(aState.mNode)
                          : aState.mGrantUntil - kConfigurationLease;
  return membership::GrantableLength(began, aNow) ? std::optional<Instant>(began) : std::nullopt;
}

void
HandleRenew(Context& aContext, const EntryId& aFrom, const membership::Renew& aRenew)
{
  State& state = aContext.mState;
  if (aRenew.mId != aFrom) {
    return;
  }
  state.mEntries[aFrom] = EntryView{ aRenew.mEntry.mIncarnation, aRenew.mHeld, aContext.mNow };
  TakeReports(aContext, aRenew.mReports);
  const auto right = GrantRight(state, aContext.mNow);
  // An entry with a newer version than this process shows that this process is behind; it may not
  // grant.
  if (!right || aRenew.mHeld > state.mConfiguration->mVersion) {
    return;
  }
  const bool registered = IsRegistered(state, aFrom, aRenew.mEntry.mIncarnation);
  if (!registered && !aRenew.mLeaving) {
    ProposeAboutEntry(aContext, aFrom, membership::RegisterEntry{ aFrom, aRenew.mEntry });
  } else if (registered && aRenew.mLeaving) {
    ProposeAboutEntry(
      aContext, aFrom, membership::RemoveEntry{ aFrom, aRenew.mEntry.mIncarnation });
  }
  membership::Grant grant;
  grant.mAsk = aRenew.mAsk;
  grant.mLength =
    std::chrono::duration_cast<Millis>(*membership::GrantableLength(*right, aContext.mNow));
  grant.mVersion = state.mConfiguration->mVersion;
  if (aRenew.mHeld < grant.mVersion) {
    grant.mConfiguration = state.mConfiguration;
  }
  grant.mBackendLeases = LivingBackends(state, aContext.mNow);
  aContext.mEffects.emplace_back(SendEntry{ aFrom, std::move(grant) });
}

void
HandleControlRenew(Context& aContext,
                   const ControlId& aFrom,
                   const membership::ControlRenew& aRenew)
{
  State& state = aContext.mState;
  const auto right = GrantRight(state, aContext.mNow);
  if (!agreement::IsLeader(state.mNode) || !right) {
    return;
  }
  state.mControls[aFrom] = ControlView{ aRenew.mHeld, aContext.mNow };
  for (const auto& [id, status] : aRenew.mEntries) {
    EntryView& view = state.mEntries[id];
    const Instant heard = aContext.mNow - status.mAge;
    if (heard > view.mHeardAt) {
      view = EntryView{ status.mIncarnation, status.mHeld, heard };
    }
  }
  TakeReports(aContext, aRenew.mReports);
  membership::ControlGrant grant;
  grant.mAsk = aRenew.mAsk;
  grant.mLength =
    std::chrono::duration_cast<Millis>(*membership::GrantableLength(*right, aContext.mNow));
  grant.mVersion = state.mConfiguration->mVersion;
  grant.mInForce = state.mInForce;
  grant.mBackendLeases = LivingBackends(state, aContext.mNow);
  aContext.mEffects.emplace_back(SendControl{ aFrom, std::move(grant) });
}

void
HandleControlGrant(Context& aContext, const membership::ControlGrant& aGrant)
{
  State& state = aContext.mState;
  const auto asked = state.mAsked.find(aGrant.mAsk);
  if (asked == state.mAsked.end() || state.mConfiguration->mVersion < aGrant.mVersion) {
    return;
  }
  state.mGrantUntil =
    std::max(state.mGrantUntil, membership::LeaseEnd(asked->second, aGrant.mLength));
  state.mInForce = std::max(state.mInForce, aGrant.mInForce);
  for (const membership::BackendLease& it : aGrant.mBackendLeases) {
    const Millis age = std::chrono::duration_cast<Millis>(aContext.mNow - asked->second) +
                       kBackendServerLease - it.mLeft;
    TakeReport(aContext, { it.mId, it.mIncarnation, age, it.mInFlight });
  }
}

void
TickLeases(Context& aContext)
{
  State& state = aContext.mState;
  const bool leader = agreement::IsLeader(state.mNode);
  if (leader && !state.mWasLeader) {
    state.mLeaderSince = aContext.mNow;
  }
  state.mWasLeader = leader;
  if (!leader) {
    if (aContext.mNow >= state.mNextRenew) {
      SendFollowerRenewal(aContext);
    }
    return;
  }
  if (GrantRight(state, aContext.mNow)) {
    state.mInForce =
      std::max(state.mInForce,
               std::min(OldestGrantable(state, aContext.mNow), OldestHeld(state, aContext.mNow)));
    RemoveLostEntries(aContext);
  }
}

std::vector<EntryId>
EntriesBehind(const State& aState, Version aVersion, Instant aNow)
{
  std::vector<EntryId> behind;
  for (const auto& [id, entry] : aState.mConfiguration->mEntries) {
    const auto it = aState.mEntries.find(id);
    const bool confirmed = it != aState.mEntries.end() && it->second.mHeld >= aVersion;
    if (!confirmed && aNow < LastHeard(aState, id) + LongestLease()) {
      behind.push_back(id);
    }
  }
  return behind;
}

} // namespace fighold::control
