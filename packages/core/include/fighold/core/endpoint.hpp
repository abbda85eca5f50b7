#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Network addresses by IP number.
namespace fighold {

/// An IPv4 address and a TCP port.
struct Endpoint
{
  std::string mHost;
  std::uint16_t mPort = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// @param aText "127.0.0.1:8080"
/// @return endpoint, or nothing when the host is no IPv4 address or the port is not 0 to 65535
std::optional<Endpoint>
ParseEndpoint(std::string_view aText);

/// Reads four decimal octets without leading zeros. Some readers take an octet with a leading zero
/// as octal and others refuse it, so it names no address.
/// @param aText "127.0.0.1"
/// @return IPv4 address in host order, or nothing
std::optional<std::uint32_t>
ParseIpv4(std::string_view aText);

/// @return true if a connection can be made to the endpoint: the host is a unicast address and the
/// port is not 0
bool
IsUnicast(const Endpoint& aEndpoint);

/// @return "127.0.0.1:8080"
std::string
ToText(const Endpoint& aEndpoint);

} // namespace fighold
