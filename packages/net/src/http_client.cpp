#include "fighold/net/http_client.hpp"

#include "asio_endpoint.hpp"
#include "await.hpp"
#include "message_parser.hpp"
#include "message_text.hpp"
#include "read_message.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <string_view>

namespace fighold::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using detail::Await;
using Tcp = asio::ip::tcp;

constexpr std::size_t kReadSize = 16U << 10U;

constexpr unsigned kFirstFinalStatus = 200;

/// An answer without a length ends with the connection, so a cut answer would look whole.
bool
HasEnd(const detail::MessageParser<false>& aAnswer, bool aHead)
{
  const unsigned status = aAnswer.Head().mStatus;
  const bool bodiless = aHead || status < kFirstFinalStatus || status == 204 || status == 304;
  return bodiless || aAnswer.content_length() || aAnswer.chunked();
}

} // namespace

struct HttpConnection::State
{
  State(FiberLoop& aLoop, Endpoint aEndpoint, ClientOptions aOptions)
    : mStream(aLoop.Context())
    // Without a limit, a chunk size or extension without an end fills the memory.
    , mBuffer(2 * std::max(aOptions.mMaxHeaderBytes, detail::kMaxRead))
    , mEndpoint(std::move(aEndpoint))
    , mOptions(std::move(aOptions))
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  Endpoint mEndpoint;
  ClientOptions mOptions;
  bool mConnected = false;
  bool mUsed = false;        ///< carried an exchange
  bool mCarriedHead = false; ///< carried a HEAD request, whose answer states a length without body
  bool mStatesBody = false;  ///< the last answer stated a length or chunks
  Millis mKeepAlive{ 0 };

  /// Reads one answer.
  /// @return empty, or the error
  std::string ReadAnswer(bool aHead,
                         std::size_t aMaxBodyBytes,
                         HttpResponse& aResponse,
                         bool& aKeepAlive);

  /// Looks whether bytes have arrived.
  /// @return success if so, would_block if not, else how the stream ended
  beast::error_code Peek();
};

namespace {

/// Interim answers and answers to earlier requests that are passed over before the connection
/// counts as broken.
constexpr int kMaxForeignAnswers = 4;

/// @return time of a Keep-Alive header such as "timeout=5, max=100", 0 without one
Millis
KeepAliveOf(std::string_view aValue)
{
  constexpr std::string_view kName = "timeout=";
  const auto n = aValue.find(kName);
  if (n == std::string_view::npos) {
    return Millis(0);
  }
  std::int64_t seconds = 0;
  const char* begin = aValue.data() + n + kName.size();
  const auto parsed = std::from_chars(begin, aValue.data() + aValue.size(), seconds);
  constexpr std::int64_t kLongest = 3600;
  return parsed.ec == std::errc() && seconds >= 0 ? Millis(1000 * std::min(seconds, kLongest))
                                                  : Millis(0);
}

} // namespace

std::string
HttpConnection::State::ReadAnswer(bool aHead,
                                  std::size_t aMaxBodyBytes,
                                  HttpResponse& aResponse,
                                  bool& aKeepAlive)
{
  detail::MessageParser<false> parser;
  parser.header_limit(detail::HeaderLimit(mOptions.mMaxHeaderBytes));
  parser.body_limit(std::min(mOptions.mMaxBodyBytes, aMaxBodyBytes));
  parser.skip(aHead);
  parser.RequireLength(!mOptions.mUntilClose && !aHead);
  const auto reservation = std::make_shared<MemoryReservation>(mOptions.mBudget);
  const auto readSome = [this](const auto& aBuffer) {
    return Await([&](auto aHandler) { mStream.async_read_some(aBuffer, std::move(aHandler)); });
  };
  const detail::ReadResult read =
    detail::ReadMessage(readSome, mBuffer, parser, mOptions.mMaxHeaderBytes, *reservation);
  if (!read.mHasMemory) {
    return "read: no memory left for the answer";
  }
  detail::MessageHead& head = parser.Head();
  if (!parser.Refusal().empty()) {
    return "read: " + parser.Refusal();
  }
  if (read.mError) {
    return "read: " + read.mError.message();
  }
  if (!HasEnd(parser, aHead) && !mOptions.mUntilClose) {
    return "read: answer without a length";
  }
  if (detail::HasAmbiguousLength(head)) {
    return "read: answer with conflicting lengths";
  }
  aResponse.mStatus = head.mStatus;
  aResponse.mHeaders = std::move(head.mHeaders);
  aResponse.mBody = std::move(parser.Body());
  aResponse.mHold = { reservation };
  aKeepAlive = parser.keep_alive() && HasEnd(parser, aHead);
  mKeepAlive = KeepAliveOf(head.mKeepAlive);
  mStatesBody = parser.chunked() || parser.content_length().value_or(0) > 0;
  return {};
}

HttpConnection::HttpConnection(FiberLoop& aLoop, Endpoint aEndpoint, ClientOptions aOptions)
  : mState(std::make_unique<State>(aLoop, std::move(aEndpoint), std::move(aOptions)))
{
}

HttpConnection::~HttpConnection() = default;

