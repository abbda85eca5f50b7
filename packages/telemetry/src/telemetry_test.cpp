#include "fighold/telemetry/log.hpp"
#include "fighold/telemetry/metrics.hpp"

#include <catch2/catch.hpp>

namespace fighold::telemetry {
namespace {

struct TelemetryFixture
{
  LogQueue mQueue;
  Metrics mMetrics;
};

// Guards against a flood of routine lines that hides a fault.
TEST_CASE_METHOD(TelemetryFixture,
                 "Log, ring full of routine lines, still takes errors",
                 "[telemetry]")
{
  for (int n = 0; n < 9000; ++n) {
    Log(mQueue, Severity::Info, "line");
  }
  CHECK(mQueue.mDropped > 0);
  const auto before = mQueue.mDropped.load();
  Log(mQueue, Severity::Error, "fault");
  CHECK(mQueue.mDropped == before);
}

TEST_CASE_METHOD(TelemetryFixture, "LogDecision, nothing was chosen, is a warning", "[telemetry]")
{
  LogDecision(mQueue, DecisionRecord{ "route", "1", "vardia", "", "no-usable-backend-server", {} });
  CHECK(mQueue.mRing.TryPop()->mSeverity == Severity::Warning);
}

TEST_CASE_METHOD(TelemetryFixture, "Metrics, counter counted twice, prints the sum", "[telemetry]")
{
  mMetrics.Count("requests_total", { { "outcome", "run" } });
  mMetrics.Count("requests_total", { { "outcome", "run" } });
  CHECK(mMetrics.Text().find("fighold_requests_total{outcome=\"run\"} 2") != std::string::npos);
}

} // namespace
} // namespace fighold::telemetry
