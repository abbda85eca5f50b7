#pragma once

#include "fighold/control/state.hpp"

/// Encoding of the replicated log and state in the format of the daemons.
namespace fighold::control {

/// @return codec of the messages between daemons
Codec
WireCodec();

} // namespace fighold::control
