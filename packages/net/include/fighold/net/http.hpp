#pragma once

#include "fighold/core/endpoint.hpp"
#include "fighold/core/shared_text.hpp"
#include "fighold/net/memory_budget.hpp"

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
  SharedText mBody;
  Endpoint mPeer;      ///< address of the client; set by the server
  std::string mHost{}; ///< Host header; a client sets the endpoint's address where it is empty
  std::uint16_t mListener = 0; ///< which of a process's listeners took the request
  MemoryHold mHold{};

  friend auto operator<=>(const HttpRequest&, const HttpRequest&) = default;
};

/// A whole response.
struct HttpResponse
{
  unsigned mStatus = 200;
  Headers mHeaders;
  std::string mBody;
  MemoryHold mHold{};

  friend auto operator<=>(const HttpResponse&, const HttpResponse&) = default;
};

/// @param aHeaders header fields
/// @param aName name, compared without regard to case
/// @return value of the first field with that name
std::optional<std::string>
FindHeader(const Headers& aHeaders, std::string_view aName);

/// @param aHeaders header fields
/// @param aName name, compared without regard to case
/// @param aValue value
/// @return true if there is a field with that name and each such field has that value
bool
HasOnlyValue(const Headers& aHeaders, std::string_view aName, std::string_view aValue);

/// @param aStatus status code
/// @param aJson body
/// @return response with the content type application/json
HttpResponse
JsonResponse(unsigned aStatus, std::string aJson);

/// Counts a response that was made here for as long as its client reads it.
/// @param aBudget may be null
/// @param aResponse response
/// @return the response, or 503 if it is a large one and there is no memory for it
HttpResponse
HoldOrRefuse(const std::shared_ptr<MemoryBudget>& aBudget, HttpResponse aResponse);

/// @return true for GET, HEAD and OPTIONS, which may be repeated
bool
IsSafeMethod(std::string_view aMethod);

} // namespace fighold::net
