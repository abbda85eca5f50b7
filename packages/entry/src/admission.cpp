#include "admission.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

routing::DispatchOutcome
ResultOf(RequestEvent aEvent)
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
                   Instant aAskedAt)
{
  // The lease began with the report, so what is left of it tells the age.
  const Instant reported = aAskedAt + aLease.mRemaining - membership::kBackendServerLease;
  if (reported > aServer.mReportedAt) {
    aServer.mReportedLoad = aLease.mInFlight;
    aServer.mReportedAt = reported;
  }
}

void
RecordDispatchResult(routing::ServerState& aServer,
                     RequestEvent aEvent,
                     Duration aLatency,
                     Instant aNow)
{
  aServer = routing::RecordResult(aServer, ResultOf(aEvent), aLatency, aNow);
}

} // namespace fighold::entry
