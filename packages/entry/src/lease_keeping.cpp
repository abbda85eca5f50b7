#include "lease_keeping.hpp"

#include "admission.hpp"
#include "pools.hpp"
#include "queueing.hpp"
#include "stage_chart.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

/// Time the control group has to decide a backend server's change; after that the server is asked
/// to retry elsewhere.
constexpr Millis kChangeTimeout{ 3000 };

/// Time without a grant after which all control processes are asked. It leaves time for further
/// attempts: two renewals may be lost before the lease ends.
constexpr Millis kGrantTimeout{ 700 };

/// Interval between renewals to all control processes while none of them grants a lease.
constexpr Millis kProbeInterval{ 200 };

/// Time after an outage of the control group in which a heartbeat does not show a server to be
/// warm. An evacuation that was ordered during the outage may not be in force, so that the servers
/// of its data centre are used while they turn cold. Operators repeat an order for some seconds, so
/// that it is in force soon after the outage or was given up a few seconds before its end.
constexpr Millis kUnreliableAfterOutage{ 6'000 };

/// Minimum interval between renewals that only confirm a new version. While hundreds of machines
/// start, each of them makes a version; an entry that confirmed every one would renew without
/// pause.
constexpr Millis kConfirmInterval{ 100 };

/// Time after which a whole configuration that was asked for is asked for again. Until then it may
/// be on its way; a second copy would fill the link that delays the first.
constexpr Millis kWholeTimeout{ 1500 };

/// Maximum number of sent renewals whose grants are still accepted; older ones are ignored.
constexpr std::size_t kMaxRenewalsSent = 32;

const ControlId&
ControlInUse(const State& aState)
{
  return aState.mOptions.mControls[aState.mControlIndex % aState.mOptions.mControls.size()];
}

void
SendToControl(State& aState, decltype(SendControl::mBody) aBody, std::vector<Effect>& aEffects)
{
  aEffects.emplace_back(SendControl{ ControlInUse(aState), std::move(aBody) });
}

std::vector<membership::BackendReport>
CollectReports(State& aState, Instant aNow)
{
  std::vector<membership::BackendReport> reports;
  for (auto& [id, report] : aState.mReports) {
    report.first.mAge = std::chrono::ceil<Millis>(aNow - report.second);
    reports.push_back(report.first);
  }
  aState.mReports.clear();
  return reports;
}

/// @return whether a renewal may be answered with a whole configuration. Only one such renewal is
/// under way at a time, and only to a process that answers.
bool
MayAskForWhole(const State& aState, Instant aNow)
{
  const bool isPending =
    aState.mWholeRequest && aNow < aState.mWholeRequest->mSentAt + kWholeTimeout;
  const bool answers = aState.mTimestampFrom == ControlInUse(aState) &&
                       aNow < aState.mTimestampReceivedAt + kGrantTimeout;
  return !isPending && answers;
}

void
SendRenewal(State& aState, std::vector<Effect>& aEffects, Instant aNow)
{
  membership::LeaseRenewal renewal;
  renewal.mRequestNumber = aState.mNextRequestNumber++;
  renewal.mId = aState.mOptions.mId;
  renewal.mEntry = aState.mOptions.mEntry;
  renewal.mHeld = aState.mConfiguration->mVersion;
  renewal.mLeaving = aState.mStage == EntryStage::Draining;
  renewal.mInFlight = static_cast<std::uint32_t>(aState.mInFlight.size() + aState.mForwards.size());
  renewal.mRoutesHeld = aState.mConfiguration->mRoutes->mNumber;
  renewal.mOmitWhole = !MayAskForWhole(aState, aNow);
  if (!renewal.mOmitWhole) {
    aState.mWholeRequest = WholeRequest{ renewal.mRequestNumber, aNow };
  }
  aState.mLastRenewal = aNow;
  // A control process needs its own timestamp to determine the age of the reports. Without one, the
  // reports are kept for the next renewal.
  if (aState.mTimestampFrom == ControlInUse(aState)) {
    renewal.mTimestamp = { aState.mTimestamp,
                           std::chrono::duration_cast<Millis>(aNow - aState.mTimestampReceivedAt) };
    renewal.mReports = CollectReports(aState, aNow);
  }
  aState.mRenewalsSent[renewal.mRequestNumber] = aNow;
  if (aState.mRenewalsSent.size() > kMaxRenewalsSent) {
    aState.mRenewalsSent.erase(aState.mRenewalsSent.begin());
  }
  SendToControl(aState, std::move(renewal), aEffects);
}

void
AnswerBackend(RequestId aId,
              BackendCallStatus aStatus,
              const std::string& aMessage,
              std::vector<Effect>& aEffects)
{
  aEffects.emplace_back(Reply{ aId, BackendAnswer{ aStatus, aMessage } });
}

void
AnswerAll(const PendingChange& aPending,
          BackendCallStatus aStatus,
          const std::string& aMessage,
          std::vector<Effect>& aEffects)
{
  for (const RequestId it : aPending.mWaitingCalls) {
    AnswerBackend(it, aStatus, aMessage, aEffects);
  }
}

void
ResendChanges(State& aState, std::vector<Effect>& aEffects, Instant aNow)
{
  for (auto it = aState.mPendingChanges.begin(); it != aState.mPendingChanges.end();) {
    if (aNow >= it->second.mDeadline) {
      AnswerAll(
        it->second, BackendCallStatus::Busy, "the control group did not decide in time", aEffects);
      it = aState.mPendingChanges.erase(it);
      continue;
    }
    SendToControl(aState, membership::ChangeRequest{ it->first, it->second.mChange }, aEffects);
    ++it;
  }
}

void
RequestChange(State& aState,
              RequestId aReplyTo,
              membership::ChangeBody aBody,
              std::vector<Effect>& aEffects,
              Instant aNow)
{
  const membership::Change change{ {}, std::move(aBody) };
  for (auto& [number, pending] : aState.mPendingChanges) {
    if (pending.mChange == change) {
      pending.mWaitingCalls.push_back(aReplyTo);
      return;
    }
  }
  const std::uint64_t number = aState.mNextRequestNumber++;
  aState.mPendingChanges[number] = PendingChange{ { aReplyTo }, change, aNow + kChangeTimeout };
  SendToControl(aState, membership::ChangeRequest{ number, change }, aEffects);
}

/// Removes the state of backend servers that are no longer in the configuration, unless requests
/// still run there. A lease ends with its incarnation, when the server restarts or is removed.
void
RemoveUnknownServers(State& aState, const membership::Configuration& aPrevious)
{
  for (const auto& [id, server] : aPrevious.mBackendServers) {
    const auto current = aState.mConfiguration->mBackendServers.find(id);
    const bool sameIncarnation = current != aState.mConfiguration->mBackendServers.end() &&
                                 current->second.mIncarnation == server.mIncarnation;
    if (const auto serverState = aState.mServers.find(id);
        !sameIncarnation && serverState != aState.mServers.end()) {
      serverState->second.mAliveUntil = {};
    }
  }
  const auto& servers = aState.mConfiguration->mBackendServers;
  for (auto it = aState.mServers.begin(); it != aState.mServers.end();) {
    const bool keep = servers.count(it->first) > 0 || it->second.mOutstanding > 0;
    it = keep ? std::next(it) : aState.mServers.erase(it);
  }
  for (auto it = aState.mDeparted.begin(); it != aState.mDeparted.end();) {
    const bool committed = HasDeparted(*aState.mConfiguration, it->first, it->second);
    it = committed ? aState.mDeparted.erase(it) : std::next(it);
  }
}

void
RebuildRoutingTable(State& aState)
{
  aState.mTable = routing::BuildRoutingTable(*aState.mConfiguration);
  for (auto& [key, candidates] : aState.mTable.mGroups) {
    candidates.erase(std::remove_if(candidates.begin(),
                                    candidates.end(),
                                    [&aState](const routing::Candidate& aCandidate) {
                                      const auto it = aState.mDeparted.find(aCandidate.mId);
                                      return it != aState.mDeparted.end() &&
                                             it->second == aCandidate.mIncarnation;
                                    }),
                     candidates.end());
  }
}

void
ApplyBackendLeases(State& aState,
                   const membership::LeaseGrant& aGrant,
                   Instant aSentAt,
                   Instant aNow)
{
  std::vector<membership::BackendLease> leases = aGrant.mBackendLeases;
  if (aState.mConfiguration->mVersion == aGrant.mVersion) {
    const auto indexed = membership::ExpandLeases(*aState.mConfiguration, aGrant.mIndexedLeases);
    leases.insert(leases.end(), indexed.begin(), indexed.end());
  }
  for (const membership::BackendLease& it : leases) {
    ApplyServerLease(aState, it, membership::LeaseEnd(aSentAt, it.mRemaining), aNow);
    const auto server = aState.mConfiguration->mBackendServers.find(it.mId);
    if (server != aState.mConfiguration->mBackendServers.end() &&
        server->second.mIncarnation == it.mIncarnation) {
      UpdateReportedLoad(aState.mServers[it.mId], it, aSentAt);
      Instant& aliveUntil = aState.mServers[it.mId].mAliveUntil;
      aliveUntil = std::max(aliveUntil, membership::LeaseEnd(aSentAt, it.mRemaining));
    }
  }
}

BackendCallStatus
ToCallStatus(membership::Verdict aVerdict)
{
  switch (aVerdict) {
    case membership::Verdict::Accepted:
      return BackendCallStatus::Accepted;
    case membership::Verdict::Conflict:
      return BackendCallStatus::Busy;
    case membership::Verdict::Refused:
      break;
  }
  return BackendCallStatus::Refused;
}

/// @return configuration of a grant, or nothing if it has none. A grant may omit the route set if
/// the entry has it already, or hold only a delta.
std::optional<SharedValue<membership::Configuration>>
ConfigurationOf(const State& aState, const membership::LeaseGrant& aGrant)
{
  if (aGrant.mDelta && (*aGrant.mDelta)->mFrom == aState.mConfiguration->mVersion) {
    return SharedValue(membership::ApplyDelta(*aState.mConfiguration, **aGrant.mDelta));
  }
  if (!aGrant.mConfiguration || !aGrant.mSameRoutes) {
    return aGrant.mConfiguration;
  }
  membership::Configuration configuration = **aGrant.mConfiguration;
  configuration.mRoutes = aState.mConfiguration->mRoutes;
  return SharedValue(std::move(configuration));
}

/// Makes a control process the one to which renewals are sent.
void
SelectControl(State& aState, const ControlId& aControl)
{
  const auto& controls = aState.mOptions.mControls;
  const auto it = std::find(controls.begin(), controls.end(), aControl);
  if (it != controls.end()) {
    aState.mControlIndex = static_cast<std::size_t>(it - controls.begin());
  }
}

/// Takes over a changed list of control processes, and chooses the one in use anew.
void
UpdateControls(State& aState, const membership::LeaseGrant& aGrant, const ControlId& aFrom)
{
  if (!aGrant.mControls.empty() && aGrant.mControls != aState.mOptions.mControls) {
    aState.mOptions.mControls = aGrant.mControls;
    SelectControl(aState, aFrom);
    aState.mChoosingControl = true;
  }
}

bool
IsRegistered(const State& aState)
{
  const auto it = aState.mConfiguration->mEntries.find(aState.mOptions.mId);
  return it != aState.mConfiguration->mEntries.end() &&
         it->second.mIncarnation == aState.mOptions.mEntry.mIncarnation;
}

} // namespace

