#pragma once

#include "fighold/telemetry/log.hpp"
#include "fighold/telemetry/metrics.hpp"

#include <cstddef>
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

/// Logs and counts requests that ended without a delivered answer.
/// @param aPeer who sent them, such as "caller"
/// @param aCause how they ended, one of a few words
/// @param aError what ended their connection, or empty
void
ReportUnanswered(LogQueue& aLog,
                 Metrics& aMetrics,
                 const std::string& aPeer,
                 const std::string& aCause,
                 std::size_t aRequests,
                 const std::string& aError);

} // namespace fighold::telemetry
