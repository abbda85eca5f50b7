#pragma once

#include "fighold/core/endpoint.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP messages as values, independent of the library that reads and writes them.
namespace fighold::net {

/// One header field.
struct Header
{
  std::string mName;
  std::string mValue;

  friend auto operator<=>(const Header&, const Header&) = default;
};

using Headers = std::vector<Header>;

/// A whole request.
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  Headers mHeaders;
  std::string mBody;
  Endpoint mPeer;      ///< address of the client; set by the server
  std::string mHost{}; ///< Host header; a client sets the endpoint's address where it is empty
  std::uint16_t mListener = 0; ///< which of a process's listeners took the request

  friend auto operator<=>(const HttpRequest&, const HttpRequest&) = default;
};

/// A whole response.
struct HttpResponse
{
  unsigned mStatus = 200;
  Headers mHeaders;
  std::string mBody;

  friend auto operator<=>(const HttpResponse&, const HttpResponse&) = default;
};

/// @param aHeaders header fields
/// @param aName name, compared without regard to case
/// @return value of the first field with that name
std::optional<std::string>
FindHeader(const Headers& aHeaders, std::string_view aName);

/// @param aStatus status code
/// @param aJson body
/// @return response with the content type application/json
HttpResponse
JsonResponse(unsigned aStatus, std::string aJson);

/// @return true for GET, HEAD and OPTIONS, which may be repeated
bool
IsSafeMethod(std::string_view aMethod);

} // namespace fighold::net
