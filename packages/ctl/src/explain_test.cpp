#include "explain.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace fighold::ctl {
namespace {

/// Logs of an entry and of a control process around one request that was sent twice.
struct ExplainFixture
{
  LogFile mEntry{ "entry.log",
                  "listening on 10.0.0.1:8080\n"
                  "time=10.100 level=INFO decision=forward subject=9c41 choice=s1 sends=0\n"
                  "time=10.110 level=INFO decision=forward subject=77aa choice=s2 sends=0\n"
                  "time=10.900 level=INFO decision=forward-again subject=9c41 choice=s2 sends=1\n"
                  "time=11.500 level=WARNING decision=answer subject=9c41 choice=\"\" "
                  "reason=\"read: Connection reset by peer\" elapsed_ms=1400 sends=2 "
                  "outcome=unknown status=502\n" };
  LogFile mControl{ "control.log",
                    "c1 | time=10.700 level=INFO decision=heartbeat subject=s1 reason=departed\n"
                    "c1 | time=10.700 level=INFO decision=heartbeat subject=s7 reason=departed\n"
                    "c1 | time=12.700 level=INFO decision=heartbeat subject=s2 reason=departed\n" };

  Explanation Of(const std::string& aRequest) const
  {
    return Explain(aRequest, { mEntry, mControl });
  }

  void Remove(const std::string& aText)
  {
    const std::size_t n = mEntry.mText.find(aText);
    REQUIRE(n != std::string::npos);
    const std::size_t begin = mEntry.mText.rfind('\n', n) + 1;
    mEntry.mText.erase(begin, mEntry.mText.find('\n', n) + 1 - begin);
  }
};

// Guards against an engineer who has to put the lines of several processes in order by hand.
TEST_CASE_METHOD(ExplainFixture,
                 "Explain, request sent twice, gives its lines and those of its servers in order",
                 "[ctl]")
{
  const Explanation explanation = Of("9c41");
  REQUIRE(explanation.mLines.size() == 4);
  CHECK(explanation.mLines[1].mFile == "control.log");
  CHECK(explanation.mLines[1].mText.find("subject=s1") != std::string::npos);
  CHECK(explanation.mDeciding == 3);
  CHECK(explanation.mVerdict ==
        "not known whether it was run, answered 502 after 1400 ms: read: Connection reset by peer");
  CHECK(explanation.mMissing.empty());
}

// Guards against a conclusion from half of the lines.
TEST_CASE_METHOD(ExplainFixture, "Explain, line of a dispatch missing, says so", "[ctl]")
{
  Remove("decision=forward-again");
  mEntry.mText += "time=12.0 level=WARNING event=log-lines-dropped since_start=7\n";
  const auto missing = Of("9c41").mMissing;
  REQUIRE(missing.size() == 2);
  CHECK(missing[0] == "1 of 2 lines of its dispatches");
  CHECK(missing[1].find("7 since its start") != std::string::npos);
}

TEST_CASE_METHOD(ExplainFixture, "Explain, answer missing, says so and has no verdict", "[ctl]")
{
  Remove("decision=answer");
  const Explanation explanation = Of("9c41");
  CHECK(explanation.mVerdict.empty());
  REQUIRE(explanation.mMissing.size() == 1);
  CHECK(explanation.mMissing[0].find("no answer") != std::string::npos);
}

TEST_CASE_METHOD(ExplainFixture, "Explain, request in no log, has no lines", "[ctl]")
{
  CHECK(Of("0000").mLines.empty());
  CHECK(Explain("9c41", {}).mLines.empty());
}

// Guards against logs that were cut or mixed with other output.
TEST_CASE_METHOD(ExplainFixture, "Explain, logs of any content, ends", "[ctl]")
{
  rc::prop("no fault", [this](const std::string& aText) {
    Explain("9c41", { { "a", aText }, { "b", "time=1 subject=9c41 " + aText } });
    Explain(aText, { mEntry });
  });
  for (std::size_t n = 0; n <= mEntry.mText.size(); ++n) {
    Explain("9c41", { { "cut", mEntry.mText.substr(0, n) } });
  }
}

} // namespace
} // namespace fighold::ctl
