#include "lease_keeping.hpp"

#include "stage_chart.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

/// Time for the control group to decide a backend server's change before the server is told to
/// repeat it elsewhere.
constexpr Millis kChangeTimeout{ 3000 };

/// Time without a grant after which another control process is asked; two renewals may be lost
/// before the lease ends.
constexpr Millis kSwitchControl{ 700 };

/// Renewals whose grants may still arrive; older ones have no use for a lease of four renewals.
constexpr std::uint64_t kAsksKept = 16;

void
SendToControl(State& aState, decltype(SendControl::mBody) aBody, std::vector<Effect>& aEffects)
{
  const ControlId& to =
    aState.mOptions.mControls[aState.mControl % aState.mOptions.mControls.size()];
  aEffects.emplace_back(SendControl{ to, std::move(aBody) });
}

std::vector<membership::BackendReport>
TakeReports(State& aState, Instant aNow)
{
  std::vector<membership::BackendReport> reports;
  for (auto& [id, report] : aState.mReports) {
    report.first.mAge = std::chrono::duration_cast<Millis>(aNow - report.second);
    reports.push_back(report.first);
  }
  aState.mReports.clear();
  return reports;
}

void
SendRenewal(State& aState, std::vector<Effect>& aEffects, Instant aNow)
{
  membership::Renew renew;
  renew.mAsk = aState.mNextAsk++;
  renew.mId = aState.mOptions.mId;
  renew.mEntry = aState.mOptions.mEntry;
  renew.mHeld = aState.mConfiguration->mVersion;
  renew.mLeaving = aState.mStage == EntryStage::Draining;
  renew.mReports = TakeReports(aState, aNow);
  aState.mAsked[renew.mAsk] = aNow;
  if (renew.mAsk > kAsksKept) {
    aState.mAsked.erase(aState.mAsked.begin(), aState.mAsked.upper_bound(renew.mAsk - kAsksKept));
  }
  SendToControl(aState, std::move(renew), aEffects);
}

void
AnswerBackend(RequestId aId,
              BackendVerdict aVerdict,
              const std::string& aMessage,
              std::vector<Effect>& aEffects)
{
  aEffects.emplace_back(Reply{ aId, BackendAnswer{ aVerdict, aMessage } });
}

void
ResendChanges(State& aState, std::vector<Effect>& aEffects, Instant aNow)
{
  for (auto it = aState.mPendingChanges.begin(); it != aState.mPendingChanges.end();) {
    if (aNow >= it->second.mUntil) {
      AnswerBackend(it->second.mReplyTo,
                    BackendVerdict::Busy,
                    "the control group did not decide in time",
                    aEffects);
      it = aState.mPendingChanges.erase(it);
      continue;
    }
    SendToControl(aState, membership::ChangeAsk{ it->first, it->second.mChange }, aEffects);
    ++it;
  }
}

void
AskForChange(State& aState,
             RequestId aReplyTo,
             membership::ChangeBody aBody,
             std::vector<Effect>& aEffects,
             Instant aNow)
{
  const std::uint64_t ask = aState.mNextAsk++;
  const membership::Change change{ {}, std::move(aBody) };
  aState.mPendingChanges[ask] = PendingChange{ aReplyTo, change, aNow + kChangeTimeout };
  SendToControl(aState, membership::ChangeAsk{ ask, change }, aEffects);
}

/// Forgets what is known of backend servers that the configuration no longer has, unless requests
/// still run there.
void
DropUnknownServers(State& aState)
{
  const auto& servers = aState.mConfiguration->mBackendServers;
  for (auto it = aState.mServers.begin(); it != aState.mServers.end();) {
    const bool keep = servers.count(it->first) > 0 || it->second.mOutstanding > 0;
    it = keep ? std::next(it) : aState.mServers.erase(it);
  }
  for (auto it = aState.mDeparted.begin(); it != aState.mDeparted.end();) {
    const auto server = servers.find(it->first);
    const bool keep = server != servers.end() && server->second.mIncarnation == it->second;
    it = keep ? std::next(it) : aState.mDeparted.erase(it);
  }
}

