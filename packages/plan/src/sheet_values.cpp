#include "sheet_values.hpp"

#include "fighold/core/endpoint.hpp"
#include "sheet_rows.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>

namespace fighold::plan::detail {
namespace {

constexpr std::size_t kMaxNameLength = 64;

std::pair<std::string_view, std::string_view>
SplitAt(std::string_view aText, char aSeparator)
{
  const auto n = aText.find(aSeparator);
  if (n == std::string_view::npos) {
    return { aText, {} };
  }
  return { aText.substr(0, n), aText.substr(n + 1) };
}

} // namespace

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (aText.empty() || ec != std::errc{} || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

std::optional<BasisPoints>
ParsePercent(std::string_view aText)
{
  const auto [whole, decimals] = SplitAt(aText, '.');
  const bool dot = whole.size() < aText.size();
  const auto percent = ParseNumber(whole);
  if (!percent || *percent > 100 || (dot && decimals.empty()) || decimals.size() > 2) {
    return std::nullopt;
  }
  const auto hundredths =
    decimals.empty() ? std::optional<std::uint64_t>(0) : ParseNumber(decimals);
  if (!hundredths) {
    return std::nullopt;
  }
  const std::uint64_t scale = decimals.size() == 1 ? 10 : 1;
  return static_cast<BasisPoints>(*percent * 100 + *hundredths * scale);
}

std::optional<RequestClass>
ParseClass(std::string_view aText)
{
  for (const RequestClass it :
       { RequestClass::Urgent, RequestClass::Standard, RequestClass::Deferred }) {
    if (ToText(it) == aText) {
      return it;
    }
  }
  return std::nullopt;
}

std::optional<std::chrono::minutes>
ParseTimeOfDay(std::string_view aText)
{
  const auto [hours, minutes] = SplitAt(aText, ':');
  const auto hour = ParseNumber(hours);
  const auto minute = ParseNumber(minutes);
  if (hours.size() != 2 || minutes.size() != 2 || !hour || !minute || *hour > 23 || *minute > 59) {
    return std::nullopt;
  }
  return std::chrono::minutes(*hour * 60 + *minute);
}

std::optional<ClientBlock>
ParseClientBlock(std::string_view aText)
{
  const auto [text, bits] = SplitAt(aText, '/');
  const auto address = ParseIpv4(text);
  const auto prefix = ParseNumber(bits);
  if (!address || !prefix || *prefix > 32) {
    return std::nullopt;
  }
  const std::uint32_t mask = *prefix == 0 ? 0 : ~std::uint32_t{ 0 } << (32U - *prefix);
  if ((*address & ~mask) != 0) {
    return std::nullopt;
  }
  return ClientBlock{ *address, static_cast<std::uint8_t>(*prefix), {} };
}

bool
IsName(std::string_view aText)
{
  const auto allowed = [](unsigned char aChar) {
    return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_' || aChar == '.';
  };
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), allowed);
}

std::string
NameRule(std::string_view aKind, std::string_view aText)
{
  return "a " + std::string(aKind) +
         " name is 1 to 64 letters, digits, \"-\", \"_\" or \".\", found \"" + std::string(aText) +
         "\"";
}

std::string
FormatPercent(BasisPoints aPart)
{
  std::string out = std::to_string(aPart / 100);
  const BasisPoints rest = aPart % 100;
  if (rest == 0) {
    return out;
  }
  out += rest < 10 ? ".0" : ".";
  out += rest % 10 == 0 ? std::to_string(rest / 10) : std::to_string(rest);
  return out;
}

std::string
FormatClientBlock(const ClientBlock& aBlock)
{
  std::array<char, 32> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%u.%u.%u.%u/%u",
                aBlock.mAddress >> 24U,
                (aBlock.mAddress >> 16U) & 0xffU,
                (aBlock.mAddress >> 8U) & 0xffU,
                aBlock.mAddress & 0xffU,
                static_cast<unsigned>(aBlock.mPrefix));
  return buf.data();
}

std::string
FormatTimeOfDay(std::chrono::minutes aTime)
{
  std::array<char, 8> buf{};
  const auto minutes = static_cast<int>(aTime.count());
  std::snprintf(buf.data(), buf.size(), "%02d:%02d", (minutes / 60) % 24, minutes % 60);
  return buf.data();
}

} // namespace fighold::plan::detail
