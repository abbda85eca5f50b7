#include "backend_fixture.hpp"
#include "faulty_server.hpp"

#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

namespace fighold::entry {
namespace {

using fighold::testing::FaultyConnection;
using fighold::testing::FaultyServer;
using net::ExchangeStage;

// Guards against a request that counts as sent although no connection to its server was opened.
TEST_CASE_METHOD(BackendFixture,
                 "Backend, connect refused, reports that nothing was sent",
                 "[entry]")
{
  Endpoint address;
  {
    const FaultyServer server([](FaultyConnection&, int) { return false; });
    address = server.Address();
  }
  CHECK(Run(MakeDispatch(address, Millis(2000), Millis(2000))).mStage == ExchangeStage::NotSent);
}

// Guards against an entry that is suspended and resumed, and then dispatches with an expired claim.
TEST_CASE_METHOD(BackendFixture, "Backend, claim expired, sends nothing", "[entry]")
{
  const FaultyServer server([](FaultyConnection& aConnection, int) {
    aConnection.Answer("run");
    return true;
  });
  Dispatch dispatch = MakeDispatch(server.Address(), kTimeout, kTimeout);
  dispatch.mSendDeadline = In(Millis(-1));
  CHECK(Run(dispatch).mStage == ExchangeStage::NotSent);
  CHECK(server.Requests() == 0);
}

// Guards against sending request after request on old connections that all stopped responding.
TEST_CASE_METHOD(BackendFixture,
                 "Backend, one old connection silent, closes the others and uses a new one",
                 "[entry]")
{
  static constexpr int kOld = 3;
  std::atomic<bool> silent{ false };
  std::atomic<int> waiting{ 0 };
  const FaultyServer server([&](FaultyConnection& aConnection, int aRequest) {
    if (aRequest <= kOld) {
      ++waiting;
      Eventually([&waiting] { return waiting == kOld; });
    }
    if (!silent || aConnection.Number() > kOld) {
      aConnection.Answer("whole");
    }
    return true;
  });
  for (int n = 0; n < kOld; ++n) {
    Push(MakeDispatch(server.Address(), kTimeout, kTimeout));
  }
  for (int n = 0; n < kOld; ++n) {
    CHECK(Pop().mResult.mStage == ExchangeStage::Answered);
  }
  REQUIRE(server.Open() == kOld);
  silent = true;
  const auto lost = Run(MakeDispatch(server.Address(), kTimeout, Millis(200)));
  CHECK(lost.mSilent);
  CHECK(lost.mReused);
  CHECK(Eventually([&server] { return server.Open() == 0; }));
  const auto next = Run(MakeDispatch(server.Address(), kTimeout, kTimeout));
  CHECK(next.mStage == ExchangeStage::Answered);
  CHECK_FALSE(next.mReused);
  CHECK(server.Connections() == kOld + 1);
}

// Guards against an entry that uses the connections of other entries.
TEST_CASE_METHOD(BackendFixture, "Backend, share used up, opens no more connections", "[entry]")
{
  std::atomic<bool> release{ false };
  FaultyServer server([&release](FaultyConnection& aConnection, int) {
    Eventually([&release] { return release.load(); });
    aConnection.Answer("whole");
    return true;
  });
  for (int n = 0; n < 5; ++n) {
    Dispatch dispatch = MakeDispatch(server.Address(), kTimeout, kTimeout);
    dispatch.mConnectionShare = 2;
    Push(dispatch);
  }
  for (int n = 0; n < 3; ++n) {
    CHECK(Pop().mResult.mStage == ExchangeStage::NotSent);
  }
  CHECK(Eventually([&server] { return server.Requests() == 2; }));
  release = true;
  CHECK(Pop().mResult.mStage == ExchangeStage::Answered);
  CHECK(Pop().mResult.mStage == ExchangeStage::Answered);
  CHECK(server.MostOpen() == 2);
}

// Guards against processing that continues for a caller that has disconnected.
TEST_CASE_METHOD(BackendFixture, "Backend, cancelled dispatch, closes its connection", "[entry]")
{
  FaultyServer server([](FaultyConnection&, int) { return true; });
  const Dispatch dispatch = MakeDispatch(server.Address(), kTimeout, kTimeout);
  Push(dispatch);
  REQUIRE(Eventually([&server] { return server.Requests() == 1; }));
  REQUIRE(mChannels.mDispatches.TryPush(BackendCommand(CancelDispatch{ dispatch.mDispatchId })));
  CHECK(Eventually([&server] { return server.Open() == 0; }));
  CHECK_FALSE(mChannels.mInbox.PopUntil(In(Millis(100))));
}

struct PoolFixture
{
  net::FiberLoop mLoop;
  ConnectionPool mPool{ LoadConnectionChart(FIGHOLD_CHARTS_DIR),
                        [this](const Endpoint& aEndpoint) {
                          return std::make_unique<net::HttpConnection>(mLoop, aEndpoint);
                        },
                        {} };

