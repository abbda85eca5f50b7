#include "faulty_server.hpp"
#include "loop_server.hpp"

#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <stdexcept>

namespace fighold::net {
namespace {

using testing::FaultyConnection;
using testing::FaultyServer;
using testing::LoopServer;

/// A server whose handler throws on the target "/throw" and answers others after a while.
struct ThrowingFixture
{
  std::atomic<int> mFaults{ 0 };
  LoopServer mServer{ Options(), [](const HttpRequest& aRequest) {
                       if (aRequest.mTarget == "/throw") {
                         throw std::runtime_error("handler failed");
                       }
                       boost::this_fiber::sleep_for(Millis(50));
                       return HttpResponse{ 200, {}, "sound" };
                     } };

  ServerOptions Options()
  {
    ServerOptions options{ { "127.0.0.1", 0 } };
    options.mOnFault = [this](const std::string&) { ++mFaults; };
    return options;
  }

  static std::string Get(const std::string& aTarget)
  {
    return "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }
};

// Guards against an exception of a handler that ends the process instead of its request.
TEST_CASE_METHOD(ThrowingFixture,
                 "HttpServer, handler throws, answers 500 and serves other requests",
                 "[net]")
{
  const std::string answer = mServer.Send({ Get("/throw") });
  CHECK(answer.find("HTTP/1.1 500") == 0);
  CHECK(answer.find("Fighold-Outcome: unknown") != std::string::npos);
  CHECK(mFaults == 1);
  CHECK(mServer.Send({ Get("/") }).find("HTTP/1.1 200") == 0);
}

// Guards against requests that lose their answers because a later one of the same connection fails.
TEST_CASE_METHOD(ThrowingFixture,
                 "HttpServer, handler of a pipelined request throws, answers the earlier request",
                 "[net]")
{
  const std::string answer = mServer.Send({ Get("/") + Get("/throw") });
  CHECK(answer.find("HTTP/1.1 200") == 0);
  CHECK(answer.find("sound") < answer.find("HTTP/1.1 500"));
  CHECK(answer.find("HTTP/1.1 500") != std::string::npos);
}

// Guards against an exception in an exchange that ends the process, or that lets a request count as
// not sent although its server has answered.
TEST_CASE_METHOD(ThrowingFixture,
                 "HttpConnection, exception after the answer was read, ends the exchange alone",
                 "[net]")
{
  FaultyServer faulty([](FaultyConnection& aConnection, int) {
    aConnection.Answer("body");
    return true;
  });
  ExchangeLimits limits;
  limits.mUntil = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  limits.mBelongs = [](const HttpResponse&) -> bool { throw std::length_error("too long"); };
  const auto result = mServer.Exchange(faulty.Address(), {}, limits);
  CHECK(result.mStage == ExchangeStage::NoAnswer);
  CHECK(result.mError == "exception: too long");
  CHECK(mServer.Send({ Get("/") }).find("HTTP/1.1 200") == 0);
}

} // namespace
} // namespace fighold::net
