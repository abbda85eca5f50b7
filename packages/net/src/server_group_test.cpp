#include "fighold/net/server_group.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/future.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <mutex>
#include <thread>

namespace fighold::net {
namespace {

using Tcp = boost::asio::ip::tcp;

/// Two servers with handlers that wait until the test, or the end of a stop, lets them return.
struct ServerGroupFixture
{
  static constexpr std::size_t kMoreThanSocketsHold = 32'000'000;

  ServerGroupFixture()
  {
    mThread = std::thread([this] { mLoop.Run([this] { Run(); }); });
    mAddresses = mStarted.get_future().get();
  }

  ~ServerGroupFixture()
  {
    if (mThread.joinable()) {
      mThread.join();
    }
  }
  ServerGroupFixture(const ServerGroupFixture&) = delete;
  ServerGroupFixture& operator=(const ServerGroupFixture&) = delete;

  void Run()
  {
    std::vector<std::unique_ptr<HttpServer>> servers;
    std::vector<Endpoint> addresses;
    for (int n = 0; n < 2; ++n) {
      ServerOptions options{ { "127.0.0.1", 0 } };
      options.mOnUnanswered = [this](const UnansweredRequests& aRequests) {
        mUnanswered.push_back(aRequests);
      };
      servers.push_back(std::make_unique<HttpServer>(
        mLoop, options, [this](const HttpRequest& aRequest) -> HttpResponse {
          if (aRequest.mTarget == "/large") {
            return { 200, {}, std::string(kMoreThanSocketsHold, 'x') };
          }
          mReturn.wait();
          return { 200, {}, "whole" };
        }));
      addresses.push_back(servers.back()->Address());
    }
    mStarted.set_value(addresses);
    RunServers(servers,
               mStop.get_future(),
               { [this](const StopProgress& aProgress) { mProgress.push_back(aProgress); },
                 [this] { Return(); } });
  }

  void Return()
  {
    if (!mHasReturned) {
      mHasReturned = true;
      mMayReturn.set_value();
    }
  }

  void Stop(Duration aGracePeriod)
  {
    mStoppedAt = std::chrono::steady_clock::now();
    mLoop.Post([this, aGracePeriod] { mStop.set_value(PlanStop(mStoppedAt, aGracePeriod)); });
  }

  Tcp::socket Send(std::size_t aServer, const std::string& aTarget)
  {
    Tcp::socket socket(mContext);
    const Endpoint& address = mAddresses.at(aServer);
    socket.connect({ boost::asio::ip::make_address_v4(address.mHost), address.mPort });
    boost::asio::write(socket,
                       boost::asio::buffer("GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n"));
    return socket;
  }

  /// @return all that arrives until the connection ends
  static std::string ReadAll(Tcp::socket& aSocket)
  {
    std::string text;
    boost::system::error_code ec;
    boost::asio::read(aSocket, boost::asio::dynamic_buffer(text), ec);
    return text;
  }

  boost::asio::io_context mContext;
  FiberLoop mLoop;
  boost::fibers::promise<StopBudget> mStop;
  boost::fibers::promise<void> mMayReturn;
  boost::fibers::shared_future<void> mReturn{ mMayReturn.get_future() };
  bool mHasReturned = false;
  std::vector<StopProgress> mProgress;         ///< of the loop's thread
  std::vector<UnansweredRequests> mUnanswered; ///< of the loop's thread
  std::promise<std::vector<Endpoint>> mStarted;
  std::vector<Endpoint> mAddresses;
  Instant mStoppedAt{};
  std::thread mThread;
};

// Guards against a stop that waits for a handler longer than the process lives, and that closes its
// connection without an answer.
TEST_CASE_METHOD(ServerGroupFixture,
                 "RunServers, handlers that do not return, are ended and answered in time",
                 "[net]")
{
  constexpr std::chrono::seconds kGracePeriod{ 6 };
  Tcp::socket first = Send(0, "/");
  Tcp::socket second = Send(1, "/");
  std::this_thread::sleep_for(Millis(100));
  Stop(kGracePeriod);
  CHECK(ReadAll(first).find("whole") != std::string::npos);
  CHECK(ReadAll(second).find("whole") != std::string::npos);
  CHECK(std::chrono::steady_clock::now() >= PlanStop(mStoppedAt, kGracePeriod).mHandlerDeadline);
  first.close();
  second.close();
  mThread.join();
  CHECK(std::chrono::steady_clock::now() < mStoppedAt + kGracePeriod);
  CHECK(mUnanswered.empty());
  REQUIRE(mProgress.size() >= 2);
  CHECK(mProgress.front().mConnections.mUnanswered == 2);
  CHECK(mProgress.back().mHasEnded);
  CHECK(mProgress.back().mConnections == ConnectionCounts{});
}

// Guards against a client that does not read and holds a stop until the process is killed, and
// against a connection that is cut without a trace.
TEST_CASE_METHOD(ServerGroupFixture,
                 "RunServers, answer that is not read, is cut in time and reported",
                 "[net]")
{
  constexpr std::chrono::seconds kGracePeriod{ 3 };
  const Tcp::socket client = Send(0, "/large");
  std::this_thread::sleep_for(Millis(100));
  Stop(kGracePeriod);
  mThread.join();
  CHECK(std::chrono::steady_clock::now() < mStoppedAt + kGracePeriod);
  CHECK(mUnanswered == std::vector<UnansweredRequests>{ { UnansweredCause::StopExpired, 1, {} } });
}

// Guards against a stop that cuts off what is answered within its budget.
TEST_CASE_METHOD(ServerGroupFixture,
                 "RunServers, handlers that return in time, are answered",
                 "[net]")
{
  Tcp::socket socket = Send(0, "/");
  std::this_thread::sleep_for(Millis(100));
  Stop(std::chrono::seconds(30));
  std::this_thread::sleep_for(Millis(300));
  mLoop.Post([this] { Return(); });
  const std::string answer = ReadAll(socket);
  CHECK(answer.find("whole") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
}

} // namespace
} // namespace fighold::net
