#include "message_text.hpp"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace fighold::net::detail {
namespace {

void
AppendField(std::string& aOut, std::string_view aName, std::string_view aValue)
{
  aOut.append(aName).append(": ").append(aValue).append("\r\n");
}

void
AppendFields(std::string& aOut, const Headers& aHeaders)
{
  for (const Header& it : aHeaders) {
    AppendField(aOut, it.mName, it.mValue);
  }
}

/// Methods whose requests state that they have no body.
bool
StatesEmptyBody(std::string_view aMethod)
{
  constexpr std::array<std::string_view, 3> kMethods{ "OPTIONS", "POST", "PUT" };
  return std::find(kMethods.begin(), kMethods.end(), aMethod) != kMethods.end();
}

} // namespace

std::string
FormatRequestHead(const HttpRequest& aRequest, const std::string& aHost)
{
  std::string out = aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  AppendField(out, "Host", aHost);
  AppendFields(out, aRequest.mHeaders);
  const std::size_t size = aRequest.mBody.Text().size();
  if (size > 0 || StatesEmptyBody(aRequest.mMethod)) {
    AppendField(out, "Content-Length", std::to_string(size));
  }
  return out + "\r\n";
}

std::string
FormatResponseHead(const HttpResponse& aResponse, bool aKeepAlive)
{
  const auto reason =
    boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(aResponse.mStatus));
  std::string out = "HTTP/1.1 " + std::to_string(aResponse.mStatus) + " ";
  out.append(reason.data(), reason.size()).append("\r\n");
  AppendFields(out, aResponse.mHeaders);
  if (!aKeepAlive) {
    AppendField(out, "Connection", "close");
  }
  AppendField(out, "Content-Length", std::to_string(aResponse.mBody.size()));
  return out + "\r\n";
}

} // namespace fighold::net::detail
