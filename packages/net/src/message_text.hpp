#pragma once

#include "fighold/net/http.hpp"

#include <string>

/// Text of the heads of HTTP/1.1 messages.
namespace fighold::net::detail {

/// @param aRequest request, whose body is sent after the head
/// @param aHost value of the Host field
/// @return start line, fields and the empty line
std::string
FormatRequestHead(const HttpRequest& aRequest, const std::string& aHost);

/// @param aResponse response, whose body is sent after the head
/// @param aKeepAlive false: the connection closes after the response
/// @return start line, fields and the empty line
std::string
FormatResponseHead(const HttpResponse& aResponse, bool aKeepAlive);

} // namespace fighold::net::detail
