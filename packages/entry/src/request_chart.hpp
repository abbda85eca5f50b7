#pragma once

#include "fighold/entry/state.hpp"

/// Guards and actions of charts/request.scxml.
namespace fighold::entry {

/// Events of a request, in the order of the registry.
enum class RequestEvent : std::uint8_t
{
  Arrived,
  Answered,
  Refused,
  Unsent,
  Lost,
};

/// Working copy of one step of one request.
struct RequestScope
{
  State& mState;
  InFlight& mRequest;
  std::vector<Effect>& mEffects;
  Instant mNow;
  routing::RouteDecision mRoute; ///< where the next dispatch would go
  net::ExchangeResult mResult;   ///< of the dispatch that ended
};

chart::Registry<RequestScope>
RequestRegistry();

/// Handles the arrival of a request.
void
HandleArrival(State& aState, CallerRequest aRequest, std::vector<Effect>& aEffects, Instant aNow);

/// Handles the end of a dispatch. A dispatch that is not the request's current one is ignored.
void
HandleDispatchDone(State& aState, DispatchDone aDone, std::vector<Effect>& aEffects, Instant aNow);

} // namespace fighold::entry
