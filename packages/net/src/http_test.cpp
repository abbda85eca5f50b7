#include "fighold/net/http_client.hpp"
#include "fighold/net/http_server.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

#include <ctime>

namespace fighold::net {
namespace {

struct HttpFixture
{
  FiberLoop mLoop;
  ServerOptions mOptions{ { "127.0.0.1", 0 } };

  static Instant In(Millis aTime) { return std::chrono::steady_clock::now() + aTime; }

  /// Runs a test body with a server on the loop, in a thread of its own since a loop takes a whole
  /// thread.
  void Run(const Handler& aHandler, const std::function<void(HttpServer&)>& aBody)
  {
    std::thread thread([&] {
      mLoop.Run([&] {
        HttpServer server(mLoop, mOptions, aHandler);
        boost::fibers::fiber serve([&server] { server.Serve(); });
        aBody(server);
        server.Stop(In(Millis(10'000)));
        serve.join();
      });
    });
    thread.join();
  }
};

TEST_CASE_METHOD(HttpFixture, "HttpConnection, two requests, reuse one connection", "[net]")
{
  HttpResponse first;
  HttpResponse second;
  bool reusable = false;
  Run(
    [](const HttpRequest& aRequest) {
      return HttpResponse{ 200,
                           { { "X-Method", aRequest.mMethod } },
                           aRequest.mTarget + aRequest.mBody.Text() };
    },
    [&](HttpServer& aServer) {
      HttpConnection connection(mLoop, aServer.Address());
      first = connection.Exchange({ "POST", "/a", {}, "body", {} }, In(Millis(5000))).mResponse;
      reusable = connection.Reusable();
      second = connection.Exchange({ "GET", "/b", {}, "", {} }, In(Millis(5000))).mResponse;
    });
  CHECK(first.mBody == "/abody");
  CHECK(FindHeader(first.mHeaders, "x-method") == "POST");
  CHECK(reusable);
  CHECK(second.mBody == "/b");
}

// Guards against a stop that cuts off a request in flight.
TEST_CASE_METHOD(HttpFixture, "HttpServer, stop while a request runs, answers it first", "[net]")
{
  ExchangeResult result;
  bool stopped = false;
  Run(
    [](const HttpRequest&) {
      boost::this_fiber::sleep_for(Millis(200));
      return HttpResponse{ 200, {}, "done" };
    },
    [&](HttpServer& aServer) {
      HttpConnection connection(mLoop, aServer.Address());
      boost::fibers::fiber call([&] { result = connection.Exchange({}, In(Millis(10'000))); });
      boost::this_fiber::sleep_for(Millis(50));
      stopped = aServer.Stop(In(Millis(10'000)));
      call.join();
    });
  CHECK(stopped);
  CHECK(result.mResponse.mBody == "done");
}

// Guards against an answer that arrives after its deadline and is read as the next request's
// answer.
TEST_CASE_METHOD(HttpFixture,
                 "HttpConnection, answer later than the deadline, is not reusable",
                 "[net]")
{
  ExchangeResult result;
  bool reusable = true;
  Run(
    [](const HttpRequest&) {
      boost::this_fiber::sleep_for(Millis(300));
      return HttpResponse{};
    },
    [&](HttpServer& aServer) {
      HttpConnection connection(mLoop, aServer.Address());
      result = connection.Exchange({}, In(Millis(50)));
      reusable = connection.Reusable();
    });
  CHECK(result.mStage == ExchangeStage::NoAnswer);
  CHECK_FALSE(reusable);
}

TEST_CASE_METHOD(HttpFixture,
                 "HttpConnection, nobody listens, reports that nothing was sent",
                 "[net]")
{
  ExchangeResult result;
  Endpoint address;
  Run([](const HttpRequest&) { return HttpResponse{}; },
      [&](HttpServer& aServer) { address = aServer.Address(); });
  std::thread thread([&] {
    FiberLoop loop;
    loop.Run([&] { result = HttpConnection(loop, address).Exchange({}, In(Millis(2000))); });
  });
  thread.join();
  CHECK(result.mStage == ExchangeStage::NotSent);
}

// Guards against a process that ends when it connects to an address that cannot be read, such as
// one that an earlier version has registered.
TEST_CASE_METHOD(HttpFixture,
                 "HttpConnection, host that is no address, reports that nothing was sent",
                 "[net]")
{
  std::vector<ExchangeResult> results;
  Run([](const HttpRequest&) { return HttpResponse{}; },
      [&](HttpServer& aServer) {
        for (const char* it : { "127.0.0.01", "somewhere", "127.0.0.1.1", "" }) {
          HttpConnection connection(mLoop, { it, aServer.Address().mPort });
          results.push_back(connection.Exchange({}, In(Millis(5000))));
        }
        HttpConnection connection(mLoop, aServer.Address());
        results.push_back(connection.Exchange({}, In(Millis(5000))));
      });
  REQUIRE(results.size() == 5);
  for (std::size_t n = 0; n < 4; ++n) {
    CHECK(results[n].mStage == ExchangeStage::NotSent);
    CHECK(results[n].mError.find("is no IPv4 address") != std::string::npos);
  }
  CHECK(results[4].mStage == ExchangeStage::Answered);
}

// Guards against a process that ends because a request cannot be written.
TEST_CASE_METHOD(HttpFixture,
                 "HttpConnection, TRACE with a body, reports that nothing was sent",
                 "[net]")
{
  ExchangeResult result;
  Run([](const HttpRequest&) { return HttpResponse{}; },
      [&](HttpServer& aServer) {
        HttpConnection connection(mLoop, aServer.Address());
        result = connection.Exchange({ "TRACE", "/", {}, "body", {} }, In(Millis(5000)));
      });
  CHECK(result.mStage == ExchangeStage::NotSent);
  CHECK(result.mError == "TRACE with a body");
}

// Guards against a daemon that ends with an error which does not name the address at fault.
TEST_CASE_METHOD(HttpFixture, "HttpServer, host that is no address, names it", "[net]")
{
  CHECK_THROWS_WITH(HttpServer(mLoop, { { "127.0.0.01", 0 } }, Handler()),
                    "cannot listen on 127.0.0.01:0: no IPv4 address");
}

TEST_CASE_METHOD(HttpFixture, "HttpServer, body over the limit, refuses with 413", "[net]")
{
  mOptions.mMaxBodyBytes = 10;
  unsigned status = 0;
  Run([](const HttpRequest&) { return HttpResponse{}; },
      [&](HttpServer& aServer) {
        HttpConnection connection(mLoop, aServer.Address());
        status = connection.Exchange({ "POST", "/", {}, "12345678901", {} }, In(Millis(5000)))
                   .mResponse.mStatus;
      });
  CHECK(status == 413);
}

// Guards against a scheduler that polls, and against one that spins once an event arrives while a
// fiber sleeps.
TEST_CASE_METHOD(HttpFixture,
                 "FiberLoop, fibers sleep and an event arrives, uses no processor time",
                 "[net]")
{
  double used = 0;
  Run([](const HttpRequest&) { return HttpResponse{}; },
      [&](HttpServer&) {
        const std::clock_t before = std::clock();
        boost::fibers::fiber sleeper([] { boost::this_fiber::sleep_for(Millis(600)); });
        boost::this_fiber::sleep_for(Millis(10));
        mLoop.Post([] {});
        boost::this_fiber::sleep_for(Millis(490));
        used = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        sleeper.join();
      });
  CHECK(used < 0.05);
}

} // namespace
} // namespace fighold::net
