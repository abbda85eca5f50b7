#include "fighold/control/decide.hpp"

#include <catch2/catch.hpp>

namespace fighold::control {
namespace {

struct NextTickFixture
{
  Instant mNow{ std::chrono::hours(1) };
  State mState;

  NextTickFixture() { mState.mNode.mRole = agreement::Role::Follower; }
};

// Guards against an idle process that wakes more often than its timers require.
TEST_CASE_METHOD(NextTickFixture, "NextTick, no pending call, is the next timer", "[control]")
{
  mState.mNextRenewal = mNow + Millis(250);
  mState.mNode.mElectionDeadline = mNow + Millis(900);
  CHECK(NextTick(mState, mNow) == mNow + Millis(250));
  mState.mNode.mElectionDeadline = mNow + Millis(100);
  CHECK(NextTick(mState, mNow) == mNow + Millis(100));
}

TEST_CASE_METHOD(NextTickFixture, "NextTick, pending call, is one interval later", "[control]")
{
  mState.mNextRenewal = mNow + Millis(250);
  mState.mNode.mElectionDeadline = mNow + Millis(900);
  mState.mCalls[1] = PendingCall{};
  CHECK(NextTick(mState, mNow) == mNow + kTickInterval);
}

// Guards against a thread that spins on an expired timer that is not set again.
TEST_CASE_METHOD(NextTickFixture, "NextTick, timer in the past, is one interval later", "[control]")
{
  mState.mNode.mElectionDeadline = mNow - Millis(5000);
  mState.mNextRenewal = mNow + Millis(250);
  CHECK(NextTick(mState, mNow) == mNow + kTickInterval);
}

} // namespace
} // namespace fighold::control
