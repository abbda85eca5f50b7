#include "backend_fixture.hpp"
#include "faulty_server.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

using fighold::testing::FaultyConnection;
using fighold::testing::FaultyServer;
using net::ExchangeStage;

/// @param aNumber number of the request at the server
std::string
NumberedAnswer(const std::string& aId, const std::string& aBody, int aNumber = 0)
{
  return AnswerText(aId, "Number: " + std::to_string(aNumber) + "\r\n", aBody);
}

/// Requests with and without a body in their answers, on one connection.
struct FramingFixture : BackendFixture
{
  net::ExchangeResult Send(const FaultyServer& aServer, RequestId aId, const std::string& aMethod)
  {
    Dispatch dispatch = MakeDispatch(aServer.Address(), Millis(300), Millis(300));
    dispatch.mId = aId;
    net::HttpRequest request;
    request.mMethod = aMethod;
    dispatch.mPayload = SharedValue(std::move(request));
    return Run(dispatch);
  }
};

// Guards against a body that is taken for the answer to a later request, and against a connection
// that is used again, because the answer to HEAD has the length of a body that does not follow.
TEST_CASE_METHOD(FramingFixture,
                 "Backend, copy of an answer with another method, is never a later answer",
                 "[entry]")
{
  const bool isHeadFirst = GENERATE(true, false);
  // Bodies look like the answer to the second request.
  const std::string forged = NumberedAnswer("8", "forged");
  const std::string ownHead =
    NumberedAnswer("8", forged).substr(0, NumberedAnswer("8", forged).find(forged));
  const std::size_t length = GENERATE_COPY(
    std::size_t{ 0 }, std::size_t{ 5 }, ownHead.size(), forged.size(), std::size_t{ 100'000 });
  INFO("HEAD first: " << isHeadFirst << ", length " << length);
  const std::string body =
    forged + std::string(std::max(length, forged.size()) - forged.size(), ' ');
  const std::string whole = NumberedAnswer("7", body.substr(0, length));
  const std::string head = whole.substr(0, whole.size() - length);
  FaultyServer server([&](FaultyConnection& aConnection, int aRequest) {
    const std::string first = isHeadFirst ? head : whole;
    const bool isHead = aConnection.Head().rfind("HEAD", 0) == 0;
    const std::string own =
      NumberedAnswer(aConnection.Header("Fighold-Request-Id"), isHead ? "" : forged, aRequest);
    return aConnection.Write(aRequest == 1 ? first : aRequest == 2 ? first + own : own);
  });
  CHECK(Send(server, 7, isHeadFirst ? "HEAD" : "GET").mStage == ExchangeStage::Answered);
  const auto second = Send(server, 8, isHeadFirst ? "GET" : "HEAD");
  if (second.mStage == ExchangeStage::Answered) {
    CHECK(second.mResponse.mBody == (isHeadFirst ? forged : ""));
    CHECK(net::FindHeader(second.mResponse.mHeaders, "Number") == "2");
  }
  const auto third = Send(server, 9, "GET");
  CHECK(third.mResponse.mBody == forged);
  CHECK(net::FindHeader(third.mResponse.mHeaders, "Number") == "3");
}

// Guards against interim answers and copies of earlier answers that end a request whose answer
// follows, and against an endless series of them that holds it.
TEST_CASE_METHOD(FramingFixture,
                 "Backend, up to four interim and foreign answers, are passed over",
                 "[entry]")
{
  const int interim = GENERATE(0, 1, 4);
  const int foreign = GENERATE(0, 1, 3, 4, 5);
  INFO(interim << " interim, " << foreign << " foreign");
  FaultyServer server([&](FaultyConnection& aConnection, int aRequest) {
    std::string text;
    for (int n = 0; n < interim && aRequest == 2; ++n) {
      text += "HTTP/1.1 103 Early Hints\r\nFighold-Request-Id: 8\r\n\r\n";
    }
    for (int n = 0; n < foreign && aRequest == 2; ++n) {
      text += NumberedAnswer("7", "first");
    }
    return aConnection.Write(text +
                             NumberedAnswer(aConnection.Header("Fighold-Request-Id"), "own"));
  });
  CHECK(Send(server, 7, "GET").mResponse.mBody == "own");
  const auto second = Send(server, 8, "GET");
  const bool isAnswered = interim + foreign <= 4;
  CHECK(second.mStage == (isAnswered ? ExchangeStage::Answered : ExchangeStage::NoAnswer));
  CHECK(second.mResponse.mBody == (isAnswered ? "own" : ""));
  CHECK(Send(server, 9, "GET").mResponse.mBody == "own");
}

} // namespace
} // namespace fighold::entry
