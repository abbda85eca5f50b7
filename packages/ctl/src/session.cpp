#include "session.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>

namespace fighold::ctl {

std::optional<net::HttpResponse>
Call(const Session& aSession,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody)
{
  net::HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mBody = aBody;
  if (!aSession.mOptions.mToken.empty()) {
    request.mHeaders.push_back({ "Authorization", "Bearer " + aSession.mOptions.mToken });
  }
  auto response = aSession.mEnvironment.mCall(request);
  if (!response) {
    aSession.mEnvironment.mError("no control process answered");
  }
  return response;
}

json::object
ToObject(const net::HttpResponse& aResponse)
{
  json::error_code ec;
  const json::value value = json::parse(aResponse.mBody, ec);
  return !ec && value.is_object() ? value.as_object() : json::object{};
}

std::string
Text(const json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string() ? std::string(value->as_string().c_str())
                                                : std::string();
}

std::uint64_t
Number(const json::object& aObject, std::string_view aName)
{
  json::error_code ec;
  const auto* value = aObject.if_contains(aName);
  const auto number = value != nullptr ? value->to_number<std::uint64_t>(ec) : 0;
  return ec ? 0 : number;
}

bool
Flag(const json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_bool() && value->as_bool();
}

const json::array&
List(const json::object& aObject, std::string_view aName)
{
  static const json::array empty;
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_array() ? value->as_array() : empty;
}

std::string
Padded(std::string aText, std::size_t aWidth)
{
  aText.resize(std::max(aText.size(), aWidth), ' ');
  return aText + " ";
}

} // namespace fighold::ctl
