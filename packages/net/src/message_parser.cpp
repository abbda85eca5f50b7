#include "message_parser.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace fighold::net::detail {
namespace {

namespace http = boost::beast::http;

bool
IsHopByHop(http::field aField)
{
  constexpr std::array kFields{ http::field::connection,
                                http::field::keep_alive,
                                http::field::proxy_connection,
                                http::field::transfer_encoding,
                                http::field::te,
                                http::field::trailer,
                                http::field::upgrade,
                                http::field::content_length,
                                http::field::host,
                                http::field::proxy_authorization,
                                http::field::expect };
  return std::find(kFields.begin(), kFields.end(), aField) != kFields.end();
}

/// RFC 9110 defines statuses from 100 to 599. No request asks for another protocol, so that nothing
/// is known about the bytes after a 101.
bool
IsValidStatus(unsigned aStatus)
{
  constexpr unsigned kFirst = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kLast = 599;
  return aStatus >= kFirst && aStatus <= kLast && aStatus != kSwitchingProtocols;
}

bool
HasBody(unsigned aStatus)
{
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aStatus >= kFirstFinal && aStatus != kNoContent && aStatus != kNotModified;
}

std::string
ToString(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Only the first of several fields counts.
void
SetOnce(std::string& aField, boost::beast::string_view aValue)
{
  if (aField.empty()) {
    aField = ToString(aValue);
  }
}

} // namespace

void
AddField(MessageHead& aHead,
         http::field aField,
         boost::beast::string_view aName,
         boost::beast::string_view aValue)
{
  if (!IsHopByHop(aField)) {
    aHead.mHeaders.push_back({ ToString(aName), ToString(aValue) });
    return;
  }
  aHead.mLengths += aField == http::field::content_length ? 1 : 0;
  aHead.mEncodings += aField == http::field::transfer_encoding ? 1 : 0;
  if (aField == http::field::host) {
    SetOnce(aHead.mHost, aValue);
  } else if (aField == http::field::keep_alive) {
    SetOnce(aHead.mKeepAlive, aValue);
  }
}

bool
HasAmbiguousLength(const MessageHead& aHead)
{
  return aHead.mLengths > 1 || aHead.mEncodings > 1 || (aHead.mEncodings > 0 && aHead.mLengths > 0);
}

std::string
RefusalOf(const MessageHead& aHead, bool aLengthRequired)
{
  if (!IsValidStatus(aHead.mStatus)) {
    return "answer with the status " + std::to_string(aHead.mStatus);
  }
  if (HasAmbiguousLength(aHead)) {
    return "answer with conflicting lengths";
  }
  return aLengthRequired && HasBody(aHead.mStatus) && aHead.mLengths + aHead.mEncodings == 0
           ? "answer without a length"
           : "";
}

std::uint32_t
HeaderLimit(std::size_t aBytes)
{
  constexpr std::size_t kLargest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(aBytes, kLargest));
}

} // namespace fighold::net::detail
