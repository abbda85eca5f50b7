#include "fighold/core/decision_record.hpp"

#include <catch2/catch.hpp>

namespace fighold {
namespace {

struct DecisionRecordFixture
{
  DecisionRecord mRecord{ "route", "42", "vardia", "attiki-1", "least-outstanding", {} };
};

// Guards against a log line that a parser would split in the wrong place.
TEST_CASE_METHOD(DecisionRecordFixture,
                 "FormatDecision, value with a space and a quote, is quoted",
                 "[core]")
{
  mRecord.mReason = "a \"b\" c";
  CHECK(FormatDecision(mRecord) == "decision=route subject=42 service=vardia choice=attiki-1 "
                                   "reason=\"a \\\"b\\\" c\" rejected=\"\"");
}

// Guards against forged log lines through caller-controlled text.
TEST_CASE_METHOD(DecisionRecordFixture,
                 "FormatDecision, value with a line break, stays one line",
                 "[core]")
{
  mRecord.mService = "x\ndecision=route";
  CHECK(FormatDecision(mRecord).find('\n') == std::string::npos);
}

TEST_CASE_METHOD(DecisionRecordFixture,
                 "FormatDecision, two rejected candidates, lists both with reasons",
                 "[core]")
{
  mRecord.mRejected = { { "a", "leaving" }, { "b", "full" } };
  CHECK(FormatDecision(mRecord).find("rejected=a:leaving,b:full") != std::string::npos);
}

} // namespace
} // namespace fighold
