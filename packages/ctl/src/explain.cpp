#include "explain.hpp"

#include "fighold/core/log_fields.hpp"

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>

namespace fighold::ctl {
namespace {

/// Lines about a server count from this long before the request's first line on: a server is left
/// alone for at most that long after failures.
constexpr double kServerLinesBeforeS = 16;

/// A line with its values.
struct ReadLine
{
  ExplainedLine mLine;
  LogFields mFields;
};

/// @return number at the front of a text, 0 without one
double
NumberOf(const std::string& aText)
{
  double number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

/// Calls a function for each line that has a time and values.
template<typename Visit>
void
ForEachLine(const std::vector<LogFile>& aFiles, const Visit& aVisit)
{
  for (const LogFile& file : aFiles) {
    std::istringstream in(file.mText);
    for (std::string text; std::getline(in, text);) {
      // Whatever collects the logs may have put its own words in front.
      const std::size_t begin = text.find("time=");
      if (begin != std::string::npos) {
        const LogFields fields = ParseLogFields(std::string_view(text).substr(begin));
        aVisit(ReadLine{ { NumberOf(FieldOf(fields, "time")), file.mName, text.substr(begin) },
                         fields });
      }
    }
  }
}

std::vector<ReadLine>
LinesOf(const std::string& aRequest, const std::vector<LogFile>& aFiles)
{
  std::vector<ReadLine> lines;
  ForEachLine(aFiles, [&](const ReadLine& aLine) {
    if (FieldOf(aLine.mFields, "subject") == aRequest) {
      lines.push_back(aLine);
    }
  });
  return lines;
}

bool
IsDispatch(const ReadLine& aLine)
{
  const std::string kind = FieldOf(aLine.mFields, "decision");
  return kind == "forward" || kind == "forward-again";
}

/// Lines in which a process changed its mind about a server that the request was sent to.
std::vector<ReadLine>
LinesOfServers(const std::vector<ReadLine>& aLines, const std::vector<LogFile>& aFiles)
{
  std::set<std::string> servers;
  for (const ReadLine& it : aLines) {
    if (IsDispatch(it)) {
      servers.insert(FieldOf(it.mFields, "choice"));
    }
  }
  const auto [first, last] = std::minmax_element(
    aLines.begin(), aLines.end(), [](const ReadLine& aLeft, const ReadLine& aRight) {
      return aLeft.mLine.mTime < aRight.mLine.mTime;
    });
  std::vector<ReadLine> lines;
  ForEachLine(
    aFiles, [&, from = first->mLine.mTime, until = last->mLine.mTime](const ReadLine& aLine) {
      const std::string kind = FieldOf(aLine.mFields, "decision");
      const double time = aLine.mLine.mTime;
      if ((kind == "server" || kind == "heartbeat") && time >= from - kServerLinesBeforeS &&
          time <= until && servers.count(FieldOf(aLine.mFields, "subject")) > 0) {
        lines.push_back(aLine);
      }
    });
  return lines;
}

std::string
VerdictOf(const LogFields& aAnswer)
{
  const std::string outcome = FieldOf(aAnswer, "outcome");
  const std::string status = FieldOf(aAnswer, "status");
  const std::string reason = FieldOf(aAnswer, "reason");
  const std::string took = " after " + FieldOf(aAnswer, "elapsed_ms") + " ms";
  if (outcome == "run") {
    return "run by " + FieldOf(aAnswer, "choice") + ", which answered " + status + took;
  }
  if (outcome == "not-run") {
    return "not run, answered " + status + took + ": " + reason;
  }
  return "not known whether it was run, answered " + status + took + ": " + reason;
}

/// @return the answer, else the last line
std::size_t
DecidingLine(const std::vector<ReadLine>& aLines)
{
  const auto answer = std::find_if(aLines.rbegin(), aLines.rend(), [](const ReadLine& aLine) {
    return FieldOf(aLine.mFields, "decision") == "answer";
  });
  const auto n = answer == aLines.rend() ? 1 : answer - aLines.rbegin() + 1;
  return aLines.size() - static_cast<std::size_t>(n);
}

std::vector<std::string>
MissingLines(const std::vector<ReadLine>& aLines,
             std::size_t aDeciding,
             const std::vector<LogFile>& aFiles)
{
  std::vector<std::string> missing;
  const LogFields& deciding = aLines[aDeciding].mFields;
  if (FieldOf(deciding, "decision") != "answer") {
    missing.emplace_back(
      "no answer: the request still ran, its process ended, or the line was lost");
  } else {
    const auto sends = static_cast<std::ptrdiff_t>(NumberOf(FieldOf(deciding, "sends")));
    const auto found = std::count_if(aLines.begin(), aLines.end(), IsDispatch);
    if (found < sends) {
      missing.push_back(std::to_string(sends - found) + " of " + std::to_string(sends) +
                        " lines of its dispatches");
    }
  }
  const std::string& file = aLines[aDeciding].mLine.mFile;
  ForEachLine(aFiles, [&](const ReadLine& aLine) {
    if (aLine.mLine.mFile == file && FieldOf(aLine.mFields, "event") == "log-lines-dropped") {
      missing.push_back(file + " says that lines were dropped: " +
                        FieldOf(aLine.mFields, "since_start") + " since its start");
    }
  });
  return missing;
}

} // namespace

Explanation
Explain(const std::string& aRequest, const std::vector<LogFile>& aFiles)
{
  Explanation explanation;
  std::vector<ReadLine> lines = LinesOf(aRequest, aFiles);
  if (lines.empty()) {
    return explanation;
  }
  const auto servers = LinesOfServers(lines, aFiles);
  lines.insert(lines.end(), servers.begin(), servers.end());
  std::stable_sort(lines.begin(), lines.end(), [](const ReadLine& aLeft, const ReadLine& aRight) {
    return aLeft.mLine.mTime < aRight.mLine.mTime;
  });
  explanation.mDeciding = DecidingLine(lines);
  explanation.mMissing = MissingLines(lines, explanation.mDeciding, aFiles);
  const LogFields& deciding = lines[explanation.mDeciding].mFields;
  if (FieldOf(deciding, "decision") == "answer") {
    explanation.mVerdict = VerdictOf(deciding);
  }
  for (ReadLine& it : lines) {
    explanation.mLines.push_back(std::move(it.mLine));
  }
  return explanation;
}

} // namespace fighold::ctl
