#pragma once

#include "forward_chart.hpp"

/// Log records about requests in the state's mForwards.
namespace fighold::entry {

/// @param aKind kind of the decision
/// @return record with the request's route, versions, times and dispatch count
DecisionRecord
RecordOf(const ForwardScope& aScope, const std::string& aKind, const std::string& aReason);

/// Adds the chosen server and the estimates on which the choice is based.
void
AddPlacement(const ForwardScope& aScope, DecisionRecord& aRecord);

/// Adds how the last dispatch ended, unless it ended with the answer to the request.
void
AddAttempt(const ForwardScope& aScope, DecisionRecord& aRecord);

/// Logs that the request is dispatched to the chosen server, and how the dispatch before it ended.
void
LogPlacement(ForwardScope& aScope, const std::string& aKind);

/// Logs that a backend server was ejected after failures, or that an ejected one answered again.
void
LogEjection(ForwardScope& aScope,
            const routes::ServerLoad& aBefore,
            const routes::ServerLoad& aAfter);

/// Logs that a backend server named another limit on its request rate than before, no longer names
/// one, or named one that cannot be read.
void
LogRate(ForwardScope& aScope, const routes::ServerLoad& aBefore, const routes::ServerLoad& aAfter);

} // namespace fighold::entry
