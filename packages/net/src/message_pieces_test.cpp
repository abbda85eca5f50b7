#include "message_pieces.hpp"

#include "environment.hpp"
#include "faulty_server.hpp"
#include "loop_server.hpp"

#include <catch2/catch.hpp>

namespace fighold::net {
namespace {

using testing::FaultyConnection;
using testing::FaultyServer;
using testing::FromEnvironment;
using testing::LoopServer;
using testing::MessagePieces;

/// Time between two pieces, so that the other side reads them one by one.
constexpr std::chrono::milliseconds kPause{ 2 };

/// Places at the end of a message at which it is cut or broken off.
constexpr std::size_t kLastBytes = 14;

/// The test is the other side of a server and of a client, and sends raw bytes.
struct PiecesFixture
{
  std::vector<std::string> mAnswer; ///< pieces that the faulty server sends
  FaultyServer mFaulty{ [this](FaultyConnection& aConnection, int) {
    for (const std::string& it : mAnswer) {
      if (!aConnection.Write(it)) {
        return false;
      }
      std::this_thread::sleep_for(kPause);
    }
    return false;
  } };
  LoopServer mServer{ { { "127.0.0.1", 0 } }, [](const HttpRequest& aRequest) {
                       return HttpResponse{ 200, {}, aRequest.mBody.Text() };
                     } };

  std::string Send(const std::vector<std::string>& aPieces)
  {
    return mServer.Send(aPieces, kPause);
  }

  /// Lets the faulty server answer a request of the client.
  ExchangeResult Receive(const std::vector<std::string>& aPieces)
  {
    mAnswer = aPieces;
    return mServer.Exchange(
      mFaulty.Address(), {}, { std::chrono::steady_clock::now() + std::chrono::seconds(10) });
  }

  bool Serves()
  {
    const std::string sound = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nsound";
    const std::string answer = Send({ sound });
    return answer.find("200") != std::string::npos && answer.find("sound") != std::string::npos;
  }
};

// Guards against a process that ends when a client or a server sends the end of a chunked message
// in two segments, or breaks it off there (review/6).
TEST_CASE_METHOD(PiecesFixture,
                 "HTTP, message cut or broken off at each of its last bytes, ends nothing",
                 "[net]")
{
  const auto cuts = [](const std::string& aMessage, const auto& aCheck) {
    for (std::size_t n = 1; n <= std::min(kLastBytes, aMessage.size() - 1); ++n) {
      const std::size_t at = aMessage.size() - n;
      INFO("cut " << n << " bytes before the end: " << aMessage);
      aCheck(aMessage.substr(0, at), aMessage.substr(at));
    }
  };
  for (const std::string& it : testing::WholeRequests()) {
    cuts(it, [this](const std::string& aFirst, const std::string& aRest) {
      CHECK(Send({ aFirst, aRest }).find("HTTP/1.1 200") == 0);
      CHECK(Send({ aFirst, aRest.substr(0, aRest.size() - 1) }).find("HTTP/1.1 200") ==
            std::string::npos);
    });
  }
  for (const std::string& it : testing::WholeAnswers()) {
    cuts(it, [this](const std::string& aFirst, const std::string& aRest) {
      CHECK(Receive({ aFirst, aRest }).mStage == ExchangeStage::Answered);
      CHECK(Receive({ aFirst, aRest.substr(0, aRest.size() - 1) }).mStage ==
            ExchangeStage::NoAnswer);
    });
  }
  CHECK(Serves());
}

// Guards against a slightly wrong message in pieces that ends the process that reads it.
// FIGHOLD_SEED and FIGHOLD_MESSAGES set a longer run.
TEST_CASE_METHOD(PiecesFixture, "HTTP, seeded broken messages in pieces, end nothing", "[net]")
{
  const std::uint64_t seed = FromEnvironment("FIGHOLD_SEED", 39);
  const std::uint64_t count = FromEnvironment("FIGHOLD_MESSAGES", 200);
  INFO("FIGHOLD_SEED=" << seed);
  MessagePieces state{ std::mt19937_64(seed) };
  const auto requests = testing::WholeRequests();
  const auto answers = testing::WholeAnswers();
  for (std::uint64_t n = 0; n < count; ++n) {
    Send(Cut(state, Break(state, requests[Draw(state, requests.size())])));
    Receive(Cut(state, Break(state, answers[Draw(state, answers.size())])));
  }
  CHECK(Serves());
}

} // namespace
} // namespace fighold::net
