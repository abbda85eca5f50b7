#include "server_connection.hpp"

#include "await.hpp"
#include "message_parser.hpp"
#include "message_text.hpp"
#include "read_message.hpp"

#include <boost/asio/write.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>

namespace fighold::net::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kReadSize = 4096;

/// @return true if the client has not acknowledged all bytes that were written
bool
HasUndelivered(Connection& aConnection)
{
  int n = 0;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg,hicpp-vararg)
  return ioctl(aConnection.mStream.socket().native_handle(), SIOCOUTQ, &n) == 0 && n > 0;
}

/// @return true if a stop leaves time for a request: bytes have arrived, the connection is fresh,
/// or the client may still be receiving an answer, which a request that meets a closed socket would
/// cut off
bool
MayTakeRequest(Connection& aConnection, const ServerOptions& aOptions, const ServerStop& aStop)
{
  beast::error_code ec;
  const Instant now = std::chrono::steady_clock::now();
  if (now >= aStop.mReadUntil) {
    return false;
  }
  const Instant since =
    aConnection.mFresh ? std::max(aStop.mBegan, aConnection.mIdleSince) : aConnection.mIdleSince;
  return aConnection.mStream.socket().available(ec) > 0 || now < since + kLastRequestWait ||
         (now < since + aOptions.mWriteTimeout && HasUndelivered(aConnection));
}

/// Reads without an expiry of the stream, which would close the socket under answers to earlier
/// requests and drop bytes that have just been read.
template<typename Buffer>
IoResult
ReadSome(Connection& aConnection, const Buffer& aBuffer)
{
  aConnection.mStream.expires_never();
  return Await(
    [&](auto aHandler) { aConnection.mStream.async_read_some(aBuffer, std::move(aHandler)); });
}

/// Waits for a request. A stop cancels the wait, but a request that MayTakeRequest() allows for is
/// still read, so that it is answered and not cut off.
bool
ReadFirstBytes(Connection& aConnection,
               const ServerOptions& aOptions,
               const std::optional<ServerStop>& aStop)
{
  IoResult first{ asio::error::operation_aborted };
  while (first.mError == asio::error::operation_aborted && !aConnection.mClosing &&
         (!aStop || MayTakeRequest(aConnection, aOptions, *aStop))) {
    first = ReadSome(aConnection, aConnection.mBuffer.prepare(kReadSize));
  }
  aConnection.mBuffer.commit(first.mError ? 0 : first.mSize);
  aConnection.mReadError = first.mError;
  return !first.mError;
}

std::string
WriteResponse(Connection& aConnection,
              const HttpResponse& aResponse,
              bool aKeepAlive,
              bool aHead,
              Millis aTimeout)
{
  const std::string head = FormatResponseHead(aResponse, aKeepAlive);
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(head),
                                                   aHead ? asio::const_buffer()
                                                         : asio::buffer(aResponse.mBody) };
  aConnection.mStream.expires_after(aTimeout);
  const auto written = Await(
    [&](auto aHandler) { asio::async_write(aConnection.mStream, buffers, std::move(aHandler)); });
  return written.mError ? "write: " + written.mError.message() : "";
}

} // namespace

void
ReportUnanswered(const ServerOptions& aOptions, const UnansweredRequests& aRequests)
{
  if (aOptions.mOnUnanswered && aRequests.mCount > 0) {
    aOptions.mOnUnanswered(aRequests);
  }
}

void
ReportFault(const ServerOptions& aOptions, const std::exception& aError)
{
  if (aOptions.mOnFault) {
    aOptions.mOnFault(aError.what());
  }
}

void
CheckLimits(Connection& aConnection,
            const ServerOptions& aOptions,
            const std::optional<ServerStop>& aStop,
            Instant aNow)
{
  const bool readsNoMore = aStop && aNow >= aStop->mReadUntil;
  if (aConnection.mLingering && aNow >= aConnection.mLingerUntil &&
      (aNow >= aConnection.mLingerUntil + aOptions.mWriteTimeout || !HasUndelivered(aConnection))) {
    aConnection.mStream.cancel();
  }
  if (aConnection.mReading && (readsNoMore || aNow >= aConnection.mReadUntil)) {
    aConnection.mReading = false;
    aConnection.mReadExpired = true;
    aConnection.mClosing = true;
  }
  if (aConnection.mReadExpired && aConnection.IsIdle()) {
    aConnection.mStream.cancel();
  }
}

