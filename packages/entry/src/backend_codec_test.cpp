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

} // namespace
} // namespace fighold::entry
