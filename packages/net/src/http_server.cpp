#include "fighold/net/http_server.hpp"

#include "await.hpp"
#include "beast_convert.hpp"
#include "end_watch.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

#include <set>
#include <stdexcept>

namespace fighold::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using detail::Await;
using Tcp = asio::ip::tcp;

/// Time between two attempts to accept after an error such as too many open files.
constexpr Millis kAcceptPause{ 50 };

constexpr std::size_t kReadSize = 4096;

/// Time for the first request of a connection that was opened just before a stop.
constexpr Millis kLastRequestWait{ 500 };

struct Connection
{
  explicit Connection(Tcp::socket aSocket)
    : mStream(std::move(aSocket))
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  bool mFresh = true; ///< no request has begun
  bool mBusy = false; ///< a request is being read, handled or answered
};

Endpoint
ToEndpoint(const Tcp::endpoint& aEndpoint)
{
  return { aEndpoint.address().to_string(), aEndpoint.port() };
}

Tcp::endpoint
FromEndpoint(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address_v4(aEndpoint.mHost), aEndpoint.mPort };
}

} // namespace

struct HttpServer::State
{
  State(FiberLoop& aLoop, ServerOptions aOptions, WatchedHandler aHandler)
    : mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
    , mAcceptor(aLoop.Context())
  {
  }

  ServerOptions mOptions;
  WatchedHandler mHandler;
  Tcp::acceptor mAcceptor;
  std::set<Connection*> mConnections;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
  bool mStopping = false;
  int mStarting = 0; ///< connections whose fiber has not run yet
};

namespace {

/// Waits for a request. A stop ends the wait, but bytes that arrived before it are still read, so
/// that their request is answered and not cut off.
bool
ReadFirstBytes(Connection& aConnection, bool aStopping)
{
  beast::error_code ec;
  if (aStopping && !aConnection.mFresh && aConnection.mStream.socket().available(ec) == 0) {
    return false;
  }
  const auto read = [&aConnection] {
    return Await([&](auto aHandler) {
      aConnection.mStream.async_read_some(aConnection.mBuffer.prepare(kReadSize),
                                          std::move(aHandler));
    });
  };
  auto first = read();
  if (first.mError == asio::error::operation_aborted &&
      (aConnection.mFresh || aConnection.mStream.socket().available(ec) > 0)) {
    aConnection.mStream.expires_after(kLastRequestWait);
    first = read();
  }
  aConnection.mBuffer.commit(first.mError ? 0 : first.mSize);
  return !first.mError;
}

/// Reads one request.
/// @return request, or the status with which it is refused; 0 when the connection ended
template<typename Options>
std::pair<unsigned, HttpRequest>
ReadRequest(Connection& aConnection, const Options& aOptions, bool aStopping, bool& aKeepAlive)
{
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(aOptions.mMaxHeaderBytes));
  parser.body_limit(aOptions.mMaxBodyBytes);
  aConnection.mStream.expires_after(aStopping ? kLastRequestWait : aOptions.mIdleTimeout);
  if (aConnection.mBuffer.size() == 0) {
    if (!ReadFirstBytes(aConnection, aStopping)) {
      return { 0, {} };
    }
  }
  aConnection.mBusy = true;
  aConnection.mFresh = false;
  aConnection.mStream.expires_after(aOptions.mReadTimeout);
  const auto read = Await([&](auto aHandler) {
    http::async_read(aConnection.mStream, aConnection.mBuffer, parser, std::move(aHandler));
  });
  if (read.mError == http::error::body_limit) {
    return { 413, {} };
  }
  if (read.mError == http::error::header_limit) {
    return { 431, {} };
  }
  if (read.mError == http::error::end_of_stream || read.mError == beast::error::timeout) {
    return { 0, {} };
  }
  if (read.mError || detail::HasAmbiguousLength(parser.get().base())) {
    return { 400, {} };
  }
  const auto& message = parser.get();
  aKeepAlive = message.keep_alive();
  HttpRequest request;
  request.mMethod = detail::ToString(message.method_string());
  request.mTarget = detail::ToString(message.target());
  request.mHeaders = detail::CopyHeaders(message.base());
  request.mBody = message.body();
  return { 200, std::move(request) };
}

