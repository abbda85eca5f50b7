#pragma once

#include "fighold/entry/state.hpp"

/// Conditions and actions of charts/forward.scxml.
namespace fighold::entry {

/// Events of charts/forward.scxml, in the order of its registry.
enum class ForwardEvent : std::uint8_t
{
  Arrived,
  Answered,
  Refused,
  Unsent,
  Lost,
  CallerGone,
};

/// Context in which the conditions and actions of one request run for one event.
struct ForwardScope
{
  State& mState;
  Forward& mForward;
  std::vector<Effect>& mEffects;
  Instant mNow;
  bool mHasRoute = false;       ///< with Arrived: a route matches
  routes::Placement mPlacement; ///< server of the next dispatch
  Duration mRoundTripTime{};    ///< round trip time to that server
  DispatchDone mDone;           ///< the dispatch that ended
};

chart::Registry<ForwardScope>
ForwardRegistry();

/// Handles the arrival of a request of the route set.
void
HandleForward(State& aState, ForwardRequest aRequest, std::vector<Effect>& aEffects, Instant aNow);

/// Handles the end of a dispatch.
/// @return false if the dispatch does not belong to a request of the route set
bool
HandleForwardDone(State& aState, DispatchDone& aDone, std::vector<Effect>& aEffects, Instant aNow);

/// Handles the end of a caller's connection.
void
HandleForwardCallerGone(State& aState, RequestId aId, std::vector<Effect>& aEffects, Instant aNow);

} // namespace fighold::entry
