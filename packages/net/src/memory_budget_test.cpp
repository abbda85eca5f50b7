#include "fighold/net/memory_budget.hpp"

#include "fighold/net/http.hpp"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

namespace fighold::net {
namespace {

struct MemoryBudgetFixture
{
  static constexpr std::size_t kLimit = 1000;

  std::shared_ptr<MemoryBudget> mBudget = std::make_shared<MemoryBudget>(kLimit);

  std::shared_ptr<MemoryReservation> Reserve() const
  {
    return std::make_shared<MemoryReservation>(mBudget);
  }
};

// Guards against messages without end that leave no room for the others.
TEST_CASE_METHOD(MemoryBudgetFixture,
                 "MemoryBudget, several messages that grow, leave room for a small one",
                 "[net]")
{
  std::vector<std::shared_ptr<MemoryReservation>> endless;
  constexpr std::size_t kMessages = 9;
  for (std::size_t n = 0; n < kMessages; ++n) {
    endless.push_back(Reserve());
  }
  std::size_t size = 0;
  for (bool grows = true; grows; ++size) {
    grows = false;
    for (const auto& it : endless) {
      grows = it->TryResize(size + 1) || grows;
    }
  }
  CHECK(mBudget->Used() <= kLimit * kMessages / (kMessages + 1));
  CHECK(Reserve()->TryResize(kLimit / (kMessages + 1) / 2));
}

// Guards against a budget that is used up for good.
TEST_CASE_METHOD(MemoryBudgetFixture,
                 "MemoryReservation, refused and ended, holds what it should",
                 "[net]")
{
  {
    const auto first = Reserve();
    CHECK(first->TryResize(kLimit / 2));
    CHECK_FALSE(first->TryResize(kLimit / 2 + 1));
    CHECK_FALSE(Reserve()->TryResize(kLimit / 2));
    CHECK(mBudget->Used() == kLimit / 2);
    CHECK(first->TryResize(1));
    CHECK(mBudget->Used() == 1);
  }
  CHECK(mBudget->Used() == 0);
  CHECK(mBudget->Highest() == kLimit / 2);
  CHECK(mBudget->Refusals() == 2);
  CHECK(MemoryReservation(nullptr).TryResize(kLimit * kLimit));
}

// Guards against memory that is counted as free while a copy of the message exists, and against
// messages that differ by the memory they hold.
TEST_CASE_METHOD(MemoryBudgetFixture,
                 "MemoryHold, copies of a response, holds until the last one is gone",
                 "[net]")
{
  HttpResponse copy;
  {
    const auto response = HoldOrRefuse(mBudget, { 200, {}, std::string(100, 'x') });
    CHECK(mBudget->Used() == 0); // short answers are not counted
    HttpResponse held = response;
    const auto reservation = Reserve();
    REQUIRE(reservation->TryResize(100));
    held.mHold = { reservation };
    CHECK(held == response);
    copy = held;
  }
  CHECK(mBudget->Used() == 100);
  copy = {};
  CHECK(mBudget->Used() == 0);
}

// Guards against a process that runs out of memory by long answers of its own that slow callers
// read.
TEST_CASE_METHOD(MemoryBudgetFixture,
                 "HoldOrRefuse, no memory for a long answer, says when to come back",
                 "[net]")
{
  const auto budget = std::make_shared<MemoryBudget>(100'000);
  const HttpResponse answer{ 200, {}, std::string(40'000, 'x') };
  const auto first = HoldOrRefuse(budget, answer);
  CHECK(first == answer);
  const auto second = HoldOrRefuse(budget, answer);
  CHECK(second.mStatus == 503);
  CHECK(FindHeader(second.mHeaders, "Retry-After") == "1");
}

// Guards against counts that two threads lose.
TEST_CASE_METHOD(MemoryBudgetFixture, "MemoryBudget, two threads, counts both", "[net]")
{
  const auto work = [this] {
    for (int n = 0; n < 100'000; ++n) {
      const auto reservation = Reserve();
      reservation->TryResize(static_cast<std::size_t>(n % 300));
    }
  };
  std::thread other(work);
  work();
  other.join();
  CHECK(mBudget->Used() == 0);
  CHECK(mBudget->Highest() <= kLimit);
}

} // namespace
} // namespace fighold::net
