#pragma once

#include "session.hpp"

/// Commands that show how far something is.
namespace fighold::ctl {

/// Prints plan, leader, entries and backend servers.
int
ShowStatus(const std::vector<std::string>& aArguments, const Session& aSession);

/// Prints the plans that were accepted, oldest first.
int
ShowHistory(const std::vector<std::string>& aArguments, const Session& aSession);

/// Prints where the newest version is not in force yet, until it is in force everywhere.
int
WatchPlan(const std::vector<std::string>& aArguments, const Session& aSession);

/// Prints what is in flight at a drained part, until nothing is.
/// @param aKind backend-server, entry or region
/// @param aName identifier
int
AwaitDrain(const std::string& aKind, const std::string& aName, const Session& aSession);

} // namespace fighold::ctl
