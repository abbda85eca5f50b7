#pragma once

#include "fighold/control/event.hpp"
#include "fighold/net/http.hpp"

#include <functional>
#include <string>
#include <variant>

/// Operators' HTTP calls to events, and answers to HTTP responses.
namespace fighold::control {

/// An event for the decide thread, or the response to a call that is at fault or needs no decision.
using ParsedRequest = std::variant<Event, net::HttpResponse>;

/// @param aId identifier given to the call
/// @param aRequest HTTP request
/// @param aToken token that changes must carry; empty: none is needed
/// @return event, or a response
ParsedRequest
ParseRequest(CallId aId, const net::HttpRequest& aRequest, const std::string& aToken);

/// @param aRequest request that was answered; its path chooses what a status call shows
/// @param aAnswer answer
/// @return response that states the answer
net::HttpResponse
ToResponse(const net::HttpRequest& aRequest, const CallAnswer& aAnswer);

/// Functions of one dialect.
struct FrontCodec
{
  std::function<ParsedRequest(CallId, const net::HttpRequest&, const std::string& aToken)> mParse;
  std::function<net::HttpResponse(const net::HttpRequest&, const CallAnswer&)> mToResponse;
};

/// @return the dialect of fighold's own interface
FrontCodec
NativeFrontCodec();

} // namespace fighold::control
