#include "stage_chart.hpp"

#include "forward_chart.hpp"
#include "request_chart.hpp"

namespace fighold::entry {
namespace {

const std::vector<std::string> kStages{ "starting", "serving", "unleased",
                                        "draining", "stopped", "ended" };
const std::vector<std::string> kEvents{ "granted", "lease_lost", "stop", "tick" };

void
LogStageEvent(StageScope& aScope)
{
  DecisionRecord record;
  record.mKind = "lease";
  record.mSubject = aScope.mState.mOptions.mId.mValue;
  record.mChoice = "version-" + std::to_string(aScope.mState.mConfiguration->mVersion);
  record.mReason = kEvents[static_cast<std::size_t>(aScope.mEvent)];
  aScope.mEffects.emplace_back(LogRecord{ record });
}

void
StartDrain(StageScope& aScope)
{
  aScope.mState.mDrainStarted = aScope.mNow;
  aScope.mState.mNextRenew = aScope.mNow;
  LogStageEvent(aScope);
}

bool
IsDrainComplete(const StageScope& aScope)
{
  const State& state = aScope.mState;
  const Duration elapsed = aScope.mNow - state.mDrainStarted;
  const bool idle = state.mInFlight.empty() && state.mForwards.empty();
  return elapsed >= state.mOptions.mLongestDrain ||
         (idle && elapsed >= state.mOptions.mLookupTimeToLive);
}

/// Logs how many requests a stop finds at one of its steps.
void
LogStop(StageScope& aScope, const std::string& aStep)
{
  const State& state = aScope.mState;
  const auto elapsed = std::chrono::duration_cast<Millis>(aScope.mNow - state.mStop.mBegan);
  DecisionRecord record{ "stop", state.mOptions.mId.mValue, "", aStep, "", {} };
  record.mFields = { { "elapsed_ms", std::to_string(elapsed.count()) },
                     { "requests",
                       std::to_string(state.mInFlight.size() + state.mForwards.size()) } };
  aScope.mEffects.emplace_back(LogRecord{ std::move(record) });
}

void
AnnounceStopped(StageScope& aScope)
{
  LogStop(aScope, "listener-closes");
  aScope.mEffects.emplace_back(Stopped{});
}

bool
IsStopExpired(const StageScope& aScope)
{
  return aScope.mNow >= aScope.mState.mStop.mAnswerDeadline;
}

void
EndRequests(StageScope& aScope)
{
  LogStop(aScope, "requests-end");
  EndForwards(aScope.mState, aScope.mEffects, aScope.mNow);
  EndCallerRequests(aScope.mState, aScope.mEffects, aScope.mNow);
}

} // namespace

chart::Registry<StageScope>
StageRegistry()
{
  return { kStages,
           kEvents,
           { { "drained", IsDrainComplete }, { "stop_expired", IsStopExpired } },
           { { "log_state", LogStageEvent },
             { "start_drain", StartDrain },
             { "announce_stopped", AnnounceStopped },
             { "end_requests", EndRequests } } };
}

void
FireStage(State& aState, StageEvent aEvent, std::vector<Effect>& aEffects, Instant aNow)
{
  StageScope scope{ aState, aEffects, aNow, aEvent };
  aState.mStage = chart::Fire(aState.mCharts.mStage, aState.mStage, aEvent, scope).mState;
}

std::string
StageName(EntryStage aStage)
{
  return kStages[static_cast<std::size_t>(aStage)];
}

} // namespace fighold::entry
