#include "loop_server.hpp"

#include <catch2/catch.hpp>

namespace fighold::net {
namespace {

using testing::LoopServer;

constexpr std::size_t kMaxHeaderBytes = 1U << 20U;

/// A server that answers with the target and the fields of the request, and a client that takes
/// them.
struct LongFieldsFixture
{
  LoopServer mServer{ Options(), [](const HttpRequest& aRequest) {
                       HttpResponse response{ 200, aRequest.mHeaders, "" };
                       response.mBody = aRequest.mMethod + aRequest.mTarget;
                       return response;
                     } };

  static ServerOptions Options()
  {
    ServerOptions options{ { "127.0.0.1", 0 } };
    options.mMaxHeaderBytes = kMaxHeaderBytes;
    return options;
  }

  ExchangeResult Exchange(const HttpRequest& aRequest)
  {
    ClientOptions options;
    options.mMaxHeaderBytes = kMaxHeaderBytes;
    ExchangeLimits limits;
    limits.mUntil = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    return mServer.Exchange(mServer.Address(), aRequest, limits, options);
  }
};

// Guards against a process that ends when a field, its name, the target or the method is longer
// than 65,533 bytes although the limit on the head allows it (review/8).
TEST_CASE_METHOD(LongFieldsFixture,
                 "HTTP, field, name, target or method of any length in the limit, is passed on",
                 "[net]")
{
  for (const std::size_t size :
       { 60'000, 65'533, 65'534, 65'535, 65'536, 66'000, 200'000, 900'000 }) {
    INFO(size << " bytes");
    const std::string text(size, 'x');
    HttpRequest field;
    field.mHeaders = { { "X-Long", text }, { "X-After", "1" } };
    HttpRequest name;
    name.mHeaders = { { text, "1" } };
    HttpRequest target;
    target.mTarget = "/" + text;
    HttpRequest method;
    method.mMethod = text;
    for (const HttpRequest& it : { field, name, target, method }) {
      const ExchangeResult result = Exchange(it);
      REQUIRE(result.mError == "");
      CHECK(result.mResponse.mHeaders == it.mHeaders);
      CHECK(result.mResponse.mBody == it.mMethod + it.mTarget);
    }
  }
}

// Guards against a head that is taken although it is longer than the limit, or whose refusal ends
// the process.
TEST_CASE_METHOD(LongFieldsFixture, "HTTP, head beyond the limit, is refused", "[net]")
{
  HttpRequest request;
  request.mHeaders = { { "X-Long", std::string(kMaxHeaderBytes, 'x') } };
  CHECK(Exchange(request).mResponse.mStatus == 431);
  request.mHeaders = { { "X-Short", "1" } };
  CHECK(Exchange(request).mResponse.mStatus == 200);
}

} // namespace
} // namespace fighold::net
