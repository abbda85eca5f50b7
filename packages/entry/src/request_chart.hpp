#pragma once

#include "fighold/entry/state.hpp"

/// Guards and actions of charts/request.scxml.
namespace fighold::entry {

/// Events of a request, in the order of the registry.
enum class RequestEvent : std::uint8_t
{
  Arrived,
  ClaimGranted,
  ClaimAnswered,
  ClaimDispatched,
  ClaimMismatch,
  ClaimUndecided,
  ShareFreed,
  WaitExpired,
  Answered,
  Refused,
  Unsent,
  Lost,
  CallerGone,
};

/// Working copy of one step of one request.
struct RequestScope
{
  State& mState;
  InFlightRequest& mRequest;
  std::vector<Effect>& mEffects;
  Instant mNow;
  routing::RouteDecision mRoute; ///< where the next dispatch would go
  net::ExchangeResult mResult;   ///< of the dispatch that ended
};

chart::Registry<RequestScope>
RequestRegistry();

/// Fires one event and forgets the request when its chart has ended; aScope.mRequest is gone then.
void
FireRequest(RequestScope& aScope, RequestEvent aEvent);

/// @return true when the request may be sent more than once
bool
IsRepeatable(const RequestScope& aScope);

/// @param aPinned region that was chosen when the request began to wait
/// @return where a request would be sent now
routing::RouteDecision
ChooseRoute(State& aState,
            const InFlightRequest& aRequest,
            Instant aNow,
            std::optional<RegionId> aPinned = std::nullopt);

/// Sends the request to the server that scope.mRoute names.
void
DispatchRequest(RequestScope& aScope);

/// Gives the running dispatch up.
void
CancelCurrentDispatch(RequestScope& aScope);

/// Handles the end of a caller's connection.
void
HandleCallerGone(State& aState, RequestId aId, std::vector<Effect>& aEffects, Instant aNow);

/// Handles the arrival of a request.
void
HandleArrival(State& aState, CallerRequest aRequest, std::vector<Effect>& aEffects, Instant aNow);

/// Handles the end of a dispatch. A dispatch that is not the request's current one is ignored.
void
HandleDispatchDone(State& aState, DispatchDone aDone, std::vector<Effect>& aEffects, Instant aNow);

} // namespace fighold::entry
