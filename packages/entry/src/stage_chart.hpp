#pragma once

#include "fighold/entry/state.hpp"

/// Guards and actions of charts/entry.scxml.
namespace fighold::entry {

/// Events of the entry's life, in the order of the registry.
enum class StageEvent : std::uint8_t
{
  Granted,
  LeaseLost,
  Stop,
  Tick,
};

/// Working copy of one step.
struct StageScope
{
  State& mState;
  std::vector<Effect>& mEffects;
  Instant mNow;
  StageEvent mEvent;
};

chart::Registry<StageScope>
StageRegistry();

/// Applies one event to the entry's life.
void
FireStage(State& aState, StageEvent aEvent, std::vector<Effect>& aEffects, Instant aNow);

/// @return name of a stage, as in the chart
std::string
StageName(EntryStage aStage);

} // namespace fighold::entry
