#pragma once

#include "threads.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <thread>

namespace fighold::entry {

constexpr std::chrono::seconds kTimeout{ 30 };

/// The front thread with its rings; the test stands in for the decide thread.
struct FrontFixture
{
  using Tcp = boost::asio::ip::tcp;

  Channels mChannels;
  Front mFront{ mChannels, Listeners(), NativeFrontCodec() };
  std::thread mThread{ [this] { mFront.Run(); } };
  boost::asio::io_context mContext;

  ~FrontFixture()
  {
    mFront.Drain();
    mThread.join();
  }

  static std::vector<net::ServerOptions> Listeners()
  {
    net::ServerOptions options{ { "127.0.0.1", 0 } };
    options.mBudget = std::make_shared<net::MemoryBudget>(std::size_t{ 64 } << 20U);
    return { options };
  }

  Tcp::socket Connect()
  {
    Tcp::socket socket(mContext);
    const Endpoint address = mFront.Address();
    socket.connect({ boost::asio::ip::make_address_v4(address.mHost), address.mPort });
    return socket;
  }

  static void Send(Tcp::socket& aSocket, const std::string& aText)
  {
    boost::asio::write(aSocket, boost::asio::buffer(aText));
  }

  std::optional<Event> Pop(Duration aTime)
  {
    return mChannels.mInbox.PopUntil(std::chrono::steady_clock::now() + aTime);
  }
};

} // namespace fighold::entry
