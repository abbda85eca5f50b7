#include "leases.hpp"

#include "backend_servers.hpp"
#include "deltas.hpp"

#include <algorithm>

namespace fighold::control {
namespace {

using membership::kConfigurationLease;

/// Interval between two renewals of a follower; four fit into its lease.
constexpr Millis kFollowerRenewalInterval{ 250 };

/// Time without a renewal after which an entry is removed from the configuration and thus from
/// look-ups.
constexpr Millis kRemoveEntryAfter{ 3000 };

/// Minimum interval between two proposals about the same entry.
constexpr Millis kEntryProposalInterval{ 1000 };

/// Maximum number of sent renewals whose grants are still accepted.
constexpr std::size_t kMaxRenewalsSent = 16;

/// Maximum age of a renewal that registers an entry; an older one may come from a process that has
/// been replaced since.
constexpr Millis kMaxRegistrationAge{ 1000 };

/// @return maximum duration of a granted lease by the granter's clock, including clock drift
Duration
LongestLease()
{
  const Duration lease = kConfigurationLease;
  return lease + lease / membership::kClockDriftDivisor;
}

bool
IsRegistered(const State& aState, const EntryId& aId, Incarnation aIncarnation)
{
  const auto it = aState.mConfiguration->mEntries.find(aId);
  return it != aState.mConfiguration->mEntries.end() && it->second.mIncarnation == aIncarnation;
}

/// Proposes a change about an entry, at most once per kEntryProposalInterval.
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
SendFollowerRenewal(Context& aContext)
{
  State& state = aContext.mState;
  state.mNextRenewal = aContext.mNow + kFollowerRenewalInterval;
  const auto leader = agreement::Leader(state.mNode);
  if (!leader) {
    return;
  }
  membership::ControlLeaseRenewal renewal;
  renewal.mRequestNumber = state.mNextRequestNumber++;
  // Leases granted before a restart may still be valid, with versions that are unknown here; until
  // they have expired, the follower reports version 0.
  if (aContext.mNow >= *state.mStartedAt + LongestLease()) {
    renewal.mHeld = state.mConfiguration->mVersion;
  }
  for (const auto& [id, view] : state.mEntries) {
    const auto age = std::chrono::duration_cast<Millis>(aContext.mNow - view.mHeardAt);
    if (age < 2 * kConfigurationLease) {
      renewal.mEntries[id] = { view.mIncarnation, view.mHeld, age, view.mInFlight };
    }
  }
  // Without its own timestamp the leader cannot tell the age of the reports, so they are kept for
  // the next renewal.
  if (state.mTimestampFrom == *leader) {
    const auto since =
      std::chrono::duration_cast<Millis>(aContext.mNow - state.mTimestampReceivedAt);
    renewal.mTimestamp = { state.mTimestamp, since };
    for (auto& [id, report] : state.mReports) {
      report.first.mAge = std::chrono::ceil<Millis>(aContext.mNow - report.second);
      renewal.mReports.push_back(report.first);
    }
    state.mReports.clear();
  }
  state.mRenewalsSent[renewal.mRequestNumber] = aContext.mNow;
  if (state.mRenewalsSent.size() > kMaxRenewalsSent) {
    state.mRenewalsSent.erase(state.mRenewalsSent.begin());
  }
  aContext.mEffects.emplace_back(SendControl{ *leader, std::move(renewal) });
}

/// @return latest time at which an entry may have renewed, as far as known here. An entry unknown
/// to a new leader may have renewed at another process until just before the election.
Instant
LastHeard(const State& aState, const EntryId& aId)
{
  const auto it = aState.mEntries.find(aId);
  return it == aState.mEntries.end() ? aState.mLeaderSince
                                     : std::max(it->second.mHeardAt, aState.mLeaderSince);
}

/// @return oldest version with which a follower may still grant leases
Version
OldestGrantableVersion(const State& aState, Instant aNow)
{
  Version oldest = aState.mConfiguration->mVersion;
  std::set<ControlId> others = aState.mNode.mOptions.mConfigured;
  for (const auto& [id, incarnation] : aState.mNode.mMembership.mVoters) {
    others.insert(id);
  }
  for (const auto& [id, view] : aState.mControls) {
    others.insert(id);
  }
  others.erase(aState.mNode.mOptions.mSelf);
  for (const ControlId& id : others) {
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

/// @return oldest version with which an entry may still serve, according to the renewals
Version
OldestVersionInUse(const State& aState, Instant aNow)
{
  Version oldest = aState.mConfiguration->mVersion;
  // An entry that was removed from the configuration may have a lease that a follower granted
  // before it applied the removal.
  for (const auto& [id, view] : aState.mEntries) {
    if (aNow < view.mHeardAt + LongestLease()) {
      oldest = std::min(oldest, view.mHeld);
    }
  }
  for (const auto& [id, entry] : aState.mConfiguration->mEntries) {
    const auto it = aState.mEntries.find(id);
    const bool known = it != aState.mEntries.end() && it->second.mIncarnation == entry.mIncarnation;
    if (aNow < LastHeard(aState, id) + LongestLease()) {
      oldest = std::min(oldest, known ? it->second.mHeld : 0);
    }
  }
  return oldest;
}

/// @return newest version that was applied here at least LongestLease() ago, or 0; every lease
/// granted with an older version has expired, because a leader grants with the version it has
/// committed, and a follower may grant only with the leader's version
Version
InForceByTime(State& aState, Instant aNow)
{
  Version version = 0;
  while (!aState.mAppliedAt.empty() && aNow >= aState.mAppliedAt.front().second + LongestLease()) {
    version = aState.mAppliedAt.front().first;
    aState.mAppliedAt.pop_front();
  }
  return version;
}

void
UpdateLeadership(Context& aContext)
{
  State& state = aContext.mState;
  const bool leader = agreement::IsLeader(state.mNode);
  if (leader && !state.mWasLeader) {
    state.mLeaderSince = aContext.mNow;
  }
  state.mWasLeader = leader;
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
MayGrantSince(const State& aState, Instant aNow)
{
  const bool leader = agreement::IsLeader(aState.mNode);
  // A new leader sets mLeaderSince at its first tick.
  if (leader && !aState.mWasLeader) {
    return std::nullopt;
  }
  const Instant validSince = leader ? agreement::QuorumConfirmedAt(aState.mNode)
                                    : aState.mMayGrantUntil - kConfigurationLease;
  return membership::GrantableLength(validSince, aNow) ? std::optional<Instant>(validSince)
                                                       : std::nullopt;
}

void
HandleLeaseRenewal(Context& aContext,
                   const EntryId& aFrom,
                   const membership::LeaseRenewal& aRenewal)
{
  State& state = aContext.mState;
  if (aRenewal.mId != aFrom) {
    return;
  }
  EntryView& view = state.mEntries[aFrom];
  const bool sameIncarnation = view.mIncarnation == aRenewal.mEntry.mIncarnation;
  view = EntryView{ aRenewal.mEntry.mIncarnation,
                    aRenewal.mHeld,
                    aContext.mNow,
                    aRenewal.mInFlight,
                    sameIncarnation ? view.mLeasesSentAt : Instant{} };
  const auto sent = membership::EarliestSendTime(aRenewal.mTimestamp, aContext.mNow);
  if (sent) {
    ApplyReports(aContext, aRenewal.mReports, *sent);
  }
  const auto mayGrantSince = MayGrantSince(state, aContext.mNow);
  // An entry that uses a newer version than this process shows that this process is outdated; it
  // must not grant a lease.
  if (!mayGrantSince || aRenewal.mHeld > state.mConfiguration->mVersion) {
    return;
  }
  const bool registered = IsRegistered(state, aFrom, aRenewal.mEntry.mIncarnation);
  // A leaving entry stays registered until its lease has expired, because it still serves.
  const bool alreadyLeaving = registered && state.mConfiguration->mEntries.at(aFrom).mLeaving;
  const bool fresh = sent && aContext.mNow < *sent + kMaxRegistrationAge;
  if (fresh && (registered ? aRenewal.mLeaving && !alreadyLeaving : !aRenewal.mLeaving)) {
    membership::Entry entry = aRenewal.mEntry;
    entry.mLeaving = aRenewal.mLeaving;
    ProposeAboutEntry(aContext, aFrom, membership::RegisterEntry{ aFrom, entry });
  }
  membership::LeaseGrant grant;
  grant.mRequestNumber = aRenewal.mRequestNumber;
  grant.mLength =
    std::chrono::duration_cast<Millis>(*membership::GrantableLength(*mayGrantSince, aContext.mNow));
  grant.mVersion = state.mConfiguration->mVersion;
  if (aRenewal.mHeld < grant.mVersion) {
    grant.mDelta = DeltaForGrant(state, aRenewal);
  }
  if (aRenewal.mHeld < grant.mVersion && !grant.mDelta && !aRenewal.mOmitWhole) {
    grant.mConfiguration = state.mConfiguration;
    grant.mSameRoutes = aRenewal.mRoutesHeld == state.mConfiguration->mRoutes->mNumber;
  }
  for (const auto& [id, incarnation] : state.mNode.mMembership.mVoters) {
    grant.mControls.push_back(id);
  }
  // With a complete configuration all leases are sent again: the entry ignored the leases of
  // servers that it did not know.
  const Instant since = grant.mConfiguration ? Instant{} : view.mLeasesSentAt;
  grant.mBackendLeases = LiveBackendLeases(
    state, since, grant.mDelta ? &(*grant.mDelta)->mChanged : nullptr, aContext.mNow);
  view.mLeasesSentAt = aContext.mNow;
  grant.mTimestamp = membership::MakeTimestamp(aContext.mNow);
  aContext.mEffects.emplace_back(SendEntry{ aFrom, std::move(grant) });
}

void
HandleControlLeaseRenewal(Context& aContext,
                          const ControlId& aFrom,
                          const membership::ControlLeaseRenewal& aRenewal)
{
  State& state = aContext.mState;
  const auto mayGrantSince = MayGrantSince(state, aContext.mNow);
  if (!agreement::IsLeader(state.mNode) || !mayGrantSince) {
    return;
  }
  ControlView& follower = state.mControls[aFrom];
  follower.mApplied = aRenewal.mHeld;
  follower.mHeardAt = aContext.mNow;
  for (const auto& [id, status] : aRenewal.mEntries) {
    EntryView& view = state.mEntries[id];
    const Instant heard = aContext.mNow - status.mAge;
    if (heard > view.mHeardAt) {
      view = EntryView{ status.mIncarnation, status.mHeld, heard, status.mInFlight, {} };
    }
  }
  if (const auto sent = membership::EarliestSendTime(aRenewal.mTimestamp, aContext.mNow)) {
    ApplyReports(aContext, aRenewal.mReports, *sent);
  }
  membership::ControlLeaseGrant grant;
  grant.mRequestNumber = aRenewal.mRequestNumber;
  grant.mLength =
    std::chrono::duration_cast<Millis>(*membership::GrantableLength(*mayGrantSince, aContext.mNow));
  grant.mVersion = state.mConfiguration->mVersion;
  grant.mInForce = state.mInForce;
  grant.mBackendLeases = LiveBackendLeases(state, follower.mLeasesSentAt, nullptr, aContext.mNow);
  follower.mLeasesSentAt = aContext.mNow;
  grant.mTimestamp = membership::MakeTimestamp(aContext.mNow);
  aContext.mEffects.emplace_back(SendControl{ aFrom, std::move(grant) });
}

void
HandleControlLeaseGrant(Context& aContext,
                        const ControlId& aFrom,
                        const membership::ControlLeaseGrant& aGrant)
{
  State& state = aContext.mState;
  const auto renewalSent = state.mRenewalsSent.find(aGrant.mRequestNumber);
  if (renewalSent == state.mRenewalsSent.end()) {
    return;
  }
  state.mTimestamp = aGrant.mTimestamp;
  state.mTimestampFrom = aFrom;
  state.mTimestampReceivedAt = aContext.mNow;
  if (state.mConfiguration->mVersion < aGrant.mVersion) {
    return;
  }
  state.mMayGrantUntil =
    std::max(state.mMayGrantUntil, membership::LeaseEnd(renewalSent->second, aGrant.mLength));
  state.mInForce = std::max(state.mInForce, aGrant.mInForce);
  ApplyLeases(aContext, aGrant.mBackendLeases, renewalSent->second);
}

void
TickLeases(Context& aContext)
{
  State& state = aContext.mState;
  UpdateLeadership(aContext);
  state.mInForce = std::max(state.mInForce, InForceByTime(state, aContext.mNow));
  if (!agreement::IsLeader(state.mNode)) {
    if (aContext.mNow >= state.mNextRenewal) {
      SendFollowerRenewal(aContext);
    }
    return;
  }
  if (MayGrantSince(state, aContext.mNow)) {
    state.mInForce = std::max(state.mInForce,
                              std::min(OldestGrantableVersion(state, aContext.mNow),
                                       OldestVersionInUse(state, aContext.mNow)));
    RemoveLostEntries(aContext);
  }
}

std::vector<EntryId>
OutdatedEntries(const State& aState, Version aVersion, Instant aNow)
{
  std::vector<EntryId> outdated;
  for (const auto& [id, entry] : aState.mConfiguration->mEntries) {
    const auto it = aState.mEntries.find(id);
    const bool confirmed = it != aState.mEntries.end() &&
                           it->second.mIncarnation == entry.mIncarnation &&
                           it->second.mHeld >= aVersion;
    if (!confirmed && aNow < LastHeard(aState, id) + LongestLease()) {
      outdated.push_back(id);
    }
  }
  return outdated;
}

} // namespace fighold::control
