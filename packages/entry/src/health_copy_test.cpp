#include "unnamed_fixture.hpp"

#include <map>
#include <random>
#include <vector>

namespace fighold::entry {
namespace {

using fighold::testing::FaultyConnection;
using fighold::testing::FaultyServer;
using net::ExchangeStage;

/// A server that writes copies of its health answers at any later place of a connection. Its state
/// changes with each health request.
struct CopyingServer
{
  std::mt19937_64 mRandom;
  std::map<int, std::vector<std::string>> mHealthAnswers; ///< by connection
  int mCold = 0;
  FaultyServer mServer{ [this](FaultyConnection& aConnection, int) { return Serve(aConnection); } };

  explicit CopyingServer(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  bool Serve(FaultyConnection& aConnection)
  {
    std::vector<std::string>& earlier = mHealthAnswers[aConnection.Number()];
    std::string text;
    while (!earlier.empty() && mRandom() % 3 == 0) {
      text += earlier[mRandom() % earlier.size()];
    }
    const std::string id = aConnection.Header("Fighold-Request-Id");
    if (!id.empty()) {
      return aConnection.Write(text + AnswerText(id));
    }
    mCold = 1 + static_cast<int>(mRandom() % 900);
    const std::string cold = "Fighold-Cold-Ms: " + std::to_string(mCold) + "\r\n";
    earlier.push_back(AnswerText("", cold, "", mRandom() % 2 == 0 ? "200 OK" : "503 Busy"));
    return aConnection.Write(text + earlier.back());
  }
};

// Guards against an earlier state of a server that is taken for its present one, and a request that
// ends without its answer, because health answers are written again at any later place.
TEST_CASE_METHOD(UnnamedHealthFixture,
                 "Backend, health answers written again at any place, none is used twice",
                 "[entry]")
{
  int used = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    CopyingServer server(seed);
    for (RequestId id = 1; id <= 30; ++id) {
      const DispatchDone health = Ask(server.mServer, 0);
      if (health.mReport.mCold) {
        CHECK(*health.mReport.mCold == Millis(server.mCold));
        ++used;
      }
      // More than four copies end the exchange, without an answer that is another's.
      const DispatchDone request = Ask(server.mServer, id);
      CHECK((request.mMeaning == AnswerMeaning::Result ||
             request.mResult.mStage == ExchangeStage::NoAnswer));
    }
  }
  CHECK(used > 300);
}

/// The same with a long time in which the answer behind a copy may arrive.
struct SlowHealthFixture : BackendFixture
{
  SlowHealthFixture()
    : BackendFixture({}, UnnamedHealthFixture::Codec(), Millis(1000))
  {
  }
};

// Guards against an earlier state of a server that is believed because the answer itself comes a
// moment after the copy.
TEST_CASE_METHOD(SlowHealthFixture,
                 "Backend, health answer a moment behind a copy, neither is used",
                 "[entry]")
{
  FaultyServer server([](FaultyConnection& aConnection, int aRequest) {
    aConnection.Write(AnswerText("", "Fighold-Cold-Ms: 0\r\n"));
    if (aRequest == 2) {
      Sleep(20);
      aConnection.Write(AnswerText("", "Fighold-Cold-Ms: 900\r\n"));
    }
    return true;
  });
  std::vector<std::optional<Millis>> reported;
  for (int n = 0; n < 3; ++n) {
    Dispatch dispatch = MakeDispatch(server.Address(), kTimeout, kTimeout);
    dispatch.mId = 0;
    Push(dispatch);
    reported.push_back(Pop().mReport.mCold);
  }
  CHECK(reported == std::vector<std::optional<Millis>>{ Millis(0), std::nullopt, Millis(0) });
  CHECK(server.Connections() == 2);
}

// Guards against the statements of a server that leaves, which are lost because its health answer
// ends the connection.
TEST_CASE_METHOD(SlowHealthFixture,
                 "Backend, health answer that ends the connection, is used",
                 "[entry]")
{
  FaultyServer server([](FaultyConnection& aConnection, int aRequest) {
    const std::string close = aRequest == 2 ? "Connection: close\r\n" : "";
    return aConnection.Write(AnswerText("", close + "Fighold-Leaving: 1\r\n"));
  });
  for (int n = 0; n < 2; ++n) {
    Dispatch dispatch = MakeDispatch(server.Address(), kTimeout, kTimeout);
    dispatch.mId = 0;
    Push(dispatch);
    CHECK(Pop().mReport.mAvailability.mLeaving);
  }
}

} // namespace
} // namespace fighold::entry
