#include "fighold/telemetry/log.hpp"

#include <glog/logging.h>

namespace fighold::telemetry {
namespace {

/// Places that routine lines leave free, so that a flood of them hides no fault.
constexpr std::size_t kReservedForFaults = 1024;

void
Write(const LogLine& aLine)
{
  switch (aLine.mSeverity) {
    case Severity::Info:
      LOG(INFO) << aLine.mText;
      return;
    case Severity::Warning:
      LOG(WARNING) << aLine.mText;
      return;
    case Severity::Error:
      LOG(ERROR) << aLine.mText;
      return;
  }
}

} // namespace

void
Log(LogQueue& aQueue, Severity aSeverity, std::string aText)
{
  const std::size_t reserve = aSeverity == Severity::Info ? kReservedForFaults : 0;
  if (!aQueue.mRing.TryPush(LogLine{ aSeverity, std::move(aText) }, reserve)) {
    aQueue.mDropped.fetch_add(1, std::memory_order_relaxed);
  }
}

void
LogDecision(LogQueue& aQueue, const DecisionRecord& aRecord)
{
  Log(
    aQueue, aRecord.mChoice.empty() ? Severity::Warning : Severity::Info, FormatDecision(aRecord));
}

void
LogThread(LogQueue& aQueue)
{
  std::uint64_t reported = 0;
  while (!aQueue.mRing.Finished()) {
    const auto line =
      aQueue.mRing.PopUntil(std::chrono::steady_clock::now() + std::chrono::hours(1));
    if (line) {
      Write(*line);
    }
    const std::uint64_t dropped = aQueue.mDropped.load(std::memory_order_relaxed);
    if (dropped != reported && aQueue.mRing.Size() == 0) {
      LOG(WARNING) << "log ring was full, lines dropped since start: " << dropped;
      reported = dropped;
    }
  }
  google::FlushLogFiles(google::INFO);
}

} // namespace fighold::telemetry
