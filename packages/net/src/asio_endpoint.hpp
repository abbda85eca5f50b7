#pragma once

#include "fighold/core/endpoint.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace fighold::net::detail {

/// Reads the address with ParseIpv4(), as the front codecs do, so that an address which one of them
/// took can be used here.
/// @return endpoint for sockets, or nothing if the host is no IPv4 address
inline std::optional<boost::asio::ip::tcp::endpoint>
ToAsio(const Endpoint& aEndpoint)
{
  const auto address = ParseIpv4(aEndpoint.mHost);
  if (!address) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint{ boost::asio::ip::address_v4(*address), aEndpoint.mPort };
}

} // namespace fighold::net::detail
