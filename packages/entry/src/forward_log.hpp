#pragma once

#include "forward_chart.hpp"

/// Log records of requests of the route set.
namespace fighold::entry {

/// @param aKind kind of the decision
/// @return record with what is known of the request
DecisionRecord
RecordOf(const ForwardScope& aScope, const std::string& aKind, const std::string& aReason);

/// Adds what the placement rested on.
void
AddPlacement(const ForwardScope& aScope, DecisionRecord& aRecord);

/// Logs that the request is sent to the server of the placement.
void
LogPlacement(ForwardScope& aScope, const std::string& aKind);

/// Logs when a backend server is left alone after failures, and when it answers again.
void
LogEjection(ForwardScope& aScope,
            const routes::ServerLoad& aBefore,
            const routes::ServerLoad& aAfter);

} // namespace fighold::entry
