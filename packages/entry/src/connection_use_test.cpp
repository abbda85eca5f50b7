#include "backend_fixture.hpp"
#include "faulty_server.hpp"

#include <algorithm>
#include <atomic>

namespace fighold::entry {
namespace {

using fighold::testing::FaultyConnection;
using fighold::testing::FaultyServer;
using net::ExchangeStage;

/// The backend thread and a server that names the connection in each answer.
struct ConnectionUseFixture : BackendFixture
{
  std::atomic<bool> mRelease{ false };
  FaultyServer mServer{ [](FaultyConnection& aConnection, int) {
    return aConnection.Write(AnswerText(
      aConnection.Header("Fighold-Request-Id"), "", std::to_string(aConnection.Number())));
  } };

  /// Sends a request with an identifier.
  /// @return number of its connection at the server, or nothing if it was not sent
  std::string ConnectionOf(RequestId aId, std::uint32_t aShare = 8)
  {
    Dispatch dispatch = MakeDispatch(mServer.Address(), kTimeout, kTimeout);
    dispatch.mId = aId;
    dispatch.mConnectionShare = aShare;
    return Run(dispatch).mResponse.mBody;
  }
};

// Guards against a connection that carries an identifier once more, so that the copy of the first
// answer with it is taken for the second one, also after other requests.
TEST_CASE_METHOD(ConnectionUseFixture,
                 "Backend, identifier sent again, goes over another connection",
                 "[entry]")
{
  CHECK(ConnectionOf(7) == "1");
  CHECK(ConnectionOf(8) == "1");
  CHECK(ConnectionOf(7) == "2");
  CHECK(ConnectionOf(9) == "2");
  CHECK(ConnectionOf(8) == "2");
  CHECK(ConnectionOf(7) == "3");
}

// Guards against a request that is refused because the only connection has carried its identifier
// before, and against an old connection that stays open beside the new one.
TEST_CASE_METHOD(ConnectionUseFixture,
                 "Backend, identifier sent again and share used up, replaces the connection",
                 "[entry]")
{
  CHECK(ConnectionOf(7, 1) == "1");
  CHECK(ConnectionOf(7, 1) == "2");
  CHECK(ConnectionOf(8, 1) == "2");
  CHECK(Eventually([this] { return mServer.Open() == 1; }));
}

// Guards against a request that is refused, and an idle connection that is closed for nothing,
// because the share has become smaller than the number of open connections.
TEST_CASE_METHOD(ConnectionUseFixture,
                 "Backend, identifier sent again and share below open connections, replaces one",
                 "[entry]")
{
  FaultyServer slow([this](FaultyConnection& aConnection, int) {
    const std::string id = aConnection.Header("Fighold-Request-Id");
    if (id == "5") {
      Eventually([this] { return mRelease.load(); });
    }
    return aConnection.Write(AnswerText(id, "", std::to_string(aConnection.Number())));
  });
  const auto dispatch = [&](RequestId aId, std::uint32_t aShare) {
    Dispatch made = MakeDispatch(slow.Address(), kTimeout, kTimeout);
    made.mId = aId;
    made.mConnectionShare = aShare;
    return made;
  };
  Push(dispatch(5, 2));
  REQUIRE(Eventually([&slow] { return slow.Requests() == 1; }));
  REQUIRE(Run(dispatch(7, 2)).mStage == ExchangeStage::Answered);
  CHECK(Run(dispatch(7, 1)).mResponse.mBody == "3");
  CHECK(Eventually([&slow] { return slow.Open() == 2; }));
  mRelease = true;
  CHECK(Pop().mResult.mStage == ExchangeStage::Answered);
}

// Guards against a memory of identifiers that grows without limit, and against a connection that
// forgets one of them.
TEST_CASE_METHOD(ConnectionUseFixture,
                 "Backend, connection with the maximum of identifiers, forgets none and is closed",
                 "[entry]")
{
  for (std::size_t n = 0; n < kMaxCarriedIds - 1; ++n) {
    REQUIRE(ConnectionOf(100 + n) == "1");
  }
  for (std::size_t n = 0; n < kMaxCarriedIds - 1; ++n) {
    REQUIRE(ConnectionOf(100 + n) == "2");
  }
  CHECK(ConnectionOf(7) == "2");
  CHECK(ConnectionOf(8) == "1");
  CHECK(ConnectionOf(9) == "3");
  CHECK(Eventually([this] { return mServer.Open() == 1; }));
}

// Guards against a connection that counts as idle while its server still works on a request, after
// an answer that belongs to none: the next request waits behind it.
TEST_CASE_METHOD(BackendFixture,
                 "Backend, refusal that names no request, ends the use of its connection",
                 "[entry]")
{
  FaultyServer server([](FaultyConnection& aConnection, int aRequest) {
    return aConnection.Write(
      aRequest == 2 ? "HTTP/1.1 503 Full\r\nFighold-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
                    : AnswerText(aConnection.Header("Fighold-Request-Id")));
  });
  CHECK(Run(MakeDispatch(server.Address(), kTimeout, kTimeout)).mResponse.mStatus == 200);
  Push(MakeDispatch(server.Address(), kTimeout, kTimeout));
  CHECK(Pop().mMeaning == AnswerMeaning::Unusable);
  CHECK(Run(MakeDispatch(server.Address(), kTimeout, kTimeout)).mResponse.mStatus == 200);
  CHECK(server.Connections() == 2);
}

// Guards against the copy of a health answer that is taken for the answer to a later health
// request: it reports a state of the server that has passed.
TEST_CASE_METHOD(BackendFixture, "Backend, health answer written twice, is used once", "[entry]")
{
  std::string first;
  FaultyServer server([&first](FaultyConnection& aConnection, int aRequest) {
    const std::string id = aConnection.Header("Fighold-Request-Id");
    if (aRequest == 1) {
      first = AnswerText(id, "Fighold-Cold-Ms: 0\r\n", "");
      return aConnection.Write(first);
    }
    return aConnection.Write(first + AnswerText(id, "Fighold-Cold-Ms: 900\r\n", ""));
  });
  for (const int cold : { 0, 900 }) {
    Dispatch dispatch = MakeDispatch(server.Address(), kTimeout, kTimeout);
    dispatch.mId = 0;
    Push(dispatch);
    CHECK(Pop().mReport.mCold == Millis(cold));
  }
  CHECK(server.Connections() == 1);
}

} // namespace
} // namespace fighold::entry
