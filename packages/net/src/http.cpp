#include "fighold/net/http.hpp"

#include <algorithm>
#include <cctype>

namespace fighold::net {
namespace {

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  const auto same = [](unsigned char aOne, unsigned char aOther) {
    return std::tolower(aOne) == std::tolower(aOther);
  };
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), same);
}

} // namespace

std::optional<std::string>
FindHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const Header& it : aHeaders) {
    if (EqualIgnoringCase(it.mName, aName)) {
      return it.mValue;
    }
  }
  return std::nullopt;
}

HttpResponse
JsonResponse(unsigned aStatus, std::string aJson)
{
  return HttpResponse{ aStatus, { { "Content-Type", "application/json" } }, std::move(aJson) };
}

bool
IsSafeMethod(std::string_view aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "OPTIONS";
}

} // namespace fighold::net
