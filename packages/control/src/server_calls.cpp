#include "server_calls.hpp"

#include "backend_servers.hpp"
#include "leases.hpp"

#include <algorithm>

namespace fighold::control {
namespace {

/// Maximum wait for a decision; a backend server tries another process after a second.
constexpr Millis kServerCallTimeout{ 900 };

/// Maximum number of withdrawals that are remembered at once; several times the backend servers of
/// the largest deployment. Beyond it, a server that is not registered cannot be withdrawn.
constexpr std::size_t kMaxWithdrawn = 4096;

void
Answer(Context& aContext, CallId aId, bool aDecided, bool aAccepted, const std::string& aMessage)
{
  aContext.mEffects.emplace_back(AnswerCall{ aId, ServerAnswer{ aDecided, aAccepted, aMessage } });
}

void
LogHeartbeat(Context& aContext,
             const BackendServerId& aId,
             const ServiceId& aService,
             const std::string& aChoice,
             const std::string& aReason)
{
  aContext.mEffects.emplace_back(
    LogRecord{ DecisionRecord{ "heartbeat", aId.mValue, aService.mValue, aChoice, aReason, {} } });
}

/// Proposes a change and answers the call once it is applied here.
void
RequestChange(Context& aContext, CallId aId, const membership::ChangeBody& aBody)
{
  State& state = aContext.mState;
  const membership::Change change{ {}, aBody };
  const auto answer = membership::AnswerIfUnchanged(*state.mConfiguration, change);
  if (answer && MayGrantSince(state, aContext.mNow)) {
    AnswerServer(aContext, aId, *answer);
    return;
  }
  if (!agreement::Leader(state.mNode)) {
    Answer(aContext, aId, false, false, "no leader is known");
    return;
  }
  PendingChange pending;
  pending.mCallId = aId;
  pending.mDeadline = aContext.mNow + kServerCallTimeout;
  state.mPendingChanges.emplace(state.mCodec.mEncode(change), pending);
  Propose(aContext, change);
}

} // namespace

void
AnswerServer(Context& aContext, CallId aId, const membership::ChangeAnswer& aAnswer)
{
  // A conflict means that a newer incarnation is registered; repeating the call would not help.
  const bool accepted = aAnswer.mVerdict != membership::Verdict::Refused;
  Answer(aContext, aId, true, accepted, aAnswer.mMessage);
}

void
HandleHeartbeat(Context& aContext, const ServerHeartbeat& aHeartbeat)
{
  State& state = aContext.mState;
  const membership::BackendServer& server = aHeartbeat.mServer;
  const BackendServerId& id = aHeartbeat.mServerId;
  if (!MayGrantSince(state, aContext.mNow)) {
    Answer(aContext, aHeartbeat.mId, false, false, "no contact with the leader");
    return;
  }
  const auto it = state.mConfiguration->mBackendServers.find(id);
  const Incarnation known =
    it == state.mConfiguration->mBackendServers.end() ? 0 : it->second.mIncarnation;
  // A server that leaves does not come back. Its word counts even if it seems overtaken, since an
  // acknowledgement without a record would not bind.
  if (server.mLeaving) {
    LogHeartbeat(aContext, id, server.mService, "depart", "announced");
    RequestChange(
      aContext, aHeartbeat.mId, membership::DepartBackendServer{ id, server.mIncarnation });
    return;
  }
  const auto sequence = state.mSequences.find({ id, server.mIncarnation });
  const bool stale = known > server.mIncarnation || (sequence != state.mSequences.end() &&
                                                     aHeartbeat.mSequence < sequence->second);
  if (stale || HasDeparted(*state.mConfiguration, id, server.mIncarnation)) {
    LogHeartbeat(aContext, id, server.mService, "ignored", stale ? "overtaken" : "departed");
    Answer(aContext, aHeartbeat.mId, true, true, "");
    return;
  }
  state.mSequences[{ id, server.mIncarnation }] = aHeartbeat.mSequence;
  const bool cold = state.mColdPeriods[id].mUntil > aContext.mNow;
  if (cold != (aHeartbeat.mCold > Millis(0))) {
    LogHeartbeat(aContext, id, server.mService, cold ? "warm" : "cold", "announced");
  }
  ApplyReports(
    aContext, { { id, server.mIncarnation, Millis(0), 0, aHeartbeat.mCold } }, aContext.mNow);
  membership::BackendServer registered = server;
  registered.mConnections = known == 0 ? 0 : it->second.mConnections;
  if (known == server.mIncarnation && it->second == registered) {
    Answer(aContext, aHeartbeat.mId, true, true, "");
    return;
  }
  LogHeartbeat(aContext, id, server.mService, "announce", known == 0 ? "new" : "changed");
  RequestChange(aContext, aHeartbeat.mId, membership::AnnounceBackendServer{ id, server, known });
}

void
HandleWithdrawal(Context& aContext, const ServerWithdrawal& aWithdrawal)
{
  State& state = aContext.mState;
  if (!MayGrantSince(state, aContext.mNow)) {
    Answer(aContext, aWithdrawal.mId, false, false, "no contact with the leader");
    return;
  }
  const membership::Configuration& configuration = *state.mConfiguration;
  const BackendServerId& id = aWithdrawal.mServerId;
  const auto it = configuration.mBackendServers.find(id);
  const bool known = it != configuration.mBackendServers.end();
  if (!known && configuration.mWithdrawn.count(id) == 0 &&
      configuration.mWithdrawn.size() >= kMaxWithdrawn) {
    LogHeartbeat(aContext, id, {}, "", "too many withdrawals of unknown servers");
    Answer(aContext, aWithdrawal.mId, false, false, "too many withdrawals of unknown servers");
    return;
  }
  // The server's announcement may be on its way, or committed and not applied here yet, so that the
  // withdrawal is recorded for all incarnations that can have started.
  const Incarnation latest = std::max(known ? it->second.mIncarnation : 0, aWithdrawal.mLatest);
  LogHeartbeat(aContext,
               id,
               known ? it->second.mService : ServiceId{},
               "depart",
               known ? "withdrawn" : "withdrawn before it is known");
  RequestChange(aContext, aWithdrawal.mId, membership::WithdrawBackendServer{ id, latest });
}

void
ExpireServerCalls(Context& aContext)
{
  for (const auto& [payload, pending] : aContext.mState.mPendingChanges) {
    if (pending.mCallId && aContext.mNow >= pending.mDeadline) {
      Answer(aContext, *pending.mCallId, false, false, "not decided in time");
    }
  }
}

} // namespace fighold::control
