#include "shifts.hpp"

namespace fighold::control {
namespace {

/// Time after which a proposed step that was not applied counts as lost.
constexpr Millis kProposalTimeout{ 2000 };

/// Interval between two checks of the splits; each check computes every row of every service.
constexpr Millis kCheckInterval{ 250 };

ServiceShift&
ShiftOf(ShiftScope& aScope)
{
  return aScope.mContext.mState.mShifts.mServices[aScope.mService];
}

const ServiceShift&
ShiftOf(const ShiftScope& aScope)
{
  return aScope.mContext.mState.mShifts.mServices.at(aScope.mService);
}

routing::LastStep&
LastStepOf(ShiftScope& aScope)
{
  return aScope.mContext.mState.mShifts.mLastSteps[aScope.mService];
}

Duration
ShiftInterval(const ShiftScope& aScope)
{
  return aScope.mContext.mState.mConfiguration->mPlan->mShiftInterval;
}

bool
StepDue(const ShiftScope& aScope)
{
  return aScope.mStep.has_value();
}

bool
ProposalLost(const ShiftScope& aScope)
{
  return aScope.mContext.mNow >= ShiftOf(aScope).mProposedAt + kProposalTimeout;
}

bool
IntervalPassed(const ShiftScope& aScope)
{
  const auto& steps = aScope.mContext.mState.mShifts.mLastSteps;
  const auto it = steps.find(aScope.mService);
  return it == steps.end() || aScope.mContext.mNow >= it->second.mNotBefore;
}

/// The previous leader may have taken a step just before the election, and reports of backend
/// servers take up to a lease to reach a new leader; until then regions appear to have failed.
void
WaitAfterElection(ShiftScope& aScope)
{
  LastStepOf(aScope).mNotBefore =
    aScope.mContext.mNow + ShiftInterval(aScope) + membership::kBackendServerLease;
}

void
WaitAfterStep(ShiftScope& aScope)
{
  routing::LastStep& last = LastStepOf(aScope);
  last.mAppliedAt = aScope.mContext.mNow;
  last.mNotBefore = aScope.mContext.mNow + ShiftInterval(aScope);
}

/// The added load counts from the proposal on, so that the next service does not use the same free
/// capacity.
void
ProposeStep(ShiftScope& aScope)
{
  ShiftOf(aScope).mProposedAt = aScope.mContext.mNow;
  LastStepOf(aScope).mAppliedAt = aScope.mContext.mNow;
  LastStepOf(aScope).mAddedInFlight = aScope.mStep->mAddedInFlight;
  aScope.mContext.mEffects.emplace_back(LogRecord{ aScope.mStep->mRecord });
  Propose(aScope.mContext, membership::Change{ {}, aScope.mStep->mChange });
}

void
FireShift(ShiftScope& aScope, ShiftEvent aEvent)
{
  ShiftProgress& shifts = aScope.mContext.mState.mShifts;
  const ShiftStage stage = ShiftOf(aScope).mStage;
  const auto result = chart::Fire(*shifts.mChart, stage, aEvent, aScope);
  ShiftOf(aScope).mStage = result.mState;
}

routing::RegionView
MakeRegionView(const State& aState, Instant aNow)
{
  routing::RegionView view;
  for (const auto& [id, server] : aState.mConfiguration->mBackendServers) {
    const auto it = aState.mBackends.find(id);
    const bool alive = it != aState.mBackends.end() &&
                       it->second.mIncarnation == server.mIncarnation &&
                       aNow < it->second.mAliveUntil;
    if (alive) {
      const routing::GroupKey key{ server.mService, server.mRegion };
      view.mInFlight[key] += it->second.mInFlight;
      if (!server.mLeaving) {
        view.mLiveGroups.insert(key);
      }
    }
  }
  return view;
}

void
EraseRemovedServices(State& aState)
{
  const auto removed = [&aState](const auto& aItem) {
    return aState.mConfiguration->mShifts.count(aItem.first) == 0;
  };
  std::erase_if(aState.mShifts.mServices, removed);
  std::erase_if(aState.mShifts.mLastSteps, removed);
}

/// A new service waits as after an election, since its backend servers register one by one.
void
TickService(Context& aContext,
            const ServiceId& aService,
            const routing::RegionView& aRegions,
            bool aElected)
{
  State& state = aContext.mState;
  ShiftScope scope{ aContext, aService, {} };
  const std::uint64_t step = state.mConfiguration->mShifts.at(aService).mStep;
  if (aElected || state.mShifts.mServices.count(aService) == 0) {
    FireShift(scope, ShiftEvent::Elected);
  } else if (ShiftOf(scope).mStep != step) {
    FireShift(scope, ShiftEvent::Applied);
  }
  ShiftOf(scope).mStep = step;
  if (ShiftOf(scope).mStage == ShiftStage::Steady) {
    scope.mStep = routing::NextShiftStep(
      *state.mConfiguration, aService, aRegions, state.mShifts.mLastSteps, aContext.mNow);
  }
  FireShift(scope, ShiftEvent::Tick);
}

} // namespace

chart::Registry<ShiftScope>
ShiftRegistry()
{
  return { { "steady", "stepping", "waiting" },
           { "elected", "applied", "tick" },
           { { "step_due", StepDue },
             { "proposal_lost", ProposalLost },
             { "interval_passed", IntervalPassed } },
           { { "wait_after_election", WaitAfterElection },
             { "wait_after_step", WaitAfterStep },
             { "propose_step", ProposeStep } } };
}

SharedChart
LoadShiftChart(const std::filesystem::path& aFolder)
{
  return std::make_shared<const chart::BoundChart<ShiftScope>>(
    chart::LoadBoundChart(aFolder / "shift.scxml", ShiftRegistry()));
}

void
TickShifts(Context& aContext)
{
  State& state = aContext.mState;
  const bool leads = agreement::IsLeader(state.mNode) && MayGrantSince(state, aContext.mNow);
  const bool elected = leads && !state.mShifts.mWasActive;
  state.mShifts.mWasActive = leads;
  if (!leads || state.mShifts.mChart == nullptr ||
      (!elected && aContext.mNow < state.mShifts.mNextCheck)) {
    return;
  }
  state.mShifts.mNextCheck = aContext.mNow + kCheckInterval;
  EraseRemovedServices(state);
  const routing::RegionView regions = MakeRegionView(state, aContext.mNow);
  for (const ServiceId& it : routing::ServicesByClass(*state.mConfiguration->mPlan)) {
    if (state.mConfiguration->mShifts.count(it) > 0) {
      TickService(aContext, it, regions, elected);
    }
  }
}

} // namespace fighold::control
