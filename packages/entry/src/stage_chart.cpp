#include "stage_chart.hpp"

namespace fighold::entry {
namespace {

const std::vector<std::string> kStages{ "starting", "serving", "unleased", "draining", "stopped" };
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

void
AnnounceStopped(StageScope& aScope)
{
  aScope.mEffects.emplace_back(Stopped{});
}

} // namespace

chart::Registry<StageScope>
StageRegistry()
{
  return { kStages,
           kEvents,
           { { "drained", IsDrainComplete } },
           { { "log_state", LogStageEvent },
             { "start_drain", StartDrain },
             { "announce_stopped", AnnounceStopped } } };
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
