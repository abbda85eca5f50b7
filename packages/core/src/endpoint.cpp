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
    const std::string_view digits = aText.substr(0, dot);
    const auto octet = ParseDigits(digits, 255);
    const bool padded = digits.size() > 1 && digits.front() == '0';
    if (!octet || padded) {
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

bool
IsUnicast(const Endpoint& aEndpoint)
{
  constexpr std::uint32_t kFirstUnicast = 1U << 24U;     // 1.0.0.0
  constexpr std::uint32_t kFirstMulticast = 224U << 24U; // 224.0.0.0; reserved addresses follow
  const auto address = ParseIpv4(aEndpoint.mHost);
  return address && *address >= kFirstUnicast && *address < kFirstMulticast && aEndpoint.mPort != 0;
}

std::string
ToText(const Endpoint& aEndpoint)
{
  return aEndpoint.mHost + ":" + std::to_string(aEndpoint.mPort);
}

} // namespace fighold
