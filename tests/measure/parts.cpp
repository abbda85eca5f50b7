#include "fighold/chart/bound_chart.hpp"
#include "fighold/ring/bounded_ring.hpp"
#include "report.hpp"
#include "subjects.hpp"

#include <algorithm>
#include <set>
#include <thread>

namespace fighold::measure {
namespace {

constexpr int kChartEvents = 2'000'000;
constexpr int kRoundTrips = 50'000;
constexpr double kNanosInSecond = 1e9;
constexpr double kMicrosInSecond = 1e6;

/// Counts the functions that the chart runs; guards hold every second time.
struct Scope
{
  mutable std::uint64_t mGuards = 0;
  std::uint64_t mActions = 0;
};

/// Binds every name of a chart to functions that only count, so that the cost is that of the
/// interpreter.
chart::Registry<Scope>
CountingRegistry(const chart::Chart& aChart)
{
  chart::Registry<Scope> registry;
  std::set<std::string> events;
  const auto add = [&registry](const std::vector<std::string>& aActions) {
    for (const std::string& it : aActions) {
      registry.mActions[it] = [](Scope& aScope) { ++aScope.mActions; };
    }
  };
  for (const chart::State& state : aChart.mStates) {
    registry.mStates.push_back(state.mName);
    add(state.mEntryActions);
    for (const chart::Transition& it : state.mTransitions) {
      events.insert(it.mEvent);
      add(it.mActions);
      if (!it.mGuard.empty()) {
        registry.mGuards[it.mGuard] = [](const Scope& aScope) {
          return (++aScope.mGuards & 1U) != 0;
        };
      }
    }
  }
  registry.mEvents.assign(events.begin(), events.end());
  return registry;
}

/// @return for each state the events that it has transitions for
std::vector<std::vector<std::size_t>>
EventsByState(const chart::Chart& aChart, const chart::Registry<Scope>& aRegistry)
{
  std::vector<std::vector<std::size_t>> events;
  events.reserve(aChart.mStates.size());
  for (const chart::State& state : aChart.mStates) {
    auto& own = events.emplace_back();
    for (std::size_t n = 0; n < aRegistry.mEvents.size(); ++n) {
      const auto has = [&](const chart::Transition& aTransition) {
        return aTransition.mEvent == aRegistry.mEvents[n];
      };
      if (std::any_of(state.mTransitions.begin(), state.mTransitions.end(), has)) {
        own.push_back(n);
      }
    }
  }
  return events;
}

void
MeasureChart()
{
  const auto path = std::string(FIGHOLD_CHARTS_DIR) + "/request.scxml";
  const auto chart = chart::LoadChart(path);
  if (!chart.mValue) {
    throw FindingsError(chart.mFindings);
  }
  const auto registry = CountingRegistry(*chart.mValue);
  const auto bound = chart::LoadBoundChart(path, registry);
  Scope scope;
  const auto events = EventsByState(*chart.mValue, registry);
  std::size_t state = bound.mTable.mInitial;
  std::uint64_t taken = 0;
  const Instant start = std::chrono::steady_clock::now();
  for (int n = 0; n < kChartEvents; ++n) {
    const auto& known = events[state];
    const auto fired =
      chart::Fire(bound, state, known[static_cast<std::size_t>(n) % known.size()], scope);
    taken += fired.mTaken ? 1 : 0;
    state = chart.mValue->mStates[fired.mState].mFinal ? bound.mTable.mInitial : fired.mState;
  }
  const double seconds = SecondsSince(start);
  Report("chart_event_ns", seconds * kNanosInSecond / kChartEvents);
  Report("chart_events_taken_part", static_cast<double>(taken) / kChartEvents);
}

void
MeasureRing()
{
  ring::BoundedRing<int> there(1024);
  ring::BoundedRing<int> back(1024);
  std::thread echo([&] {
    while (!there.Finished()) {
      if (auto n = there.PopUntil(Instant::max() - std::chrono::hours(1))) {
        back.TryPush(int{ *n });
      }
    }
  });
  std::vector<double> micros;
  const Instant start = std::chrono::steady_clock::now();
  for (int n = 0; n < kRoundTrips; ++n) {
    const Instant sent = std::chrono::steady_clock::now();
    there.TryPush(int{ n });
    back.PopUntil(Instant::max() - std::chrono::hours(1));
    micros.push_back(SecondsSince(sent) * kMicrosInSecond);
  }
  Report("ring_round_trip_mean_us", SecondsSince(start) * kMicrosInSecond / kRoundTrips);
  Report("ring_round_trip_p50_us", Quantile(micros, 0.5));
  Report("ring_round_trip_p99_us", Quantile(micros, 0.99));
  there.Close();
  echo.join();
}

} // namespace

void
MeasureParts()
{
  MeasureChart();
  MeasureRing();
}

} // namespace fighold::measure
