#include "fighold/entry/backend_codec.hpp"

#include <catch2/catch.hpp>

namespace fighold::entry {
namespace {

struct NativeBackendFixture
{
  BackendCodec mCodec = NativeBackendCodec();
  Dispatch mDispatch;

  NativeBackendFixture() { mDispatch.mId = 17; }
};

// Guards against an earlier refusal that a faulty server writes once more, and that is taken for
// the answer to a request which it runs.
TEST_CASE_METHOD(NativeBackendFixture,
                 "NativeBackendCodec, refusal that repeats another identifier, belongs to another",
                 "[entry]")
{
  const net::Header refusal{ "Fighold-Outcome", "not-run" };
  CHECK(
    mCodec.mMatchesDispatch(mDispatch, { 503, { refusal, { "Fighold-Request-Id", "17" } }, "" }));
  CHECK_FALSE(
    mCodec.mMatchesDispatch(mDispatch, { 503, { refusal, { "Fighold-Request-Id", "16" } }, "" }));
  CHECK(mCodec.mMatchesDispatch(mDispatch, { 503, { refusal }, "" }));
  CHECK_FALSE(mCodec.mMatchesDispatch(
    mDispatch,
    { 503, { refusal, { "Fighold-Request-Id", "17" }, { "fighold-request-id", "16" } }, "" }));
}

/// Headers of a 503 and what they mean on a new connection and on a kept one.
struct RefusalRow
{
  const char* mName;
  net::Headers mHeaders;
  AnswerMeaning mNew;
  AnswerMeaning mKept;
};

// Guards against a caller who is told that a request was not run, which runs: by a refusal of an
// earlier request on its connection, or by one that contradicts itself.
TEST_CASE_METHOD(NativeBackendFixture,
                 "NativeBackendCodec, refusals on new and kept connections, count if they are sure",
                 "[entry]")
{
  const net::Header refusal{ "Fighold-Outcome", "not-run" };
  const net::Header run{ "fighold-outcome", "run" };
  const net::Header own{ "Fighold-Request-Id", "17" };
  const std::vector<RefusalRow> rows{
    { "failure", {}, AnswerMeaning::Result, AnswerMeaning::Result },
    { "failure that ran", { run }, AnswerMeaning::Result, AnswerMeaning::Result },
    { "refusal", { refusal }, AnswerMeaning::NotRun, AnswerMeaning::Unusable },
    { "refusal of the request", { refusal, own }, AnswerMeaning::NotRun, AnswerMeaning::NotRun },
    { "refusal that ran", { refusal, run }, AnswerMeaning::Unusable, AnswerMeaning::Unusable },
    { "the same", { run, refusal, own }, AnswerMeaning::Unusable, AnswerMeaning::Unusable },
  };
  for (const RefusalRow& it : rows) {
    INFO(it.mName);
    const net::HttpResponse response{ 503, it.mHeaders, "" };
    CHECK(mCodec.mMeaning(mDispatch, response, false) == it.mNew);
    CHECK(mCodec.mMeaning(mDispatch, response, true) == it.mKept);
  }
}

TEST_CASE_METHOD(NativeBackendFixture,
                 "NativeBackendCodec, answer with a rate limit, reports it",
                 "[entry]")
{
  const auto report =
    mCodec.mReport(mDispatch, { 200, { { "Fighold-Max-Requests-Per-Second", "2.5" } }, "" });
  CHECK(report.mRate == routes::RateStatement{ 2.5 });
  CHECK(mCodec.mReport(mDispatch, { 200, {}, "" }).mRate == routes::RateStatement{});
}

/// Headers of an answer, and what they say.
struct AvailabilityRow
{
  const char* mName;
  unsigned mStatus;
  net::Headers mHeaders;
  AvailabilityStatement mSaid;
  bool mUnreadable = false;
};

// Guards against a faulty server that takes itself out of use for days by a value that makes no
// sense, or that is not believed because one of several values makes none.
TEST_CASE_METHOD(NativeBackendFixture,
                 "NativeBackendCodec, statements about further requests, have a bounded meaning",
                 "[entry]")
{
  const auto after = [](const std::string& aText) { return net::Header{ "Retry-After", aText }; };
  const std::vector<AvailabilityRow> rows{
    { "nothing", 200, {}, {} },
    { "leaving", 200, { { "Fighold-Leaving", "1" } }, { true, {} } },
    { "leaving in a failure", 500, { { "fighold-leaving", "1" } }, { true, {} } },
    { "0", 200, { { "Fighold-Leaving", "0" } }, {} },
    { "text", 200, { { "Fighold-Leaving", "true" } }, {} },
    { "01", 200, { { "Fighold-Leaving", "01" } }, {} },
    { "differing", 200, { { "Fighold-Leaving", "0" }, { "Fighold-Leaving", "1" } }, { true, {} } },
    { "pause", 503, { after("2") }, { false, Millis(2000) } },
    { "fractions", 503, { after("0.2501") }, { false, Millis(251) } },
    { "zero", 503, { after("0") }, {} },
    { "another status", 429, { after("2") }, {} },
    { "days", 503, { after("864000") }, { false, kMaxPause } },
    { "endless", 503, { after(std::string(30, '9')) }, { false, kMaxPause } },
    { "longer than any number", 503, { after(std::string(400, '9')) }, {}, true },
    { "negative", 503, { after("-1") }, {}, true },
    { "exponent", 503, { after("1e3") }, {}, true },
    { "no number", 503, { after("nan") }, {}, true },
    { "infinite", 503, { after("inf") }, {}, true },
    { "date", 503, { after("Fri, 31 Dec 2027 23:59:59 GMT") }, {}, true },
    { "empty", 503, { after("") }, {}, true },
    { "several", 503, { after("1"), after("3"), after("2") }, { false, Millis(3000) } },
    { "one unreadable", 503, { after("x"), after("1") }, { false, Millis(1000) }, true },
    { "both", 503, { { "Fighold-Leaving", "1" }, after("1") }, { true, Millis(1000) } },
  };
  for (const AvailabilityRow& it : rows) {
    INFO(it.mName);
    const auto report = mCodec.mReport(mDispatch, { it.mStatus, it.mHeaders, "" });
    CHECK(report.mAvailability == it.mSaid);
    CHECK(report.mUnreadableAvailability == it.mUnreadable);
  }
}

} // namespace
} // namespace fighold::entry
