#pragma once

#include "fighold/core/shared_value.hpp"

#include <compare>
#include <cstddef>
#include <string>
#include <utility>

/// Immutable text that is shared instead of copied.
namespace fighold {

/// An immutable text. All copies share the bytes; it is compared by its content.
class SharedText
{
public:
  SharedText() = default;
  SharedText(std::string aText) // NOLINT(google-explicit-constructor): stands in for a string
    : mText(std::move(aText))
  {
  }
  SharedText(const char* aText) // NOLINT(google-explicit-constructor): stands in for a string
    : SharedText(std::string(aText))
  {
  }

  const std::string& Text() const { return *mText; }
  std::size_t Size() const { return mText->size(); }

  friend bool operator==(const SharedText& aLeft, const SharedText& aRight)
  {
    return aLeft.mText == aRight.mText;
  }
  friend std::strong_ordering operator<=>(const SharedText& aLeft, const SharedText& aRight)
  {
    return aLeft.Text().compare(aRight.Text()) <=> 0;
  }

private:
  SharedValue<std::string> mText;
};

} // namespace fighold