void
MaintainLease(State& aState, std::vector<Effect>& aEffects, Instant aNow)
{
  if (aNow < aState.mNextRenew) {
    return;
  }
  aState.mNextRenew = aNow + membership::kRenewInterval;
  if (aNow >= aState.mLastGrant + kGrantTimeout) {
    aState.mChoosingControl = true;
    aState.mNextRenew = aNow + kProbeInterval;
  }
  if (aState.mChoosingControl) {
    // The first process to grant a lease becomes the one in use: it reaches the leader and is the
    // nearest.
    for (std::size_t n = 0; n + 1 < aState.mOptions.mControls.size(); ++n) {
      ++aState.mControlIndex;
      SendRenewal(aState, aEffects, aNow);
    }
    ++aState.mControlIndex;
  }
  SendRenewal(aState, aEffects, aNow);
  ReportShares(aState, aEffects, aNow);
  ResendChanges(aState, aEffects, aNow);
}

void
HandleGrant(State& aState, const GrantReceived& aGrant, std::vector<Effect>& aEffects, Instant aNow)
{
  const membership::LeaseGrant& grant = aGrant.mGrant;
  const auto sent = aState.mRenewalsSent.find(grant.mRequestNumber);
  if (sent == aState.mRenewalsSent.end()) {
    return;
  }
  const Instant sentAt = sent->second;
  if (aState.mWholeRequest && aState.mWholeRequest->mRequestNumber == grant.mRequestNumber) {
    aState.mWholeRequest.reset();
  }
  UpdateControls(aState, grant, aGrant.mFrom);
  if (aState.mChoosingControl) {
    aState.mChoosingControl = false;
    SelectControl(aState, aGrant.mFrom);
  }
  if (aGrant.mFrom == ControlInUse(aState)) {
    // Renew at once, to send the reports that waited for the timestamp.
    if (aState.mTimestampFrom != aGrant.mFrom) {
      aState.mNextRenew = aNow;
    }
    aState.mTimestamp = grant.mTimestamp;
    aState.mTimestampFrom = aGrant.mFrom;
    aState.mTimestampReceivedAt = aNow;
  }
  const auto received = ConfigurationOf(aState, grant);
  if (received && (*received)->mVersion > aState.mConfiguration->mVersion) {
    const plan::Plan& next = *(*received)->mPlan;
    if (aState.mConfiguration->mPlan->mNumber != next.mNumber ||
        aState.mConfiguration->mPlanDigest != (*received)->mPlanDigest) {
      aState.mClients = plan::BuildClientTable(next);
    }
    const auto previous = aState.mConfiguration;
    aState.mConfiguration = *received;
    // Renew soon, to confirm the new version.
    aState.mNextRenew =
      std::min(aState.mNextRenew, std::max(aNow, aState.mLastRenewal + kConfirmInterval));
    RemoveUnknownServers(aState, *previous);
    RebuildRoutingTable(aState);
    ApplyLimits(aState);
    ApplyRoutes(aState, *previous, aEffects, aNow);
  }
  // With a lease for a version that it lacks, the entry would serve an outdated configuration.
  if (aState.mConfiguration->mVersion < grant.mVersion) {
    if (MayAskForWhole(aState, aNow)) {
      aState.mNextRenew = aNow;
    }
    return;
  }
  if (aState.mLastGrant != Instant{} && !TrustsLeases(aState, aNow)) {
    aState.mHeartbeatsReliableFrom = aNow + kUnreliableAfterOutage;
    DecisionRecord record{ "outage", aState.mOptions.mId.mValue, "", "health-requests", "", {} };
    record.mReason = "contact-regained";
    record.mFields = { { "without_grant_ms",
                         std::to_string(
                           std::chrono::duration_cast<Millis>(aNow - aState.mLastGrant).count()) },
                       { "for_ms", std::to_string(kUnreliableAfterOutage.count()) } };
    aEffects.emplace_back(LogRecord{ std::move(record) });
  }
  aState.mLastGrant = aNow;
  ApplyBackendLeases(aState, grant, sentAt, aNow);
  if (!IsRegistered(aState)) {
    return;
  }
  const Instant leaseEnd = membership::LeaseEnd(sentAt, grant.mLength);
  aState.mLease = membership::Lease{ grant.mVersion, std::max(aState.mLease.mUntil, leaseEnd) };
  routing::ExtendBaseRight(aState.mShares, aState.mLease.mUntil, aNow);
  if (membership::IsValid(aState.mLease, aNow)) {
    FireStage(aState, StageEvent::Granted, aEffects, aNow);
  }
}

