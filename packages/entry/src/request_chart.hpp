#pragma once

#include "fighold/entry/state.hpp"

/// Guards and actions of charts/request.scxml.
namespace fighold::entry {

/// Events of charts/request.scxml, in the order of RequestRegistry().
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
  StopExpired,
};

/// What the guards and actions read and change while one event of a request is handled.
struct RequestScope
{
  State& mState;
  InFlightRequest& mRequest;
  std::vector<Effect>& mEffects;
  Instant mNow;
  routing::RouteDecision mRoute; ///< chosen for the next dispatch
  net::ExchangeResult mResult;   ///< result of the dispatch that ended
};

chart::Registry<RequestScope>
RequestRegistry();

/// Fires one event. If the chart reaches a final state, removes the request; aScope.mRequest is
/// then a dangling reference.
void
FireRequest(RequestScope& aScope, RequestEvent aEvent);

/// @return true if the request may be dispatched again after it may have run
bool
IsRepeatable(const RequestScope& aScope);

/// @param aPinnedRegion region that was chosen when the request was queued
/// @return server to which a request would be dispatched now, or why there is none
routing::RouteDecision
ChooseRoute(State& aState,
            const InFlightRequest& aRequest,
            Instant aNow,
            std::optional<RegionId> aPinnedRegion = std::nullopt);

/// Dispatches the request to the server that aScope.mRoute names.
void
DispatchRequest(RequestScope& aScope);

/// Cancels the current dispatch and releases its slot at the server and its shares of the limits.
void
CancelCurrentDispatch(RequestScope& aScope);

/// Cancels the request of a caller that closed its connection.
void
HandleCallerGone(State& aState, RequestId aId, std::vector<Effect>& aEffects, Instant aNow);

/// Answers all requests that have no answer at the end of a planned stop, and cancels their
/// dispatches.
void
EndCallerRequests(State& aState, std::vector<Effect>& aEffects, Instant aNow);

/// Handles the arrival of a request.
void
HandleArrival(State& aState, CallerRequest aRequest, std::vector<Effect>& aEffects, Instant aNow);

/// Handles the result of a dispatch; ignored unless it is the request's current dispatch.
void
HandleDispatchDone(State& aState, DispatchDone aDone, std::vector<Effect>& aEffects, Instant aNow);

} // namespace fighold::entry
