#include "fighold/ring/bounded_ring.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>
#include <vector>

namespace fighold::ring {
namespace {

struct BoundedRingFixture
{
  BoundedRing<int> mRing{ 4 };
};

// Guards against a writer that waits or overwrites when the reader is slow.
TEST_CASE_METHOD(BoundedRingFixture,
                 "BoundedRing, full, refuses the write and keeps the order",
                 "[ring]")
{
  for (int n = 0; n < 4; ++n) {
    CHECK(mRing.TryPush(int{ n }));
  }
  CHECK_FALSE(mRing.TryPush(4));
  for (int n = 0; n < 4; ++n) {
    CHECK(mRing.TryPop() == n);
  }
  CHECK_FALSE(mRing.TryPop().has_value());
}

// Guards against an urgent value that waits behind the others, or takes the place of one of them.
TEST_CASE_METHOD(BoundedRingFixture, "BoundedRing, urgent value, is read first", "[ring]")
{
  CHECK(mRing.TryPush(1));
  CHECK(mRing.TryPush(2));
  CHECK(mRing.TryPushUrgent(3));
  CHECK_FALSE(mRing.TryPushUrgent(4, 1));
  CHECK(mRing.TryPushUrgent(4));
  CHECK_FALSE(mRing.TryPushUrgent(5));
  for (const int expected : { 4, 3, 1, 2 }) {
    CHECK(mRing.TryPop() == expected);
  }
  CHECK_FALSE(mRing.TryPop().has_value());
}

// Guards against new work taking the places kept for results of running work.
TEST_CASE_METHOD(BoundedRingFixture,
                 "BoundedRing, write with a reserve, leaves the reserved places free",
                 "[ring]")
{
  CHECK(mRing.TryPush(0, 2));
  CHECK(mRing.TryPush(1, 2));
  CHECK_FALSE(mRing.TryPush(2, 2));
  CHECK(mRing.TryPush(2));
}

// Guards against losing values that were handed over just before a stop.
TEST_CASE_METHOD(BoundedRingFixture,
                 "BoundedRing, closed with a value, hands it out and refuses writes",
                 "[ring]")
{
  CHECK(mRing.TryPush(7));
  mRing.Close();
  CHECK_FALSE(mRing.TryPush(8));
  CHECK_FALSE(mRing.Finished());
  CHECK(mRing.TryPop() == 7);
  CHECK(mRing.Finished());
}

// Guards against an event loop that sleeps while a value waits.
TEST_CASE_METHOD(BoundedRingFixture,
                 "BoundedRing, first value after empty, calls the wake-up once",
                 "[ring]")
{
  int calls = 0;
  mRing.SetWakeup([&calls] { ++calls; });
  mRing.TryPush(1);
  mRing.TryPush(2);
  CHECK(calls == 1);
  mRing.TryPop();
  mRing.TryPop();
  mRing.TryPush(3);
  CHECK(calls == 2);
}

// Guards against values lost or doubled between threads.
TEST_CASE_METHOD(BoundedRingFixture,
                 "BoundedRing, two writers and a reader, each value arrives once in order",
                 "[ring]")
{
  constexpr int kPerWriter = 2000;
  auto write = [this](int aBase) {
    for (int n = 0; n < kPerWriter;) {
      if (mRing.TryPush(aBase + n)) {
        ++n;
      } else {
        std::this_thread::sleep_for(std::chrono::microseconds(50));
      }
    }
  };
  std::thread first(write, 0);
  std::thread second(write, kPerWriter);
  std::vector<int> low;
  std::vector<int> high;
  const Instant limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (low.size() + high.size() < 2UL * kPerWriter && std::chrono::steady_clock::now() < limit) {
    if (const auto value = mRing.PopUntil(limit)) {
      (*value < kPerWriter ? low : high).push_back(*value);
    }
  }
  first.join();
  second.join();
  REQUIRE(low.size() == kPerWriter);
  REQUIRE(high.size() == kPerWriter);
  for (int n = 0; n < kPerWriter; ++n) {
    REQUIRE(low[n] == n);
    REQUIRE(high[n] == kPerWriter + n);
  }
}

} // namespace
} // namespace fighold::ring
