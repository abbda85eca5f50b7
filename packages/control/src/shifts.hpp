#pragma once

#include "context.hpp"

/// Shift steps: the leader's side of charts/shift.scxml.
namespace fighold::control {

/// What guards and actions of charts/shift.scxml see.
struct ShiftScope
{
  Context& mContext;
  ServiceId mService;
  std::optional<routing::ShiftStep> mStep; ///< step that is due now
};

/// Events of charts/shift.scxml, in the order of its registry.
enum class ShiftEvent : std::uint8_t
{
  Elected,
  Applied,
  Tick,
};

/// @return the names and functions of charts/shift.scxml
chart::Registry<ShiftScope>
ShiftRegistry();

/// Proposes the steps that are due; only the leader does so.
void
TickShifts(Context& aContext);

} // namespace fighold::control
