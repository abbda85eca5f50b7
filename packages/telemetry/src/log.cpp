#include "fighold/telemetry/log.hpp"

#include <glog/logging.h>

#include <cstdio>

namespace fighold::telemetry {
namespace {

/// Places that routine lines leave free, so that a flood of them hides no fault.
constexpr std::size_t kReservedForFaults = 1024;

/// Writes lines to standard output. Only the log thread uses it, so that a full pipe holds up
/// nobody else.
class StandardOutput : public google::LogSink
{
public:
  void send(google::LogSeverity aSeverity,
            const char* /*aFile*/,
            const char* /*aBaseName*/,
            int /*aLine*/,
            const google::LogMessageTime& aTime,
            const char* aMessage,
            std::size_t aLength) override
  {
    std::fprintf(stdout,
                 "time=%lld.%03d level=%s %.*s\n",
                 static_cast<long long>(aTime.timestamp()),
                 static_cast<int>(aTime.usec() / 1000),
                 google::GetLogSeverityName(aSeverity),
                 static_cast<int>(aLength),
                 aMessage);
    std::fflush(stdout);
  }
};

void
Write(StandardOutput& aSink, const LogLine& aLine)
{
  switch (aLine.mSeverity) {
    case Severity::Info:
      LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&aSink, INFO) << aLine.mText;
      return;
    case Severity::Warning:
      LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&aSink, WARNING) << aLine.mText;
      return;
    case Severity::Error:
      LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&aSink, ERROR) << aLine.mText;
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
  StandardOutput sink;
  std::uint64_t reported = 0;
  while (!aQueue.mRing.Finished()) {
    const auto line =
      aQueue.mRing.PopUntil(std::chrono::steady_clock::now() + std::chrono::hours(1));
    if (line) {
      Write(sink, *line);
    }
    const std::uint64_t dropped = aQueue.mDropped.load(std::memory_order_relaxed);
    if (dropped != reported && aQueue.mRing.Size() == 0) {
      Write(
        sink,
        { Severity::Warning, "event=log-lines-dropped since_start=" + std::to_string(dropped) });
      reported = dropped;
    }
  }
}

} // namespace fighold::telemetry
