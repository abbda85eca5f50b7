#include "threads.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

namespace fighold::control {
namespace {

using Tcp = boost::asio::ip::tcp;

/// The front thread with its rings and a dialect of three calls: "/order", which has no number,
/// "/numbered" and "/withdraw". The test stands in for the decide thread.
struct FrontFixture
{
  Channels mChannels;
  Front mFront{ mChannels, Options() };
  std::thread mThread{ [this] { mFront.Run(); } };
  boost::asio::io_context mContext;

  ~FrontFixture()
  {
    mFront.Drain();
    mThread.join();
  }

  static ParsedRequest Parse(CallId aId, const net::HttpRequest& aRequest, const std::string&)
  {
    if (aRequest.mTarget == "/withdraw") {
      return ServerWithdrawal{ aId, { "s-1" }, 5 };
    }
    ChangeCall call;
    call.mId = aId;
    call.mIsNumbered = aRequest.mTarget != "/order";
    return call;
  }

  static FrontOptions Options()
  {
    net::ServerOptions listener{ { "127.0.0.1", 0 } };
    listener.mBudget = std::make_shared<net::MemoryBudget>(std::size_t{ 1 } << 20U);
    const auto answer = [](const net::HttpRequest&, const CallAnswer&) {
      return net::JsonResponse(200, "{}");
    };
    return { { listener }, "", { Parse, answer } };
  }

  Tcp::socket Send(const std::string& aTarget)
  {
    Tcp::socket socket(mContext);
    const Endpoint address = mFront.Address();
    socket.connect({ boost::asio::ip::make_address_v4(address.mHost), address.mPort });
    boost::asio::write(socket,
                       boost::asio::buffer("DELETE " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n"));
    return socket;
  }

  std::optional<Event> Pop(Millis aTime)
  {
    return mChannels.mInbox.PopUntil(std::chrono::steady_clock::now() + aTime);
  }
};

constexpr Millis kQuiet{ 500 };
constexpr Millis kLimit{ 30'000 };

// Guards against an order that waited in the socket of a frozen process, was sent again elsewhere
// and undoes what was ordered and acknowledged after that.
TEST_CASE_METHOD(FrontFixture,
                 "Front, order whose client has given up, is not decided",
                 "[control]")
{
  const auto target = GENERATE(as<std::string>{}, "/order", "/withdraw");
  Send(target).close();
  CHECK_FALSE(Pop(kQuiet));
}

// Guards against the same over a link that was cut: the end of the connection comes later than the
// order, since the sender waits for an acknowledgement of the bytes before it.
TEST_CASE_METHOD(FrontFixture,
                 "Front, order whose client ends a round trip later, is not decided",
                 "[control]")
{
  Tcp::socket socket = Send("/order");
  std::this_thread::sleep_for(Millis(40));
  socket.close();
  CHECK_FALSE(Pop(kQuiet));
}

TEST_CASE_METHOD(FrontFixture, "Front, order whose client waits, is decided", "[control]")
{
  const auto target = GENERATE(as<std::string>{}, "/order", "/withdraw", "/numbered");
  Tcp::socket socket = Send(target);
  const auto event = Pop(kLimit);
  REQUIRE(event);
  const CallId id = target == "/withdraw" ? std::get<ServerWithdrawal>(*event).mId
                                          : std::get<ChangeCall>(*event).mId;
  REQUIRE(mChannels.mAnswers.TryPush(AnswerCall{ id, ChangeCallAnswer{} }));
  std::string text;
  boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n");
  CHECK(text.find("HTTP/1.1 200") == 0);
}

} // namespace
} // namespace fighold::control
