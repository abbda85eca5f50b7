#include "fighold/core/finding.hpp"

#include <utility>

namespace fighold {

std::string
FormatFindings(const Findings& aFindings)
{
  std::string out;
  for (const Finding& it : aFindings) {
    out += it.mPlace.mSource;
    if (it.mPlace.mLine > 0) {
      out += ":" + std::to_string(it.mPlace.mLine);
    }
    if (it.mPlace.mColumn > 0) {
      out += ":" + std::to_string(it.mPlace.mColumn);
    }
    out += ": " + it.mMessage + "\n";
  }
  return out;
}

FindingsError::FindingsError(Findings aFindings)
  : std::runtime_error(FormatFindings(aFindings))
  , mFindings(std::move(aFindings))
{
}

} // namespace fighold
