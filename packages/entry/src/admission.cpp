#include "admission.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

routing::DispatchOutcome
OutcomeOf(RequestEvent aEvent)
{
  switch (aEvent) {
    case RequestEvent::Answered:
      return routing::DispatchOutcome::Answered;
    case RequestEvent::Refused:
      return routing::DispatchOutcome::Refused;
    default:
      return routing::DispatchOutcome::Failed;
  }
}

} // namespace

void
UpdateReportedLoad(routing::ServerState& aServer,
                   const membership::BackendLease& aLease,
                   Instant aSentAt)
{
  // The lease started with the report, so its remaining time gives the report's age.
  const Instant reportedAt = aSentAt + aLease.mRemaining - membership::kBackendServerLease;
  if (reportedAt > aServer.mReportedAt) {
    aServer.mReportedLoad = aLease.mInFlight;
    aServer.mReportedAt = reportedAt;
  }
}

void
RecordDispatchResult(routing::ServerState& aServer,
                     RequestEvent aEvent,
                     Duration aLatency,
                     Instant aNow)
{
  aServer = routing::RecordResult(aServer, OutcomeOf(aEvent), aLatency, aNow);
}

} // namespace fighold::entry
