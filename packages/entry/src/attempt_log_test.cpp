#include "attempt_log.hpp"

#include "backend_fixture.hpp"
#include "faulty_server.hpp"

namespace fighold::entry {
namespace {

using fighold::testing::FaultyConnection;
using fighold::testing::FaultyServer;

// Guards against a log that cannot tell whether two attempts went over one connection, and whether
// an answer to another request arrived in front of their own.
TEST_CASE_METHOD(BackendFixture,
                 "Backend, answers on a kept connection, are reported with their exchange",
                 "[entry]")
{
  FaultyServer server([](FaultyConnection& aConnection, int aRequest) {
    const std::string id = aConnection.Header("Fighold-Request-Id");
    aConnection.Write((aRequest == 2 ? AnswerText("late") : "") + AnswerText(id));
    return true;
  });
  Push(MakeDispatch(server.Address(), kTimeout, kTimeout));
  const DispatchDone first = Pop();
  Push(MakeDispatch(server.Address(), kTimeout, kTimeout));
  const DispatchDone second = Pop();
  CHECK(first.mExchange == ExchangeId{ 1, 1 });
  CHECK(second.mExchange == ExchangeId{ 1, 2 });
  CHECK_FALSE(IsNotable(first));
  CHECK(IsNotable(second));
  CHECK(AttemptFields(second) == std::vector<Field>{ { "attempt_server", "" },
                                                     { "connection", "1" },
                                                     { "exchange", "2" },
                                                     { "server_status", "200" },
                                                     { "passed_over", "1" } });
  CHECK(mChannels.mMetrics.Text().find("fighold_answers_passed_over_total 1") != std::string::npos);
}

} // namespace
} // namespace fighold::entry
