#pragma once

#include "fighold/chart/chart.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Charts bound to guards and actions, and the interpreter.
namespace fighold::chart {

/// The functions and names that a chart may use. The order of names is the order of the
/// enumerations in the code.
///
/// `Scope` is what guards read and actions change: the working copy of one decision step.
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

/// Names of a registry without its function types, so that the checks are compiled once.
struct RegistryNames
{
  std::vector<std::string> mStates;
  std::vector<std::string> mEvents;
  std::vector<std::string> mGuards;
  std::vector<std::string> mActions;
};

/// A transition as indexes into the registry.
struct TransitionRow
{
  int mGuard = -1;  ///< -1: always taken
  int mTarget = -1; ///< -1: stay
  std::vector<int> mActions;

  friend auto operator<=>(const TransitionRow&, const TransitionRow&) = default;
};

/// Chart as indexes: rows of [state][event], and the entry actions of each state.
struct TransitionTable
{
  std::size_t mInitial = 0;
  std::vector<std::vector<std::vector<TransitionRow>>> mRows;
  std::vector<std::vector<int>> mOnEntry;
};

Checked<TransitionTable>
Compile(const Chart& aChart, const RegistryNames& aNames);

} // namespace detail

/// A chart with its functions; immutable once bound.
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
  bool mTaken;      ///< false: no transition matched, nothing was run

  friend auto operator<=>(const FireResult&, const FireResult&) = default;
};

/// Binds a chart to its functions.
/// @param aChart checked chart
/// @param aRegistry names and functions; every state of it must be in the chart
/// @return the bound chart, or every name that the registry does not know and every state that the
/// chart lacks
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

/// Applies one event: the first transition whose guard holds is taken; its actions run, then the
/// entry actions of the target.
/// @param aChart bound chart
/// @param aState state before the event
/// @param aEvent event
/// @param aScope working copy that guards read and actions change
/// @return state after the event
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
