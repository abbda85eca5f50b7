#include "fighold/core/decision_record.hpp"

#include <string_view>

namespace fighold {
namespace {

void
AppendPair(std::string& aOut, std::string_view aKey, std::string_view aValue)
{
  if (!aOut.empty()) {
    aOut += ' ';
  }
  aOut += aKey;
  aOut += '=';
  const bool plain =
    !aValue.empty() && aValue.find_first_of(" \"=\\\n\r\t") == std::string_view::npos;
  if (plain) {
    aOut += aValue;
    return;
  }
  aOut += '"';
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aOut += '\\';
    }
    const bool control = static_cast<unsigned char>(c) < 0x20;
    aOut += control ? ' ' : c;
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
