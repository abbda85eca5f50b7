#include "leases.hpp"

#include "backend_servers.hpp"

#include <algorithm>

namespace fighold::control {
namespace {

using membership::kConfigurationLease;

/// Time between two renewals of a follower; four fit into its lease.
constexpr Millis kFollowerRenewInterval{ 250 };

/// Time without renewal after which an entry is taken out of the configuration, and so out of the
/// look-ups.
constexpr Millis kRemoveEntryAfter{ 3000 };

/// Time between two proposals about one entry.
constexpr Millis kEntryProposalInterval{ 1000 };

/// Renewals whose grants are still accepted.
constexpr std::size_t kMaxAsked = 16;

/// Age up to which a renewal may register an entry; an older one may come from a process that was
/// replaced since.
constexpr Millis kFreshRenewal{ 1000 };

/// Longest time for which a granted lease may last by the granter's clock.
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
SendFollowerRenewal(Context& aContext)
{
  State& state = aContext.mState;
  state.mNextRenew = aContext.mNow + kFollowerRenewInterval;
  const auto leader = agreement::Leader(state.mNode);
  if (!leader) {
    return;
  }
  membership::ControlLeaseRenewal renew;
  renew.mRequestNumber = state.mNextAsk++;
  // A process that started less than a lease ago does not know which leases it granted before.
  if (aContext.mNow >= *state.mStartedAt + LongestLease()) {
    renew.mHeld = state.mConfiguration->mVersion;
  }
  for (const auto& [id, view] : state.mEntries) {
    const auto age = std::chrono::duration_cast<Millis>(aContext.mNow - view.mHeardAt);
    if (age < 2 * kConfigurationLease) {
      renew.mEntries[id] = { view.mIncarnation, view.mHeld, age, view.mInFlight };
    }
  }
  // Without a stamp the leader cannot tell how old the reports are; they wait for the next renewal.
  if (state.mTimestampFrom == *leader) {
    const auto since =
      std::chrono::duration_cast<Millis>(aContext.mNow - state.mTimestampReceivedAt);
    renew.mTimestamp = { state.mTimestamp, since };
    for (auto& [id, report] : state.mReports) {
      report.first.mAge = std::chrono::ceil<Millis>(aContext.mNow - report.second);
      renew.mReports.push_back(report.first);
    }
    state.mReports.clear();
  }
  state.mAsked[renew.mRequestNumber] = aContext.mNow;
  if (state.mAsked.size() > kMaxAsked) {
    state.mAsked.erase(state.mAsked.begin());
  }
  aContext.mEffects.emplace_back(SendControl{ *leader, std::move(renew) });
}

/// @return delta from a version to the configuration in use, or nothing when that version is not
/// kept
std::optional<SharedValue<membership::ConfigurationDelta>>
DeltaFrom(State& aState, Version aHeld)
{
  const auto known = aState.mDeltas.find(aHeld);
  if (known != aState.mDeltas.end()) {
    return known->second;
  }
  std::optional<SharedValue<membership::ConfigurationDelta>> delta;
  if (const auto it = aState.mRecent.find(aHeld); it != aState.mRecent.end()) {
    auto made = membership::MakeDelta(*it->second, *aState.mConfiguration);
    if (made) {
      delta = SharedValue(std::move(*made));
    }
  }
  aState.mDeltas[aHeld] = delta;
  return delta;
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

/// Oldest version with which an entry may still serve, as far as renewals show.
Version
OldestHeld(const State& aState, Instant aNow)
{
  Version oldest = aState.mConfiguration->mVersion;
  // An entry that is out of the configuration may hold a lease that a follower granted before it
  // applied the removal.
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

/// Every lease that was granted before this process applied a version has run out a lease later: a
/// leader grants with what it has committed, and a follower's right rests on the leader's version.
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
NoteLeadership(Context& aContext)
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
GrantRight(const State& aState, Instant aNow)
{
  const bool leader = agreement::IsLeader(aState.mNode);
  // A leader's first tick notes since when it leads.
  if (leader && !aState.mWasLeader) {
    return std::nullopt;
  }
  const Instant began =
    leader ? agreement::QuorumConfirmedAt(aState.mNode) : aState.mGrantUntil - kConfigurationLease;
  return membership::GrantableLength(began, aNow) ? std::optional<Instant>(began) : std::nullopt;
}

void
HandleRenew(Context& aContext, const EntryId& aFrom, const membership::LeaseRenewal& aRenew)
{
  State& state = aContext.mState;
  if (aRenew.mId != aFrom) {
    return;
  }
  EntryView& view = state.mEntries[aFrom];
  const bool same = view.mIncarnation == aRenew.mEntry.mIncarnation;
  view = EntryView{ aRenew.mEntry.mIncarnation,
                    aRenew.mHeld,
                    aContext.mNow,
                    aRenew.mInFlight,
                    same ? view.mLeasesSentAt : Instant{} };
  const auto sent = membership::EarliestSendTime(aRenew.mTimestamp, aContext.mNow);
  if (sent) {
    TakeReports(aContext, aRenew.mReports, *sent);
  }
  const auto right = GrantRight(state, aContext.mNow);
  // An entry with a newer version than this process shows that this process is behind; it may not
  // grant.
  if (!right || aRenew.mHeld > state.mConfiguration->mVersion) {
    return;
  }
  const bool registered = IsRegistered(state, aFrom, aRenew.mEntry.mIncarnation);
  // A leaving entry stays registered until its lease has run out, because it still serves.
  const bool marked = registered && state.mConfiguration->mEntries.at(aFrom).mLeaving;
  const bool fresh = sent && aContext.mNow < *sent + kFreshRenewal;
  if (fresh && (registered ? aRenew.mLeaving && !marked : !aRenew.mLeaving)) {
    membership::Entry entry = aRenew.mEntry;
    entry.mLeaving = aRenew.mLeaving;
    ProposeAboutEntry(aContext, aFrom, membership::RegisterEntry{ aFrom, entry });
  }
  membership::LeaseGrant grant;
  grant.mRequestNumber = aRenew.mRequestNumber;
  grant.mLength =
    std::chrono::duration_cast<Millis>(*membership::GrantableLength(*right, aContext.mNow));
  grant.mVersion = state.mConfiguration->mVersion;
  if (aRenew.mHeld < grant.mVersion) {
    grant.mDelta = DeltaFrom(state, aRenew.mHeld);
  }
  if (aRenew.mHeld < grant.mVersion && !grant.mDelta) {
    grant.mConfiguration = state.mConfiguration;
    grant.mSameRoutes = aRenew.mRoutesHeld == state.mConfiguration->mRoutes->mNumber;
  }
  for (const auto& [id, incarnation] : state.mNode.mMembership.mVoters) {
    grant.mControls.push_back(id);
  }
  // Leases of servers that the entry did not know were lost on it.
  const Instant since = grant.mConfiguration ? Instant{} : view.mLeasesSentAt;
  grant.mBackendLeases = LivingBackends(
    state, since, grant.mDelta ? &(*grant.mDelta)->mChanged : nullptr, aContext.mNow);
  view.mLeasesSentAt = aContext.mNow;
  grant.mTimestamp = membership::MakeTimestamp(aContext.mNow);
  aContext.mEffects.emplace_back(SendEntry{ aFrom, std::move(grant) });
}

void
HandleControlRenew(Context& aContext,
                   const ControlId& aFrom,
                   const membership::ControlLeaseRenewal& aRenew)
{
  State& state = aContext.mState;
  const auto right = GrantRight(state, aContext.mNow);
  if (!agreement::IsLeader(state.mNode) || !right) {
    return;
  }
  ControlView& follower = state.mControls[aFrom];
  follower.mApplied = aRenew.mHeld;
  follower.mHeardAt = aContext.mNow;
  for (const auto& [id, status] : aRenew.mEntries) {
    EntryView& view = state.mEntries[id];
    const Instant heard = aContext.mNow - status.mAge;
    if (heard > view.mHeardAt) {
      view = EntryView{ status.mIncarnation, status.mHeld, heard, status.mInFlight, {} };
    }
  }
  if (const auto sent = membership::EarliestSendTime(aRenew.mTimestamp, aContext.mNow)) {
    TakeReports(aContext, aRenew.mReports, *sent);
  }
  membership::ControlLeaseGrant grant;
  grant.mRequestNumber = aRenew.mRequestNumber;
  grant.mLength =
    std::chrono::duration_cast<Millis>(*membership::GrantableLength(*right, aContext.mNow));
  grant.mVersion = state.mConfiguration->mVersion;
  grant.mInForce = state.mInForce;
  grant.mBackendLeases = LivingBackends(state, follower.mLeasesSentAt, nullptr, aContext.mNow);
  follower.mLeasesSentAt = aContext.mNow;
  grant.mTimestamp = membership::MakeTimestamp(aContext.mNow);
  aContext.mEffects.emplace_back(SendControl{ aFrom, std::move(grant) });
}

void
HandleControlGrant(Context& aContext,
                   const ControlId& aFrom,
                   const membership::ControlLeaseGrant& aGrant)
{
  State& state = aContext.mState;
  const auto asked = state.mAsked.find(aGrant.mRequestNumber);
  if (asked == state.mAsked.end()) {
    return;
  }
  state.mTimestamp = aGrant.mTimestamp;
  state.mTimestampFrom = aFrom;
  state.mTimestampReceivedAt = aContext.mNow;
  if (state.mConfiguration->mVersion < aGrant.mVersion) {
    return;
  }
  state.mGrantUntil =
    std::max(state.mGrantUntil, membership::LeaseEnd(asked->second, aGrant.mLength));
  state.mInForce = std::max(state.mInForce, aGrant.mInForce);
  TakeLeases(aContext, aGrant.mBackendLeases, asked->second);
}

void
TickLeases(Context& aContext)
{
  State& state = aContext.mState;
  NoteLeadership(aContext);
  state.mInForce = std::max(state.mInForce, InForceByTime(state, aContext.mNow));
  if (!agreement::IsLeader(state.mNode)) {
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
    const bool confirmed = it != aState.mEntries.end() &&
                           it->second.mIncarnation == entry.mIncarnation &&
                           it->second.mHeld >= aVersion;
    if (!confirmed && aNow < LastHeard(aState, id) + LongestLease()) {
      behind.push_back(id);
    }
  }
  return behind;
}

} // namespace fighold::control
