#pragma once

#include "fighold/chart/chart.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// State charts bound to guards and actions, and their interpreter.
namespace fighold::chart {

/// Functions and names that a chart may use. States and events are in the order of the enumerations
/// in the code.
///
/// `Scope` is the data that guards read and actions change during one event.
template<typename Scope>
struct Registry
{
  using Guard = bool (*)(const Scope&);
  using Action = void (*)(Scope&);

  std::vector<std::string> mStates;
  std::vector<std::string> mEvents;
  std::map<std::string, Guard> mGuards;
  std::map<std::string, Action> mActions;
};

namespace detail {

/// Names of a registry without the function types; the checks on them are compiled once instead of
/// for every Scope.
struct RegistryNames
{
  std::vector<std::string> mStates;
  std::vector<std::string> mEvents;
  std::vector<std::string> mGuards;
  std::vector<std::string> mActions;
};

/// A transition, with indexes into the registry.
struct TransitionRow
{
  int mGuard = -1;  ///< -1: no guard
  int mTarget = -1; ///< -1: no target, stays in the state
  std::vector<int> mActions;

  friend auto operator<=>(const TransitionRow&, const TransitionRow&) = default;
};

/// A chart compiled to indexes: transitions by [state][event], and the entry actions of each state.
struct TransitionTable
{
  std::size_t mInitial = 0;
  std::vector<std::vector<std::vector<TransitionRow>>> mRows;
  std::vector<std::vector<int>> mOnEntry;
};

Checked<TransitionTable>
Compile(const Chart& aChart, const RegistryNames& aNames);

} // namespace detail

/// A chart bound to its functions; immutable.
template<typename Scope>
struct BoundChart
{
  detail::TransitionTable mTable;
  std::vector<typename Registry<Scope>::Guard> mGuards;
  std::vector<typename Registry<Scope>::Action> mActions;
};

/// Result of one event.
template<typename StateEnum>
struct FireResult
{
  StateEnum mState; ///< state after the event
  bool mTaken;      ///< false: no transition matched and no action ran

  friend auto operator<=>(const FireResult&, const FireResult&) = default;
};

/// Binds a chart to its functions.
/// @param aChart checked chart
/// @param aRegistry names and functions; the chart must contain every state of it
/// @return the bound chart, or a finding for each name that the registry does not contain and each
/// state that the chart does not contain
template<typename Scope>
Checked<BoundChart<Scope>>
Bind(const Chart& aChart, const Registry<Scope>& aRegistry)
{
  detail::RegistryNames names{ aRegistry.mStates, aRegistry.mEvents, {}, {} };
  BoundChart<Scope> bound;
  for (const auto& [name, guard] : aRegistry.mGuards) {
    names.mGuards.push_back(name);
    bound.mGuards.push_back(guard);
  }
  for (const auto& [name, action] : aRegistry.mActions) {
    names.mActions.push_back(name);
    bound.mActions.push_back(action);
  }
  auto table = detail::Compile(aChart, names);
  if (!table.mValue) {
    return { std::nullopt, table.mFindings };
  }
  bound.mTable = *table.mValue;
  return { bound, {} };
}

/// Loads a chart file and binds it.
/// @param aPath chart file
/// @param aRegistry names and functions
/// @return the bound chart
/// @throws FindingsError with every finding of the file
template<typename Scope>
BoundChart<Scope>
LoadBoundChart(const std::filesystem::path& aPath, const Registry<Scope>& aRegistry)
{
  const auto chart = LoadChart(aPath);
  if (!chart.mValue) {
    throw FindingsError(chart.mFindings);
  }
  const auto bound = Bind(*chart.mValue, aRegistry);
  if (!bound.mValue) {
    throw FindingsError(bound.mFindings);
  }
  return *bound.mValue;
}

/// Processes one event: takes the first transition whose guard holds, runs its actions and then the
/// entry actions of its target.
/// @param aChart bound chart
/// @param aState state before the event
/// @param aEvent event
/// @param aScope data that guards read and actions change
/// @return state after the event, and whether a transition was taken
template<typename Scope, typename StateEnum, typename EventEnum>
FireResult<StateEnum>
Fire(const BoundChart<Scope>& aChart, StateEnum aState, EventEnum aEvent, Scope& aScope)
{
  const auto& rows =
    aChart.mTable.mRows[static_cast<std::size_t>(aState)][static_cast<std::size_t>(aEvent)];
  for (const detail::TransitionRow& row : rows) {
    if (row.mGuard >= 0 && !aChart.mGuards[static_cast<std::size_t>(row.mGuard)](aScope)) {
      continue;
    }
    for (const int it : row.mActions) {
      aChart.mActions[static_cast<std::size_t>(it)](aScope);
    }
    if (row.mTarget < 0) {
      return { aState, true };
    }
    for (const int it : aChart.mTable.mOnEntry[static_cast<std::size_t>(row.mTarget)]) {
      aChart.mActions[static_cast<std::size_t>(it)](aScope);
    }
    return { static_cast<StateEnum>(row.mTarget), true };
  }
  return { aState, false };
}

} // namespace fighold::chart
