#include "fighold/chart/bound_chart.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <filesystem>
#include <set>

namespace fighold::chart {
namespace {

/// Guards return a bit of a random number; actions are counted.
struct WalkScope
{
  std::uint64_t mBits = 0;
  int mActions = 0;
};

/// All charts that the daemons load, bound to the guards and actions of this test.
struct ChartFilesFixture
{
  std::vector<Chart> mCharts;

  ChartFilesFixture()
  {
    for (const auto& it : std::filesystem::directory_iterator(FIGHOLD_CHARTS_DIR)) {
      const auto checked = LoadChart(it.path());
      INFO(FormatFindings(checked.mFindings));
      REQUIRE(checked.mValue.has_value());
      mCharts.push_back(*checked.mValue);
    }
    REQUIRE_FALSE(mCharts.empty());
  }

  static Registry<WalkScope> RegistryOf(const Chart& aChart)
  {
    Registry<WalkScope> registry;
    std::set<std::string> events;
    const auto guard = [](const WalkScope& aScope) { return (aScope.mBits & 1U) != 0; };
    const auto action = [](WalkScope& aScope) { ++aScope.mActions; };
    for (const State& state : aChart.mStates) {
      registry.mStates.push_back(state.mName);
      for (const std::string& it : state.mEntryActions) {
        registry.mActions[it] = action;
      }
      for (const Transition& it : state.mTransitions) {
        events.insert(it.mEvent);
        if (!it.mGuard.empty()) {
          registry.mGuards[it.mGuard] = guard;
        }
        for (const std::string& name : it.mActions) {
          registry.mActions[name] = action;
        }
      }
    }
    registry.mEvents.assign(events.begin(), events.end());
    return registry;
  }

  static bool IsFinal(const Chart& aChart, std::size_t aState)
  {
    return aChart.mStates[aState].mTransitions.empty();
  }
};

// Guards against a sequence of events that leaves the states of a chart or runs actions after a
// final state.
TEST_CASE_METHOD(ChartFilesFixture,
                 "Fire, random events on every chart, stays in its states and in a final state",
                 "[chart]")
{
  for (const Chart& chart : mCharts) {
    const auto registry = RegistryOf(chart);
    const auto bound = *Bind(chart, registry).mValue;
    rc::prop(chart.mSource, [&]() {
      std::size_t state = bound.mTable.mInitial;
      for (int n = 0; n < 200; ++n) {
        WalkScope scope{ *rc::gen::arbitrary<std::uint64_t>(), 0 };
        const auto event = *rc::gen::inRange<std::size_t>(0, registry.mEvents.size());
        const bool ended = IsFinal(chart, state);
        const auto fired = Fire(bound, state, event, scope);
        RC_ASSERT(fired.mState < chart.mStates.size());
        RC_ASSERT(fired.mTaken || (fired.mState == state && scope.mActions == 0));
        RC_ASSERT(!ended || !fired.mTaken);
        state = fired.mState;
      }
    });
  }
}

// Guards against a state in which a request, lease or plan change would stay forever.
TEST_CASE_METHOD(ChartFilesFixture, "Chart files, state that is not final, can be left", "[chart]")
{
  for (const Chart& chart : mCharts) {
    for (const State& state : chart.mStates) {
      const bool leaves = std::any_of(
        state.mTransitions.begin(), state.mTransitions.end(), [&](const Transition& aTransition) {
          return !aTransition.mTarget.empty() && aTransition.mTarget != state.mName;
        });
      INFO(chart.mSource << " " << state.mName);
      CHECK((leaves || state.mTransitions.empty()));
    }
  }
}

} // namespace
} // namespace fighold::chart
