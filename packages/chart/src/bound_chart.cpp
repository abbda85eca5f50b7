#include "fighold/chart/bound_chart.hpp"

#include <algorithm>
#include <string_view>

namespace fighold::chart::detail {
namespace {

int
IndexOf(const std::vector<std::string>& aNames, std::string_view aName)
{
  const auto it = std::find(aNames.begin(), aNames.end(), aName);
  return it == aNames.end() ? -1 : static_cast<int>(it - aNames.begin());
}

/// Resolves names to indexes and collects a finding for each unknown name.
struct Resolver
{
  const Chart& mChart;
  const RegistryNames& mNames;
  Findings mFindings;

  int Resolve(const std::vector<std::string>& aNames,
              const std::string& aKind,
              const std::string& aName,
              int aLine)
  {
    const int index = IndexOf(aNames, aName);
    if (index < 0) {
      mFindings.push_back(
        { Place{ mChart.mSource, aLine, 0 }, "unknown " + aKind + " \"" + aName + "\"" });
    }
    return index;
  }

  std::vector<int> ResolveActions(const std::vector<std::string>& aActions, int aLine)
  {
    std::vector<int> indexes;
    indexes.reserve(aActions.size());
    for (const std::string& it : aActions) {
      indexes.push_back(Resolve(mNames.mActions, "action", it, aLine));
    }
    return indexes;
  }
};

void
CompileState(const State& aState, Resolver& aResolver, TransitionTable& aTable)
{
  const int state =
    aResolver.Resolve(aResolver.mNames.mStates, "state", aState.mName, aState.mLine);
  if (state < 0) {
    return;
  }
  const auto index = static_cast<std::size_t>(state);
  aTable.mOnEntry[index] = aResolver.ResolveActions(aState.mEntryActions, aState.mLine);
  for (const Transition& it : aState.mTransitions) {
    TransitionRow row;
    const int event = aResolver.Resolve(aResolver.mNames.mEvents, "event", it.mEvent, it.mLine);
    if (!it.mGuard.empty()) {
      row.mGuard = aResolver.Resolve(aResolver.mNames.mGuards, "guard", it.mGuard, it.mLine);
    }
    if (!it.mTarget.empty()) {
      row.mTarget = IndexOf(aResolver.mNames.mStates, it.mTarget);
    }
    row.mActions = aResolver.ResolveActions(it.mActions, it.mLine);
    if (event >= 0) {
      aTable.mRows[index][static_cast<std::size_t>(event)].push_back(row);
    }
  }
}

} // namespace

Checked<TransitionTable>
Compile(const Chart& aChart, const RegistryNames& aNames)
{
  TransitionTable table;
  table.mRows.assign(aNames.mStates.size(),
                     std::vector<std::vector<TransitionRow>>(aNames.mEvents.size()));
  table.mOnEntry.resize(aNames.mStates.size());
  Resolver resolver{ aChart, aNames, {} };
  for (const State& it : aChart.mStates) {
    CompileState(it, resolver, table);
  }
  for (const std::string& it : aNames.mStates) {
    const bool defined = std::any_of(aChart.mStates.begin(),
                                     aChart.mStates.end(),
                                     [&it](const State& aState) { return aState.mName == it; });
    if (!defined) {
      resolver.mFindings.push_back(
        { Place{ aChart.mSource, 0, 0 }, "state \"" + it + "\" is missing" });
    }
  }
  if (!resolver.mFindings.empty()) {
    return { std::nullopt, resolver.mFindings };
  }
  table.mInitial = static_cast<std::size_t>(IndexOf(aNames.mStates, aChart.mInitial));
  return { table, {} };
}

} // namespace fighold::chart::detail
