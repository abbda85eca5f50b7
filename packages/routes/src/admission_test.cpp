#include "fighold/routes/admission.hpp"

#include "fighold/routes/region_split.hpp"
#include "fighold/routes/retry_budget.hpp"

#include <catch2/catch.hpp>

#include <set>

namespace fighold::routes {
namespace {

/// A request that takes 200 ms at a server with free slots, on a route with a target latency of 600
/// ms.
struct AdmissionFixture
{
  AdmissionRequest mRequest;

  AdmissionFixture()
  {
    mRequest.mExpectedTime = Millis(200);
    mRequest.mFreeShare = 0.5;
    mRequest.mTargetLatency = Millis(600);
    mRequest.mTimeLeft = Millis(1500);
  }
};

/// A load situation and the expected decision.
struct AdmissionRow
{
  const char* mName;
  Millis mExpectedTime;
  Millis mElapsed;
  double mFreeShare;
  bool mUncached;
  Admission mDecision;
};

// Guards against requests that occupy a slot until their time runs out, while others could have
// been answered within their target latency.
TEST_CASE_METHOD(AdmissionFixture,
                 "Admit, load rises, keeps slots for requests that can meet their target",
                 "[routes]")
{
  const std::vector<AdmissionRow> rows{
    { "free", Millis(200), Millis(0), 0.5, false, Admission::OnTime },
    { "short wait", Millis(500), Millis(0), -0.3, false, Admission::OnTime },
    { "late, slots free", Millis(700), Millis(0), 0.4, true, Admission::Late },
    { "late, uncached, few slots free", Millis(700), Millis(0), 0.2, true, Admission::NoRoom },
    { "late, cached, few slots free", Millis(700), Millis(0), 0.2, false, Admission::Late },
    { "long wait", Millis(700), Millis(0), -0.1, false, Admission::NoRoom },
    { "retry, would be late", Millis(200), Millis(500), -0.1, false, Admission::NoRoom },
    { "retry, slots free", Millis(200), Millis(500), 0.1, false, Admission::Late },
    { "no time", Millis(1300), Millis(0), -0.1, false, Admission::NoTime },
    { "just enough time at a free server", Millis(1300), Millis(0), 0.9, false, Admission::Late },
    { "not enough time at a free server", Millis(1600), Millis(0), 0.9, false, Admission::NoTime },
  };
  for (const AdmissionRow& it : rows) {
    INFO(it.mName);
    mRequest.mExpectedTime = it.mExpectedTime;
    mRequest.mElapsed = it.mElapsed;
    mRequest.mFreeShare = it.mFreeShare;
    mRequest.mUncached = it.mUncached;
    CHECK(Admit(mRequest) == it.mDecision);
  }
}

// Guards against first attempts that count as retries because the timeouts of a route's callers
// differ.
TEST_CASE_METHOD(AdmissionFixture,
                 "EstimatePriorWait, caller with a shorter timeout, counts as a first attempt",
                 "[routes]")
{
  CHECK(EstimatePriorWait(Millis(4000), Millis(3450)) == Duration{});
  CHECK(EstimatePriorWait(Millis(4000), Millis(3000)) == Millis(400));
}

// Guards against a wave of callers that retry together.
TEST_CASE_METHOD(AdmissionFixture,
                 "RetryAfter, many rejected together, spreads their retries",
                 "[routes]")
{
  mRequest.mWait = Millis(400);
  std::set<Millis> times;
  for (std::uint64_t draw = 0; draw < 1000; draw += 7) {
    const Millis time = RetryAfter(mRequest, draw);
    CHECK(time >= Millis(400));
    CHECK(time <= kMaxRetryAfter);
    times.insert(time);
  }
  CHECK(times.size() > 50);
}

// Guards against more retries than the budget that all entries share.
TEST_CASE_METHOD(AdmissionFixture,
                 "RetryBudget, all entries spend their limits, stay within the shared budget",
                 "[routes]")
{
  constexpr double kRatio = 0.2;
  constexpr double kBurst = 56;
  constexpr int kRequests = 200;
  for (const int entries : { 1, 8, 11, 40 }) {
    const RetryLimits limits =
      RetryLimitsPerEntry(kRatio, kBurst, static_cast<std::size_t>(entries));
    int spent = 0;
    for (int n = 0; n < entries; ++n) {
      RetryBudget budget;
      for (int k = 0; k < kRequests; ++k) {
        budget = CountRequest(budget, limits);
        while (MayRetry(budget)) {
          budget = SpendRetry(budget);
          ++spent;
        }
      }
    }
    INFO(entries << " entries");
    CHECK(spent <= kRatio * kRequests * entries + kBurst);
  }
}

/// Three regions; the local one has the fewest slots.
struct SplitFixture
{
  RegionSplit mSplit;
  Instant mNow{ std::chrono::hours(1) };
  std::set<RegionId> mAll{ { "kriti" }, { "attiki" }, { "makedonia" } };