  /// Runs a function in a fiber with one idle connection in the pool.
  void RunWithIdle(const std::function<void(Instant aNow)>& aBody)
  {
    const FaultyServer server([](FaultyConnection& aConnection, int) {
      aConnection.Answer("whole");
      return true;
    });
    std::thread thread([&] {
      mLoop.Run([&] {
        const Instant now = std::chrono::steady_clock::now();
        const auto connection = AcquireConnection(mPool, server.Address(), "1", 1, now);
        connection->mHttp->Connect(now + kTimeout);
        FireConnection(mPool, connection, ConnectionEvent::Connected, now);
        const auto result = connection->mHttp->Exchange({}, now + kTimeout);
        EndExchange(mPool, connection, result, now);
        aBody(now);
        mPool.mByEndpoint.clear();
      });
    });
    thread.join();
  }
};

// Guards against an idle connection that a middlebox has dropped from its table.
TEST_CASE_METHOD(PoolFixture,
                 "CloseStaleConnections, connection idle for long, closes it",
                 "[entry]")
{
  std::vector<std::size_t> idle;
  RunWithIdle([&](Instant aNow) {
    idle.push_back(CountIdle(mPool));
    CloseStaleConnections(mPool, aNow + Millis(14'000));
    idle.push_back(CountIdle(mPool));
    CloseStaleConnections(mPool, aNow + Millis(15'000));
    idle.push_back(CountIdle(mPool));
  });
  CHECK(idle == std::vector<std::size_t>{ 1, 1, 0 });
}

// Guards against a process that ends because the decide thread is behind when a dispatch ends.
TEST_CASE_METHOD(BackendFixture,
                 "Backend, inbox full when a dispatch ends, delivers the result later",
                 "[entry]")
{
  while (mChannels.mInbox.TryPush(Tick{})) {
  }
  Push(MakeDispatch(Endpoint{ "127.0.0.1", 1 }, Millis(5000), Millis(5000)));
  Sleep(200);
  const Instant until = In(kTimeout);
  bool delivered = false;
  while (!delivered && std::chrono::steady_clock::now() < until) {
    const auto event = mChannels.mInbox.PopUntil(In(Millis(100)));
    delivered = event && std::holds_alternative<DispatchDone>(*event);
  }
  CHECK(delivered);
}

// Guards against a planned stop that ends in an abort because a health request is still running.
TEST_CASE_METHOD(BackendFixture,
                 "Backend, inbox closed when a dispatch ends, drops the result and ends",
                 "[entry]")
{
  Push(MakeDispatch(Endpoint{ "127.0.0.1", 1 }, Millis(5000), Millis(5000)));
  mChannels.mInbox.Close();
  mChannels.mDispatches.Close();
  mThread.join();
  mThread = std::thread([] {});
  CHECK(mChannels.mInbox.Size() <= 1);
}

/// A backend thread whose codec throws on the first answer, and while the second one is read.
struct ThrowingCodecFixture : BackendFixture
{
  ThrowingCodecFixture()
    : BackendFixture({}, Codec())
  {
  }

  static BackendCodec Codec()
  {
    BackendCodec codec = NativeBackendCodec();
    codec.mMeaning = [meaning = codec.mMeaning, calls = 0](const Dispatch& aDispatch,
                                                           const net::HttpResponse& aAnswer,
                                                           bool aIsReused) mutable {
      if (++calls == 1) {
        throw std::length_error("too long");
      }
      return meaning(aDispatch, aAnswer, aIsReused);
    };
    codec.mMatchesDispatch = [calls = 0](const Dispatch&, const net::HttpResponse&) mutable {
      if (++calls == 2) {
        throw std::length_error("too long");
      }
      return true;
    };
    return codec;
  }
};

// Guards against an answer that ends the process, or whose request waits until its deadline,
// because it cannot be read by the codec.
TEST_CASE_METHOD(ThrowingCodecFixture,
                 "Backend, codec throws on an answer, ends that dispatch alone and is counted",
                 "[entry]")
{
  FaultyServer server([](FaultyConnection& aConnection, int) {
    aConnection.Answer("body");
    return true;
  });
  for (int n = 0; n < 2; ++n) {
    const auto failed = Run(MakeDispatch(server.Address(), kTimeout, kTimeout));
    CHECK(failed.mStage == ExchangeStage::NoAnswer);
    CHECK(failed.mError == "exception: too long");
  }
  CHECK(Run(MakeDispatch(server.Address(), kTimeout, kTimeout)).mStage == ExchangeStage::Answered);
  CHECK(mChannels.mMetrics.Text().find("fighold_connection_faults_total 2") != std::string::npos);
}

} // namespace
} // namespace fighold::entry
