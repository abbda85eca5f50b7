#pragma once

#include <cstddef>
#include <string>
#include <vector>

/// The way from the identifier of a request to the line that decided it.
namespace fighold::ctl {

/// Log of one process.
struct LogFile
{
  std::string mName;
  std::string mText;
};

/// A line about a request, or about a backend server that the request was sent to.
struct ExplainedLine
{
  double mTime = 0; ///< s, by the clock of the process
  std::string mFile;
  std::string mText;

  friend auto operator<=>(const ExplainedLine&, const ExplainedLine&) = default;
};

/// What the logs say of one request.
struct Explanation
{
  std::vector<ExplainedLine> mLines; ///< in the order of their times
  std::size_t mDeciding = 0;         ///< index of the line that decided the outcome
  std::string mVerdict;              ///< outcome and cause in one sentence
  std::vector<std::string> mMissing; ///< lines that ought to be there and are not

  friend auto operator<=>(const Explanation&, const Explanation&) = default;
};

/// Puts the lines of one request in order.
/// @param aRequest identifier of the request
/// @param aFiles logs of processes, of any content
/// @return explanation; without lines when no log names the request
Explanation
Explain(const std::string& aRequest, const std::vector<LogFile>& aFiles);

} // namespace fighold::ctl
