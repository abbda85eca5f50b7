#pragma once

#include "fighold/core/time.hpp"
#include "fighold/net/fiber_loop.hpp"
#include "fighold/net/http.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// HTTP/1.1 server with a fiber for each connection and one for each request. Pipelined requests
/// are handled at once and answered in their order.
namespace fighold::net {

/// How requests end without a delivered answer, other than that their client has gone.
enum class UnansweredCause : std::uint8_t
{
  WriteFailed, ///< the answer could not be written
  BehindLast,  ///< read behind the answer that closes the connection, and not handled
  StopExpired, ///< the connection was closed at the end of a planned stop
};

/// @return the cause as a word for logs and metrics
std::string
ToText(UnansweredCause aCause);

/// Requests of one connection that ended without a delivered answer.
struct UnansweredRequests
{
  UnansweredCause mCause = UnansweredCause::WriteFailed;
  std::size_t mCount = 0;
  std::string mError; ///< what ended the connection, if known

  friend auto operator<=>(const UnansweredRequests&, const UnansweredRequests&) = default;
};

/// Connections of a server, by what they wait for.
struct ConnectionCounts
{
  std::size_t mOpen = 0;
  std::size_t mReading = 0;    ///< a request is being read
  std::size_t mUnanswered = 0; ///< requests that were read and whose answer was not written
  std::size_t mLingering = 0;  ///< the last answer was written, the client has not closed yet

  friend auto operator<=>(const ConnectionCounts&, const ConnectionCounts&) = default;
};

/// Limits of a server.
struct ServerOptions
{
  Endpoint mBind; ///< port 0: any free port
  std::size_t mMaxConnections = 1024;
  std::size_t mMaxHeaderBytes = 16U << 10U;
  std::size_t mMaxBodyBytes = 1U << 20U;
  Millis mIdleTimeout{ 60'000 };  ///< longest time between two requests of a connection
  Millis mReadTimeout{ 10'000 };  ///< longest time from the first byte of a request to its last
  Millis mWriteTimeout{ 30'000 }; ///< longest time to write a response
  std::size_t mMaxPipelined = 16; ///< requests of one connection that are handled at once
  std::uint16_t mListener = 0;    ///< passed on in the requests
  std::shared_ptr<MemoryBudget> mBudget{}; ///< shared by the messages of a process; may be null
  /// Told of an exception that ended a request or a connection. Runs on the loop's thread, must not
  /// throw; may be empty.
  std::function<void(const std::string&)> mOnFault{};
  /// Told of requests that ended without a delivered answer. As mOnFault.
  std::function<void(const UnansweredRequests&)> mOnUnanswered{};
};

/// Handles a request; runs in a fiber of its own and may suspend it. If it throws a std::exception,
/// the request is answered 500 with the outcome "unknown" and its connection is closed.
using Handler = std::function<HttpResponse(const HttpRequest&)>;

/// Tells a handler that its caller has gone away. Used on the loop's thread only.
struct CallerWatch
{
  /// Set by the handler; called once with what ended the connection, must not suspend the fiber.
  std::function<void(const std::string&)> mOnGone;
  bool mGone = false; ///< also set before the call if the caller left before its request was read
};

/// As Handler, with a watch that lives as long as the call.
using WatchedHandler = std::function<HttpResponse(const HttpRequest&, CallerWatch&)>;

/// A listening server. All functions but the constructor's options run on the loop's thread.
class HttpServer
{
public:
  /// Binds and listens.
  /// @throws std::runtime_error when the address cannot be bound
  HttpServer(FiberLoop& aLoop, ServerOptions aOptions, Handler aHandler);

  /// As above, with handlers that learn when their caller goes away.
  HttpServer(FiberLoop& aLoop, ServerOptions aOptions, WatchedHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return address with the port in use
  Endpoint Address() const;

  /// Accepts connections until Stop; suspends the current fiber.
  void Serve();

  /// Stops accepting and closes idle connections; requests that were read are still answered.
  /// @param aReadUntil no request is read later, and one that is being read then is refused
  void BeginStop(Instant aReadUntil = Instant::max());

  /// Suspends the current fiber until the server has stopped accepting and every connection has
  /// ended, or a time limit is reached.
  /// @return true when all have ended
  bool WaitUntilEnded(Instant aUntil = Instant::max());

  /// Closes all connections, with whatever they wait for. Their handlers have to return before the
  /// connections end.
  void CloseConnections();

  /// BeginStop(), WaitUntilEnded() and CloseConnections().
  /// @return true when all requests were answered
  bool Stop(Instant aUntil, Instant aReadUntil = Instant::max());

  /// @return what the connections wait for now
  ConnectionCounts Connections() const;

  /// Replaces the limits on what clients may send; they hold from the next request on.
  void SetLimits(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes, Millis aIdleTimeout);

  /// Stops accepting and closes every connection.
  void Close();

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace fighold::net
