#include "calls.hpp"

#include "leases.hpp"

namespace fighold::control {
namespace {

/// Time after which an undecided change is proposed again; its identifier makes the retry
/// idempotent.
constexpr Millis kRetryInterval{ 1000 };

bool
WasAccepted(const CallScope& aScope)
{
  return aScope.mPending.mAnswer.mVerdict == membership::Verdict::Accepted;
}

bool
AnswerWhenDecided(const CallScope& aScope)
{
  return !aScope.mPending.mCall.mWaitUntilInForce;
}

bool
TimedOut(const CallScope& aScope)
{
  return aScope.mContext.mNow >= aScope.mPending.mDeadline;
}

bool
RetryDue(const CallScope& aScope)
{
  return aScope.mContext.mNow >= aScope.mPending.mNextProposal;
}

bool
IsInForce(const CallScope& aScope)
{
  return aScope.mContext.mState.mInForce >= aScope.mPending.mAnswer.mVersion;
}

void
AnswerWith(CallScope& aScope, bool aDecided, bool aInForce)
{
  ChangeCallAnswer answer{ aDecided, aScope.mPending.mAnswer, aInForce, {} };
  if (aDecided && !aInForce) {
    answer.mUnconfirmed =
      OutdatedEntries(aScope.mContext.mState, answer.mAnswer.mVersion, aScope.mContext.mNow);
  }
  aScope.mContext.mEffects.emplace_back(AnswerCall{ aScope.mPending.mCall.mId, std::move(answer) });
}

void
AnswerDecision(CallScope& aScope)
{
  AnswerWith(aScope, true, false);
}

void
AnswerUndecided(CallScope& aScope)
{
  AnswerWith(aScope, false, false);
}

void
AnswerInForce(CallScope& aScope)
{
  AnswerWith(aScope, true, true);
}

void
ProposeCall(CallScope& aScope)
{
  aScope.mPending.mNextProposal = aScope.mContext.mNow + kRetryInterval;
  Propose(aScope.mContext, aScope.mPending.mCall.mChange);
}

/// @return whether the call has been answered
bool
FireCall(Context& aContext, PendingCall& aCall, CallEvent aEvent)
{
  CallScope scope{ aContext, aCall };
  aCall.mStage = chart::Fire(aContext.mState.mCharts.mCall, aCall.mStage, aEvent, scope).mState;
  return aCall.mStage == CallStage::Answered;
}

void
ApplyAnswer(Context& aContext, PendingCall& aCall, const membership::ChangeAnswer& aAnswer)
{
  aCall.mAnswer = aAnswer;
  if (FireCall(aContext, aCall, CallEvent::Applied)) {
    aContext.mState.mCalls.erase(aCall.mCall.mId);
  }
}

} // namespace

chart::Registry<CallScope>
CallRegistry()
{
  return { { "proposed", "accepted", "answered" },
           { "applied", "tick" },
           { { "answer_when_decided", AnswerWhenDecided },
             { "was_accepted", WasAccepted },
             { "timed_out", TimedOut },
             { "retry_due", RetryDue },
             { "is_in_force", IsInForce } },
           { { "answer_decision", AnswerDecision },
             { "answer_undecided", AnswerUndecided },
             { "answer_in_force", AnswerInForce },
             { "propose", ProposeCall } } };
}

void
StartCall(Context& aContext, const ChangeCall& aCall)
{
  PendingCall& call = aContext.mState.mCalls[aCall.mId];
  call.mCall = aCall;
  call.mDeadline = aContext.mNow + aCall.mTimeout;
  const auto& answers = aContext.mState.mConfiguration->mAnswers;
  if (const auto known = answers.find(aCall.mChange.mId); known != answers.end()) {
    const membership::ChangeAnswer answer = known->second;
    ApplyAnswer(aContext, call, answer);
    return;
  }
  call.mNextProposal = aContext.mNow + kRetryInterval;
  if (!Propose(aContext, aCall.mChange)) {
    ApplyAnswer(aContext, call, UnreadableAnswer());
  }
}

void
OnChangeApplied(Context& aContext,
                const membership::Change& aChange,
                const membership::ChangeAnswer& aAnswer)
{
  std::vector<CallId> matching;
  for (const auto& [id, call] : aContext.mState.mCalls) {
    if (call.mStage == CallStage::Proposed && call.mCall.mChange.mId == aChange.mId) {
      matching.push_back(id);
    }
  }
  for (const CallId it : matching) {
    ApplyAnswer(aContext, aContext.mState.mCalls.at(it), aAnswer);
  }
}

void
TickCalls(Context& aContext)
{
  auto& calls = aContext.mState.mCalls;
  for (auto it = calls.begin(); it != calls.end();) {
    it = FireCall(aContext, it->second, CallEvent::Tick) ? calls.erase(it) : std::next(it);
  }
}

void
AnswerStatus(Context& aContext, const StatusCall& aCall)
{
  const State& state = aContext.mState;
  StatusAnswer answer;
  answer.mSelf = state.mNode.mOptions.mSelf;
  answer.mLeader = agreement::Leader(state.mNode).value_or(ControlId{}).mValue;
  answer.mCurrent = MayGrantSince(state, aContext.mNow).has_value();
  answer.mConfiguration = state.mConfiguration;
  answer.mInForce = state.mInForce;
  for (const auto& [id, entry] : state.mConfiguration->mEntries) {
    const auto view = state.mEntries.find(id);
    const bool known =
      view != state.mEntries.end() && view->second.mIncarnation == entry.mIncarnation;
    const bool current = known && view->second.mHeld >= entry.mRegisteredAt &&
                         aContext.mNow < view->second.mHeardAt + membership::kConfigurationLease;
    EntryLine line{ id, entry, known ? view->second.mHeld : 0, current, false, 0 };
    line.mDraining = IsDrained(*state.mConfiguration, id);
    line.mInFlight = known ? view->second.mInFlight : 0;
    answer.mEntries.push_back(std::move(line));
  }
  for (const auto& [id, server] : state.mConfiguration->mBackendServers) {
    const auto view = state.mBackends.find(id);
    const bool known =
      view != state.mBackends.end() && view->second.mIncarnation == server.mIncarnation;
    const bool alive = known && IsAlive(view->second, aContext.mNow);
    BackendLine line{ id, server, alive, known ? view->second.mInFlight : 0, "unknown", false };
    line.mStage = known ? membership::StageName(view->second.mStage) : "unknown";
    line.mDraining = IsDrained(*state.mConfiguration, id);
    answer.mBackends.push_back(std::move(line));
  }
  aContext.mEffects.emplace_back(AnswerCall{ aCall.mId, std::move(answer) });
}

} // namespace fighold::control
