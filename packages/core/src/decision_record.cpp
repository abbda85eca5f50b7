#include "fighold/core/decision_record.hpp"

#include <algorithm>
#include <string_view>

namespace fighold {
namespace {

/// @return true for characters that end a line or that a terminal acts on
bool
IsControl(char aChar)
{
  return static_cast<unsigned char>(aChar) < 0x20;
}

void
AppendPair(std::string& aOut, std::string_view aKey, std::string_view aValue)
{
  if (!aOut.empty()) {
    aOut += ' ';
  }
  aOut += aKey;
  aOut += '=';
  const auto special = [](char aChar) {
    return aChar == ' ' || aChar == '"' || aChar == '=' || aChar == '\\' || IsControl(aChar);
  };
  if (!aValue.empty() && std::none_of(aValue.begin(), aValue.end(), special)) {
    aOut += aValue;
    return;
  }
  aOut += '"';
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aOut += '\\';
    }
    aOut += IsControl(c) ? ' ' : c;
  }
  aOut += '"';
}

} // namespace

std::string
FormatDecision(const DecisionRecord& aRecord)
{
  std::string rejected;
  for (const Rejected& it : aRecord.mRejected) {
    rejected += rejected.empty() ? "" : ",";
    rejected += it.mCandidate + ":" + it.mReason;
  }
  std::string out;
  AppendPair(out, "decision", aRecord.mKind);
  AppendPair(out, "subject", aRecord.mSubject);
  AppendPair(out, "service", aRecord.mService);
  AppendPair(out, "choice", aRecord.mChoice);
  AppendPair(out, "reason", aRecord.mReason);
  AppendPair(out, "rejected", rejected);
  for (const Field& it : aRecord.mFields) {
    AppendPair(out, it.mName, it.mValue);
  }
  return out;
}

} // namespace fighold