void
BuildTable(State& aState)
{
  aState.mTable = routing::BuildTable(*aState.mConfiguration);
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
TakeBackendLeases(State& aState, const membership::Grant& aGrant, Instant aAskedAt)
{
  for (const membership::BackendLease& it : aGrant.mBackendLeases) {
    const auto server = aState.mConfiguration->mBackendServers.find(it.mId);
    if (server != aState.mConfiguration->mBackendServers.end() &&
        server->second.mIncarnation == it.mIncarnation) {
      Instant& until = aState.mServers[it.mId].mAliveUntil;
      until = std::max(until, membership::LeaseEnd(aAskedAt, it.mLeft));
    }
  }
}

bool
MayServe(const State& aState)
{
  const auto it = aState.mConfiguration->mEntries.find(aState.mOptions.mId);
  const bool registered = it != aState.mConfiguration->mEntries.end() &&
                          it->second.mIncarnation == aState.mOptions.mEntry.mIncarnation;
  return registered || aState.mStage == EntryStage::Draining;
}

} // namespace

void
KeepLease(State& aState, std::vector<Effect>& aEffects, Instant aNow)
{
  if (aNow < aState.mNextRenew) {
    return;
  }
  aState.mNextRenew = aNow + membership::kRenewInterval;
  if (aNow >= aState.mLastGrant + kSwitchControl) {
    ++aState.mControl;
  }
  SendRenewal(aState, aEffects, aNow);
  ResendChanges(aState, aEffects, aNow);
}

void
HandleGrant(State& aState, const GrantReceived& aGrant, std::vector<Effect>& aEffects, Instant aNow)
{
  const membership::Grant& grant = aGrant.mGrant;
  const auto asked = aState.mAsked.find(grant.mAsk);
  if (asked == aState.mAsked.end()) {
    return;
  }
  const Instant askedAt = asked->second;
  if (grant.mConfiguration && (*grant.mConfiguration)->mVersion > aState.mConfiguration->mVersion) {
    const plan::Plan& next = *(*grant.mConfiguration)->mPlan;
    if (aState.mConfiguration->mPlan->mNumber != next.mNumber ||
        aState.mConfiguration->mPlanDigest != (*grant.mConfiguration)->mPlanDigest) {
      aState.mClients = plan::BuildClientTable(next);
    }
    aState.mConfiguration = *grant.mConfiguration;
    DropUnknownServers(aState);
    BuildTable(aState);
  }
  // A grant for a version that this entry does not have would let it serve an old configuration.
  if (aState.mConfiguration->mVersion < grant.mVersion) {
    return;
  }
  aState.mLastGrant = aNow;
  TakeBackendLeases(aState, grant, askedAt);
  if (!MayServe(aState)) {
    return;
  }
  const Instant until = membership::LeaseEnd(askedAt, grant.mLength);
  aState.mLease = membership::Lease{ grant.mVersion, std::max(aState.mLease.mUntil, until) };
  if (membership::Holds(aState.mLease, aNow)) {
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
  const auto known = aState.mConfiguration->mBackendServers.find(aRenewal.mServerId);
  const bool same = known != aState.mConfiguration->mBackendServers.end() &&
                    known->second.mIncarnation == incarnation;
  if ((departed != aState.mDeparted.end() && departed->second == incarnation) ||
      (same && known->second.mLeaving)) {
    AnswerBackend(
      aRenewal.mId, BackendVerdict::Refused, "this incarnation announced its departure", aEffects);
    return;
  }
  if (!same) {
    AskForChange(aState,
                 aRenewal.mId,
                 membership::AnnounceBackendServer{ aRenewal.mServerId, aRenewal.mServer },
                 aEffects,
                 aNow);
  } else {
    AnswerBackend(aRenewal.mId, BackendVerdict::Accepted, "", aEffects);
  }
  aState.mServers[aRenewal.mServerId].mAliveUntil = aNow + membership::kBackendServerLease;
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
  BuildTable(aState);
  AskForChange(aState,
               aDeparture.mId,
               membership::DepartBackendServer{ aDeparture.mServerId, aDeparture.mIncarnation },
               aEffects,
               aNow);
}

void
HandleChangeDone(State& aState, const membership::ChangeDone& aDone, std::vector<Effect>& aEffects)
{
  const auto it = aState.mPendingChanges.find(aDone.mAsk);
  if (it == aState.mPendingChanges.end()) {
    return;
  }
  const bool accepted = aDone.mAnswer.mVerdict == membership::Verdict::Accepted;
  const auto verdict = accepted ? BackendVerdict::Accepted : BackendVerdict::Refused;
  AnswerBackend(it->second.mReplyTo, verdict, aDone.mAnswer.mMessage, aEffects);
  aState.mPendingChanges.erase(it);
}

} // namespace fighold::entry
