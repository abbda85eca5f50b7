#include "fighold/chart/chart.hpp"

#include <pugixml.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

namespace fighold::chart {
namespace {

/// Text and name of a chart file, to convert offsets to line numbers.
struct SourceText
{
  std::string_view mText;
  std::string mName;
};

int
LineOf(const SourceText& aSource, std::ptrdiff_t aOffset)
{
  const auto end = std::min<std::size_t>(aOffset < 0 ? 0 : static_cast<std::size_t>(aOffset),
                                         aSource.mText.size());
  return 1 + static_cast<int>(std::count(
               aSource.mText.begin(), aSource.mText.begin() + static_cast<long>(end), '\n'));
}

Finding
MakeFinding(const SourceText& aSource, int aLine, const std::string& aMessage)
{
  return Finding{ Place{ aSource.mName, aLine, 0 }, aMessage };
}

std::vector<std::string>
ParseActions(const pugi::xml_node& aNode, const SourceText& aSource, Findings& aFindings)
{
  std::vector<std::string> actions;
  for (const pugi::xml_node& it : aNode.children()) {
    const std::string element = it.name();
    if (it.type() == pugi::node_comment) {
      continue;
    }
    const std::string name = it.attribute("name").value();
    if (element != "fighold:do" || name.empty()) {
      aFindings.push_back(
        MakeFinding(aSource,
                    LineOf(aSource, it.offset_debug()),
                    "expected <fighold:do name=\"...\"/>, found <" + element + ">"));
      continue;
    }
    actions.push_back(name);
  }
  return actions;
}

Transition
ParseTransition(const pugi::xml_node& aNode, const SourceText& aSource, Findings& aFindings)
{
  Transition transition;
  transition.mLine = LineOf(aSource, aNode.offset_debug());
  transition.mEvent = aNode.attribute("event").value();
  transition.mGuard = aNode.attribute("cond").value();
  transition.mTarget = aNode.attribute("target").value();
  transition.mActions = ParseActions(aNode, aSource, aFindings);
  if (transition.mEvent.empty()) {
    aFindings.push_back(MakeFinding(aSource, transition.mLine, "transition without an event"));
  }
  return transition;
}

State
ParseState(const pugi::xml_node& aNode, const SourceText& aSource, Findings& aFindings)
{
  State state;
  state.mLine = LineOf(aSource, aNode.offset_debug());
  state.mName = aNode.attribute("id").value();
  state.mFinal = std::string_view(aNode.name()) == "final";
  if (state.mName.empty()) {
    aFindings.push_back(MakeFinding(aSource, state.mLine, "state without an id"));
  }
  for (const pugi::xml_node& it : aNode.children()) {
    const std::string element = it.name();
    if (element == "transition") {
      state.mTransitions.push_back(ParseTransition(it, aSource, aFindings));
    } else if (element == "onentry") {
      const auto actions = ParseActions(it, aSource, aFindings);
      state.mEntryActions.insert(state.mEntryActions.end(), actions.begin(), actions.end());
    } else if (it.type() != pugi::node_comment) {
      aFindings.push_back(MakeFinding(
        aSource, LineOf(aSource, it.offset_debug()), "unsupported element <" + element + ">"));
    }
  }
  return state;
}

const State*
FindState(const Chart& aChart, const std::string& aName)
{
  const auto it = std::find_if(aChart.mStates.begin(),
                               aChart.mStates.end(),
                               [&aName](const State& aState) { return aState.mName == aName; });
  return it == aChart.mStates.end() ? nullptr : &*it;
}

void
CheckTransitions(const Chart& aChart,
                 const State& aState,
                 const SourceText& aSource,
                 Findings& aFindings)
{
  std::set<std::string> unguarded;
  for (const Transition& it : aState.mTransitions) {
    if (!it.mTarget.empty() && FindState(aChart, it.mTarget) == nullptr) {
      aFindings.push_back(
        MakeFinding(aSource, it.mLine, "target \"" + it.mTarget + "\" does not exist"));
    }
    if (unguarded.count(it.mEvent) > 0) {
      aFindings.push_back(MakeFinding(aSource,
                                      it.mLine,
                                      "transition on \"" + it.mEvent +
                                        "\" is never taken: an earlier one has no cond"));
    }
    if (it.mGuard.empty()) {
      unguarded.insert(it.mEvent);
    }
  }
  if (aState.mFinal && !aState.mTransitions.empty()) {
    aFindings.push_back(
      MakeFinding(aSource, aState.mLine, "final state \"" + aState.mName + "\" has transitions"));
  }
}

std::set<std::string>
ReachableStates(const Chart& aChart)
{
  std::set<std::string> reached{ aChart.mInitial };
  std::vector<std::string> pending{ aChart.mInitial };
  while (!pending.empty()) {
    const State* state = FindState(aChart, pending.back());
    pending.pop_back();
    if (state == nullptr) {
      continue;
    }
    for (const Transition& it : state->mTransitions) {
      if (!it.mTarget.empty() && reached.insert(it.mTarget).second) {
        pending.push_back(it.mTarget);
      }
    }
  }
  return reached;
}

void
CheckStates(const Chart& aChart, const SourceText& aSource, Findings& aFindings)
{
  if (FindState(aChart, aChart.mInitial) == nullptr) {
    aFindings.push_back(
      MakeFinding(aSource, 1, "initial state \"" + aChart.mInitial + "\" does not exist"));
  }
  const std::set<std::string> reachable = ReachableStates(aChart);
  std::set<std::string> names;
  for (const State& it : aChart.mStates) {
    if (!names.insert(it.mName).second) {
      aFindings.push_back(
        MakeFinding(aSource, it.mLine, "state \"" + it.mName + "\" is defined twice"));
    }
    if (reachable.count(it.mName) == 0) {
      aFindings.push_back(
        MakeFinding(aSource, it.mLine, "state \"" + it.mName + "\" is not reachable"));
    }
    CheckTransitions(aChart, it, aSource, aFindings);
  }
}

} // namespace

Checked<Chart>
ParseChart(std::string_view aText, const std::string& aSource)
{
  const SourceText source{ aText, aSource };
  Findings findings;
  pugi::xml_document document;
  const auto result = document.load_buffer(aText.data(), aText.size());
  if (!result) {
    findings.push_back(MakeFinding(source,
                                   LineOf(source, result.offset),
                                   std::string("malformed XML: ") + result.description()));
    return { std::nullopt, findings };
  }
  const pugi::xml_node root = document.child("scxml");
  if (!root) {
    findings.push_back(MakeFinding(source, 1, "no <scxml> element"));
    return { std::nullopt, findings };
  }
  Chart chart;
  chart.mSource = aSource;
  chart.mInitial = root.attribute("initial").value();
  for (const pugi::xml_node& it : root.children()) {
    const std::string_view element = it.name();
    if (element == "state" || element == "final") {
      chart.mStates.push_back(ParseState(it, source, findings));
    } else if (it.type() != pugi::node_comment) {
      findings.push_back(MakeFinding(source,
                                     LineOf(source, it.offset_debug()),
                                     "unsupported element <" + std::string(element) + ">"));
    }
  }
  CheckStates(chart, source, findings);
  if (!findings.empty()) {
    return { std::nullopt, findings };
  }
  return { chart, {} };
}

Checked<Chart>
LoadChart(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return { std::nullopt, { Finding{ Place{ aPath.string(), 0, 0 }, "cannot be read" } } };
  }
  const std::string text{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
  return ParseChart(text, aPath.filename().string());
}

} // namespace fighold::chart
