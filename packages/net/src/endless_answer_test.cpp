#include "faulty_server.hpp"
#include "fighold/net/http_client.hpp"

#include <boost/fiber/fiber.hpp>
#include <catch2/catch.hpp>

namespace fighold::net {
namespace {

using testing::FaultyConnection;
using testing::FaultyServer;

constexpr std::size_t kBlock = 64U << 10U;

/// The kernel's socket buffers on both sides take in this much more than the client reads.
constexpr std::size_t kSocketBuffers = 16U << 20U;

/// A server whose answers begin with mStart and go on with mBlock until the client closes.
struct EndlessAnswerFixture
{
  std::string mStart;
  std::string mBlock;
  std::atomic<std::size_t> mWritten{ 0 };
  ClientOptions mOptions;

  EndlessAnswerFixture()
  {
    mOptions.mUntilClose = true;
    mOptions.mMaxBodyBytes = 4U << 20U;
  }

  /// @return results of as many exchanges at the same time, each on a connection of its own
  std::vector<ExchangeResult> Exchange(std::size_t aCount)
  {
    FaultyServer server([this](FaultyConnection& aConnection, int) {
      if (!aConnection.Write(mStart)) {
        return false;
      }
      while (aConnection.Write(mBlock)) {
        mWritten += mBlock.size();
      }
      return false;
    });
    std::vector<ExchangeResult> results(aCount);
    std::thread thread([&] {
      FiberLoop loop;
      loop.Run([&] {
        std::vector<boost::fibers::fiber> calls;
        calls.reserve(results.size());
        for (ExchangeResult& it : results) {
          calls.emplace_back([&] {
            HttpConnection connection(loop, server.Address(), mOptions);
            it =
              connection.Exchange({}, std::chrono::steady_clock::now() + std::chrono::seconds(60));
          });
        }
        for (auto& it : calls) {
          it.join();
        }
      });
    });
    thread.join();
    return results;
  }
};

/// Start of an answer and what follows without end.
struct EndlessRow
{
  const char* mName;
  std::string mStart;
  std::string mBlock;
};

// Guards against a process that runs out of memory, or holds a request until its deadline, by an
// answer that goes on until the client closes.
TEST_CASE_METHOD(EndlessAnswerFixture,
                 "HttpConnection, answer without end, is broken off at the limit",
                 "[net]")
{
  const std::string bytes(kBlock, 'x');
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<EndlessRow> rows{
    { "status line", "HTTP/1.1 200 ", bytes },
    { "no answer at all", "", bytes },
    { "one header", ok + "X-Long: ", bytes },
    { "many headers", ok, "X-Many: 1\r\n" },
    { "body without a length", ok + "\r\n", bytes },
    { "body with a huge length", ok + "Content-Length: 99999999999\r\n\r\n", bytes },
    { "chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n" },
    { "chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", std::string(kBlock, '0') },
    { "chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n4;x=", bytes },
    { "trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", bytes },
    { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  };
  for (const EndlessRow& it : rows) {
    INFO(it.mName);
    mStart = it.mStart;
    mBlock = it.mBlock;
    mWritten = 0;
    const auto results = Exchange(1);
    CHECK(results[0].mStage == ExchangeStage::NoAnswer);
    CHECK(results[0].mError.find("imeout") == std::string::npos);
    CHECK(mWritten < mOptions.mMaxBodyBytes + kSocketBuffers);
  }
}

// Guards against a process that runs out of memory because servers send answers without end on many
// connections, each of them within its limit.
TEST_CASE_METHOD(EndlessAnswerFixture,
                 "HttpConnection, many answers without end, stay within the budget of the loop",
                 "[net]")
{
  mStart = "HTTP/1.1 200 OK\r\n\r\n";
  mBlock = std::string(kBlock, 'x');
  mOptions.mMaxBodyBytes = 8U << 20U;
  mOptions.mBudget = std::make_shared<AnswerBudget>();
  mOptions.mBudget->mMaxBytes = 16U << 20U;
  mOptions.mBudget->mMaxShare = 256U << 10U;
  constexpr std::size_t kConnections = 20;
  for (const ExchangeResult& it : Exchange(kConnections)) {
    CHECK(it.mStage == ExchangeStage::NoAnswer);
  }
  const AnswerBudget& budget = *mOptions.mBudget;
  CHECK(budget.mHighest > budget.mMaxBytes);
  CHECK(budget.mHighest <= budget.mMaxBytes + kConnections * budget.mMaxShare);
  CHECK(budget.mUsed == 0);
}

} // namespace
} // namespace fighold::net
