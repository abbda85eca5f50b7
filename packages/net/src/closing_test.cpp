#include "environment.hpp"
#include "loop_server.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <random>
#include <set>

namespace fighold::net {
namespace {

using testing::FromEnvironment;
using testing::LoopServer;
using Tcp = boost::asio::ip::tcp;

/// Value of a header field that the test's handler reads.
std::size_t
NumberOf(const HttpRequest& aRequest, const std::string& aName)
{
  return std::stoul(FindHeader(aRequest.mHeaders, aName).value_or("0"));
}

/// Request whose answer has a body of some bytes, after some time.
std::string
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
    boost::system::error_code ec;
    const std::size_t head =
      boost::asio::read_until(mSocket, boost::asio::dynamic_buffer(mBuffer), "\r\n\r\n", ec);
    const std::string lines = mBuffer.substr(0, head);
    constexpr std::string_view kLength = "Content-Length: ";
    const auto at = lines.find(kLength);
    if (ec || at == std::string::npos) {
      return {};
    }
    const std::size_t whole = head + std::stoul(lines.substr(at + kLength.size()));
    if (mBuffer.size() < whole) {
      boost::asio::read(mSocket,
                        boost::asio::dynamic_buffer(mBuffer),
                        boost::asio::transfer_exactly(whole - mBuffer.size()),
                        ec);
    }
    const bool isWhole = mBuffer.size() >= whole;
    mBuffer.erase(0, whole);
    return { isWhole, lines.find("Connection: close") != std::string::npos };
  }
};

/// A server whose answers have the size and come after the time that the request asks for. The
/// target "/last" is answered with "Connection: close".
struct ClosingFixture
{
  static constexpr std::size_t kLargeAnswer = 400'000;

  std::mutex mMutex;
  std::set<std::string> mRan; ///< targets
  LoopServer mServer{ { { "127.0.0.1", 0 } }, [this](const HttpRequest& aRequest) {
                       boost::this_fiber::sleep_for(Millis(NumberOf(aRequest, "X-Millis")));
                       const std::lock_guard lock(mMutex);
                       mRan.insert(aRequest.mTarget);
                       Headers headers;
                       if (aRequest.mTarget == "/last") {
                         headers.push_back({ "Connection", "close" });
                       }
                       return HttpResponse{ 200,
                                            std::move(headers),
                                            std::string(NumberOf(aRequest, "X-Bytes"), 'x') };
                     } };

  bool HasRun(const std::string& aTarget)
  {
    const std::lock_guard lock(mMutex);
    return mRan.count(aTarget) > 0;
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
};

// Guards against a close that resets the connection because of a request behind the last answer:
// the kernel dropped what the client had not received of that answer.
TEST_CASE_METHOD(ClosingFixture,
                 "HttpServer, request behind the last answer, leaves that answer whole",
                 "[net]")
{
  SlowClient client(mServer.Address());
  client.Send(Request("/last", kLargeAnswer));
  WaitUntilRun("/last");
  client.Send(Request("/behind", 1));
  std::this_thread::sleep_for(Millis(100));
  CHECK(client.Read() == ReadAnswer{ true, true });
  CHECK_FALSE(HasRun("/behind"));
}

// Guards against the same reset where a stop finds a connection without a request, while its client
// still receives an answer that does not say "close".
TEST_CASE_METHOD(ClosingFixture,
                 "HttpServer, request after a stop during the delivery of an answer, is answered",
                 "[net]")
{
  SlowClient client(mServer.Address());
  client.Send(Request("/first", kLargeAnswer));
  WaitUntilRun("/first");
  std::thread stop([this] { CHECK(mServer.Stop()); });
  std::this_thread::sleep_for(Millis(100));
  client.Send(Request("/second", kLargeAnswer));
  CHECK(client.Read() == ReadAnswer{ true, false });
  CHECK(client.Read() == ReadAnswer{ true, true });
  stop.join();
}

// Guards against a stop that ends the wait for the client and so resets the connection after all.
TEST_CASE_METHOD(ClosingFixture,
                 "HttpServer, stop while the last answer is delivered, leaves that answer whole",
                 "[net]")
{
  SlowClient client(mServer.Address());
  client.Send(Request("/last", kLargeAnswer));
  WaitUntilRun("/last");
  client.Send(Request("/behind", 1));
  std::thread stop([this] { CHECK(mServer.Stop()); });
  std::this_thread::sleep_for(Millis(200));
  client.Send(Request("/behind", 1));
  CHECK(client.Read() == ReadAnswer{ true, true });
  stop.join();
}

// Guards against a client that never closes its side and so holds a connection, or a stop, for
// good.
TEST_CASE_METHOD(ClosingFixture,
                 "HttpServer, client sends on behind the last answer, is disconnected",
                 "[net]")
{
  SlowClient client(mServer.Address());
  client.Send(Request("/last", 10));
  CHECK(client.Read() == ReadAnswer{ true, true });
  std::atomic<bool> isDisconnected{ false };
  std::thread sender([&] {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!isDisconnected && std::chrono::steady_clock::now() < until) {
      isDisconnected = !client.Send(Request("/behind", 1));
      std::this_thread::sleep_for(Millis(10));
    }
  });
  CHECK(mServer.Stop());
  sender.join();
  CHECK(isDisconnected);
  CHECK_FALSE(HasRun("/behind"));
}

