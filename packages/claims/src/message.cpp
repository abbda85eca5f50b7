#include "fighold/claims/message.hpp"

namespace fighold::claims {

std::size_t
SizeOf(const StoredResponse& aResponse)
{
  std::size_t size = aResponse.mBody.size();
  for (const auto& [name, value] : aResponse.mHeaders) {
    size += name.size() + value.size();
  }
  return size;
}

} // namespace fighold::claims
