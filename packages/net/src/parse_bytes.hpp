#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>

/// Passing of received bytes to a parser of Beast.
namespace fighold::net::detail {

/// Shortest end of a chunked message: the last chunk and the empty line after it.
constexpr std::size_t kMinChunkedEnd = 5;

/// Passes received bytes to a parser. The parser asserts that it has at least kMinChunkedEnd bytes
/// when it resumes within the last chunk, so that fewer bytes of a chunked body are kept back. A
/// valid message has more bytes to come then.
/// @param aParser parser of a message that is not whole yet
/// @param aBytes bytes that were not consumed before, and those that arrived since
/// @param aError need_more if nothing can be done until more bytes arrive, or another parse error
/// @return number of consumed bytes
template<typename Parser>
std::size_t
ParseBytes(Parser& aParser, boost::asio::const_buffer aBytes, boost::beast::error_code& aError)
{
  if (aParser.is_header_done() && aParser.chunked() && aBytes.size() < kMinChunkedEnd) {
    aError = boost::beast::http::error::need_more;
    return 0;
  }
  return aParser.put(aBytes, aError);
}

} // namespace fighold::net::detail
