#pragma once

#include "fighold/core/endpoint.hpp"
#include "raw_answer.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <string>

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
  /// @param aBody receives the body of a whole answer
  RawAnswer Read(std::string* aBody = nullptr) { return ReadRawAnswer(mSocket, mBuffer, aBody); }

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket{ mContext };
  std::string mBuffer;
};

} // namespace fighold::testing
