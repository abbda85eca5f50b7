#pragma once

#include "forward_chart.hpp"

/// Log records about requests of the route set.
namespace fighold::entry {

/// @param aKind kind of the decision
/// @return record with what is known about the request
DecisionRecord
RecordOf(const ForwardScope& aScope, const std::string& aKind, const std::string& aReason);

/// Adds the data that the placement is based on.
void
AddPlacement(const ForwardScope& aScope, DecisionRecord& aRecord);

/// Logs that the request is sent to the server of the placement.
void
LogPlacement(ForwardScope& aScope, const std::string& aKind);

/// Logs when a backend server is ejected after failures, and when it answers again.
void
LogEjection(ForwardScope& aScope,
            const routes::ServerLoad& aBefore,
            const routes::ServerLoad& aAfter);

} // namespace fighold::entry
