#include "fighold/net/memory_budget.hpp"

#include <utility>

namespace fighold::net {

bool
MemoryBudget::Accepts(std::uint64_t aSize)
{
  const bool fits = aSize <= mLimit / 2;
  mRefusals += fits ? 0 : 1;
  return fits;
}

bool
MemoryBudget::TryResize(std::size_t aFrom, std::size_t aTo)
{
  std::size_t used = mUsed;
  std::size_t next = 0;
  do {
    const std::size_t others = used - aFrom;
    const bool fits = others <= mLimit && aTo <= (mLimit - others) / 2;
    if (aTo > aFrom && !fits) {
      ++mRefusals;
      return false;
    }
    next = others + aTo;
  } while (!mUsed.compare_exchange_weak(used, next));
  std::size_t highest = mHighest;
  while (highest < next && !mHighest.compare_exchange_weak(highest, next)) {
  }
  return true;
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> aBudget)
  : mBudget(std::move(aBudget))
{
}

MemoryReservation::~MemoryReservation()
{
  TryResize(0);
}

bool
MemoryReservation::Accepts(std::uint64_t aSize) const
{
  return !mBudget || mBudget->Accepts(aSize);
}

bool
MemoryReservation::TryResize(std::size_t aSize)
{
  if (mBudget && !mBudget->TryResize(mSize, aSize)) {
    return false;
  }
  mSize = aSize;
  return true;
}

} // namespace fighold::net
