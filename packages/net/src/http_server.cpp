#include "fighold/net/http_server.hpp"

#include "asio_endpoint.hpp"
#include "await.hpp"
#include "server_connection.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <exception>
#include <optional>
#include <set>
#include <stdexcept>

namespace fighold::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using detail::Await;
using detail::Connection;
using detail::Exchange;
using Tcp = asio::ip::tcp;

/// Time between two attempts to accept after an error such as too many open files.
constexpr Millis kAcceptPause{ 50 };

/// Time between two checks of the time limits of connections.
constexpr Millis kLimitCheck{ 500 };

/// The same while the server stops.
constexpr Millis kStopCheck{ 100 };

Endpoint
ToEndpoint(const Tcp::endpoint& aEndpoint)
{
  return { aEndpoint.address().to_string(), aEndpoint.port() };
}

} // namespace

struct HttpServer::State
{
  State(FiberLoop& aLoop, ServerOptions aOptions, WatchedHandler aHandler)
    : mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
    , mAcceptor(aLoop.Context())
    , mLimitTimer(aLoop.Context())
  {
  }

  bool HasEnded() const { return !mAccepting && mStarting == 0 && mConnections.empty(); }

  ServerOptions mOptions;
  WatchedHandler mHandler;
  Tcp::acceptor mAcceptor;
  asio::steady_timer mLimitTimer;
  std::set<Connection*> mConnections;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
  std::optional<detail::ServerStop> mStop;
  bool mAccepting = false; ///< Serve() runs
  bool mEnded = false;     ///< limits are no longer watched
  int mStarting = 0;       ///< connections whose fiber has not run yet
};

