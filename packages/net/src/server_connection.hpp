#pragma once

#include "fighold/net/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <deque>
#include <exception>
#include <memory>
#include <optional>

/// One connection of a server: reading of requests and writing of responses.
namespace fighold::net::detail {

/// Time after a stop in which requests are still taken: the first one of a connection that was
/// opened just before, or one behind a running request.
constexpr Millis kLastRequestWait{ 500 };

/// Time and bytes in which a client may go on sending after the last answer of its connection. The
/// time is longer while the client has not received that answer. The bytes exceed what a connection
/// has on its way.
constexpr Millis kLingerTime{ 2000 };
constexpr std::size_t kLingerBytes = 1U << 20U;

/// A planned stop of a server.
struct ServerStop
{
  Instant mBegan{};
  Instant mReadUntil = Instant::max(); ///< no request is read later

  friend auto operator<=>(const ServerStop&, const ServerStop&) = default;
};

/// A request that was read, and its answer once there is one.
struct Exchange
{
  HttpRequest mRequest;
  HttpResponse mResponse;
  CallerWatch mWatch;
  bool mKeepAlive = true; ///< the client may send more
  bool mDone = false;     ///< mResponse may be written
};

/// A connection of a client. Used on the loop's thread only.
struct Connection
{
  explicit Connection(boost::asio::ip::tcp::socket aSocket)
    : mStream(std::move(aSocket))
  {
  }

  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
  std::deque<std::shared_ptr<Exchange>> mExchanges; ///< in the order of the requests
  bool mFresh = true;                               ///< no request has begun
  bool mReading = false;                            ///< a request is being read
  bool mReadExpired = false; ///< the request that is being read has taken too long
  Instant mReadUntil{};      ///< time limit of the request that is being read
  bool mWriting = false;
  bool mBroken = false;    ///< nothing can be written any more
  bool mClosing = false;   ///< no further request is read
  bool mHasLast = false;   ///< an answer says that the connection closes; requests behind it are
                           ///< left to other connections
  bool mSaidClose = false; ///< that answer was written
  bool mLingering = false; ///< what the client still sends is dropped
  Instant mLingerUntil{};  ///< end of that, unless the last answer is still being delivered
  /// What ended the wait for a request; operation_aborted: the server, not the client.
  boost::beast::error_code mReadError;
  Instant mIdleSince = std::chrono::steady_clock::now();
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;

  /// @return requests whose answer was not written
  std::size_t Unanswered() const { return mExchanges.size(); }

  bool IsIdle() const { return !mReading && !mLingering && mExchanges.empty(); }

  /// @return true if an answer follows whose write has not begun
  bool HasUnwritten() const { return mExchanges.size() > (mWriting ? 1U : 0U); }
};

/// Passes an exception on that ended a request or a connection.
void
ReportFault(const ServerOptions& aOptions, const std::exception& aError);

/// Tells of requests that end without a delivered answer.
void
ReportUnanswered(const ServerOptions& aOptions, const UnansweredRequests& aRequests);

/// Gives up on the request that is being read, or on a client that goes on sending after the last
/// answer, if its time limit has passed. Answers to earlier requests are still written, so that
/// nothing is closed here.
/// @param aStop the stop of the server, as soon as it stops
void
CheckLimits(Connection& aConnection,
            const ServerOptions& aOptions,
            const std::optional<ServerStop>& aStop,
            Instant aNow);

/// Reads one request.
/// @param aStop the stop of the server, as soon as it stops
/// @param aExchange receives the request
/// @return 200, or the status with which the request is refused; 0 if there is none, with
/// Connection::mReadError
unsigned
ReadRequest(Connection& aConnection,
            const ServerOptions& aOptions,
            const std::optional<ServerStop>& aStop,
            Exchange& aExchange);

/// @return answer to a request that was not handed to the handler
HttpResponse
RefusalOf(unsigned aStatus);

/// Writes a response.
/// @param aKeepAlive false: the connection closes after it
/// @param aHead the body is left out, as HEAD asks
/// @return empty, or why it could not be written; an exception is reported as well
std::string
TryWriteResponse(Connection& aConnection,
                 const ServerOptions& aOptions,
                 const HttpResponse& aResponse,
                 bool aKeepAlive,
                 bool aHead);

/// Closes a connection. After an answer that says so, what the client still sends is read and
/// dropped until it closes its side, within the limits above: bytes that are left
/// unread make the kernel reset the connection and drop what the client has not received of that
/// answer.
void
CloseConnection(Connection& aConnection);

/// @return true if the client has closed its side behind the request that was just read, and
/// nothing else of it waits to be read
bool
HasClientLeft(Connection& aConnection);

/// Tells the handlers of requests without an answer that their client has gone.
/// @param aCause what ended the connection
void
MarkGone(Connection& aConnection, const std::string& aCause);

} // namespace fighold::net::detail
