#include "closing_fixture.hpp"
#include "environment.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace fighold::net {
namespace {

using testing::ClosingFixture;
using testing::FromEnvironment;
using testing::RawAnswer;
using testing::ReadAnswer;
using testing::ReadRawAnswer;
using testing::Request;
using testing::SlowClient;

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

// Guards against a refusal of a request at fault that overtakes or cuts off the answer to the
// running request in front of it.
TEST_CASE_METHOD(ClosingFixture,
                 "HttpServer, request at fault behind a running one, is refused after its answer",
                 "[net]")
{
  const std::string line = "GET /fault HTTP/1.1\r\nHost: h\r\n";
  const auto [status, text] = GENERATE_COPY(table<unsigned, std::string>({
    { 400, "no request\r\n\r\n" },
    { 400, line + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx" },
    { 413, line + "Content-Length: 99999999999\r\n\r\n" },
    { 431, line + "X-Large: " + std::string(200'000, 'x') + "\r\n\r\n" },
  }));
  INFO("expected refusal " << status);
  SlowClient client(mServer.Address());
  client.Send(Request("/running", 10, 200) + text);
  const RawAnswer own = ReadRawAnswer(client.mSocket, client.mBuffer);
  CHECK(own == RawAnswer{ true, false, 200, false });
  CHECK(HasRun("/running"));
  const RawAnswer refusal = ReadRawAnswer(client.mSocket, client.mBuffer);
  CHECK(refusal.mIsWhole);
  CHECK(refusal.mCloses);
  CHECK(refusal.mStatus == status);
  CHECK_FALSE(HasRun("/fault"));
}

/// Clients that keep several requests open on a connection, each until the server closes it.
struct PipeliningFixture : ClosingFixture
{
  std::mutex mAnswersMutex;
  std::vector<std::string> mCut; ///< requests without a whole answer, not behind an answer that
                                 ///< says "close"
  std::vector<std::unique_ptr<SlowClient>> mClients; ///< connected, one for each RunClient()

  explicit PipeliningFixture(int aClients)
  {
    for (int n = 0; n < aClients; ++n) {
      mClients.push_back(std::make_unique<SlowClient>(mServer.Address()));
    }
  }

  std::unique_ptr<SlowClient> TakeClient()
  {
    const std::lock_guard lock(mAnswersMutex);
    auto client = std::move(mClients.back());
    mClients.pop_back();
    return client;
  }

  void RunClient(std::uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    const auto taken = TakeClient();
    SlowClient& client = *taken;
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
  // The limit of an entry: some of these clients take 18 s to receive their answers.
  constexpr std::chrono::seconds kSlowClientsLimit{ 60 };
  const std::uint64_t first = FromEnvironment("FIGHOLD_SEED", 1);
  const std::uint64_t runs = FromEnvironment("FIGHOLD_RUNS", 4);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    PipeliningFixture fixture(kClients);
    const bool allEnded =
      testing::StopBesideClients(fixture, kClients, 400, seed, kSlowClientsLimit);
    INFO("seed " << seed);
    CHECK(allEnded);
    CHECK(fixture.Run(fixture.mCut) == std::vector<std::string>{});
  }
}

} // namespace
} // namespace fighold::net
