#include "fighold/core/text.hpp"

#include <algorithm>
#include <cstdint>

namespace fighold {
namespace {

/// Lead bytes of one form of a character, with the range of the byte behind them. Further bytes are
/// 0x80 to 0xBF.
struct Utf8Form
{
  std::uint8_t mFirstLead;
  std::uint8_t mLastLead;
  std::size_t mSize; ///< bytes of the character
  std::uint8_t mFirstSecond;
  std::uint8_t mLastSecond;
};

/// Table 3-7 of the Unicode standard.
constexpr Utf8Form kUtf8Forms[] = {
  { 0x00, 0x7F, 1, 0x00, 0x00 }, { 0xC2, 0xDF, 2, 0x80, 0xBF }, { 0xE0, 0xE0, 3, 0xA0, 0xBF },
  { 0xE1, 0xEC, 3, 0x80, 0xBF }, { 0xED, 0xED, 3, 0x80, 0x9F }, { 0xEE, 0xEF, 3, 0x80, 0xBF },
  { 0xF0, 0xF0, 4, 0x90, 0xBF }, { 0xF1, 0xF3, 4, 0x80, 0xBF }, { 0xF4, 0xF4, 4, 0x80, 0x8F },
};

std::uint8_t
ByteAt(std::string_view aText, std::size_t aIndex)
{
  return static_cast<std::uint8_t>(aText[aIndex]);
}

/// @return size of the character at the front of a text that is not empty; 0 if it is malformed
std::size_t
CharacterSize(std::string_view aText)
{
  const std::uint8_t lead = ByteAt(aText, 0);
  const auto* const form =
    std::find_if(std::begin(kUtf8Forms), std::end(kUtf8Forms), [lead](const Utf8Form& aForm) {
      return lead >= aForm.mFirstLead && lead <= aForm.mLastLead;
    });
  if (form == std::end(kUtf8Forms) || aText.size() < form->mSize) {
    return 0;
  }
  for (std::size_t n = 1; n < form->mSize; ++n) {
    const std::uint8_t first = n == 1 ? form->mFirstSecond : 0x80;
    const std::uint8_t last = n == 1 ? form->mLastSecond : 0xBF;
    if (ByteAt(aText, n) < first || ByteAt(aText, n) > last) {
      return 0;
    }
  }
  return form->mSize;
}

bool
IsControl(char aChar)
{
  constexpr std::uint8_t kDelete = 0x7F;
  const auto byte = static_cast<std::uint8_t>(aChar);
  return byte < ' ' || byte == kDelete;
}

} // namespace

bool
IsUtf8(std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t size = CharacterSize(aText);
    if (size == 0) {
      return false;
    }
    aText.remove_prefix(size);
  }
  return true;
}

bool
IsPrintable(std::string_view aText)
{
  return std::none_of(aText.begin(), aText.end(), IsControl) && IsUtf8(aText);
}

bool
IsIdentifier(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxIdentifierBytes &&
         aText.find(' ') == std::string_view::npos && IsPrintable(aText);
}

} // namespace fighold
