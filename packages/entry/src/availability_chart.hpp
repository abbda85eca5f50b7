#pragma once

#include "fighold/entry/state.hpp"

/// Guards and actions of charts/availability.scxml, and the record of what backend servers say.
namespace fighold::entry {

/// Events of charts/availability.scxml, in the order of AvailabilityRegistry().
enum class AvailabilityEvent : std::uint8_t
{
  SaidLeaving,
  SaidPause,
  Answered,
};

/// What the guards and actions read and change while one answer is handled.
struct AvailabilityScope
{
  Availability& mAvailability;
  Millis mPause{}; ///< for SaidPause
  std::uint64_t mRandom = 0;
  Instant mNow;
};

chart::Registry<AvailabilityScope>
AvailabilityRegistry();

/// Records what the server of a dispatch says in its answer, also if the request has ended
/// meanwhile.
void
RecordAvailability(State& aState,
                   const DispatchDone& aDone,
                   std::vector<Effect>& aEffects,
                   Instant aNow);

/// Makes what was heard part of the choices of a new configuration. What was heard from an
/// incarnation is dropped once a newer one has replaced it. What a server said that is no longer
/// listed is kept while there is room: it may be listed again.
void
ApplyAvailabilities(State& aState);

} // namespace fighold::entry
