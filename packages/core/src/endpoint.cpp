#include "fighold/core/endpoint.hpp"

#include <charconv>

namespace fighold {
namespace {

std::optional<std::uint32_t>
ParseDigits(std::string_view aText, std::uint32_t aMax)
{
  std::uint32_t number = 0;
  const auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (aText.empty() || ec != std::errc{} || end != aText.data() + aText.size() || number > aMax) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::optional<std::uint32_t>
ParseIpv4(std::string_view aText)
{
  constexpr int kOctets = 4;
  std::uint32_t address = 0;
  for (int n = 0; n < kOctets; ++n) {
    const auto dot = aText.find('.');
    const bool last = n == kOctets - 1;
    if ((dot == std::string_view::npos) != last) {
      return std::nullopt;
    }
    const auto octet = ParseDigits(aText.substr(0, dot), 255);
    if (!octet) {
      return std::nullopt;
    }
    address = (address << 8U) | *octet;
    aText = last ? std::string_view{} : aText.substr(dot + 1);
  }
  return address;
}

std::optional<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || !ParseIpv4(aText.substr(0, colon))) {
    return std::nullopt;
  }
  const auto port = ParseDigits(aText.substr(colon + 1), 65535);
  if (!port) {
    return std::nullopt;
  }
  return Endpoint{ std::string(aText.substr(0, colon)), static_cast<std::uint16_t>(*port) };
}

std::string
ToText(const Endpoint& aEndpoint)
{
  return aEndpoint.mHost + ":" + std::to_string(aEndpoint.mPort);
}

} // namespace fighold
