#include "fighold/net/http_server.hpp"

#include "await.hpp"
#include "beast_convert.hpp"

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

struct Connection
{
  explicit Connection(Tcp::socket aSocket)
    : mStream(std::move(aSocket))
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
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

/// Headers whose doubling makes two readers disagree about where a request ends.
bool
HasAmbiguousLength(const http::fields& aFields)
{
  const bool chunked = aFields.count(http::field::transfer_encoding) > 0;
  const auto lengths = aFields.count(http::field::content_length);
  return lengths > 1 || (chunked && lengths > 0) ||
         aFields.count(http::field::transfer_encoding) > 1;
}

} // namespace

struct HttpServer::State
{
  State(FiberLoop& aLoop, ServerOptions aOptions, Handler aHandler)
    : mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
    , mAcceptor(aLoop.Context())
  {
  }

  ServerOptions mOptions;
  Handler mHandler;
  Tcp::acceptor mAcceptor;
  std::set<Connection*> mConnections;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
  bool mStopping = false;
};

namespace {

/// Reads one request.
/// @return request, or the status with which it is refused; 0 when the connection ended
template<typename Options>
std::pair<unsigned, HttpRequest>
ReadRequest(Connection& aConnection, const Options& aOptions, bool& aKeepAlive)
{
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(aOptions.mMaxHeaderBytes));
  parser.body_limit(aOptions.mMaxBodyBytes);
  aConnection.mStream.expires_after(aOptions.mIdleTimeout);
  if (aConnection.mBuffer.size() == 0) {
    const auto first = Await([&](auto aHandler) {
      aConnection.mStream.async_read_some(aConnection.mBuffer.prepare(4096), std::move(aHandler));
    });
    if (first.mError) {
      return { 0, {} };
    }
    aConnection.mBuffer.commit(first.mSize);
  }
  aConnection.mBusy = true;
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
  if (read.mError || HasAmbiguousLength(parser.get().base())) {
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
void
ServeConnection(const std::shared_ptr<State>& aState, Connection& aConnection)
{
  beast::error_code ec;
  const Endpoint peer = ToEndpoint(aConnection.mStream.socket().remote_endpoint(ec));
  aConnection.mStream.socket().set_option(Tcp::no_delay(true), ec);
  bool keepAlive = true;
  while (keepAlive && !aState->mStopping) {
    aConnection.mBusy = false;
    auto [status, request] = ReadRequest(aConnection, aState->mOptions, keepAlive);
    if (status == 0) {
      break;
    }
    HttpResponse response{ status, { { "Fighold-Outcome", "not-run" } }, "" };
    if (status == 200) {
      request.mPeer = peer;
      aConnection.mStream.expires_never();
      response = aState->mHandler(request);
    } else {
      keepAlive = false;
    }
    keepAlive = keepAlive && !aState->mStopping;
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

} // namespace

HttpServer::HttpServer(FiberLoop& aLoop, ServerOptions aOptions, Handler aHandler)
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
    if (state->mStopping) {
      break;
    }
    if (accepted.mError) {
      boost::this_fiber::sleep_for(kAcceptPause);
      continue;
    }
    if (state->mConnections.size() >= state->mOptions.mMaxConnections) {
      continue;
    }
    boost::fibers::fiber(
      boost::fibers::launch::post,
      [state, socket = std::move(socket)]() mutable { RunConnection(state, std::move(socket)); })
      .detach();
  }
}

bool
HttpServer::Stop(Instant aUntil)
{
  mState->mStopping = true;
  beast::error_code ec;
  mState->mAcceptor.close(ec);
  for (Connection* it : mState->mConnections) {
    if (!it->mBusy) {
      it->mStream.cancel();
    }
  }
  std::unique_lock lock(mState->mMutex);
  return mState->mChanged.wait_until(lock, aUntil, [this] { return mState->mConnections.empty(); });
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
