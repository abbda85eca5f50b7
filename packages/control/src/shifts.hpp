#pragma once

#include "context.hpp"

/// Shifts (charts/shift.scxml): the leader proposes the steps by which traffic moves between
/// regions.
namespace fighold::control {

/// What the guards and actions of charts/shift.scxml read and change during one event.
struct ShiftScope
{
  Context& mContext;
  ServiceId mService;
  std::optional<routing::ShiftStep> mStep; ///< step that is due
};

/// Events of charts/shift.scxml, in the order of its registry.
enum class ShiftEvent : std::uint8_t
{
  Elected,
  Applied,
  Tick,
};

/// @return states, events, guards and actions of charts/shift.scxml
chart::Registry<ShiftScope>
ShiftRegistry();

/// Proposes the steps that are due; only the leader does.
void
TickShifts(Context& aContext);

} // namespace fighold::control
