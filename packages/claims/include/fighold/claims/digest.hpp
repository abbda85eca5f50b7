#pragma once

#include <string>
#include <string_view>

/// Digest that identifies the request to which a key is bound.
namespace fighold::claims {

/// @param aMethod HTTP method
/// @param aTarget path and query at the backend server
/// @param aBody request body
/// @return 32 hexadecimal digits (128-bit XXH3; detects mistakes, does not protect against forgery)
std::string
RequestDigest(std::string_view aMethod, std::string_view aTarget, std::string_view aBody);

} // namespace fighold::claims
