#pragma once

#include "fighold/net/http.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

/// Conversion between Beast messages and values, and what both sides of a connection know of Beast.
namespace fighold::net::detail {

/// Maximum size of one read of Beast, in bytes. A read buffer has to hold one besides a head.
constexpr std::size_t kMaxBeastRead = 64U << 10U;

/// Copies end-to-end header fields; fields of one connection stay behind.
Headers
CopyHeaders(const boost::beast::http::fields& aFields);

/// @param aHeaders end-to-end fields to add
/// @param aFields receives them
void
SetHeaders(const Headers& aHeaders, boost::beast::http::fields& aFields);

/// @return true for headers whose doubling makes two readers disagree about where a message ends
bool
HasAmbiguousLength(const boost::beast::http::fields& aFields);

std::string
ToString(boost::beast::string_view aText);

boost::beast::string_view
ToView(const std::string& aText);

} // namespace fighold::net::detail
