#pragma once

#include "fighold/entry/event.hpp"
#include "fighold/entry/state.hpp"
#include "fighold/telemetry/metrics.hpp"

/// Metrics of an entry.
namespace fighold::entry {

/// Observes an answered request: by service and outcome, and by backend server when it was run.
/// Services that the plan does not name share one label, so that callers cannot add labels.
void
ObserveAnswer(telemetry::Metrics& aMetrics, const State& aState, const CallerAnswer& aAnswer);

/// Counts an answer to a request of the route set.
void
ObserveForward(telemetry::Metrics& aMetrics, const ForwardAnswer& aAnswer);

/// Sets the gauges of leases, limits and queues.
void
SetGauges(telemetry::Metrics& aMetrics, const State& aState, Instant aNow);

} // namespace fighold::entry
