#include "fighold/routing/budget.hpp"
#include "fighold/routing/queue.hpp"

#include <catch2/catch.hpp>

namespace fighold::routing {
namespace {

const GroupKey kShort{ { "vardia" }, { "attiki" } };
const GroupKey kLong{ { "programma" }, { "attiki" } };

struct QueueFixture
{
  Queue mQueue;
  Instant mNow{ std::chrono::hours(1) };
  RequestId mNext = 1;

  bool Add(const GroupKey& aGroup, RequestClass aClass, Millis aLeft)
  {
    return Enqueue(mQueue, { mNext++, aGroup, aClass, mNow + aLeft, Millis(20) }, mNow);
  }

  /// @return identifier of the next request that may be sent, 0 if there is none
  RequestId Next(const std::set<GroupKey>& aDispatchable)
  {
    const auto next = Dequeue(
      mQueue,
      [&](const GroupKey& aGroup, RequestClass) { return aDispatchable.count(aGroup) > 0; },
      mNow);
    return next ? next->mId : 0;
  }
};

TEST_CASE_METHOD(QueueFixture,
                 "Dequeue, several classes wait, returns urgent requests first",
                 "[queue]")
{
  Add(kLong, RequestClass::Deferred, Millis(1000));
  Add(kShort, RequestClass::Urgent, Millis(1000));
  Add(kShort, RequestClass::Urgent, Millis(1000));
  CHECK(Next({ kShort, kLong }) == 2);
  CHECK(Next({ kShort, kLong }) == 3);
  CHECK(Next({ kShort, kLong }) == 1);
  CHECK(Next({ kShort, kLong }) == 0);
}

// Guards against head-of-line blocking: a group without free slots must not delay other groups.
TEST_CASE_METHOD(QueueFixture,
                 "Dequeue, first group may not be dispatched, returns a request of the next group",
                 "[queue]")
{
  Add(kShort, RequestClass::Urgent, Millis(1000));
  Add(kLong, RequestClass::Deferred, Millis(1000));
  CHECK(Next({ kLong }) == 2);
  CHECK(Next({ kShort }) == 1);
}

// Guards against work on requests whose deadline passes before they can be answered.
TEST_CASE_METHOD(QueueFixture,
                 "RemoveExpired, remaining time is too short for an answer, removes the request",
                 "[queue]")
{
  Add(kShort, RequestClass::Urgent, Millis(30));
  Add(kShort, RequestClass::Urgent, Millis(1000));
  CHECK_FALSE(Add(kShort, RequestClass::Urgent, Millis(10)));
  mNow += Millis(11);
  CHECK(RemoveExpired(mQueue, mNow).size() == 1);
  CHECK(Next({ kShort }) == 2);
}

TEST_CASE_METHOD(QueueFixture,
                 "Enqueue, queue of a class is full, refuses only requests of this class",
                 "[queue]")
{
  for (std::size_t n = 0; n < kMaxWaitingPerClass; ++n) {
    REQUIRE(Add(kLong, RequestClass::Deferred, Millis(1000)));
  }
  CHECK_FALSE(Add(kLong, RequestClass::Deferred, Millis(1000)));
  CHECK(Add(kShort, RequestClass::Urgent, Millis(1000)));
}

TEST_CASE("EffectiveClass, finish time is near, promotes deferred work", "[queue]")
{
  using std::chrono::minutes;
  const minutes finish{ 30 };
  CHECK(EffectiveClass(RequestClass::Deferred, finish, minutes(23 * 60)) == RequestClass::Deferred);
  CHECK(EffectiveClass(RequestClass::Deferred, finish, minutes(23 * 60 + 30)) ==
        RequestClass::Standard);
  CHECK(EffectiveClass(RequestClass::Deferred, finish, minutes(31)) == RequestClass::Deferred);
  CHECK(EffectiveClass(RequestClass::Urgent, finish, minutes(0)) == RequestClass::Urgent);
}

// Guards against retries and hedges that amplify an overload.
TEST_CASE("Budget, every request asks for a retry and a hedge, allows 10 and 2 percent", "[budget]")
{
  Budget budget;
  budget.mHedgeDelay = Millis(50);
  int retries = 0;
  int hedges = 0;
  for (int n = 0; n < 10'000; ++n) {
    budget = CountRequest(budget);
    retries += ShouldRetry(budget, 1, Millis(100)) ? 1 : 0;
    hedges += ShouldHedge(budget, true, Millis(60), Millis(100)) ? 1 : 0;
  }
  CHECK(retries == 1000);
  CHECK(hedges == 200);
}

TEST_CASE("ShouldHedge, not idempotent, too early or past the deadline, returns false", "[budget]")
{
  Budget budget{ 1000, 1000, Millis(50) };
  CHECK_FALSE(ShouldHedge(budget, false, Millis(60), Millis(100)));
  CHECK_FALSE(ShouldHedge(budget, true, Millis(40), Millis(100)));
  CHECK_FALSE(ShouldHedge(budget, true, Millis(60), Millis(0)));
  CHECK_FALSE(ShouldRetry(budget, 3, Millis(100)));
  CHECK(budget == Budget{ 1000, 1000, Millis(50) });
}

} // namespace
} // namespace fighold::routing