void
HandleRenewal(State& aState,
              const BackendRenewal& aRenewal,
              std::vector<Effect>& aEffects,
              Instant aNow)
{
  const Incarnation incarnation = aRenewal.mServer.mIncarnation;
  const auto departed = aState.mDeparted.find(aRenewal.mServerId);
  const auto registered = aState.mConfiguration->mBackendServers.find(aRenewal.mServerId);
  const bool sameIncarnation = registered != aState.mConfiguration->mBackendServers.end() &&
                               registered->second.mIncarnation == incarnation;
  if ((departed != aState.mDeparted.end() && departed->second == incarnation) ||
      HasDeparted(*aState.mConfiguration, aRenewal.mServerId, incarnation)) {
    AnswerBackend(aRenewal.mId,
                  BackendCallStatus::Refused,
                  "this incarnation announced its departure",
                  aEffects);
    return;
  }
  if (!sameIncarnation) {
    RequestChange(
      aState,
      aRenewal.mId,
      membership::AnnounceBackendServer{ aRenewal.mServerId,
                                         aRenewal.mServer,
                                         registered == aState.mConfiguration->mBackendServers.end()
                                           ? 0
                                           : registered->second.mIncarnation },
      aEffects,
      aNow);
  } else {
    AnswerBackend(aRenewal.mId, BackendCallStatus::Accepted, "", aEffects);
    // Only for the incarnation in the configuration: the renewal of a newer one must not extend the
    // lease of the old one.
    aState.mServers[aRenewal.mServerId].mAliveUntil = aNow + membership::kBackendServerLease;
  }
  aState.mReports[aRenewal.mServerId] = {
    { aRenewal.mServerId, incarnation, Millis(0), aRenewal.mInFlight }, aNow
  };
}

void
HandleDeparture(State& aState,
                const BackendDeparture& aDeparture,
                std::vector<Effect>& aEffects,
                Instant aNow)
{
  aState.mDeparted[aDeparture.mServerId] = aDeparture.mIncarnation;
  aState.mReports.erase(aDeparture.mServerId);
  RebuildRoutingTable(aState);
  RequestChange(aState,
                aDeparture.mId,
                membership::DepartBackendServer{ aDeparture.mServerId, aDeparture.mIncarnation },
                aEffects,
                aNow);
}

void
HandleChangeReply(State& aState,
                  const membership::ChangeReply& aReply,
                  std::vector<Effect>& aEffects)
{
  const auto it = aState.mPendingChanges.find(aReply.mRequestNumber);
  if (it == aState.mPendingChanges.end()) {
    return;
  }
  AnswerAll(it->second, ToCallStatus(aReply.mAnswer.mVerdict), aReply.mAnswer.mMessage, aEffects);
  aState.mPendingChanges.erase(it);
}

} // namespace fighold::entry
