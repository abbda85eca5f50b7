#include "unnamed_fixture.hpp"

namespace fighold::entry {
namespace {

using fighold::testing::FaultyConnection;
using fighold::testing::FaultyServer;

// Guards against the copy of a health answer, or of a refused health request, that ends a request
// although its own answer follows.
TEST_CASE_METHOD(UnnamedHealthFixture,
                 "Backend, health answer written again in front of an answer, is passed over",
                 "[entry]")
{
  const std::string health = GENERATE(as<std::string>{}, "200 OK", "503 Busy");
  FaultyServer server([&health](FaultyConnection& aConnection, int) {
    const std::string id = aConnection.Header("Fighold-Request-Id");
    const std::string copy = AnswerText("", "Fighold-Cold-Ms: 0\r\n", "", health);
    return aConnection.Write(id.empty() ? copy : copy + AnswerText(id));
  });
  CHECK(Ask(server, 0).mResult.mResponse.mStatus == (health == "200 OK" ? 200 : 503));
  const DispatchDone done = Ask(server, 7);
  CHECK(done.mResult.mReused);
  CHECK(done.mMeaning == AnswerMeaning::Result);
  CHECK(done.mResult.mPassedOver == 1);
}

// Guards against a request that waits until its deadline for another answer, where one that names
// no request cannot be the copy of another.
TEST_CASE_METHOD(UnnamedHealthFixture,
                 "Backend, unnamed answer on a connection without health requests, ends the wait",
                 "[entry]")
{
  FaultyServer server([](FaultyConnection& aConnection, int aRequest) {
    const std::string id = aConnection.Header("Fighold-Request-Id");
    return aConnection.Write(AnswerText(aRequest == 1 ? id : ""));
  });
  CHECK(Ask(server, 6).mMeaning == AnswerMeaning::Result);
  const DispatchDone done = Ask(server, 7);
  CHECK(done.mResult.mReused);
  CHECK(done.mMeaning == AnswerMeaning::Unusable);
}

// Guards against the late copy of a request's answer that is taken for a health answer.
TEST_CASE_METHOD(
  UnnamedHealthFixture,
  "Backend, answer to a request written again in front of a health answer, is not it",
  "[entry]")
{
  FaultyServer server([](FaultyConnection& aConnection, int aRequest) {
    const std::string answer = AnswerText("7", "Fighold-Cold-Ms: 0\r\n");
    return aConnection.Write(aRequest == 1 ? answer
                                           : answer + AnswerText("", "Fighold-Cold-Ms: 900\r\n"));
  });
  CHECK(Ask(server, 7).mMeaning == AnswerMeaning::Result);
  const DispatchDone done = Ask(server, 0);
  CHECK(done.mReport.mCold == Millis(900));
  CHECK(done.mResult.mPassedOver == 1);
}

} // namespace
} // namespace fighold::entry
