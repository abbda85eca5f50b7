#pragma once

#include "request_chart.hpp"

/// Shares of the limits and the request queue: whether a request is dispatched now or must wait.
namespace fighold::entry {

/// @return true if the request has a route, but a share of a limit or a slot is missing
bool
MustWait(const RequestScope& aScope);

/// @return true if the request must wait, but the queue is full or the deadline has passed
bool
CannotWait(const RequestScope& aScope);

/// Adds a request that must wait to the queue.
void
EnqueueRequest(RequestScope& aScope);

/// Acquires the shares for a dispatch to aScope.mRoute.
/// @return false if they are used up; the request must not be dispatched then
bool
AcquireShare(RequestScope& aScope);

/// Releases the shares held by the request's current dispatch, if any.
/// @param aResponseBytes actual size of the response body, 0 without one
void
ReleaseShare(State& aState, InFlightRequest& aRequest, std::uint64_t aResponseBytes, Instant aNow);

/// Dispatches queued requests whose shares are free now, and answers those past their deadline.
void
DispatchWaiting(State& aState, std::vector<Effect>& aEffects, Instant aNow);

/// Applies the limits of a new configuration.
void
ApplyLimits(State& aState);

/// Reports usage and demand to all control processes; the leader answers.
void
ReportShares(State& aState, std::vector<Effect>& aEffects, Instant aNow);

/// Applies the leader's grant.
void
HandleShareAnswer(State& aState, const routing::ShareAnswer& aAnswer);

} // namespace fighold::entry
