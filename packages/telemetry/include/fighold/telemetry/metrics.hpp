#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

/// Metrics in the Prometheus text format.
namespace fighold::telemetry {

using Labels = std::map<std::string, std::string>;

/// Metrics of a process. All functions may be called from any thread.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds to a counter.
  /// @param aName name without the prefix fighold_, ending in _total
  void Count(const std::string& aName, const Labels& aLabels = {}, double aBy = 1);

  /// Sets a gauge.
  void Set(const std::string& aName, double aValue, const Labels& aLabels = {});

  /// Adds an observation in seconds to a histogram.
  void Observe(const std::string& aName, double aSeconds, const Labels& aLabels = {});

  /// @return all metrics as text
  std::string Text() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// Sets the gauges of the memory that requests and answers hold.
/// @param aUsed bytes that they hold
/// @param aRefused messages since the start for which there was no memory
void
SetMessageMemory(Metrics& aMetrics, std::size_t aUsed, std::uint64_t aRefused);

} // namespace fighold::telemetry
