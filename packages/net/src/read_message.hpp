#pragma once

#include "await.hpp"
#include "fighold/net/memory_budget.hpp"
#include "parse_bytes.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstddef>
#include <string>

/// Reading of messages within a memory budget.
namespace fighold::net::detail {

/// Maximum size of one read in bytes. A read buffer has to hold one besides a head.
constexpr std::size_t kMaxRead = 64U << 10U;

/// How the read of a message ended.
struct ReadResult
{
  boost::beast::error_code mError;
  bool mHasMemory = true; ///< false: the message was given up for lack of memory
};

/// A body that grows is copied, and for a moment exists twice.
constexpr std::size_t kGrowthFactor = 2;

/// Counts what a message takes while it is read: its head, its body and the read buffer. A declared
/// length that can never fit is refused before the body arrives.
/// @param aParsed bytes of the message that were parsed
/// @return false if there is no memory for it
template<typename Parser>
bool
ReserveMemory(const Parser& aParser,
              std::size_t aParsed,
              std::size_t aMaxHeaderBytes,
              const boost::beast::flat_buffer& aBuffer,
              MemoryReservation& aReservation)
{
  const std::string& body = aParser.Body();
  const std::size_t head = std::min(aParsed - std::min(aParsed, body.size()), aMaxHeaderBytes);
  const bool declared = aParser.is_header_done() && aParser.content_length();
  return (!declared || aReservation.Accepts(kGrowthFactor * *aParser.content_length())) &&
         aReservation.TryResize(kGrowthFactor * body.capacity() + head + aBuffer.capacity());
}

/// Releases the memory of an empty read buffer that has grown.
/// @param aKeep capacity that may stay
inline void
ShrinkIdle(boost::beast::flat_buffer& aBuffer, std::size_t aKeep)
{
  if (aBuffer.size() == 0 && aBuffer.capacity() > aKeep) {
    aBuffer.shrink_to_fit();
  }
}

/// Reads until the parser has a whole message. Beast's own read functions collect a whole head
/// before they return, which the budget could not see.
/// @param aReadSome called with a buffer; reads into it and returns an IoResult
/// @param aBuffer bytes that were read before, and those behind the message afterwards
/// @param aMaxHeaderBytes longest head that is accepted
/// @param aReservation what the message holds
template<typename ReadSome, typename Parser>
ReadResult
ReadMessage(const ReadSome& aReadSome,
            boost::beast::flat_buffer& aBuffer,
            Parser& aParser,
            std::size_t aMaxHeaderBytes,
            MemoryReservation& aReservation)
{
  namespace http = boost::beast::http;
  std::size_t parsed = 0;
  bool needsMore = aBuffer.size() == 0;
  while (!aParser.is_done()) {
    boost::beast::error_code ec;
    if (needsMore) {
      const std::size_t size = boost::beast::read_size(aBuffer, kMaxRead);
      if (size == 0) {
        return { http::error::buffer_overflow };
      }
      const IoResult read = aReadSome(aBuffer.prepare(size));
      if (read.mError == boost::asio::error::eof && aParser.got_some()) {
        aParser.put_eof(ec);
        if (ec) {
          return { ec };
        }
        break;
      }
      if (read.mError) {
        return { read.mError == boost::asio::error::eof ? http::error::end_of_stream
                                                        : read.mError };
      }
      aBuffer.commit(read.mSize);
    }
    const std::size_t used = ParseBytes(aParser, aBuffer.data(), ec);
    aBuffer.consume(used);
    parsed += used;
    if (ec && ec != http::error::need_more) {
      return { ec };
    }
    if (!ReserveMemory(aParser, parsed, aMaxHeaderBytes, aBuffer, aReservation)) {
      return { {}, false };
    }
    needsMore = ec == http::error::need_more || aBuffer.size() == 0;
  }
  // Less than before, so that it is granted.
  aReservation.TryResize(aParser.Body().capacity() + std::min(parsed, aMaxHeaderBytes));
  return {};
}

} // namespace fighold::net::detail