  SplitFixture()
  {
    mSplit.mWeights = InitialWeights(
      { { { "kriti" }, 14 }, { { "attiki" }, 28 }, { { "makedonia" }, 42 } }, { "kriti" });
  }

  void Step(Millis aLocal, Millis aOther)
  {
    AdjustSplit(mSplit,
                { { { "kriti" }, aLocal }, { { "attiki" }, aOther }, { { "makedonia" }, aOther } },
                mNow);
    mNow += kSplitAdjustInterval;
  }
};

// Guards against moving more than 15% of a region's requests within two seconds when callers move
// there from another region and overload it.
TEST_CASE_METHOD(SplitFixture,
                 "AdjustSplit, local region suddenly overloaded, moves in small steps",
                 "[routes]")
{
  double before = mSplit.mWeights.at({ "kriti" });
  for (int n = 0; n < 10; ++n) {
    for (Millis t{ 0 }; t < std::chrono::seconds(2); t += kSplitAdjustInterval) {
      Step(std::chrono::seconds(3), Millis(200));
    }
    const double now = mSplit.mWeights.at({ "kriti" });
    CHECK(before - now <= 0.15);
    before = now;
  }
  CHECK(before < 0.1);
}

// Guards against requests that move back and forth because the costs are never exactly equal.
TEST_CASE_METHOD(SplitFixture, "AdjustSplit, costs nearly equal, moves nothing", "[routes]")
{
  const auto before = mSplit.mWeights;
  for (int n = 0; n < 20; ++n) {
    Step(Millis(n % 2 == 0 ? 205 : 195), Millis(200));
  }
  CHECK(mSplit.mWeights == before);
}

// Guards against steps at which all objects change their region.
TEST_CASE_METHOD(SplitFixture, "NextRegion, one step of the split, moves few objects", "[routes]")
{
  constexpr std::uint64_t kObjects = 1000;
  const auto regions = [this] {
    std::vector<RegionId> found;
    for (std::uint64_t n = 1; n <= kObjects; ++n) {
      found.push_back(*NextRegion(mSplit, mAll, { "kriti" }, n * 0x9e3779b97f4a7c15U));
    }
    return found;
  };
  const auto before = regions();
  Step(std::chrono::seconds(3), Millis(200));
  const auto after = regions();
  std::size_t moved = 0;
  for (std::size_t n = 0; n < before.size(); ++n) {
    moved += before[n] == after[n] ? 0 : 1;
  }
  CHECK(moved > 0);
  CHECK(moved <= kObjects * 5 / 100);
}

// Guards against requests to a region without remaining servers.
TEST_CASE_METHOD(SplitFixture, "NextRegion, region without servers, is skipped", "[routes]")
{
  for (std::uint64_t n = 0; n < 100; ++n) {
    const auto region = NextRegion(mSplit, { { "attiki" } }, { "kriti" }, n * 0x9e3779b97f4a7c15U);
    CHECK(region == RegionId{ "attiki" });
  }
  CHECK_FALSE(NextRegion(mSplit, {}, { "kriti" }, 5));
}

} // namespace
} // namespace fighold::routes
