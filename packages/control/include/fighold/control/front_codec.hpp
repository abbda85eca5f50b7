#pragma once

#include "fighold/control/event.hpp"
#include "fighold/net/http.hpp"

#include <functional>
#include <string>
#include <variant>

/// Converts HTTP calls to events and answers to HTTP responses. Another front end provides its own
/// functions in a FrontCodec.
namespace fighold::control {

/// An event for the decide thread, or the response to a call that is invalid or needs no decision.
using ParsedRequest = std::variant<Event, net::HttpResponse>;

/// @param aId identifier of the call
/// @param aRequest HTTP request
/// @param aToken token required for changes; empty: none is required
/// @return event, or a response
ParsedRequest
ParseRequest(CallId aId, const net::HttpRequest& aRequest, const std::string& aToken);

/// @param aRequest request of the call; its path selects the content of a status response
/// @param aAnswer answer
/// @return response for the answer
net::HttpResponse
ToResponse(const net::HttpRequest& aRequest, const CallAnswer& aAnswer);

/// Functions of one HTTP dialect.
struct FrontCodec
{
  std::function<ParsedRequest(CallId, const net::HttpRequest&, const std::string& aToken)> mParse;
  std::function<net::HttpResponse(const net::HttpRequest&, const CallAnswer&)> mToResponse;
};

/// @return the dialect of fighold's own interface
FrontCodec
NativeFrontCodec();

} // namespace fighold::control
