#include "fighold/core/stop_budget.hpp"

#include <catch2/catch.hpp>

namespace fighold {
namespace {

/// The stops of a short and of a long grace period.
struct StopBudgetFixture
{
  const Instant mNow{ std::chrono::hours(1) };
};

// Guards against a step of a stop that is due after the process is killed.
TEST_CASE_METHOD(StopBudgetFixture, "PlanStop, any grace period, ends in order before it", "[core]")
{
  for (const Millis grace : { Millis(1), Millis(6000), Millis(150'000) }) {
    const StopBudget budget = PlanStop(mNow, grace);
    CHECK(budget.mBegan == mNow);
    CHECK(budget.mBegan < budget.mArrivalDeadline);
    CHECK(budget.mArrivalDeadline < budget.mAnswerDeadline);
    CHECK(budget.mAnswerDeadline < budget.mHandlerDeadline);
    CHECK(budget.mHandlerDeadline < budget.mCloseDeadline);
    CHECK(budget.mCloseDeadline < mNow + grace);
  }
}

TEST_CASE_METHOD(StopBudgetFixture, "StopBudget, without a grace period, has no limits", "[core]")
{
  CHECK(StopBudget{}.mArrivalDeadline == Instant::max());
  CHECK(StopBudget{}.mCloseDeadline == Instant::max());
}

} // namespace
} // namespace fighold
