#pragma once

#include "request_chart.hpp"

/// Shares and the queue of an entry: whether a request may be sent now, and what waits.
namespace fighold::entry {

/// @return true when the request has a route but no share of a limit or no slot is free
bool
MustWait(const RequestScope& aScope);

/// @return true when the request must wait, and the queue is full or its deadline too near
bool
CannotWait(const RequestScope& aScope);

/// Puts a request that must wait into the queue.
void
EnqueueRequest(RequestScope& aScope);

/// Takes the shares for the dispatch that aScope.mRoute names.
/// @return false when they are used up; nothing may be sent then
bool
AcquireShare(RequestScope& aScope);

/// Gives back what the request's last dispatch used.
/// @param aAnswerBytes real size of the answer, 0 without one
void
ReleaseShare(State& aState, InFlightRequest& aRequest, std::uint64_t aAnswerBytes, Instant aNow);

/// Sends waiting requests whose shares are free now, and answers those that waited too long.
void
DispatchWaiting(State& aState, std::vector<Effect>& aEffects, Instant aNow);

/// Takes the limits of a new configuration over.
void
ApplyLimits(State& aState);

/// Reports use and demand to all control processes; the leader answers.
void
ReportShares(State& aState, std::vector<Effect>& aEffects, Instant aNow);

/// Takes the leader's grant over.
void
HandleShareAnswer(State& aState, const routing::ShareAnswer& aAnswer);

} // namespace fighold::entry
