#include "fighold/telemetry/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace fighold::telemetry {
namespace {

const std::string kPrefix = "fighold_";

/// Upper bounds in seconds, from a fast answer in the same data centre to the longest deadline of
/// deferred work.
const prometheus::Histogram::BucketBoundaries kBuckets{ 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                        0.2,   0.5,   1,     2,    5,    10,   30 };

} // namespace

struct Metrics::State
{
  prometheus::Registry mRegistry;
};

Metrics::Metrics()
  : mState(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Count(const std::string& aName, const Labels& aLabels, double aBy)
{
  prometheus::BuildCounter()
    .Name(kPrefix + aName)
    .Register(mState->mRegistry)
    .Add(aLabels)
    .Increment(aBy);
}

void
Metrics::Set(const std::string& aName, double aValue, const Labels& aLabels)
{
  prometheus::BuildGauge()
    .Name(kPrefix + aName)
    .Register(mState->mRegistry)
    .Add(aLabels)
    .Set(aValue);
}

void
Metrics::Observe(const std::string& aName, double aSeconds, const Labels& aLabels)
{
  prometheus::BuildHistogram()
    .Name(kPrefix + aName)
    .Register(mState->mRegistry)
    .Add(aLabels, kBuckets)
    .Observe(aSeconds);
}

std::string
Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mState->mRegistry.Collect());
}

void
SetMessageMemory(Metrics& aMetrics, std::size_t aUsed, std::uint64_t aRefused)
{
  aMetrics.Set("message_memory_bytes", static_cast<double>(aUsed));
  aMetrics.Set("messages_without_memory", static_cast<double>(aRefused));
}

} // namespace fighold::telemetry
