#pragma once

#include "loop_server.hpp"
#include "raw_answer.hpp"

#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <mutex>
#include <random>
#include <set>
#include <string>

/// A server and raw clients for tests of how connections end.
namespace fighold::testing {

/// Request whose answer has a body of some bytes, after some time.
inline std::string
Request(const std::string& aTarget, std::size_t aBytes, int aMillis = 0)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\nX-Bytes: " + std::to_string(aBytes) +
         "\r\nX-Millis: " + std::to_string(aMillis) + "\r\n\r\n";
}

/// What a client has read of one answer.
struct ReadAnswer
{
  bool mIsWhole = false;
  bool mCloses = false; ///< no further answer follows

  friend auto operator<=>(const ReadAnswer&, const ReadAnswer&) = default;
};

/// A client with a small window, so that most of an answer waits in the server's socket.
struct SlowClient
{
  using Tcp = boost::asio::ip::tcp;

  boost::asio::io_context mContext;
  Tcp::socket mSocket{ mContext };
  std::string mBuffer;

  explicit SlowClient(const Endpoint& aServer)
  {
    constexpr int kReceiveBuffer = 4096;
    mSocket.open(Tcp::v4());
    mSocket.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBuffer));
    mSocket.connect({ boost::asio::ip::make_address_v4(aServer.mHost), aServer.mPort });
    mSocket.set_option(Tcp::no_delay(true));
  }

  bool Send(const std::string& aText)
  {
    boost::system::error_code ec;
    boost::asio::write(mSocket, boost::asio::buffer(aText), ec);
    return !ec;
  }

  ReadAnswer Read()
  {
    const RawAnswer answer = ReadRawAnswer(mSocket, mBuffer);
    return { answer.mIsWhole, answer.mCloses };
  }
};

/// A server whose answers have the size and come after the time that the request asks for. The
/// target "/last" is answered with "Connection: close".
struct ClosingFixture
{
  static constexpr std::size_t kLargeAnswer = 400'000;

  explicit ClosingFixture(net::ServerOptions aOptions = { { "127.0.0.1", 0 } })
    : mServer(std::move(aOptions),
              [this](const net::HttpRequest& aRequest) { return Handle(aRequest); })
  {
  }

  net::HttpResponse Handle(const net::HttpRequest& aRequest)
  {
    boost::this_fiber::sleep_for(Millis(NumberOf(aRequest, "X-Millis")));
    const std::lock_guard lock(mMutex);
    mRan.insert(aRequest.mTarget);
    net::Headers headers;
    if (aRequest.mTarget == "/last") {
      headers.push_back({ "Connection", "close" });
    }
    return { 200, std::move(headers), std::string(NumberOf(aRequest, "X-Bytes"), 'x') };
  }

  /// @return value of a header field that the handler reads
  static std::size_t NumberOf(const net::HttpRequest& aRequest, const std::string& aName)
  {
    return std::stoul(net::FindHeader(aRequest.mHeaders, aName).value_or("0"));
  }

  bool HasRun(const std::string& aTarget)
  {
    const std::lock_guard lock(mMutex);
    return mRan.count(aTarget) > 0;
  }

  /// @return those of the targets that have run
  std::vector<std::string> Run(std::vector<std::string> aTargets)
  {
    aTargets.erase(std::remove_if(aTargets.begin(),
                                  aTargets.end(),
                                  [this](const auto& aTarget) { return !HasRun(aTarget); }),
                   aTargets.end());
    return aTargets;
  }

  void WaitUntilRun(const std::string& aTarget)
  {
    for (int n = 0; n < 1000 && !HasRun(aTarget); ++n) {
      std::this_thread::sleep_for(Millis(5));
    }
    REQUIRE(HasRun(aTarget));
    // The answer is written to the socket right after.
    std::this_thread::sleep_for(Millis(100));
  }

  std::mutex mMutex;
  std::set<std::string> mRan; ///< targets
  LoopServer mServer;
};

/// Runs clients, each with a seed of its own, beside a server that is stopped after 100 ms or more.
/// @param aFixture has RunClient(), which returns when its connection has ended
/// @param aRandomMillis random part of the time until the stop
/// @param aLimit longest time of the stop
/// @return true if all connections ended in time
template<typename Fixture>
bool
StopBesideClients(Fixture& aFixture,
                  int aClients,
                  unsigned aRandomMillis,
                  std::uint64_t aSeed,
                  std::chrono::seconds aLimit)
{
  std::mt19937_64 random(aSeed);
  std::vector<std::thread> clients;
  for (int n = 0; n < aClients; ++n) {
    clients.emplace_back([&aFixture, own = random()] { aFixture.RunClient(own); });
  }
  std::this_thread::sleep_for(Millis(100 + random() % aRandomMillis));
  const bool allEnded = aFixture.mServer.Stop(aLimit);
  for (std::thread& it : clients) {
    it.join();
  }
  return allEnded;
}

} // namespace fighold::testing