bool
WriteResponse(Connection& aConnection,
              HttpResponse aResponse,
              bool aKeepAlive,
              bool aHead,
              Millis aTimeout)
{
  http::response<http::string_body> message;
  message.version(11);
  message.result(aResponse.mStatus);
  detail::SetHeaders(aResponse.mHeaders, message.base());
  message.keep_alive(aKeepAlive);
  message.body() = std::move(aResponse.mBody);
  message.prepare_payload();
  aConnection.mStream.expires_after(aTimeout);
  if (aHead) {
    http::response_serializer<http::string_body> serializer(message);
    const auto written = Await([&](auto aHandler) {
      http::async_write_header(aConnection.mStream, serializer, std::move(aHandler));
    });
    return !written.mError;
  }
  const auto written = Await(
    [&](auto aHandler) { http::async_write(aConnection.mStream, message, std::move(aHandler)); });
  return !written.mError;
}

template<typename State>
HttpResponse
HandleWatched(State& aState, Connection& aConnection, const HttpRequest& aRequest)
{
  CallerWatch watch;
  const detail::EndWatch end(aConnection.mStream.socket(), [&watch] {
    watch.mGone = true;
    if (watch.mOnGone) {
      watch.mOnGone();
    }
  });
  return aState.mHandler(aRequest, watch);
}

template<typename State>
void
ServeConnection(const std::shared_ptr<State>& aState, Connection& aConnection)
{
  beast::error_code ec;
  const Endpoint peer = ToEndpoint(aConnection.mStream.socket().remote_endpoint(ec));
  aConnection.mStream.socket().set_option(Tcp::no_delay(true), ec);
  bool keepAlive = true;
  while (keepAlive) {
    aConnection.mBusy = false;
    auto [status, request] =
      ReadRequest(aConnection, aState->mOptions, aState->mStopping, keepAlive);
    if (status == 0) {
      break;
    }
    HttpResponse response{ status, { { "Fighold-Outcome", "not-run" } }, "" };
    if (status == 200) {
      request.mPeer = peer;
      aConnection.mStream.expires_never();
      response = HandleWatched(*aState, aConnection, request);
    } else {
      keepAlive = false;
    }
    const bool lastAnswer = FindHeader(response.mHeaders, "Connection") == "close";
    keepAlive = keepAlive && !aState->mStopping && !lastAnswer;
    const bool head = request.mMethod == "HEAD";
    if (!WriteResponse(
          aConnection, std::move(response), keepAlive, head, aState->mOptions.mWriteTimeout)) {
      break;
    }
  }
  aConnection.mStream.socket().shutdown(Tcp::socket::shutdown_both, ec);
  aConnection.mStream.close();
}

template<typename State>
void
RunConnection(const std::shared_ptr<State>& aState, Tcp::socket aSocket)
{
  Connection connection(std::move(aSocket));
  aState->mConnections.insert(&connection);
  ServeConnection(aState, connection);
  aState->mConnections.erase(&connection);
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

} // namespace

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
  const Tcp::endpoint bind = FromEndpoint(mState->mOptions.mBind);
  beast::error_code ec;
  mState->mAcceptor.open(bind.protocol(), ec);
  mState->mAcceptor.set_option(asio::socket_base::reuse_address(true), ec);
  mState->mAcceptor.bind(bind, ec);
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
  while (!state->mStopping) {
    Tcp::socket socket(state->mAcceptor.get_executor());
    const auto accepted =
      Await([&](auto aHandler) { state->mAcceptor.async_accept(socket, std::move(aHandler)); });
    if (accepted.mError && state->mStopping) {
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
}

bool
HttpServer::Stop(Instant aUntil)
{
  mState->mStopping = true;
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
    if (!it->mBusy) {
      it->mStream.cancel();
    }
  }
  std::unique_lock lock(mState->mMutex);
  return mState->mChanged.wait_until(
    lock, aUntil, [this] { return mState->mConnections.empty() && mState->mStarting == 0; });
}

void
HttpServer::Close()
{
  mState->mStopping = true;
  beast::error_code ec;
  mState->mAcceptor.close(ec);
  for (Connection* it : mState->mConnections) {
    it->mStream.cancel();
  }
}

} // namespace fighold::net
