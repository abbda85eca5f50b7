#pragma once

#include "fighold/entry/state.hpp"

/// Guards and actions of charts/forward.scxml.
namespace fighold::entry {

/// Events of a request of the route set, in the order of the registry.
enum class ForwardEvent : std::uint8_t
{
  Arrived,
  Answered,
  Refused,
  Unsent,
  Lost,
  CallerGone,
};

/// Working copy of one step of one request.
struct ForwardScope
{
  State& mState;
  Forward& mForward;
  std::vector<Effect>& mEffects;
  Instant mNow;
  bool mHasRoute = false;       ///< with Arrived: a route matches
  routes::Placement mPlacement; ///< where the next dispatch would go
  Duration mRoundTripTime{};    ///< time to that server and back
  DispatchDone mDone;           ///< dispatch that ended
};

chart::Registry<ForwardScope>
ForwardRegistry();

/// Handles the arrival of a request.
void
HandleForward(State& aState, ForwardRequest aRequest, std::vector<Effect>& aEffects, Instant aNow);

/// Handles the end of a dispatch.
/// @return false when the dispatch is not that of a request of the route set
bool
HandleForwardDone(State& aState, DispatchDone& aDone, std::vector<Effect>& aEffects, Instant aNow);

/// Handles the end of a caller's connection.
void
HandleForwardCallerGone(State& aState, RequestId aId, std::vector<Effect>& aEffects, Instant aNow);

} // namespace fighold::entry
