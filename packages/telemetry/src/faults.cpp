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

void
ReportUnanswered(LogQueue& aLog,
                 Metrics& aMetrics,
                 const std::string& aPeer,
                 const std::string& aCause,
                 std::size_t aRequests,
                 const std::string& aError)
{
  aMetrics.Count(
    "requests_unanswered_total", { { "cause", aCause } }, static_cast<double>(aRequests));
  DecisionRecord record{ "unanswered", aPeer, "", "", aCause, {} };
  record.mFields = { { "requests", std::to_string(aRequests) } };
  if (!aError.empty()) {
    record.mFields.push_back({ "error", aError });
  }
  LogDecision(aLog, record);
}

} // namespace fighold::telemetry