namespace {

/// Writes the answers that are ready, in the order of the requests. Only one fiber writes at a
/// time.
template<typename State>
void
WriteReady(const std::shared_ptr<State>& aState, Connection& aConnection)
{
  if (aConnection.mWriting) {
    return;
  }
  aConnection.mWriting = true;
  while (!aConnection.mExchanges.empty() && aConnection.mExchanges.front()->mDone) {
    Exchange& exchange = *aConnection.mExchanges.front();
    const bool closeAsked = FindHeader(exchange.mResponse.mHeaders, "Connection") == "close";
    if (closeAsked || aState->mStop || !exchange.mKeepAlive) {
      aConnection.mClosing = true;
    }
    // Requests that were read are all answered before the connection closes.
    const bool last =
      aConnection.mClosing && aConnection.mExchanges.size() == 1 && !aConnection.mReading;
    // Set before the write, during which a further request may be read.
    aConnection.mHasLast = last;
    auto& headers = exchange.mResponse.mHeaders;
    headers.erase(std::remove(headers.begin(), headers.end(), Header{ "Connection", "close" }),
                  headers.end());
    const bool head = exchange.mRequest.mMethod == "HEAD";
    if (!aConnection.mBroken) {
      const std::string error =
        detail::TryWriteResponse(aConnection, aState->mOptions, exchange.mResponse, !last, head);
      if (!error.empty() && !aConnection.mBroken && !exchange.mWatch.mGone) {
        detail::ReportUnanswered(aState->mOptions,
                                 { UnansweredCause::WriteFailed, aConnection.Unanswered(), error });
      }
      // The connection may have been closed during the write.
      aConnection.mBroken = aConnection.mBroken || !error.empty();
    }
    aConnection.mSaidClose = last && !aConnection.mBroken;
    aConnection.mExchanges.pop_front();
  }
  aConnection.mWriting = false;
  if (aConnection.mExchanges.empty()) {
    aConnection.mIdleSince = std::chrono::steady_clock::now();
    if ((aConnection.mClosing || aConnection.mBroken) && !aConnection.mReading) {
      aConnection.mClosing = true;
      aConnection.mStream.cancel();
    } else if (aState->mStop && !aConnection.mReading) {
      // The stop came during the write and left this connection alone. A request that has arrived
      // since then is still read.
      aConnection.mStream.cancel();
    }
  }
  aConnection.mChanged.notify_all();
}

template<typename State>
void
HandleExchange(const std::shared_ptr<State>& aState,
               const std::shared_ptr<Connection>& aConnection,
               const std::shared_ptr<Exchange>& aExchange)
{
  try {
    aExchange->mResponse = aState->mHandler(aExchange->mRequest, aExchange->mWatch);
  } catch (const std::exception& error) {
    detail::ReportFault(aState->mOptions, error);
    // What the handler began may go on, so that the answer must not say "not-run".
    aExchange->mResponse = { 500,
                             { { "Fighold-Outcome", "unknown" }, { "Connection", "close" } },
                             "" };
  }
  aExchange->mDone = true;
  WriteReady(aState, *aConnection);
}

template<typename State>
void
ReadRequests(const std::shared_ptr<State>& aState, const std::shared_ptr<Connection>& aConnection)
{
  Connection& connection = *aConnection;
  beast::error_code ec;
  const Endpoint peer = ToEndpoint(connection.mStream.socket().remote_endpoint(ec));
  connection.mStream.socket().set_option(Tcp::no_delay(true), ec);
  bool more = true;
  while (more && !connection.mClosing) {
    const auto exchange = std::make_shared<Exchange>();
    const unsigned status =
      detail::ReadRequest(connection, aState->mOptions, aState->mStop, *exchange);
    if (status == 0) {
      if (connection.mReadError == asio::error::operation_aborted) {
        break;
      }
      detail::MarkGone(connection, connection.mReadError.message());
      return;
    }
    // A request that comes late behind a running one might not end before the process does. It
    // counts as not read, since the answer before it closes the connection.
    const bool isLate =
      aState->mStop && connection.HasUnwritten() &&
      std::chrono::steady_clock::now() >= aState->mStop->mBegan + detail::kLastRequestWait;
    if (connection.mHasLast || isLate) {
      detail::ReportUnanswered(aState->mOptions,
                               { UnansweredCause::BehindLast, status == 200 ? 1U : 0U, {} });
      break;
    }
    exchange->mRequest.mPeer = peer;
    exchange->mRequest.mListener = aState->mOptions.mListener;
    more = exchange->mKeepAlive;
    connection.mExchanges.push_back(exchange);
    if (status == 200) {
      // A request may have lain in the socket until its client gave up.
      exchange->mWatch.mGone = detail::HasClientLeft(connection);
      boost::fibers::fiber(boost::fibers::launch::post, [aState, aConnection, exchange] {
        HandleExchange(aState, aConnection, exchange);
      }).detach();
    } else {
      exchange->mResponse = detail::RefusalOf(status);
      exchange->mDone = true;
      WriteReady(aState, connection);
    }
    std::unique_lock lock(connection.mMutex);
    connection.mChanged.wait(
      lock, [&] { return connection.mExchanges.size() < aState->mOptions.mMaxPipelined; });
  }
  // Nothing more is taken from the client, but its end is still watched for the sake of its
  // requests.
  if (!connection.mExchanges.empty() && connection.mStream.socket().is_open()) {
    connection.mStream.expires_never();
    connection.mBuffer.clear();
    const auto end = Await([&](auto aHandler) {
      connection.mStream.async_read_some(connection.mBuffer.prepare(1), std::move(aHandler));
    });
    if (end.mError && end.mError != asio::error::operation_aborted) {
      detail::MarkGone(connection, end.mError.message());
    }
  }
}

template<typename State>
void
ServeConnection(const std::shared_ptr<State>& aState,
                const std::shared_ptr<Connection>& aConnection)
{
  try {
    ReadRequests(aState, aConnection);
  } catch (const std::exception& error) {
    // Nothing more can be read. Requests that were read before are still answered.
    detail::ReportFault(aState->mOptions, error);
    aConnection->mReading = false;
    aConnection->mClosing = true;
  }
  std::unique_lock lock(aConnection->mMutex);
  aConnection->mChanged.wait(
    lock, [&] { return aConnection->mExchanges.empty() && !aConnection->mWriting; });
  detail::CloseConnection(*aConnection);
}

template<typename State>
void
RunConnection(const std::shared_ptr<State>& aState, Tcp::socket aSocket)
{
  const auto connection = std::make_shared<Connection>(std::move(aSocket));
  aState->mConnections.insert(connection.get());
  ServeConnection(aState, connection);
  aState->mConnections.erase(connection.get());
  aState->mChanged.notify_all();
}

template<typename State>
void
StartConnection(const std::shared_ptr<State>& aState, Tcp::socket aSocket)
{
  // Counted at once, so that a stop waits for it.
  ++aState->mStarting;
  boost::fibers::fiber(boost::fibers::launch::post,
                       [aState, socket = std::move(aSocket)]() mutable {
                         --aState->mStarting;
                         RunConnection(aState, std::move(socket));
                       })
    .detach();
}

/// @return time of the next check of the limits
template<typename State>
Instant
NextCheck(const State& aState, Instant aNow)
{
  if (!aState.mStop) {
    return aNow + kLimitCheck;
  }
  const Instant readUntil = aState.mStop->mReadUntil;
  return aNow < readUntil ? std::min(readUntil, aNow + kStopCheck) : aNow + kStopCheck;
}

/// Keeps connections to their time limits, again and again until the server has stopped.
template<typename State>
void
WatchLimits(const std::shared_ptr<State>& aState)
{
  aState->mLimitTimer.expires_at(NextCheck(*aState, std::chrono::steady_clock::now()));
  aState->mLimitTimer.async_wait([aState](const beast::error_code& aError) {
    if (aError || aState->mEnded) {
      return;
    }
    const Instant now = std::chrono::steady_clock::now();
    for (Connection* it : aState->mConnections) {
      detail::CheckLimits(*it, aState->mOptions, aState->mStop, now);
      if (aState->mStop && it->IsIdle()) {
        // The connection reads on if a last request may still come.
        it->mStream.cancel();
      } else if (it->IsIdle() && now >= it->mIdleSince + aState->mOptions.mIdleTimeout) {
        it->mClosing = true;
        it->mStream.cancel();
      }
    }
    WatchLimits(aState);
  });
}

} // namespace

