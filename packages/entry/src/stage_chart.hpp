#pragma once

#include "fighold/entry/state.hpp"

/// Guards and actions of charts/entry.scxml.
namespace fighold::entry {

/// Events of charts/entry.scxml, in the order of StageRegistry().
enum class StageEvent : std::uint8_t
{
  Granted,
  LeaseLost,
  Stop,
  Tick,
};

/// What the guards and actions read and change while one event is handled.
struct StageScope
{
  State& mState;
  std::vector<Effect>& mEffects;
  Instant mNow;
  StageEvent mEvent;
};

chart::Registry<StageScope>
StageRegistry();

/// Fires one event of the entry's chart.
void
FireStage(State& aState, StageEvent aEvent, std::vector<Effect>& aEffects, Instant aNow);

/// @return name of a stage in the chart
std::string
StageName(EntryStage aStage);

} // namespace fighold::entry
