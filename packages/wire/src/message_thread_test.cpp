#include "fighold/wire/message_thread.hpp"

#include <catch2/catch.hpp>
#include <zmq.h>

#include <array>
#include <thread>

namespace fighold::wire {
namespace {

/// Longest wait for a message that must arrive; generous, since the machine may be busy.
constexpr std::chrono::seconds kArrival{ 20 };

/// Wait during which a message that must not arrive is sent again and again.
constexpr Millis kSilence{ 700 };

KeyPair
MakeKeys()
{
  std::array<char, 41> publicKey{};
  std::array<char, 41> secretKey{};
  REQUIRE(::zmq_curve_keypair(publicKey.data(), secretKey.data()) == 0);
  return { publicKey.data(), secretKey.data() };
}

/// One process with its message thread.
struct Process
{
  OutboundRing mOut{ 64 };
  ring::BoundedRing<std::string> mArrived{ 4096 }; ///< senders of the messages that arrived
  MessageSockets mSockets;
  std::thread mThread;

  explicit Process(MessageOptions aOptions)
    : mSockets(std::move(aOptions), mOut)
    , mThread([this] {
      mSockets.Run(
        [this](const Envelope& aEnvelope) { mArrived.TryPush(std::string(aEnvelope.mFrom)); });
    })
  {
  }
  ~Process()
  {
    mOut.Close();
    mThread.join();
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Send(const std::string& aTo) { mOut.TryPush({ aTo, membership::ChangeReply{ 1, {} } }); }
};

struct MessageFixture
{
  KeyPair mControl = MakeKeys();
  KeyPair mEntry = MakeKeys();
  Process mServer{
    { "c1", 1, Endpoint{ "127.0.0.1", 0 }, {}, Keys{ mControl, { { "e1", mEntry.mPublic } } } }
  };

  MessageOptions Client(const std::string& aSelf, std::optional<Keys> aKeys) const
  {
    return { aSelf, 1, std::nullopt, { { "c1", mServer.mSockets.Address() } }, std::move(aKeys) };
  }

  Keys Known(const KeyPair& aOwn) const { return { aOwn, { { "c1", mControl.mPublic } } }; }

  /// Sends until the server has a message, or the time is over.
  std::optional<std::string> SendFor(Process& aClient, Duration aTime)
  {
    const Instant until = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < until) {
      aClient.Send("c1");
      if (auto from = mServer.mArrived.PopUntil(std::chrono::steady_clock::now() + Millis(50))) {
        return from;
      }
    }
    return std::nullopt;
  }

  /// The server still takes messages of the process that it knows.
  bool KnownProcessPasses()
  {
    Process client(Client("e1", Known(mEntry)));
    return SendFor(client, kArrival) == "e1";
  }
};

TEST_CASE_METHOD(MessageFixture,
                 "MessageSockets, keys known to each other, pass messages both ways",
                 "[wire]")
{
  Process client(Client("e1", Known(mEntry)));
  REQUIRE(SendFor(client, kArrival) == "e1");
  mServer.Send("e1");
  CHECK(client.mArrived.PopUntil(std::chrono::steady_clock::now() + kArrival) == "c1");
}

TEST_CASE_METHOD(MessageFixture, "MessageSockets, client without keys, passes no message", "[wire]")
{
  {
    Process client(Client("e1", std::nullopt));
    CHECK_FALSE(SendFor(client, kSilence).has_value());
  }
  CHECK(KnownProcessPasses());
}

TEST_CASE_METHOD(MessageFixture,
                 "MessageSockets, client with an unknown key, passes no message",
                 "[wire]")
{
  {
    Process client(Client("e1", Known(MakeKeys())));
    CHECK_FALSE(SendFor(client, kSilence).has_value());
  }
  CHECK(KnownProcessPasses());
}

// Guards against a process that speaks for another one with a key of its own.
TEST_CASE_METHOD(MessageFixture,
                 "MessageSockets, client under another name than its key's, passes no message",
                 "[wire]")
{
  {
    Process client(Client("e2", Known(mEntry)));
    CHECK_FALSE(SendFor(client, kSilence).has_value());
  }
  CHECK(KnownProcessPasses());
}

// Guards against messages sent to a process that only claims to be the control process.
TEST_CASE_METHOD(MessageFixture,
                 "MessageSockets, server with another key than expected, receives no message",
                 "[wire]")
{
  {
    Process client(Client("e1", Keys{ mEntry, { { "c1", MakeKeys().mPublic } } }));
    CHECK_FALSE(SendFor(client, kSilence).has_value());
  }
  CHECK(KnownProcessPasses());
}

TEST_CASE_METHOD(MessageFixture,
                 "MessageSockets, no key of a process to connect to, is refused at start",
                 "[wire]")
{
  OutboundRing out(1);
  CHECK_THROWS_WITH(MessageSockets(Client("e1", Keys{ mEntry, {} }), out),
                    "there is no public key of \"c1\"");
}

// Guards against a process that ends when senders name more addresses than sockets can be opened.
TEST_CASE("MessageSockets, more addresses than sockets, goes on and reaches a known process",
          "[wire]")
{
  constexpr int kAddresses = 1200;
  Process server({ "c1", 1, Endpoint{ "127.0.0.1", 0 }, {}, std::nullopt });
  Process client({ "e1", 1, std::nullopt, { { "c1", server.mSockets.Address() } }, std::nullopt });
  for (int n = 1; n <= kAddresses; ++n) {
    const Endpoint address{ "127.77." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1),
                            9 };
    while (!client.mOut.TryPush({ ToText(address), membership::ChangeReply{ 1, {} } })) {
      std::this_thread::sleep_for(Millis(1));
    }
  }
  const Instant until = std::chrono::steady_clock::now() + kArrival;
  std::optional<std::string> from;
  while (!from && std::chrono::steady_clock::now() < until) {
    client.Send("c1");
    from = server.mArrived.PopUntil(std::chrono::steady_clock::now() + Millis(50));
  }
  CHECK(from == "e1");
}

// Guards against a poll of a connection that was closed to make room for one that then found no
// socket.
TEST_CASE("MessageSockets, connection closed and no socket for the next, goes on", "[wire]")
{
  constexpr int kOnDemand = 128;
  constexpr int kFurther = 50;
  TrafficCounter traffic;
  Process server({ "c1", 1, Endpoint{ "127.0.0.1", 0 }, {}, std::nullopt });
  Process client({ "e1",
                   1,
                   std::nullopt,
                   { { "c1", server.mSockets.Address() } },
                   std::nullopt,
                   &traffic,
                   kOnDemand + 1 });
  const auto limit = [] { return std::chrono::steady_clock::now() + kArrival; };
  Instant until = limit();
  // Whether a closed socket is free again by the next opening is up to a thread of the library.
  for (int n = 1; n <= kOnDemand + kFurther ||
                  (traffic.Read().mUnsent == 0 && std::chrono::steady_clock::now() < until);
       ++n) {
    client.Send("127.77." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1) + ":9");
    std::this_thread::sleep_for(Millis(n <= kOnDemand + kFurther ? 2 : 0));
  }
  until = limit();
  std::optional<std::string> from;
  while (!from && std::chrono::steady_clock::now() < until) {
    client.Send("c1");
    from = server.mArrived.PopUntil(std::chrono::steady_clock::now() + Millis(50));
  }
  CHECK(from == "e1");
  CHECK(traffic.Read().mUnsent > 0);
}

} // namespace
} // namespace fighold::wire
