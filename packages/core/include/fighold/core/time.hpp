#pragma once

#include <chrono>

/// Monotonic time. Decisions take the time as an argument and never read a clock.
namespace fighold {

using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Millis = std::chrono::milliseconds;

} // namespace fighold
