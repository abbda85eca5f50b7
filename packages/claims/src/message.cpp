#include "fighold/claims/message.hpp"

namespace fighold::claims {

std::size_t
SizeOf(const StoredResponse& aAnswer)
{
  std::size_t size = aAnswer.mBody.size();
  for (const auto& [name, value] : aAnswer.mHeaders) {
    size += name.size() + value.size();
  }
  return size;
}

} // namespace fighold::claims
