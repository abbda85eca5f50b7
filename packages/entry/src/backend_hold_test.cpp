#include "threads.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <thread>

namespace fighold::entry {
namespace {

using Tcp = boost::asio::ip::tcp;

/// The backend thread, and a server whose queue of connections is full, so that a further one waits
/// to be opened.
struct HoldFixture
{
  static constexpr std::chrono::seconds kTimeout{ 30 };

  Channels mChannels;
  Backend mBackend{ mChannels, LoadConnectionChart(FIGHOLD_CHARTS_DIR) };
  std::thread mThread{ [this] { mBackend.Run(); } };
  boost::asio::io_context mContext;
  Tcp::acceptor mAcceptor{ mContext };
  std::vector<Tcp::socket> mQueued;

  HoldFixture()
  {
    mAcceptor.open(Tcp::v4());
    mAcceptor.bind({ boost::asio::ip::address_v4::loopback(), 0 });
    mAcceptor.listen(0);
    mAcceptor.non_blocking(true);
    for (int n = 0; n < 3; ++n) {
      mQueued.emplace_back(mContext, Tcp::v4());
      // Begins at once; nothing waits for its end.
      mQueued.back().async_connect(mAcceptor.local_endpoint(), [](const auto& /*aError*/) {});
    }
  }

  ~HoldFixture()
  {
    mChannels.mDispatches.Close();
    mThread.join();
  }

  void Push(BackendCommand aCommand)
  {
    // The move stays out of the macro: its loop counts as a second use.
    const bool isPushed = mChannels.mDispatches.TryPush(std::move(aCommand));
    REQUIRE(isPushed);
  }

  Dispatch MakeDispatch(const ServerKey& aServer) const
  {
    Dispatch dispatch;
    dispatch.mId = 1;
    dispatch.mDispatchId = 1;
    dispatch.mServer.mId = aServer.mId;
    dispatch.mServer.mIncarnation = aServer.mIncarnation;
    dispatch.mServer.mAddress = { "127.0.0.1", mAcceptor.local_endpoint().port() };
    dispatch.mPayload = SharedValue(net::HttpRequest{ "GET", "/x", {}, "", {}, "h" });
    dispatch.mExchangeDeadline = std::chrono::steady_clock::now() + kTimeout;
    dispatch.mFirstByteDeadline = dispatch.mExchangeDeadline;
    return dispatch;
  }

  /// Accepts connections until a dispatch has ended.
  /// @return the result
  DispatchDone AcceptUntilDone()
  {
    const Instant until = std::chrono::steady_clock::now() + kTimeout;
    std::vector<Tcp::socket> accepted;
    std::optional<Event> event;
    while (!event && std::chrono::steady_clock::now() < until) {
      boost::system::error_code ec;
      Tcp::socket socket(mContext);
      mAcceptor.accept(socket, ec);
      if (!ec) {
        accepted.push_back(std::move(socket));
      }
      event = mChannels.mInbox.PopUntil(std::chrono::steady_clock::now() + Millis(10));
    }
    REQUIRE(event);
    for (Tcp::socket& it : accepted) {
      mReceived += it.available();
    }
    return std::get<DispatchDone>(*event);
  }

  std::size_t mReceived = 0; ///< bytes that reached the server
};

// Guards against a request that is sent to a server which has said, while the connection was being
// opened, that it wants none.
TEST_CASE_METHOD(HoldFixture,
                 "Backend, server is held while a connection opens, sends nothing",
                 "[entry]")
{
  const ServerKey server{ { "s1" }, 7 };
  Push(MakeDispatch(server));
  std::this_thread::sleep_for(Millis(50));
  Push(HoldServer{ server, std::chrono::steady_clock::now() + std::chrono::minutes(1) });
  const DispatchDone done = AcceptUntilDone();
  CHECK(done.mResult.mStage == net::ExchangeStage::NotSent);
  CHECK(done.mResult.mError == "the server wants no requests");
  CHECK(done.mServer == server);
  CHECK(mReceived == 0);
}

// Guards against a hold that ends never, or that meets the next incarnation.
TEST_CASE_METHOD(HoldFixture,
                 "Backend, hold of another incarnation or in the past, sends the request",
                 "[entry]")
{
  const Instant now = std::chrono::steady_clock::now();
  const auto [incarnation, until] =
    GENERATE_COPY(std::pair<Incarnation, Instant>(6, now + std::chrono::minutes(1)),
                  std::pair<Incarnation, Instant>(7, now));
  Push(HoldServer{ { { "s1" }, incarnation }, until });
  Dispatch dispatch = MakeDispatch({ { "s1" }, 7 });
  dispatch.mExchangeDeadline = now + std::chrono::seconds(5);
  dispatch.mFirstByteDeadline = dispatch.mExchangeDeadline;
  Push(dispatch);
  const DispatchDone done = AcceptUntilDone();
  CHECK(done.mResult.mStage == net::ExchangeStage::NoAnswer);
  CHECK(mReceived > 0);
}

} // namespace
} // namespace fighold::entry
