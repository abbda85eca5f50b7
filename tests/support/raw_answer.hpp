#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>

#include <compare>
#include <string>
#include <string_view>

/// Reading of answers by clients that work on bytes.
namespace fighold::testing {

/// What a client read of an answer.
struct RawAnswer
{
  bool mIsWhole = false;
  bool mCloses = false; ///< no further answer follows
  unsigned mStatus = 0;
  bool mIsNotRun = false; ///< says so in the field of the native dialect

  friend auto operator<=>(const RawAnswer&, const RawAnswer&) = default;
};

/// Waits for an answer with a length, or the end of the connection.
/// @param aBuffer bytes that were read and belong to no answer yet
/// @param aBody receives the body of a whole answer
inline RawAnswer
ReadRawAnswer(boost::asio::ip::tcp::socket& aSocket,
              std::string& aBuffer,
              std::string* aBody = nullptr)
{
  boost::system::error_code ec;
  const std::size_t head =
    boost::asio::read_until(aSocket, boost::asio::dynamic_buffer(aBuffer), "\r\n\r\n", ec);
  const std::string lines = aBuffer.substr(0, head);
  constexpr std::string_view kLength = "Content-Length: ";
  const auto at = lines.find(kLength);
  if (ec || at == std::string::npos) {
    return {};
  }
  const std::size_t whole = head + std::stoul(lines.substr(at + kLength.size()));
  if (aBuffer.size() < whole) {
    boost::asio::read(aSocket,
                      boost::asio::dynamic_buffer(aBuffer),
                      boost::asio::transfer_exactly(whole - aBuffer.size()),
                      ec);
  }
  const bool isWhole = aBuffer.size() >= whole;
  if (isWhole && aBody != nullptr) {
    *aBody = aBuffer.substr(head, whole - head);
  }
  aBuffer.erase(0, whole);
  return { isWhole,
           lines.find("Connection: close") != std::string::npos,
           static_cast<unsigned>(std::stoul(lines.substr(lines.find(' ')))),
           lines.find("Fighold-Outcome: not-run") != std::string::npos };
}

} // namespace fighold::testing
