#pragma once

#include "fighold/core/finding.hpp"

#include <compare>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

/// State charts loaded from SCXML files.
///
/// The supported part of SCXML: <scxml initial>, <state id>, <final id>, <transition event cond
/// target>, <onentry>, and the action element <fighold:do name>. A transition without a target runs
/// its actions and stays in its state, without running <onentry>.
namespace fighold::chart {

/// A transition; the transitions of a state are tried in document order.
struct Transition
{
  std::string mEvent;
  std::string mGuard;  ///< empty: no guard
  std::string mTarget; ///< empty: stays in the state
  std::vector<std::string> mActions;
  int mLine = 0;

  friend auto operator<=>(const Transition&, const Transition&) = default;
};

/// A state with its entry actions and outgoing transitions.
struct State
{
  std::string mName;
  bool mFinal = false;
  std::vector<std::string> mEntryActions;
  std::vector<Transition> mTransitions;
  int mLine = 0;

  friend auto operator<=>(const State&, const State&) = default;
};

/// A parsed chart whose targets and states have been checked.
struct Chart
{
  std::string mSource;
  std::string mInitial;
  std::vector<State> mStates;

  friend auto operator<=>(const Chart&, const Chart&) = default;
};

/// Parses and checks a chart.
/// @param aText SCXML document
/// @param aSource file name for findings
/// @return the chart, or all findings: malformed XML, unsupported elements, missing or duplicate
/// states, unknown targets, unreachable states, transitions that can never be taken
Checked<Chart>
ParseChart(std::string_view aText, const std::string& aSource);

/// Reads a chart file and parses it.
/// @param aPath file to read
/// @return as ParseChart; an unreadable file is a finding
Checked<Chart>
LoadChart(const std::filesystem::path& aPath);

} // namespace fighold::chart
