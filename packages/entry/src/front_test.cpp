#include "fighold/entry/decide.hpp"
#include "front_fixture.hpp"

#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

#include <list>
#include <netinet/tcp.h>

namespace fighold::entry {
namespace {

using Tcp = FrontFixture::Tcp;

std::size_t
Occurrences(const std::string& aText, const std::string& aOf)
{
  std::size_t n = 0;
  for (auto at = aText.find(aOf); at != std::string::npos; at = aText.find(aOf, at + 1)) {
    ++n;
  }
  return n;
}

// Guards against a ring of replies that fills because callers pipeline more requests than it has
// slots, which ended the process.
TEST_CASE_METHOD(FrontFixture,
                 "Front, more requests at once than replies fit, refuses those beyond",
                 "[entry]")
{
  constexpr std::size_t kConnections = 280;
  constexpr std::size_t kPipelined = 16;
  const std::string request = "GET /s/vardia/x HTTP/1.1\r\nHost: h\r\n\r\n";
  std::string requests;
  for (std::size_t n = 0; n < kPipelined; ++n) {
    requests += request;
  }
  std::list<Tcp::socket> sockets;
  for (std::size_t n = 0; n < kConnections; ++n) {
    sockets.push_back(Connect());
    Send(sockets.back(), requests);
  }
  std::vector<RequestId> taken;
  while (const auto event = Pop(std::chrono::seconds(2))) {
    taken.push_back(std::get<CallerRequest>(*event).mId);
  }
  CHECK(taken.size() == kMaxPendingReplies - kReservedReplies);

  // Calls of backend servers and of the platform find their place beside the callers' requests.
  Tcp::socket platform = Connect();
  Send(platform, "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto status = Pop(kTimeout);
  REQUIRE(status);
  taken.push_back(std::get<StatusRequest>(*status).mId);

  for (const RequestId it : taken) {
    CallerAnswer answer;
    answer.mReason = "test";
    REQUIRE(mChannels.mReplies.TryPush(FrontCommand(Reply{ it, answer, false })));
  }
  std::size_t answered = 0;
  std::size_t refused = 0;
  for (Tcp::socket& it : sockets) {
    boost::system::error_code ec;
    it.shutdown(Tcp::socket::shutdown_send, ec);
    std::string text;
    boost::asio::read(it, boost::asio::dynamic_buffer(text), ec);
    answered += Occurrences(text, "HTTP/1.1 ");
    refused += Occurrences(text, "too-many-requests");
  }
  CHECK(answered == kConnections * kPipelined);
  CHECK(refused == kConnections * kPipelined - (kMaxPendingReplies - kReservedReplies));
}

// Guards against a request that lies in the socket of a busy entry until its caller has given up,
// and is sent to a backend server all the same.
TEST_CASE_METHOD(FrontFixture,
                 "Front, request whose caller has left, is not handed over",
                 "[entry]")
{
  // The request and the end of the connection arrive in one segment.
  using Cork = boost::asio::detail::socket_option::boolean<IPPROTO_TCP, TCP_CORK>;
  Tcp::socket left = Connect();
  left.set_option(Cork(true));
  Send(left, "GET /s/vardia/left HTTP/1.1\r\nHost: h\r\n\r\n");
  left.close();
  Tcp::socket waiting = Connect();
  Send(waiting, "GET /s/vardia/waiting HTTP/1.1\r\nHost: h\r\n\r\n");
  std::vector<RequestId> taken;
  while (const auto event = Pop(std::chrono::seconds(1))) {
    const auto* request = std::get_if<CallerRequest>(&*event);
    REQUIRE(request != nullptr);
    CHECK(request->mPayload->mTarget == "/waiting");
    taken.push_back(request->mId);
  }
  REQUIRE(taken.size() == 1);
  REQUIRE(mChannels.mReplies.TryPush(FrontCommand(Reply{ taken[0], CallerAnswer{}, false })));
  CHECK(mChannels.mMetrics.Text().find("requests_abandoned_total 1") != std::string::npos);
}

// Guards against a reply that reaches another caller, because replies come in any order and one of
// the callers, in front of the others or behind them, has left.
TEST_CASE_METHOD(FrontFixture,
                 "Front, replies in any order and one caller gone, reach their own callers",
                 "[entry]")
{
  std::vector<RequestId> taken;
  const auto take = [&](Tcp::socket& aSocket, int aRequests) {
    for (int n = 0; n < aRequests; ++n) {
      Send(aSocket, "GET /s/vardia/x HTTP/1.1\r\nHost: h\r\n\r\n");
      const auto event = Pop(kTimeout);
      REQUIRE(event);
      taken.push_back(std::get<CallerRequest>(*event).mId);
    }
  };
  Tcp::socket left = Connect();
  take(left, 2);
  Tcp::socket pipelined = Connect();
  take(pipelined, 3);
  left.close();
  for (int n = 0; n < 2; ++n) {
    const auto gone = Pop(kTimeout);
    REQUIRE(gone);
    CHECK(std::holds_alternative<CallerGone>(*gone));
  }
  Tcp::socket next = Connect();
  take(next, 1);
  for (auto it = taken.rbegin(); it != taken.rend(); ++it) {
    CallerAnswer answer;
    answer.mOutcome = Outcome::Run;
    answer.mResponse.mBody = "<" + std::to_string(*it) + ">";
    REQUIRE(mChannels.mReplies.TryPush(FrontCommand(Reply{ *it, answer, false })));
  }
  const auto bodies = [](Tcp::socket& aSocket) {
    boost::system::error_code ec;
    aSocket.shutdown(Tcp::socket::shutdown_send, ec);
    std::string text;
    boost::asio::read(aSocket, boost::asio::dynamic_buffer(text), ec);
    std::string found;
    for (std::size_t n = text.find('<'); n != std::string::npos; n = text.find('<', n + 1)) {
      found += text.substr(n, text.find('>', n) - n + 1);
    }
    return found;
  };
  const auto expected = [&taken](std::size_t aFirst, std::size_t aEnd) {
    std::string text;
    for (std::size_t n = aFirst; n < aEnd; ++n) {
      text += "<" + std::to_string(taken[n]) + ">";
    }
    return text;
  };
  CHECK(bodies(pipelined) == expected(2, 5));
  CHECK(bodies(next) == expected(5, 6));
}

// Guards against the word that a caller has left which waits behind its request, so that the
// request is sent to a backend server first.
TEST_CASE_METHOD(FrontFixture,
                 "Front, caller leaves while its request waits, is told before the request",
                 "[entry]")
{
  const auto awaitEvents = [this](std::size_t aCount) {
    const Instant until = std::chrono::steady_clock::now() + kTimeout;
    while (mChannels.mInbox.Size() < aCount && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(Millis(5));
    }
    REQUIRE(mChannels.mInbox.Size() == aCount);
  };
  Tcp::socket left = Connect();
  Send(left, "GET /s/vardia/left HTTP/1.1\r\nHost: h\r\n\r\n");
  awaitEvents(1);
  left.close();
  awaitEvents(2);
  const auto first = Pop(kTimeout);
  const auto second = Pop(kTimeout);
  const auto* gone = std::get_if<CallerGone>(&*first);
  const auto* request = std::get_if<CallerRequest>(&*second);
  REQUIRE(gone != nullptr);
  REQUIRE(request != nullptr);
  CHECK(gone->mId == request->mId);
  REQUIRE(mChannels.mReplies.TryPush(FrontCommand(Reply{ gone->mId, CallerAnswer{}, false })));
}

// Guards against limits for callers that refuse the heartbeats of backend servers at the same
// listener, and against callers who are allowed what these calls need.
TEST_CASE_METHOD(FrontFixture,
                 "Front, limits for callers below what calls need, hold for callers alone",
                 "[entry]")
{
  constexpr std::size_t kMaxHeader = 256;
  REQUIRE(mChannels.mReplies.TryPush(
    FrontCommand(SetCallerLimits{ { kMaxHeader, 0, Millis(1000), Millis(1000) } })));
  std::this_thread::sleep_for(Millis(100));
  const auto request = [](const std::string& aStart, std::size_t aField, std::size_t aBody) {
    return aStart +
           " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Field: " + std::string(aField, 'x') +
           "\r\nContent-Length: " + std::to_string(aBody) + "\r\n\r\n" + std::string(aBody, ' ');
  };
  const auto statusOf = [this](const std::string& aRequest) {
    Tcp::socket socket = Connect();
    Send(socket, aRequest);
    std::string text;
    boost::system::error_code ec;
    boost::asio::read(socket, boost::asio::dynamic_buffer(text), ec);
    return text.substr(0, std::string("HTTP/1.1 413").size());
  };
  CHECK(statusOf(request("POST /s/vardia/x", 1, 1)) == "HTTP/1.1 413");
  CHECK(statusOf(request("GET /s/vardia/x", 2 * kMaxHeader, 0)) == "HTTP/1.1 431");
  // The answer 400 is that of the call itself: it was read, and is no JSON.
  CHECK(statusOf(request("PUT /v1/backend-servers/b", 1, 100)) == "HTTP/1.1 400");
  CHECK(statusOf(request("PUT /v1/backend-servers/b", 2 * kMaxHeader, 1)) == "HTTP/1.1 400");
  CHECK_FALSE(Pop(Millis(0)));
}

/// The decide thread with its rings; the test stands in for the front and for the control group.
struct DecideThreadFixture
{
  Channels mChannels;
  std::function<void()> mOnStopped = [] {};
  std::thread mThread{ [this] { DecideThread(mChannels, InitialState(), mOnStopped); } };

  ~DecideThreadFixture()
  {
    mChannels.mInbox.Close();
    mThread.join();
  }

  static membership::Entry Registration()
  {
    return { 7, { "127.0.0.1", 80 }, { "attiki" }, { "attiki-a" }, 0 };
  }

  static State InitialState()
  {
    Options options;
    options.mId = { "e1" };
    options.mEntry = Registration();
    options.mControls = { { "c1" } };
    return MakeState(options, LoadCharts(FIGHOLD_CHARTS_DIR));
  }

  /// Answers the next renewal with a configuration.
  void Grant(const membership::Configuration& aConfiguration)
  {
    const Instant until = std::chrono::steady_clock::now() + kTimeout;
    std::optional<std::uint64_t> number;
    while (!number && std::chrono::steady_clock::now() < until) {
      const auto sent = mChannels.mControlOut.PopUntil(until);
      if (sent && std::holds_alternative<membership::LeaseRenewal>(sent->mBody)) {
        number = std::get<membership::LeaseRenewal>(sent->mBody).mRequestNumber;
      }
    }
    REQUIRE(number);
    membership::LeaseGrant grant{ *number,
                                  membership::kConfigurationLease,
                                  aConfiguration.mVersion,
                                  SharedValue(aConfiguration),
                                  {} };
    const bool isPushed = mChannels.mInbox.TryPush(GrantReceived{ { "c1" }, std::move(grant) });
    REQUIRE(isPushed);
  }
};

// Guards against new limits for callers that end the process because they find the ring of replies
// full, and against limits that are lost then.
TEST_CASE_METHOD(DecideThreadFixture,
                 "DecideThread, ring of replies full, hands new limits over later",
                 "[entry]")
{
  while (mChannels.mReplies.TryPush(FrontCommand(Reply{}))) {
  }
  membership::Configuration configuration;
  configuration.mVersion = 3;
  configuration.mEntries[{ "e1" }] = Registration();
  routes::RouteSet routes;
  routes.mNumber = 1;
  routes.mLimits.mMaxHeaderBytes = 12'345;
  configuration.mRoutes = SharedValue(std::move(routes));
  Grant(configuration);
  std::this_thread::sleep_for(Millis(300));
  for (std::size_t n = 0; n < kReplySlots; ++n) {
    REQUIRE(mChannels.mReplies.TryPop());
  }
  const auto command = mChannels.mReplies.PopUntil(std::chrono::steady_clock::now() + kTimeout);
  REQUIRE(command);
  REQUIRE(std::holds_alternative<SetCallerLimits>(*command));
  CHECK(std::get<SetCallerLimits>(*command).mLimits.mMaxHeaderBytes == 12'345);
}

} // namespace
} // namespace fighold::entry
