#pragma once

#include "fighold/entry/event.hpp"
#include "fighold/entry/state.hpp"
#include "fighold/telemetry/metrics.hpp"

/// Metrics of an entry.
namespace fighold::entry {

/// Records the latency of an answered request by service and outcome, and by backend server if it
/// was run. Services that the plan does not name share one label; otherwise callers could create
/// any number of labels.
void
ObserveAnswer(telemetry::Metrics& aMetrics, const State& aState, const CallerAnswer& aAnswer);

/// Records the latency of a ForwardRequest, and counts it by reason if it was not run or its
/// outcome is unknown.
void
ObserveForward(telemetry::Metrics& aMetrics, const ForwardAnswer& aAnswer);

/// Sets the gauges of leases, limits and queues.
void
SetGauges(telemetry::Metrics& aMetrics, const State& aState, Instant aNow);

} // namespace fighold::entry
