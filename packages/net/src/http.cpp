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

bool
HasOnlyValue(const Headers& aHeaders, std::string_view aName, std::string_view aValue)
{
  bool found = false;
  for (const Header& it : aHeaders) {
    if (EqualIgnoringCase(it.mName, aName)) {
      if (it.mValue != aValue) {
        return false;
      }
      found = true;
    }
  }
  return found;
}

HttpResponse
JsonResponse(unsigned aStatus, std::string aJson)
{
  return HttpResponse{ aStatus, { { "Content-Type", "application/json" } }, std::move(aJson) };
}

HttpResponse
HoldOrRefuse(const std::shared_ptr<MemoryBudget>& aBudget, HttpResponse aResponse)
{
  // A short answer, such as the acknowledgement of an order, is never withheld.
  constexpr std::size_t kShort = 4U << 10U;
  if (aResponse.mBody.size() <= kShort) {
    return aResponse;
  }
  const auto reservation = std::make_shared<MemoryReservation>(aBudget);
  if (!reservation->TryResize(aResponse.mBody.capacity())) {
    HttpResponse refusal = JsonResponse(503, R"({"error":"busy, no memory for the answer"})");
    refusal.mHeaders.push_back({ "Retry-After", "1" });
    return refusal;
  }
  aResponse.mHold = { reservation };
  return aResponse;
}

bool
IsSafeMethod(std::string_view aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "OPTIONS";
}

} // namespace fighold::net