std::string
ToText(UnansweredCause aCause)
{
  switch (aCause) {
    case UnansweredCause::WriteFailed:
      return "write-failed";
    case UnansweredCause::BehindLast:
      return "behind-the-last-answer";
    case UnansweredCause::StopExpired:
      break;
  }
  return "stop-expired";
}

HttpServer::HttpServer(FiberLoop& aLoop, ServerOptions aOptions, Handler aHandler)
  : HttpServer(aLoop,
               std::move(aOptions),
               WatchedHandler([handler = std::move(aHandler)](const HttpRequest& aRequest,
                                                              CallerWatch& /*aWatch*/) {
                 return handler(aRequest);
               }))
{
}

HttpServer::HttpServer(FiberLoop& aLoop, ServerOptions aOptions, WatchedHandler aHandler)
  : mState(std::make_shared<State>(aLoop, std::move(aOptions), std::move(aHandler)))
{
  const auto bind = detail::ToAsio(mState->mOptions.mBind);
  if (!bind) {
    throw std::runtime_error("cannot listen on " + ToText(mState->mOptions.mBind) +
                             ": no IPv4 address");
  }
  beast::error_code ec;
  mState->mAcceptor.open(bind->protocol(), ec);
  mState->mAcceptor.set_option(asio::socket_base::reuse_address(true), ec);
  mState->mAcceptor.bind(*bind, ec);
  if (!ec) {
    mState->mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    throw std::runtime_error("cannot listen on " + ToText(mState->mOptions.mBind) + ": " +
                             ec.message());
  }
}

HttpServer::~HttpServer() = default;

Endpoint
HttpServer::Address() const
{
  return ToEndpoint(mState->mAcceptor.local_endpoint());
}

void
HttpServer::Serve()
{
  const auto state = mState;
  state->mAccepting = true;
  WatchLimits(state);
  while (!state->mStop) {
    Tcp::socket socket(state->mAcceptor.get_executor());
    const auto accepted =
      Await([&](auto aHandler) { state->mAcceptor.async_accept(socket, std::move(aHandler)); });
    if (accepted.mError && state->mStop) {
      break;
    }
    if (accepted.mError) {
      boost::this_fiber::sleep_for(kAcceptPause);
      continue;
    }
    if (state->mConnections.size() >= state->mOptions.mMaxConnections) {
      continue;
    }
    StartConnection(state, std::move(socket));
  }
  state->mAccepting = false;
  state->mChanged.notify_all();
}

void
HttpServer::BeginStop(Instant aReadUntil)
{
  mState->mStop = { std::chrono::steady_clock::now(), aReadUntil };
  WatchLimits(mState);
  // Closing the listener resets the connections that wait to be accepted.
  beast::error_code ec;
  mState->mAcceptor.non_blocking(true, ec);
  while (!ec) {
    Tcp::socket socket(mState->mAcceptor.get_executor());
    mState->mAcceptor.accept(socket, ec);
    if (!ec) {
      StartConnection(mState, std::move(socket));
    }
  }
  mState->mAcceptor.close(ec);
  for (Connection* it : mState->mConnections) {
    if (it->IsIdle()) {
      it->mStream.cancel();
    }
  }
}

bool
HttpServer::WaitUntilEnded(Instant aUntil)
{
  std::unique_lock lock(mState->mMutex);
  return mState->mChanged.wait_until(lock, aUntil, [this] { return mState->HasEnded(); });
}

void
HttpServer::CloseConnections()
{
  mState->mEnded = true;
  mState->mLimitTimer.cancel();
  for (Connection* it : mState->mConnections) {
    detail::ReportUnanswered(mState->mOptions,
                             { UnansweredCause::StopExpired, it->Unanswered(), {} });
    it->mClosing = true;
    it->mBroken = true;
    it->mStream.close();
  }
}

bool
HttpServer::Stop(Instant aUntil, Instant aReadUntil)
{
  BeginStop(aReadUntil);
  const bool allEnded = WaitUntilEnded(aUntil);
  CloseConnections();
  return allEnded;
}

ConnectionCounts
HttpServer::Connections() const
{
  ConnectionCounts counts{ mState->mConnections.size(), 0, 0, 0 };
  for (const Connection* it : mState->mConnections) {
    counts.mReading += it->mReading ? 1 : 0;
    counts.mUnanswered += it->Unanswered();
    counts.mLingering += it->mLingering ? 1 : 0;
  }
  return counts;
}

void
HttpServer::SetLimits(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes, Millis aIdleTimeout)
{
  mState->mOptions.mMaxHeaderBytes = aMaxHeaderBytes;
  mState->mOptions.mMaxBodyBytes = aMaxBodyBytes;
  mState->mOptions.mIdleTimeout = aIdleTimeout;
}

void
HttpServer::Close()
{
  mState->mStop = { std::chrono::steady_clock::now(), Instant::max() };
  mState->mEnded = true;
  mState->mLimitTimer.cancel();
  beast::error_code ec;
  mState->mAcceptor.close(ec);
  for (Connection* it : mState->mConnections) {
    it->mClosing = true;
    it->mStream.cancel();
  }
}

} // namespace fighold::net
