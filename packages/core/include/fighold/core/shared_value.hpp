#pragma once

#include <compare>
#include <memory>
#include <utility>

/// Immutable values that are shared instead of copied.
namespace fighold {

/// An immutable value held by a shared pointer, compared by its content. Never empty.
template<typename T>
class SharedValue
{
public:
  SharedValue()
    : mPointer(std::make_shared<const T>())
  {
  }

  explicit SharedValue(T aValue)
    : mPointer(std::make_shared<const T>(std::move(aValue)))
  {
  }

  const T& operator*() const { return *mPointer; }
  const T* operator->() const { return mPointer.get(); }

  friend bool operator==(const SharedValue& aLeft, const SharedValue& aRight)
  {
    return aLeft.mPointer == aRight.mPointer || *aLeft == *aRight;
  }

private:
  std::shared_ptr<const T> mPointer;
};

} // namespace fighold
