#pragma once

#include "fighold/telemetry/log.hpp"
#include "fighold/telemetry/metrics.hpp"

#include <string>

/// Faults that end a connection or an exchange, but not the process.
namespace fighold::telemetry {

/// Logs and counts an exception that was met while a message was read, handled or written.
/// @param aPeer who is at the other end, such as "caller", or the address of a backend server
/// @param aReason message of the exception
void
ReportConnectionFault(LogQueue& aLog,
                      Metrics& aMetrics,
                      const std::string& aPeer,
                      const std::string& aReason);

} // namespace fighold::telemetry
