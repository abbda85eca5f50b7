#pragma once

#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>

/// Bound on the memory of all messages that a process holds at the same time.
namespace fighold::net {

/// Default limit of a budget in bytes.
constexpr std::size_t kDefaultMessageMemory = 64U << 20U;

/// Bytes that the messages of a process may hold together. Thread-safe.
///
/// A message may hold at most as many bytes as stay free (a dynamic threshold). Endless messages
/// therefore stop each other early, and small messages still find room beside them.
class MemoryBudget
{
public:
  /// @param aLimit bytes
  explicit MemoryBudget(std::size_t aLimit = kDefaultMessageMemory)
    : mLimit(aLimit)
  {
  }

  std::size_t Limit() const { return mLimit; }
  std::size_t Used() const { return mUsed; }
  std::size_t Highest() const { return mHighest; }     ///< highest Used() so far
  std::uint64_t Refusals() const { return mRefusals; } ///< messages that found no room

  /// @return false if a message of this size can never be held, however much is free
  bool Accepts(std::uint64_t aSize);

  /// Changes what one message holds.
  /// @param aFrom bytes that it holds now
  /// @param aTo bytes that it needs
  /// @return false if there is no room; nothing has changed then. Less is always granted.
  bool TryResize(std::size_t aFrom, std::size_t aTo);

private:
  const std::size_t mLimit;
  std::atomic<std::size_t> mUsed{ 0 };
  std::atomic<std::size_t> mHighest{ 0 };
  std::atomic<std::uint64_t> mRefusals{ 0 };
};

/// What one message holds of a budget, released at the end of its life.
class MemoryReservation
{
public:
  /// @param aBudget may be null: everything is granted
  explicit MemoryReservation(std::shared_ptr<MemoryBudget> aBudget);
  ~MemoryReservation();
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  /// @param aSize bytes that the message needs
  /// @return false if there is no room; the reservation is unchanged then
  bool TryResize(std::size_t aSize);

  /// @return false if a message of this size can never be held, however much is free
  bool Accepts(std::uint64_t aSize) const;

private:
  std::shared_ptr<MemoryBudget> mBudget;
  std::size_t mSize = 0;
};

/// Keeps a reservation for as long as any copy of its message exists. It is no part of the
/// message's value: all holds compare equal.
struct MemoryHold
{
  std::shared_ptr<const MemoryReservation> mReservation;

  friend bool operator==(const MemoryHold& /*aLeft*/, const MemoryHold& /*aRight*/) { return true; }
  friend std::strong_ordering operator<=>(const MemoryHold& /*aLeft*/, const MemoryHold& /*aRight*/)
  {
    return std::strong_ordering::equal;
  }
};

} // namespace fighold::net