/// Clients that keep several requests open on a connection, each until the server closes it.
struct PipeliningFixture : ClosingFixture
{
  std::mutex mAnswersMutex;
  std::vector<std::string> mCut; ///< requests without a whole answer, not behind an answer that
                                 ///< says "close"

  void RunClient(std::uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    SlowClient client(mServer.Address());
    const std::size_t depth = 1 + random() % 8;
    std::deque<std::string> open;
    bool ended = false;
    for (std::size_t n = 0; !ended; ++n) {
      while (open.size() < depth && !ended) {
        open.push_back("/" + std::to_string(aSeed) + "-" + std::to_string(n++));
        const std::size_t bytes = random() % 4 == 0 ? random() % 200'000 : random() % 2000;
        ended = !client.Send(Request(open.back(), bytes, static_cast<int>(random() % 20)));
      }
      std::this_thread::sleep_for(Millis(random() % 5));
      const ReadAnswer answer = client.Read();
      if (answer.mIsWhole) {
        open.pop_front();
      }
      if (answer.mIsWhole && answer.mCloses) {
        return;
      }
      ended = ended || !answer.mIsWhole;
    }
    const std::lock_guard lock(mAnswersMutex);
    mCut.insert(mCut.end(), open.begin(), open.end());
  }
};

// Guards against any order of pipelined requests, slow clients and a stop in which a request runs
// and its answer is cut off. FIGHOLD_SEED and FIGHOLD_RUNS are for longer runs by hand.
TEST_CASE("HttpServer, stop beside pipelining clients, cuts no answer off", "[net]")
{
  constexpr int kClients = 12;
  const std::uint64_t first = FromEnvironment("FIGHOLD_SEED", 1);
  const std::uint64_t runs = FromEnvironment("FIGHOLD_RUNS", 4);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    PipeliningFixture fixture;
    std::mt19937_64 random(seed);
    std::vector<std::thread> clients;
    clients.reserve(kClients);
    for (int n = 0; n < kClients; ++n) {
      clients.emplace_back([&fixture, own = random()] { fixture.RunClient(own); });
    }
    std::this_thread::sleep_for(Millis(100 + random() % 400));
    const bool allEnded = fixture.mServer.Stop();
    for (std::thread& it : clients) {
      it.join();
    }
    INFO("seed " << seed);
    CHECK(allEnded);
    auto& lost = fixture.mCut;
    lost.erase(
      std::remove_if(lost.begin(),
                     lost.end(),
                     [&fixture](const std::string& aTarget) { return !fixture.HasRun(aTarget); }),
      lost.end());
    CHECK(lost == std::vector<std::string>{});
  }
}

} // namespace
} // namespace fighold::net
