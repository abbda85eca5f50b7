#pragma once

#include <compare>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

/// Findings: errors that are collected with their place and reported together.
namespace fighold {

/// Where a finding was made: a file, a flag or a sheet, with line (or row) and column where known;
/// 0 is "not known".
struct Place
{
  std::string mSource;
  int mLine = 0;
  int mColumn = 0;

  friend auto operator<=>(const Place&, const Place&) = default;
};

/// One error with its place.
struct Finding
{
  Place mPlace;
  std::string mMessage;

  friend auto operator<=>(const Finding&, const Finding&) = default;
};

using Findings = std::vector<Finding>;

/// A value, or the findings that explain why there is none.
template<typename T>
struct Checked
{
  std::optional<T> mValue;
  Findings mFindings;
};

/// @param aFindings findings to print
/// @return one line for each finding: "source:line:column: message"
std::string
FormatFindings(const Findings& aFindings);

/// Thrown where a caller cannot go on with findings, such as at start.
class FindingsError : public std::runtime_error
{
public:
  /// @param aFindings at least one finding
  explicit FindingsError(Findings aFindings);

  /// @return all findings, in the order in which they were made
  const Findings& All() const { return mFindings; }

private:
  Findings mFindings;
};

} // namespace fighold
