#pragma once

#include "fighold/core/finding.hpp"

#include <compare>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

/// State charts as tables, loaded from SCXML files.
///
/// The supported part of SCXML: <scxml initial>, <state id>, <final id>, <transition event cond
/// target>, <onentry>, and the action element <fighold:do name>. A transition without a target runs
/// its actions and stays, without <onentry>.
namespace fighold::chart {

/// One transition; transitions of a state are tried in the order of the file.
struct Transition
{
  std::string mEvent;
  std::string mGuard;  ///< empty: always taken
  std::string mTarget; ///< empty: stay
  std::vector<std::string> mActions;
  int mLine = 0;

  friend auto operator<=>(const Transition&, const Transition&) = default;
};

/// One state.
struct State
{
  std::string mName;
  bool mFinal = false;
  std::vector<std::string> mEntryActions;
  std::vector<Transition> mTransitions;
  int mLine = 0;

  friend auto operator<=>(const State&, const State&) = default;
};

/// A chart as it stands in its file, with all names checked against each other.
struct Chart
{
  std::string mSource;
  std::string mInitial;
  std::vector<State> mStates;

  friend auto operator<=>(const Chart&, const Chart&) = default;
};

/// Parses and checks a chart.
/// @param aText SCXML document
/// @param aSource name used as the place of findings
/// @return the chart, or every finding: malformed XML, unknown elements, missing or doubled states,
/// unknown targets,
///         unreachable states, transitions that can never be taken
Checked<Chart>
ParseChart(std::string_view aText, const std::string& aSource);

/// Reads a chart file and parses it.
/// @param aPath file to read
/// @return as ParseChart; a file that cannot be read is a finding
Checked<Chart>
LoadChart(const std::filesystem::path& aPath);

} // namespace fighold::chart
