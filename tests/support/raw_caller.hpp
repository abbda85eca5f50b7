#pragma once

#include "fighold/core/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <string_view>

/// A caller that sends and reads bytes on one connection, for tests of how connections end.
namespace fighold::testing {

/// Bytes of a request.
struct RawRequest
{
  std::string mKey; ///< names the request at the backend server
  std::string mText;
  bool mIsLong = false; ///< may still run when a stop ends

  friend auto operator<=>(const RawRequest&, const RawRequest&) = default;
};

/// What a caller read of an answer.
struct RawAnswer
{
  bool mIsWhole = false;
  bool mCloses = false; ///< no further answer follows
  unsigned mStatus = 0;

  friend auto operator<=>(const RawAnswer&, const RawAnswer&) = default;
};

class RawCaller
{
public:
  /// @return false if the connection is refused
  bool Connect(const Endpoint& aEntry)
  {
    boost::system::error_code ec;
    mSocket.connect({ boost::asio::ip::make_address_v4(aEntry.mHost), aEntry.mPort }, ec);
    mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    return !ec;
  }

  /// @return false if the connection has ended
  bool Send(const std::string& aText)
  {
    boost::system::error_code ec;
    boost::asio::write(mSocket, boost::asio::buffer(aText), ec);
    return !ec;
  }

  /// Waits for an answer or the end of the connection.
  RawAnswer Read()
  {
    boost::system::error_code ec;
    const std::size_t head =
      boost::asio::read_until(mSocket, boost::asio::dynamic_buffer(mBuffer), "\r\n\r\n", ec);
    const std::string lines = mBuffer.substr(0, head);
    constexpr std::string_view kLength = "Content-Length: ";
    const auto at = lines.find(kLength);
    if (ec || at == std::string::npos) {
      return {};
    }
    const std::size_t whole = head + std::stoul(lines.substr(at + kLength.size()));
    if (mBuffer.size() < whole) {
      boost::asio::read(mSocket,
                        boost::asio::dynamic_buffer(mBuffer),
                        boost::asio::transfer_exactly(whole - mBuffer.size()),
                        ec);
    }
    const bool isWhole = mBuffer.size() >= whole;
    mBuffer.erase(0, whole);
    return { isWhole,
             lines.find("Connection: close") != std::string::npos,
             static_cast<unsigned>(std::stoul(lines.substr(lines.find(' ')))) };
  }

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket{ mContext };
  std::string mBuffer;
};

} // namespace fighold::testing
