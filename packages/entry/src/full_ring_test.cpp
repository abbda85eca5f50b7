#include "forward_fixture.hpp"
#include "front_fixture.hpp"

#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

namespace fighold::entry {
namespace {

// Guards against a request that is refused because the inbox is full and runs all the same.
TEST_CASE_METHOD(FrontFixture,
                 "Front, inbox full, refuses a request without handing it over",
                 "[entry]")
{
  while (mChannels.mInbox.TryPush(Tick{}, kInboxReserve)) {
  }
  const std::size_t before = mChannels.mInbox.Size();
  Tcp::socket socket = Connect();
  Send(socket, "GET /s/vardia/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  std::string text;
  boost::system::error_code ec;
  boost::asio::read(socket, boost::asio::dynamic_buffer(text), ec);
  CHECK(text.rfind("HTTP/1.1 503", 0) == 0);
  CHECK(text.find("not-run") != std::string::npos);
  CHECK(text.find("inbox-full") != std::string::npos);
  CHECK(mChannels.mInbox.Size() == before);
  for (std::size_t n = 0; n < before; ++n) {
    const auto event = Pop(Millis(0));
    REQUIRE(event);
    CHECK(std::holds_alternative<Tick>(*event));
  }
}

/// The decide thread of an entry with a route set, while the backend thread takes no commands.
struct FullDispatchesFixture : ForwardFixture
{
  Channels mChannels;
  std::thread mThread;

  FullDispatchesFixture()
  {
    mNow = std::chrono::steady_clock::now();
    Grant();
    while (mChannels.mDispatches.TryPush(BackendCommand(HoldServer{}))) {
    }
    mThread = std::thread([this] { DecideThread(mChannels, mState, [] {}); });
  }

  ~FullDispatchesFixture()
  {
    mChannels.mInbox.Close();
    mThread.join();
  }

  void PushRequest(const std::string& aTarget)
  {
    ForwardRequest request;
    request.mId = mNextId++;
    net::HttpRequest payload;
    payload.mTarget = aTarget;
    payload.mHost = "desk.example";
    request.mPayload = SharedValue(payload);
    REQUIRE(mChannels.mInbox.TryPush(Event(request)));
  }

  ForwardAnswer WaitForAnswer()
  {
    const Instant until = std::chrono::steady_clock::now() + kTimeout;
    while (auto command = mChannels.mReplies.PopUntil(until)) {
      if (const auto* reply = std::get_if<Reply>(&*command)) {
        return std::get<ForwardAnswer>(reply->mAnswer);
      }
    }
    FAIL("no reply");
    return {};
  }
};

// Guards against a promise that a request was not run while its dispatch still waits for the
// backend thread, and against a request that gets no answer because its dispatch found no slot.
TEST_CASE_METHOD(FullDispatchesFixture,
                 "DecideThread, ring of dispatches full, refuses a request and dispatches nothing",
                 "[entry]")
{
  const auto target = GENERATE(as<std::string>(), "/read/1", "/claim/1");
  PushRequest(target);
  CHECK(WaitForAnswer().mOutcome == Outcome::NotRun);
  while (const auto command = mChannels.mDispatches.TryPop()) {
    CHECK(std::holds_alternative<HoldServer>(*command));
  }
}

// Guards against a dispatch that is lost although the ring has a slot; without it the case above
// would also hold for a fixture whose requests are refused for another reason.
TEST_CASE_METHOD(FullDispatchesFixture,
                 "DecideThread, one free slot in the ring of dispatches, dispatches the request",
                 "[entry]")
{
  REQUIRE(mChannels.mDispatches.TryPop());
  PushRequest("/read/1");
  const Instant until = std::chrono::steady_clock::now() + kTimeout;
  std::size_t dispatches = 0;
  while (dispatches == 0) {
    const auto command = mChannels.mDispatches.PopUntil(until);
    REQUIRE(command);
    dispatches += std::holds_alternative<Dispatch>(*command) ? 1 : 0;
  }
  CHECK_FALSE(mChannels.mReplies.TryPop());
}

} // namespace
} // namespace fighold::entry
