#pragma once

#include "fighold/core/time.hpp"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

/// Bounded hand-over of values between threads.
namespace fighold::ring {

/// A bounded first-in first-out ring for any number of writers and one reader. Urgent values
/// overtake the others.
///
/// A writer never waits: a full ring is reported to it, and the writer gives the defined answer.
/// The reader sleeps on a condition variable, or in an event loop that the wake-up function
/// interrupts.
template<typename T>
class BoundedRing
{
public:
  /// @param aCapacity greatest number of values held; at least 1
  explicit BoundedRing(std::size_t aCapacity)
    : mSlots(aCapacity)
  {
  }

  /// Sets the function that is called when the ring turns from empty to not empty. Call it before
  /// writers start.
  /// @param aWakeup called on the writer's thread; must not block
  void SetWakeup(std::function<void()> aWakeup)
  {
    const std::lock_guard lock(mMutex);
    mWakeup = std::move(aWakeup);
  }

  /// Writes a value unless fewer than `aReserve + 1` places are free.
  /// @param aValue moved from only on success
  /// @param aReserve places to leave free for more important writers
  /// @return false when the ring is too full or closed
  bool TryPush(T&& aValue, std::size_t aReserve = 0)
  {
    return Insert(std::move(aValue), aReserve, false);
  }

  /// Writes a value that is read before the values held, as TryPush() otherwise.
  bool TryPushUrgent(T&& aValue, std::size_t aReserve = 0)
  {
    return Insert(std::move(aValue), aReserve, true);
  }

  /// @return the oldest value, or nothing when the ring is empty
  std::optional<T> TryPop()
  {
    const std::lock_guard lock(mMutex);
    return Take();
  }

  /// Waits for a value.
  /// @param aUntil time at which the wait ends
  /// @return the oldest value, or nothing at the end of the wait or when the ring is closed and
  /// empty
  std::optional<T> PopUntil(Instant aUntil)
  {
    std::unique_lock lock(mMutex);
    mNotEmpty.wait_until(lock, aUntil, [this] { return mCount > 0 || mClosed; });
    return Take();
  }

  /// Ends all waits; later writes are refused, values already held can still be read.
  void Close()
  {
    {
      const std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mNotEmpty.notify_all();
    if (mWakeup) {
      mWakeup();
    }
  }

  /// @return true when closed; values may be left
  bool Closed() const
  {
    const std::lock_guard lock(mMutex);
    return mClosed;
  }

  /// @return true when closed and empty
  bool Finished() const
  {
    const std::lock_guard lock(mMutex);
    return mClosed && mCount == 0;
  }

  /// @return number of values held
  std::size_t Size() const
  {
    const std::lock_guard lock(mMutex);
    return mCount;
  }

  /// @return greatest number of values held
  std::size_t Capacity() const { return mSlots.size(); }

private:
  bool Insert(T&& aValue, std::size_t aReserve, bool aFirst)
  {
    bool wasEmpty = false;
    {
      const std::lock_guard lock(mMutex);
      const std::size_t slots = mSlots.size();
      if (mClosed || mCount + aReserve >= slots) {
        return false;
      }
      wasEmpty = mCount == 0;
      mHead = aFirst ? (mHead + slots - 1) % slots : mHead;
      mSlots[aFirst ? mHead : (mHead + mCount) % slots].emplace(std::move(aValue));
      ++mCount;
    }
    if (wasEmpty) {
      mNotEmpty.notify_one();
      if (mWakeup) {
        mWakeup();
      }
    }
    return true;
  }

  std::optional<T> Take()
  {
    if (mCount == 0) {
      return std::nullopt;
    }
    std::optional<T> out = std::move(mSlots[mHead]);
    mSlots[mHead].reset();
    mHead = (mHead + 1) % mSlots.size();
    --mCount;
    return out;
  }

  mutable std::mutex mMutex;
  std::condition_variable mNotEmpty;
  std::function<void()> mWakeup;
  std::vector<std::optional<T>> mSlots;
  std::size_t mHead = 0;
  std::size_t mCount = 0;
  bool mClosed = false;
};

} // namespace fighold::ring
