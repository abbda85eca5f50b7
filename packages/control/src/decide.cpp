#include "fighold/control/decide.hpp"

#include "backend_servers.hpp"
#include "calls.hpp"
#include "claim_holding.hpp"
#include "directory.hpp"
#include "leases.hpp"
#include "server_calls.hpp"
#include "shares.hpp"
#include "shifts.hpp"

namespace fighold::control {
namespace {

/// Time after which a leader may propose an uncommitted change again.
constexpr Millis kReproposeAfter{ 2000 };

/// Time for which a change requested by an entry stays pending; the entry gives up after 3 s.
constexpr Millis kPendingChangeTimeout{ 4000 };

/// @return decoded state of a snapshot
/// @throws RecordError if it cannot be decoded
SharedValue<membership::Configuration>
RestoredConfiguration(const Codec& aCodec, const agreement::Snapshot& aSnapshot)
{
  auto configuration = aCodec.mDecodeState(aSnapshot.mState);
  if (!configuration) {
    throw RecordError("snapshot " + std::to_string(aSnapshot.mIndex) +
                      " cannot be decoded as a configuration");
  }
  return SharedValue(std::move(*configuration));
}

void
ApplyConfiguration(Context& aContext, const SharedValue<membership::Configuration>& aConfiguration)
{
  State& state = aContext.mState;
  if (aConfiguration->mVersion > state.mConfiguration->mVersion) {
    state.mAppliedAt.emplace_back(aConfiguration->mVersion, aContext.mNow);
  }
  if (aConfiguration->mVersion != state.mConfiguration->mVersion) {
    membership::AppendVersion(
      state.mJournal, *state.mConfiguration, *aConfiguration, kJournalLimits);
  }
  state.mConfiguration = aConfiguration;
  state.mDeltas.clear();
  UpdateLimits(aContext);
}

/// Answers everybody who waits for a change with this payload, and forgets it.
void
AnswerPendingChanges(Context& aContext,
                     const std::string& aPayload,
                     const membership::ChangeAnswer& aAnswer)
{
  State& state = aContext.mState;
  state.mProposedUntil.erase(aPayload);
  const auto [first, last] = state.mPendingChanges.equal_range(aPayload);
  for (auto it = first; it != last; ++it) {
    if (it->second.mCallId) {
      AnswerServer(aContext, *it->second.mCallId, aAnswer);
      continue;
    }
    aContext.mEffects.emplace_back(
      SendEntry{ it->second.mFrom, membership::ChangeReply{ it->second.mRequestNumber, aAnswer } });
  }
  state.mPendingChanges.erase(first, last);
}

/// Handles a committed record that does not decode. Bytes that no version can read are skipped:
/// every process skips them, so that all states stay equal.
/// @throws RecordError for a change of a kind that this version does not know
void
SkipMalformed(Context& aContext, const agreement::LogEntry& aEntry)
{
  if (aContext.mState.mCodec.mIsWellFormed(aEntry.mPayload)) {
    throw RecordError("record " + std::to_string(aEntry.mIndex) +
                      " of the log is of an unknown kind, written by a later version");
  }
  ++aContext.mState.mSkippedRecords;
  aContext.mEffects.emplace_back(LogRecord{ DecisionRecord{
    "log-record", std::to_string(aEntry.mIndex), "", "skipped", "malformed", {} } });
}

void
ApplyCommitted(Context& aContext, const agreement::LogEntry& aEntry)
{
  State& state = aContext.mState;
  const auto change = state.mCodec.mDecode(aEntry.mPayload);
  if (!change) {
    SkipMalformed(aContext, aEntry);
    return;
  }
  const membership::ApplyResult applied =
    membership::Apply(*state.mConfiguration, *change, aEntry.mIndex);
  if (state.mConfiguration->mPlan->mNumber == 0 && applied.mConfiguration->mPlan->mNumber != 0) {
    state.mShares.mFirstPlanTerm = aEntry.mTerm;
  }
  ApplyConfiguration(aContext, applied.mConfiguration);
  AnswerPendingChanges(aContext, aEntry.mPayload, applied.mAnswer);
  if (!change->mId.mValue.empty()) {
    OnChangeApplied(aContext, *change, applied.mAnswer);
  }
}

/// Proposes a change, unless no process could read it back from the log.
/// @return false if the change is refused; everybody who waits for it as a pending change has the
/// answer then
bool
ProposePayload(Context& aContext, const std::string& aPayload, const membership::Change& aChange)
{
  State& state = aContext.mState;
  if (!state.mCodec.mDecode(aPayload)) {
    ++state.mUnreadableChanges;
    aContext.mEffects.emplace_back(
      LogRecord{ DecisionRecord{ "change", aChange.mId.mValue, "", "refused", "unreadable", {} } });
    AnswerPendingChanges(aContext, aPayload, UnreadableAnswer());
    return false;
  }
  if (agreement::IsLeader(state.mNode) && MayGrantSince(state, aContext.mNow)) {
    Instant& until = state.mProposedUntil[aPayload];
    if (aContext.mNow < until ||
        membership::AnswerIfUnchanged(*state.mConfiguration, aChange).has_value()) {
      return true;
    }
    until = aContext.mNow + kReproposeAfter;
  }
  StepAgreement(aContext, agreement::Propose{ aPayload });
  return true;
}

void
HandleForwardedProposal(Context& aContext, const agreement::ForwardedProposal& aProposal)
{
  const Codec& codec = aContext.mState.mCodec;
  const auto change = codec.mDecode(aProposal.mPayload);
  // Versions may read bytes that no encoder writes in different ways, such as a member twice.
  if (change && agreement::IsLeader(aContext.mState.mNode) &&
      codec.mEncode(*change) == aProposal.mPayload) {
    ProposePayload(aContext, aProposal.mPayload, *change);
  }
}

template<typename T>
void
EraseIf(T& aItems, const std::function<bool(const typename T::value_type&)>& aPredicate)
{
  for (auto it = aItems.begin(); it != aItems.end();) {
    it = aPredicate(*it) ? aItems.erase(it) : std::next(it);
  }
}

void
HandleChangeRequest(Context& aContext,
                    const EntryId& aFrom,
                    const membership::ChangeRequest& aRequest)
{
  const auto answer =
    membership::AnswerIfUnchanged(*aContext.mState.mConfiguration, aRequest.mChange);
  if (answer && MayGrantSince(aContext.mState, aContext.mNow)) {
    aContext.mEffects.emplace_back(
      SendEntry{ aFrom, membership::ChangeReply{ aRequest.mRequestNumber, *answer } });
    return;
  }
  const std::string payload = aContext.mState.mCodec.mEncode(aRequest.mChange);
  auto& pending = aContext.mState.mPendingChanges;
  const auto [first, last] = pending.equal_range(payload);
  const bool alreadyPending = std::any_of(first, last, [&](const auto& aItem) {
    return aItem.second.mFrom == aFrom && aItem.second.mRequestNumber == aRequest.mRequestNumber;
  });
  if (!alreadyPending) {
    pending.emplace(
      payload,
      PendingChange{ aFrom, aRequest.mRequestNumber, aContext.mNow + kPendingChangeTimeout });
  }
  ProposePayload(aContext, payload, aRequest.mChange);
}

void
Handle(const ChangeCall& aCall, Context& aContext)
{
  StartCall(aContext, aCall);
}

void
Handle(const StatusCall& aCall, Context& aContext)
{
  AnswerStatus(aContext, aCall);
}

void
Handle(const EntryMessage& aMessage, Context& aContext)
{
  if (HandleClaimMessage(aContext, aMessage)) {
    return;
  }
  if (const auto* renewal = std::get_if<membership::LeaseRenewal>(&aMessage.mBody)) {
    HandleLeaseRenewal(aContext, aMessage.mFrom, *renewal);
  } else if (const auto* report = std::get_if<routing::ShareReport>(&aMessage.mBody)) {
    HandleShareReport(aContext, aMessage.mFrom, *report);
  } else {
    HandleChangeRequest(
      aContext, aMessage.mFrom, std::get<membership::ChangeRequest>(aMessage.mBody));
  }
}

void
Handle(const ControlMessage& aMessage, Context& aContext)
{
  if (HandleClaimMessage(aContext, aMessage)) {
    return;
  }
  if (const auto* message = std::get_if<agreement::Message>(&aMessage.mBody)) {
    const bool sameGroup = message->mGroup == aContext.mState.mNode.mMembership.mGroup;
    if (const auto* proposal = std::get_if<agreement::ForwardedProposal>(&message->mBody);
        proposal != nullptr && sameGroup) {
      HandleForwardedProposal(aContext, *proposal);
      return;
    }
    StepAgreement(aContext, agreement::Received{ aMessage.mFrom, *message });
  } else if (const auto* renewal = std::get_if<membership::ControlLeaseRenewal>(&aMessage.mBody)) {
    HandleControlLeaseRenewal(aContext, aMessage.mFrom, *renewal);
  } else {
    HandleControlLeaseGrant(
      aContext, aMessage.mFrom, std::get<membership::ControlLeaseGrant>(aMessage.mBody));
  }
}

void
Handle(const Stored& aStored, Context& aContext)
{
  StepAgreement(aContext, agreement::Stored{ aStored.mWrite });
}

void
Handle(const ServerHeartbeat& aHeartbeat, Context& aContext)
{
  HandleHeartbeat(aContext, aHeartbeat);
}

void
Handle(const ServerWithdrawal& aWithdrawal, Context& aContext)
{
  HandleWithdrawal(aContext, aWithdrawal);
}

void
Handle(const DirectoryCall& aCall, Context& aContext)
{
  AnswerDirectory(aContext, aCall);
}

void
Handle(const RoutesCall& aCall, Context& aContext)
{
  ReadRoutes(aContext, aCall);
}

void
Handle(const Tick& /*aTick*/, Context& aContext)
{
  StepAgreement(aContext, agreement::Tick{});
  TickLeases(aContext);
  TickBackends(aContext);
  TickShares(aContext);
  TickShifts(aContext);
  TickCalls(aContext);
  TickClaims(aContext);
  const Instant now = aContext.mNow;
  EraseIf(aContext.mState.mProposedUntil, [now](const auto& aItem) { return now >= aItem.second; });
  ExpireServerCalls(aContext);
  AnswerReads(aContext);
  EraseIf(aContext.mState.mPendingChanges,
          [now](const auto& aItem) { return now >= aItem.second.mDeadline; });
}

} // namespace

void
StepAgreement(Context& aContext, const agreement::Event& aEvent)
{
  State& state = aContext.mState;
  std::vector<agreement::SnapshotTaken> snapshots;
  for (agreement::Effect& it : agreement::Step(state.mNode, aEvent, aContext.mNow)) {
    if (auto* send = std::get_if<agreement::Send>(&it)) {
      aContext.mEffects.emplace_back(SendControl{ send->mTo, std::move(send->mMessage) });
    } else if (auto* write = std::get_if<agreement::Write>(&it)) {
      aContext.mEffects.emplace_back(Store{ std::move(*write) });
    } else if (auto* commit = std::get_if<agreement::Commit>(&it)) {
      ApplyCommitted(aContext, commit->mEntry);
    } else if (auto* restore = std::get_if<agreement::Restore>(&it)) {
      ApplyConfiguration(aContext, RestoredConfiguration(state.mCodec, *restore->mSnapshot));
    } else if (auto* takeSnapshot = std::get_if<agreement::TakeSnapshot>(&it)) {
      snapshots.push_back(
        { takeSnapshot->mIndex, state.mCodec.mEncodeState(*state.mConfiguration) });
    } else {
      aContext.mEffects.emplace_back(
        LogRecord{ std::move(std::get<agreement::Record>(it).mRecord) });
    }
  }
  // The snapshots are passed on after all other effects, because StepAgreement() adds writes of
  // its own and writes must be stored in the order of their numbers.
  for (agreement::SnapshotTaken& it : snapshots) {
    StepAgreement(aContext, std::move(it));
  }
}

bool
Propose(Context& aContext, const membership::Change& aChange)
{
  return ProposePayload(aContext, aContext.mState.mCodec.mEncode(aChange), aChange);
}

membership::ChangeAnswer
UnreadableAnswer()
{
  membership::ChangeAnswer answer;
  answer.mMessage = "the change cannot be recorded, because its record could not be read back";
  return answer;
}

State
MakeState(agreement::Node aNode, Codec aCodec, Charts aCharts)
{
  State state;
  state.mNode = std::move(aNode);
  state.mCodec = std::move(aCodec);
  if (state.mNode.mSnapshot->mIndex != 0) {
    state.mConfiguration = RestoredConfiguration(state.mCodec, *state.mNode.mSnapshot);
  }
  state.mCharts = std::move(aCharts);
  return state;
}

std::vector<Effect>
Step(State& aState, Event aEvent, Instant aNow)
{
  Context context{ aState, aNow, {} };
  if (!aState.mStartedAt) {
    aState.mStartedAt = aNow;
    // A delayed grant to the previous run of this process must not match a request of this one.
    aState.mNextRequestNumber = membership::MakeTimestamp(aNow);
    if (aState.mConfiguration->mVersion > 0) {
      aState.mAppliedAt.emplace_back(aState.mConfiguration->mVersion, aNow);
    }
  }
  std::visit([&](const auto& aBody) { Handle(aBody, context); }, aEvent);
  return std::move(context.mEffects);
}

Instant
NextTick(const State& aState, Instant aNow)
{
  if (!aState.mCalls.empty() || !aState.mPendingReads.empty()) {
    return aNow + kTickInterval;
  }
  const Instant timer = agreement::NextTimer(aState.mNode);
  const Instant next =
    agreement::IsLeader(aState.mNode) ? timer : std::min(timer, aState.mNextRenewal);
  // A timer may stay in the past, for example that of a halted node; the thread must not spin.
  return std::max(next, aNow + kTickInterval);
}

Charts
LoadCharts(const std::filesystem::path& aFolder)
{
  return { chart::LoadBoundChart(aFolder / "plan_change.scxml", CallRegistry()),
           membership::LoadBackendChart(aFolder) };
}

} // namespace fighold::control
