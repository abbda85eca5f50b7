#pragma once

#include "fighold/core/decision_record.hpp"
#include "fighold/ring/bounded_ring.hpp"

#include <atomic>
#include <compare>
#include <cstdint>
#include <string>

/// Log lines, written by a thread of their own so that no other thread waits for a disk.
namespace fighold::telemetry {

/// How important a line is.
enum class Severity : std::uint8_t
{
  Info,
  Warning,
  Error,
};

/// One line.
struct LogLine
{
  Severity mSeverity = Severity::Info;
  std::string mText;

  friend auto operator<=>(const LogLine&, const LogLine&) = default;
};

/// Ring with the count of lines that did not fit.
struct LogQueue
{
  ring::BoundedRing<LogLine> mRing{ 8192 };
  std::atomic<std::uint64_t> mDropped{ 0 };
};

/// Queues a line; drops and counts it when the ring is full. A part of the ring is kept for
/// warnings and errors.
void
Log(LogQueue& aQueue, Severity aSeverity, std::string aText);

/// Queues a decision: refusals as warnings, all others as information.
void
LogDecision(LogQueue& aQueue, const DecisionRecord& aRecord);

/// Body of the log thread: writes lines with glog until the ring is closed and empty.
void
LogThread(LogQueue& aQueue);

} // namespace fighold::telemetry
