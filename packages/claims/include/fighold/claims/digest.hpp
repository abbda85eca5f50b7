#pragma once

#include <string>
#include <string_view>

/// Identification of a request that a key is bound to.
namespace fighold::claims {

/// @param aMethod method
/// @param aTarget path and query at the backend server
/// @param aBody body
/// @return 32 hexadecimal digits (XXH3, 128 bits; finds mistakes, no protection against forgery)
std::string
RequestDigest(std::string_view aMethod, std::string_view aTarget, std::string_view aBody);

} // namespace fighold::claims
