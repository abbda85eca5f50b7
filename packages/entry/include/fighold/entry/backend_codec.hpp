#pragma once

#include "fighold/entry/event.hpp"

#include <functional>
#include <optional>

/// Encodes requests to backend servers and decodes their responses, separately from the decisions.
namespace fighold::entry {

/// Functions of one HTTP dialect.
struct BackendCodec
{
  /// Encodes the request to send; the remaining time goes into a header.
  std::function<net::HttpRequest(const Dispatch&, Millis aTimeLeft)> mEncode;
  /// Returns the identifier of the request that goes to the server and that its responses repeat;
  /// empty if it has none. No connection carries an identifier twice, so that a response with it
  /// belongs to the dispatch.
  std::function<std::string(const Dispatch&)> mRequestId;
  /// Returns true if a response belongs to the dispatch, false if it is a late response to an
  /// earlier request on the connection.
  std::function<bool(const Dispatch&, const net::HttpResponse&)> mMatchesDispatch;
  /// Returns true if a response names the request that it answers. On a connection that has carried
  /// a request without identifier, one that does not may be the copy of the response to that.
  std::function<bool(const net::HttpResponse&)> mNamesRequest;
  /// Classifies a complete response. On a connection that carried an earlier exchange, the response
  /// may be one to that.
  std::function<AnswerMeaning(const Dispatch&, const net::HttpResponse&, bool aIsReused)> mMeaning;
  /// Reads what the server says of itself in a response to the dispatch.
  std::function<routes::ServerReport(const Dispatch&, const net::HttpResponse&)> mReport;
};

/// Reads from the headers of a response whether the server limits its request rate.
/// @param aName name of the header; its value is a decimal number of requests/s without exponent.
/// If there are several, the lowest readable one counts.
/// @param aReport its mRate and mUnreadableRate are set
void
ReadRate(const net::Headers& aHeaders, std::string_view aName, routes::ServerReport& aReport);

/// Reads from a response whether the server wants further requests.
/// @param aLeavingName name of the header that is "1" in the responses of a server that leaves; any
/// other value says nothing
/// @param aReport its mAvailability and mUnreadableAvailability are set. A Retry-After of a 503 is
/// a pause in decimal seconds without exponent; of several the longest readable one counts, and
/// kMaxPause bounds it.
void
ReadAvailability(const net::HttpResponse& aResponse,
                 std::string_view aLeavingName,
                 routes::ServerReport& aReport);

/// @return the dialect of fighold's own interface
BackendCodec
NativeBackendCodec();

} // namespace fighold::entry