unsigned
ReadRequest(Connection& aConnection,
            const ServerOptions& aOptions,
            const std::optional<ServerStop>& aStop,
            Exchange& aExchange)
{
  MessageParser<true> parser;
  parser.header_limit(HeaderLimit(aOptions.mMaxHeaderBytes));
  parser.body_limit(aOptions.mMaxBodyBytes);
  // Without a limit, a chunk size or extension without an end fills the memory.
  aConnection.mBuffer.max_size(2 * std::max(aOptions.mMaxHeaderBytes, kMaxRead));
  if (aConnection.mBuffer.size() == 0 && !ReadFirstBytes(aConnection, aOptions, aStop)) {
    return 0;
  }
  aConnection.mReading = true;
  aConnection.mFresh = false;
  aConnection.mReadUntil = std::chrono::steady_clock::now() + aOptions.mReadTimeout;
  const auto reservation = std::make_shared<MemoryReservation>(aOptions.mBudget);
  const auto readSome = [&aConnection](const auto& aBuffer) {
    return ReadSome(aConnection, aBuffer);
  };
  const ReadResult read =
    ReadMessage(readSome, aConnection.mBuffer, parser, aOptions.mMaxHeaderBytes, *reservation);
  aConnection.mReading = false;
  aExchange.mKeepAlive = false;
  if (aConnection.mReadExpired && read.mError) {
    aConnection.mReadError = read.mError;
    // A client that is told that its request was not read may send it elsewhere at once.
    const bool isCancelled = read.mError == asio::error::operation_aborted;
    return isCancelled && aStop && std::chrono::steady_clock::now() >= aStop->mReadUntil ? 408 : 0;
  }
  if (!read.mHasMemory) {
    return 503;
  }
  if (read.mError == http::error::body_limit) {
    return 413;
  }
  if (read.mError == http::error::header_limit) {
    return 431;
  }
  if (read.mError == http::error::end_of_stream) {
    aConnection.mReadError = read.mError;
    return 0;
  }
  if (read.mError || HasAmbiguousLength(parser.Head())) {
    return 400;
  }
  MessageHead& head = parser.Head();
  // By RFC 9110 TRACE has no body, and it could not be passed on with one.
  if (head.mMethod == "TRACE" && !parser.Body().empty()) {
    return 400;
  }
  aExchange.mKeepAlive = parser.keep_alive();
  HttpRequest& request = aExchange.mRequest;
  request.mMethod = std::move(head.mMethod);
  request.mTarget = std::move(head.mTarget);
  request.mHost = std::move(head.mHost);
  request.mHeaders = std::move(head.mHeaders);
  request.mBody = std::move(parser.Body());
  request.mHold = { reservation };
  ShrinkIdle(aConnection.mBuffer, kReadSize);
  return 200;
}

HttpResponse
RefusalOf(unsigned aStatus)
{
  HttpResponse response{ aStatus, { { "Fighold-Outcome", "not-run" } }, "" };
  if (aStatus == 503) {
    response.mHeaders.push_back({ "Retry-After", "1" });
  }
  return response;
}

std::string
TryWriteResponse(Connection& aConnection,
                 const ServerOptions& aOptions,
                 const HttpResponse& aResponse,
                 bool aKeepAlive,
                 bool aHead)
{
  try {
    return WriteResponse(aConnection, aResponse, aKeepAlive, aHead, aOptions.mWriteTimeout);
  } catch (const std::exception& error) {
    ReportFault(aOptions, error);
    return std::string("exception: ") + error.what();
  }
}

void
CloseConnection(Connection& aConnection)
{
  beast::error_code ec;
  if (aConnection.mSaidClose) {
    aConnection.mLingering = true;
    aConnection.mStream.socket().shutdown(asio::socket_base::shutdown_send, ec);
    aConnection.mLingerUntil = std::chrono::steady_clock::now() + kLingerTime;
    std::array<char, kReadSize> bytes{};
    std::size_t dropped = 0;
    while (!ec && dropped < kLingerBytes) {
      const IoResult read = ReadSome(aConnection, asio::buffer(bytes));
      dropped += read.mSize;
      ec = read.mError;
    }
  }
  aConnection.mStream.socket().shutdown(asio::socket_base::shutdown_both, ec);
  aConnection.mStream.close();
}

bool
HasClientLeft(Connection& aConnection)
{
  if (aConnection.mBuffer.size() > 0) {
    return false;
  }
  char byte = 0;
  beast::error_code ec;
  auto& socket = aConnection.mStream.socket();
  socket.non_blocking(true, ec);
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec && ec != asio::error::would_block;
}

void
MarkGone(Connection& aConnection, const std::string& aCause)
{
  for (const auto& it : aConnection.mExchanges) {
    it->mWatch.mGone = true;
    if (!it->mDone && it->mWatch.mOnGone) {
      it->mWatch.mOnGone(aCause);
    }
  }
}

} // namespace fighold::net::detail
