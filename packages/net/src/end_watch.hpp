#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <functional>
#include <memory>

namespace fighold::net::detail {

/// Watches for the end of the caller's stream while its request is handled.
class EndWatch
{
public:
  /// @param aSocket socket of the caller
  /// @param aOnGone called once when the caller closed its connection
  EndWatch(boost::asio::ip::tcp::socket& aSocket, std::function<void()> aOnGone)
    : mShared(std::make_shared<Shared>(Shared{ std::move(aOnGone) }))
    , mSocket(aSocket)
  {
    aSocket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                       [shared = mShared, &aSocket](const boost::system::error_code& aError) {
                         if (!aError && shared->mActive && IsAtEnd(aSocket)) {
                           shared->mOnGone();
                         }
                       });
  }
  ~EndWatch()
  {
    mShared->mActive = false;
    boost::system::error_code ec;
    mSocket.cancel(ec);
  }
  EndWatch(const EndWatch&) = delete;
  EndWatch& operator=(const EndWatch&) = delete;

private:
  struct Shared
  {
    std::function<void()> mOnGone;
    bool mActive = true;
  };

  static bool IsAtEnd(boost::asio::ip::tcp::socket& aSocket)
  {
    char byte = 0;
    boost::system::error_code ec;
    aSocket.non_blocking(true, ec);
    const std::size_t n = aSocket.receive(
      boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, ec);
    return n == 0 && ec != boost::asio::error::would_block;
  }

  std::shared_ptr<Shared> mShared;
  boost::asio::ip::tcp::socket& mSocket;
};

} // namespace fighold::net::detail
