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
  std::size_t mMaxAnswer = std::numeric_limits<std::size_t>::max(); ///< limit of each exchange
  bool mWriteOnce = false;                                          ///< nothing follows mStart

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
      while (!mWriteOnce && aConnection.Write(mBlock)) {
        mWritten += mBlock.size();
      }
      return mWriteOnce;
    });
    std::vector<ExchangeResult> results(aCount);
    ExchangeLimits limits;
    limits.mUntil = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    limits.mMaxBodyBytes = mMaxAnswer;
    std::thread thread([&] {
      FiberLoop loop;
      loop.Run([&] {
        std::vector<boost::fibers::fiber> calls;
        calls.reserve(results.size());
        for (ExchangeResult& it : results) {
          calls.emplace_back([&] {
            HttpConnection connection(loop, server.Address(), mOptions);
            it = connection.Exchange({}, limits);
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
                 "HttpConnection, many answers without end, stay within the budget of the process",
                 "[net]")
{
  const std::string bytes(kBlock, 'x');
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<EndlessRow> rows{
    { "body without a length", ok + "\r\n", bytes },
    { "chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + bytes + "\r\n" },
    { "body with a length", ok + "Content-Length: 20000000\r\n\r\n", bytes },
    { "one header", ok + "X-Long: ", bytes },
  };
  mOptions.mMaxBodyBytes = 32U << 20U;
  mOptions.mMaxHeaderBytes = 4U << 20U;
  constexpr std::size_t kConnections = 20;
  for (const EndlessRow& it : rows) {
    INFO(it.mName);
    mStart = it.mStart;
    mBlock = it.mBlock;
    mOptions.mBudget = std::make_shared<MemoryBudget>(16U << 20U);
    for (const ExchangeResult& result : Exchange(kConnections)) {
      CHECK(result.mStage == ExchangeStage::NoAnswer);
    }
    CHECK(mOptions.mBudget->Highest() <= mOptions.mBudget->Limit());
    CHECK(mOptions.mBudget->Used() == 0);
  }
}

// Guards against a process that runs out of memory by whole answers that slow callers have not
// taken yet.
TEST_CASE_METHOD(EndlessAnswerFixture,
                 "HttpConnection, whole answers that are kept, stay within the budget",
                 "[net]")
{
  constexpr std::size_t kBody = 1U << 20U;
  constexpr std::size_t kLimit = 16U << 20U;
  mStart = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n" +
           std::string(kBody, 'x');
  mBlock = "";
  mOptions.mBudget = std::make_shared<MemoryBudget>(kLimit);
  mWriteOnce = true;
  std::size_t held = 0;
  std::size_t answered = 0;
  {
    const auto results = Exchange(20);
    for (const ExchangeResult& it : results) {
      held += it.mResponse.mBody.capacity();
      answered += it.mStage == ExchangeStage::Answered ? 1 : 0;
    }
    CHECK(mOptions.mBudget->Used() >= held);
  }
  CHECK(answered >= 2);
  CHECK(held <= kLimit);
  CHECK(mOptions.mBudget->Highest() <= kLimit);
  CHECK(mOptions.mBudget->Used() == 0);
}

// Guards against a health answer that may be as long as an answer for a caller.
TEST_CASE_METHOD(EndlessAnswerFixture,
                 "HttpConnection, limit of the exchange, goes before that of the connection",
                 "[net]")
{
  mStart = "HTTP/1.1 200 OK\r\n\r\n";
  mBlock = std::string(kBlock, 'x');
  mMaxAnswer = 100'000;
  const auto results = Exchange(1);
  CHECK(results[0].mStage == ExchangeStage::NoAnswer);
  CHECK(mWritten < mMaxAnswer + kSocketBuffers);
  mStart = "HTTP/1.1 200 OK\r\nContent-Length: 100001\r\n\r\n";
  CHECK(Exchange(1)[0].mError.find("body limit") != std::string::npos);
}

} // namespace
} // namespace fighold::net
