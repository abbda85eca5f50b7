#pragma once

#include "fighold/core/finding.hpp"
#include "fighold/entry/event.hpp"

#include <functional>
#include <string>
#include <variant>

/// HTTP requests to events, and answers to HTTP responses. Another front end replaces the functions
/// of FrontCodec.
namespace fighold::entry {

/// An event for the decide thread, or the response to a request that is at fault.
using ParsedRequest = std::variant<Event, net::HttpResponse>;

/// @param aId identifier given to the request
/// @param aRequest request of a caller, a backend server or the platform
/// @return event, or a response
ParsedRequest
ParseRequest(RequestId aId, const net::HttpRequest& aRequest);

/// @return response that states the answer
net::HttpResponse
ToResponse(RequestId aId, const Answer& aAnswer);

/// @param aReason why the request was not run
/// @param aStatus 503, or a 4xx when the request is at fault
/// @return response with the outcome "not-run"
net::HttpResponse
NotRunResponse(const std::string& aReason, unsigned aStatus = 503);

/// Functions of one dialect.
struct FrontCodec
{
  std::function<ParsedRequest(RequestId, const net::HttpRequest&)> mParse;
  std::function<net::HttpResponse(RequestId, const net::HttpRequest&, const Answer&)> mToResponse;
  /// Answer when a request cannot be taken in.
  std::function<net::HttpResponse(const std::string& aReason)> mOverloadResponse;
  /// Every target at the first listener is a caller's, also those of the process's own pages.
  bool mFirstListenerIsCallersOnly = false;
};

/// @return whether a request is to be forwarded whatever its target is
inline bool
IsCallersOnly(const FrontCodec& aCodec, const net::HttpRequest& aRequest)
{
  return aCodec.mFirstListenerIsCallersOnly && aRequest.mListener == 0;
}

/// @return the dialect of fighold's own interface
FrontCodec
NativeFrontCodec();

} // namespace fighold::entry
