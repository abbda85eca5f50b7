#include "fighold/telemetry/faults.hpp"

namespace fighold::telemetry {

void
ReportConnectionFault(LogQueue& aLog,
                      Metrics& aMetrics,
                      const std::string& aPeer,
                      const std::string& aReason)
{
  aMetrics.Count("connection_faults_total");
  LogDecision(aLog, DecisionRecord{ "connection", aPeer, "", "", aReason, {} });
}

} // namespace fighold::telemetry
