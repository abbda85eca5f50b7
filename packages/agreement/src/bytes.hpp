#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Little-endian encoding of numbers in byte strings.
namespace fighold::agreement::detail {

template<typename T>
void
PutNumber(std::string& aOut, T aNumber)
{
  for (std::size_t n = 0; n < sizeof(T); ++n) {
    aOut += static_cast<char>((aNumber >> (8 * n)) & 0xffU);
  }
}

/// Reads from the front of a byte string; a read past the end sets mOk to false.
struct Reader
{
  std::string_view mRemaining;
  bool mOk = true;

  std::string_view Bytes(std::size_t aSize)
  {
    mOk = mOk && aSize <= mRemaining.size();
    const std::string_view bytes = mRemaining.substr(0, mOk ? aSize : 0);
    mRemaining.remove_prefix(bytes.size());
    return bytes;
  }

  template<typename T>
  T Number()
  {
    T number = 0;
    const std::string_view bytes = Bytes(sizeof(T));
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      number |= static_cast<T>(static_cast<unsigned char>(bytes[n])) << (8 * n);
    }
    return number;
  }
};

} // namespace fighold::agreement::detail
