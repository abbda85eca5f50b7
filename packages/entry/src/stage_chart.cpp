#include "stage_chart.hpp"

namespace fighold::entry {
namespace {

const std::vector<std::string> kStages{ "starting", "serving", "unleased", "draining", "stopped" };
const std::vector<std::string> kEvents{ "granted", "lease_lost", "stop", "tick" };

void
LogState(StageScope& aScope)
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
  LogState(aScope);
}

bool
Drained(const StageScope& aScope)
{
  const State& state = aScope.mState;
  const Duration drained = aScope.mNow - state.mDrainStarted;
  const bool idle = state.mInFlight.empty() && state.mForwards.empty();
  return drained >= state.mOptions.mLongestDrain ||
         (idle && drained >= state.mOptions.mLookupTimeToLive);
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
           { { "drained", Drained } },
           { { "log_state", LogState },
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
