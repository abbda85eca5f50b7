#pragma once

#include "fighold/entry/event.hpp"

/// Log fields about the end of a dispatch.
namespace fighold::entry {

/// @return true if the dispatch ended in a way that an operator may have to trace: without a usable
/// answer, or after an answer that was passed over
bool
IsNotable(const DispatchDone& aDone);

/// @return the server, its status, the error, the exchange, and how many answers were passed over
std::vector<Field>
AttemptFields(const DispatchDone& aDone);

} // namespace fighold::entry
