#pragma once

#include "fighold/entry/state.hpp"

/// Guards and actions of charts/forward.scxml.
namespace fighold::entry {

/// Events of charts/forward.scxml, in the order of ForwardRegistry().
enum class ForwardEvent : std::uint8_t
{
  Arrived,
  Answered,
  Refused,
  Unsent,
  Lost,
  CallerGone,
  StopExpired,
};

/// What the guards and actions read and change while one event of a request is handled.
struct ForwardScope
{
  State& mState;
  Forward& mForward;
  std::vector<Effect>& mEffects;
  Instant mNow;
  bool mHasRoute = false;       ///< for Arrived: a route matches the request
  routes::Placement mPlacement; ///< server chosen for the next dispatch, if any
  Duration mRoundTripTime{};    ///< round trip time to that server
  DispatchDone mDone;           ///< the dispatch that ended
};

chart::Registry<ForwardScope>
ForwardRegistry();

/// Handles the arrival of a ForwardRequest.
void
HandleForwardArrival(State& aState,
                     ForwardRequest aRequest,
                     std::vector<Effect>& aEffects,
                     Instant aNow);

/// Handles the end of a dispatch.
/// @return false if the dispatch does not belong to a ForwardRequest
bool
HandleForwardDispatchDone(State& aState,
                          DispatchDone& aDone,
                          std::vector<Effect>& aEffects,
                          Instant aNow);

/// Cancels the request of a caller that closed its connection.
void
HandleForwardCallerGone(State& aState,
                        const CallerGone& aGone,
                        std::vector<Effect>& aEffects,
                        Instant aNow);

/// Answers all requests that have no answer at the end of a planned stop, and cancels their
/// dispatches.
void
EndForwards(State& aState, std::vector<Effect>& aEffects, Instant aNow);

} // namespace fighold::entry
