#pragma once

#include "fighold/core/time.hpp"
#include "fighold/net/fiber_loop.hpp"
#include "fighold/net/http.hpp"

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

/// HTTP/1.1 client connections that carry one request at a time.
namespace fighold::net {

/// How far an exchange came.
enum class ExchangeStage : std::uint8_t
{
  NotSent,  ///< no byte of the request may have left
  NoAnswer, ///< bytes may have left, no whole answer arrived
  Answered, ///< the whole answer arrived in time
};

/// Result of an exchange.
struct ExchangeResult
{
  ExchangeStage mStage = ExchangeStage::NotSent;
  HttpResponse mResponse;        ///< whole answer when Answered
  std::string mError;            ///< cause when not Answered
  bool mSilent = false;          ///< NoAnswer because no byte of the answer arrived in time
  bool mReused = false;          ///< the connection had carried an exchange before
  Duration mConnectTime{};       ///< time that opening the connection took; zero for an open one
  std::uint32_t mPassedOver = 0; ///< answers that belonged to other requests and were dropped
  bool mFollowed = false;        ///< Answered, and more bytes had arrived behind the answer

  friend auto operator<=>(const ExchangeResult&, const ExchangeResult&) = default;
};

/// Limits of an answer.
struct ClientOptions
{
  std::size_t mMaxHeaderBytes = 64U << 10U;
  std::size_t mMaxBodyBytes = 64U << 20U;
  bool mUntilClose = false; ///< an answer without a length is whole when its connection ends
  std::shared_ptr<MemoryBudget> mBudget{}; ///< shared by the messages of a process; may be null
  /// Told of an exception that ended an exchange, as ServerOptions::mOnFault.
  std::function<void(const Endpoint&, const std::string&)> mOnFault{};
};

/// Time limits of an exchange.
struct ExchangeLimits
{
  Instant mUntil{};                         ///< the whole answer must have arrived
  Instant mFirstByteUntil = Instant::max(); ///< the answer must have begun
  Instant mSendBefore = Instant::max();     ///< later, nothing may be sent any more
  /// Longest body of the answer in bytes, beside ClientOptions::mMaxBodyBytes.
  std::size_t mMaxBodyBytes = std::numeric_limits<std::size_t>::max();
  /// Tells whether an answer belongs to the request. One that does not is a late answer to an
  /// earlier request, and the next one is read. Empty: every answer belongs.
  std::function<bool(const HttpResponse&)> mBelongs{};
};

/// A connection to one endpoint. All functions run on the loop's thread, in a fiber.
class HttpConnection
{
public:
  HttpConnection(FiberLoop& aLoop, Endpoint aEndpoint, ClientOptions aOptions = {});
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Connects, unless connected.
  /// @param aUntil time limit
  /// @return empty, or the error
  std::string Connect(Instant aUntil);

  /// Sends a request and reads its answer, connecting first when needed. A std::exception on the
  /// way ends the exchange as NoAnswer, since bytes may have left.
  /// @param aRequest request
  /// @param aLimits time limits
  /// @return result; the connection is closed unless a whole answer arrived and both sides keep it
  ExchangeResult Exchange(const HttpRequest& aRequest, const ExchangeLimits& aLimits);

  /// Sends a request and reads its answer, connecting first when needed.
  /// @param aRequest request
  /// @param aUntil deadline; an answer that is not whole by then counts as NoAnswer
  /// @return result; the connection is closed unless a whole answer arrived and both sides keep it
  ExchangeResult Exchange(const HttpRequest& aRequest, Instant aUntil);

  /// @return time for which the server keeps the idle connection open, as it last said; 0: unknown
  Millis KeepAlive() const;

  /// @return true when connected, with no doubt about the state of the stream and no unasked bytes
  /// waiting
  bool Reusable();

  /// @return true when connected and bytes wait that belong to no exchange
  bool HasUnaskedBytes();

  /// Closes the connection; a running exchange ends as NoAnswer or NotSent.
  void Close();

private:
  ExchangeResult TryExchange(const HttpRequest& aRequest, const ExchangeLimits& aLimits);

  struct State;
  std::unique_ptr<State> mState;
};

} // namespace fighold::net
