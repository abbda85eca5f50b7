#pragma once

#include <compare>
#include <string>
#include <vector>

/// The record of a routing or placement decision, as it is logged.
namespace fighold {

/// A candidate that was not chosen.
struct Rejected
{
  std::string mCandidate;
  std::string mReason;

  friend auto operator<=>(const Rejected&, const Rejected&) = default;
};

/// An input of a decision, or a detail of its outcome.
struct Field
{
  std::string mName;
  std::string mValue;

  friend auto operator<=>(const Field&, const Field&) = default;
};

/// One decision. `mChoice` is empty when every candidate was rejected.
struct DecisionRecord
{
  std::string mKind;    ///< "route", "lookup", "shift", "lease", ...
  std::string mSubject; ///< identifier of the request, service or server that the decision is about
  std::string mService;
  std::string mChoice;
  std::string mReason;
  std::vector<Rejected> mRejected;
  std::vector<Field> mFields{}; ///< written behind the others, in this order

  friend auto operator<=>(const DecisionRecord&, const DecisionRecord&) = default;
};

/// @param aRecord decision to print
/// @return one line of key=value pairs; a value with a space, quote or "=" is quoted
std::string
FormatDecision(const DecisionRecord& aRecord);

} // namespace fighold