std::string
HttpConnection::Connect(Instant aUntil)
{
  State& state = *mState;
  if (state.mConnected) {
    return {};
  }
  const auto endpoint = detail::ToAsio(state.mEndpoint);
  if (!endpoint) {
    return "connect: \"" + state.mEndpoint.mHost + "\" is no IPv4 address";
  }
  state.mStream.expires_at(aUntil);
  const auto connected =
    Await([&](auto aHandler) { state.mStream.async_connect(*endpoint, std::move(aHandler)); });
  if (connected.mError) {
    Close();
    return "connect: " + connected.mError.message();
  }
  beast::error_code ec;
  state.mStream.socket().set_option(Tcp::no_delay(true), ec);
  state.mConnected = true;
  return {};
}

ExchangeResult
HttpConnection::Exchange(const HttpRequest& aRequest, Instant aUntil)
{
  ExchangeLimits limits;
  limits.mUntil = aUntil;
  return Exchange(aRequest, limits);
}

ExchangeResult
HttpConnection::Exchange(const HttpRequest& aRequest, const ExchangeLimits& aLimits)
{
  const bool reused = mState->mUsed;
  try {
    return TryExchange(aRequest, aLimits);
  } catch (const std::exception& error) {
    if (mState->mOptions.mOnFault) {
      mState->mOptions.mOnFault(mState->mEndpoint, error.what());
    }
    Close();
    return {
      ExchangeStage::NoAnswer, {}, std::string("exception: ") + error.what(), false, reused
    };
  }
}

ExchangeResult
HttpConnection::TryExchange(const HttpRequest& aRequest, const ExchangeLimits& aLimits)
{
  State& state = *mState;
  const std::string error = Connect(aLimits.mUntil);
  if (!error.empty()) {
    return { ExchangeStage::NotSent, {}, error };
  }
  if (aRequest.mMethod == "TRACE" && aRequest.mBody.Size() > 0) {
    return { ExchangeStage::NotSent, {}, "TRACE with a body" };
  }
  const bool reused = state.mUsed;
  state.mUsed = true;
  state.mCarriedHead = state.mCarriedHead || aRequest.mMethod == "HEAD";
  std::uint32_t passedOver = 0;
  const auto lost = [&](const std::string& aError, bool aSilent) {
    Close();
    return ExchangeResult{ ExchangeStage::NoAnswer, {}, aError, aSilent, reused, {}, passedOver };
  };
  const std::string head = detail::FormatRequestHead(
    aRequest, aRequest.mHost.empty() ? ToText(state.mEndpoint) : aRequest.mHost);
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(head),
                                                   asio::buffer(aRequest.mBody.Text()) };
  // The process may have been frozen since the request was decided.
  if (std::chrono::steady_clock::now() >= std::min(aLimits.mSendBefore, aLimits.mUntil)) {
    return { ExchangeStage::NotSent, {}, "too late to send", false, reused };
  }
  state.mStream.expires_at(std::min(aLimits.mFirstByteUntil, aLimits.mUntil));
  const auto written =
    Await([&](auto aHandler) { asio::async_write(state.mStream, buffers, std::move(aHandler)); });
  if (written.mError) {
    return lost("write: " + written.mError.message(), written.mError == beast::error::timeout);
  }
  const auto first = Await([&](auto aHandler) {
    state.mStream.async_read_some(state.mBuffer.prepare(kReadSize), std::move(aHandler));
  });
  if (first.mError) {
    return lost("read: " + first.mError.message(), first.mError == beast::error::timeout);
  }
  state.mBuffer.commit(first.mSize);
  state.mStream.expires_at(aLimits.mUntil);
  ExchangeResult result{ ExchangeStage::Answered, {}, {}, false, reused };
  bool keepAlive = true;
  for (int n = 0; n <= kMaxForeignAnswers; ++n) {
    const std::string failed = state.ReadAnswer(
      aRequest.mMethod == "HEAD", aLimits.mMaxBodyBytes, result.mResponse, keepAlive);
    if (!failed.empty()) {
      return lost(failed, false);
    }
    const bool interim = result.mResponse.mStatus < kFirstFinalStatus;
    if (!interim && (!aLimits.mBelongs || aLimits.mBelongs(result.mResponse))) {
      result.mFollowed = state.mBuffer.size() > 0;
      if (!keepAlive || result.mFollowed) {
        Close();
      }
      // An idle connection holds no memory that the budget does not count.
      detail::ShrinkIdle(state.mBuffer, kReadSize);
      result.mPassedOver = passedOver;
      return result;
    }
    passedOver += interim ? 0 : 1;
    if (!keepAlive) {
      break;
    }
    // Whether the body that it states follows depends on the method of the other request.
    if (!interim && state.mCarriedHead && state.mStatesBody) {
      return lost("read: answer to another request, with or without a body", false);
    }
  }
  return lost("read: only interim answers or answers to other requests", false);
}

Millis
HttpConnection::KeepAlive() const
{
  return mState->mKeepAlive;
}

beast::error_code
HttpConnection::State::Peek()
{
  char byte = 0;
  beast::error_code ec;
  mStream.socket().non_blocking(true, ec);
  mStream.socket().receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, ec);
  return ec;
}

bool
HttpConnection::HasUnaskedBytes()
{
  return mState->mConnected && !mState->Peek();
}

bool
HttpConnection::Reusable()
{
  if (!mState->mConnected) {
    return false;
  }
  // Bytes that nobody asked for, or the end of the stream, make the next answer doubtful.
  if (mState->Peek() != asio::error::would_block) {
    Close();
    return false;
  }
  return true;
}

void
HttpConnection::Close()
{
  mState->mConnected = false;
  mState->mUsed = false;
  mState->mCarriedHead = false;
  mState->mBuffer.clear();
  mState->mStream.close();
}

} // namespace fighold::net
