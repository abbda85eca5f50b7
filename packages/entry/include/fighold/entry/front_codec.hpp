#pragma once

#include "fighold/core/finding.hpp"
#include "fighold/entry/event.hpp"

#include <functional>
#include <string>
#include <variant>

/// Converts HTTP requests to events and answers to HTTP responses. Another front end provides its
/// own functions in a FrontCodec.
namespace fighold::entry {

/// Longest body of a backend server's call; parsed, JSON takes a multiple of its size.
constexpr std::size_t kMaxCallBytes = 64U << 10U;

/// Size of a head that the calls of backend servers and of the platform may have at least.
constexpr std::size_t kMinCallHeadBytes = 16U << 10U;

/// An event for the decide thread, or the response to an invalid request.
using ParsedRequest = std::variant<Event, net::HttpResponse>;

/// @param aId identifier of the request
/// @param aRequest request of a caller, a backend server or the platform
/// @return event, or a response
ParsedRequest
ParseRequest(RequestId aId, const net::HttpRequest& aRequest);

/// @return response for the answer
net::HttpResponse
ToResponse(RequestId aId, const Answer& aAnswer);

/// @param aReason why the request was not run
/// @param aStatus 503, or a 4xx status if the request is invalid
/// @return response with the outcome "not-run"
net::HttpResponse
NotRunResponse(const std::string& aReason, unsigned aStatus = 503);

/// Functions of one HTTP dialect.
struct FrontCodec
{
  std::function<ParsedRequest(RequestId, const net::HttpRequest&)> mParse;
  std::function<net::HttpResponse(RequestId, const net::HttpRequest&, const Answer&)> mToResponse;
  /// Response to a request that is rejected because the inbox is full.
  std::function<net::HttpResponse(const std::string& aReason)> mOverloadResponse;
  /// If true, every target at the first listener belongs to callers, including those that would
  /// otherwise address the pages of the process itself.
  bool mFirstListenerIsCallersOnly = false;
};

/// @return true if a request belongs to a caller regardless of its target
inline bool
IsCallersOnly(const FrontCodec& aCodec, const net::HttpRequest& aRequest)
{
  return aCodec.mFirstListenerIsCallersOnly && aRequest.mListener == 0;
}

/// @return the dialect of fighold's own interface
FrontCodec
NativeFrontCodec();

} // namespace fighold::entry
