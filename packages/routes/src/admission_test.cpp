#include "fighold/routes/admission.hpp"

#include "fighold/routes/region_split.hpp"
#include "fighold/routes/retry_budget.hpp"

#include <catch2/catch.hpp>

#include <set>

namespace fighold::routes {
namespace {

/// A request that takes 200 ms at a server with free slots, on a route that aims at 600 ms.
struct AdmissionFixture
{
  AdmissionRequest mRequest;

  AdmissionFixture()
  {
    mRequest.mExpected = Millis(200);
    mRequest.mFreeShare = 0.5;
    mRequest.mTarget = Millis(600);
    mRequest.mTimeLeft = Millis(1500);
  }
};

/// A load and what is decided under it.
struct AdmissionRow
{
  const char* mName;
  Millis mExpected;
  Millis mElapsed;
  double mFreeShare;
  bool mUncached;
  Admission mDecision;
};

// Pattern "overload": guards against requests that hold a slot until their time runs out, while
// others could have been answered within their target.
TEST_CASE_METHOD(AdmissionFixture,
                 "Admit, load rises, keeps slots for requests that can be in time",
                 "[routes]")
{
  const std::vector<AdmissionRow> rows{
    { "free", Millis(200), Millis(0), 0.5, false, Admission::OnTime },
    { "short wait", Millis(500), Millis(0), -0.3, false, Admission::OnTime },
    { "late, slots free", Millis(700), Millis(0), 0.4, true, Admission::Late },
    { "late and new, few slots free", Millis(700), Millis(0), 0.2, true, Admission::NoRoom },
    { "late and known, few slots free", Millis(700), Millis(0), 0.2, false, Admission::Late },
    { "long wait", Millis(700), Millis(0), -0.1, false, Admission::NoRoom },
    { "returned, would be late", Millis(200), Millis(500), -0.1, false, Admission::NoRoom },
    { "returned, slots free", Millis(200), Millis(500), 0.1, false, Admission::Late },
    { "no time", Millis(1300), Millis(0), -0.1, false, Admission::NoTime },
    { "just time at a free server", Millis(1300), Millis(0), 0.9, false, Admission::Late },
    { "no time at a free server", Millis(1600), Millis(0), 0.9, false, Admission::NoTime },
  };
  for (const AdmissionRow& it : rows) {
    INFO(it.mName);
    mRequest.mExpected = it.mExpected;
    mRequest.mElapsed = it.mElapsed;
    mRequest.mFreeShare = it.mFreeShare;
    mRequest.mUncached = it.mUncached;
    CHECK(Admit(mRequest) == it.mDecision);
  }
}

// Pattern "differing patience": guards against first attempts that count as returning ones, because
// callers of a route wait for different times.
TEST_CASE_METHOD(AdmissionFixture,
                 "WaitedBefore, caller with less patience, has not asked before",
                 "[routes]")
{
  CHECK(EstimatePriorWait(Millis(4000), Millis(3450)) == Duration{});
  CHECK(EstimatePriorWait(Millis(4000), Millis(3000)) == Millis(400));
}

// Pattern "clients that return at once": guards against a wave of callers who return together.
TEST_CASE_METHOD(AdmissionFixture,
                 "RetryAfter, many refused together, spreads their return",
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

// Guards against second dispatches beyond the budget that all entries share.
TEST_CASE_METHOD(AdmissionFixture,
                 "RetryBudget, all entries spend all they may, stay inside the shared budget",
                 "[routes]")
{
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 56;
  constexpr int kRequests = 200;
  for (const int entries : { 1, 8, 11, 40 }) {
    const RetryLimits limits =
      RetryLimitsPerEntry(kRatio, kSlack, static_cast<std::size_t>(entries));
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
    CHECK(spent <= kRatio * kRequests * entries + kSlack);
  }
}

/// Three regions, the own one with few slots.
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

  void Step(Millis aOwn, Millis aOther)
  {
    AdjustSplit(mSplit,
                { { { "kriti" }, aOwn }, { { "attiki" }, aOther }, { { "makedonia" }, aOther } },
                mNow);
    mNow += kSplitAdjustInterval;
  }
};

// Pattern "clients move between zones": guards against a shift of more than 15 in 100 of a region's
// requests within two seconds.
TEST_CASE_METHOD(SplitFixture,
                 "StepSplit, own region overloaded at once, moves in small steps",
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

// Guards against requests that move back and forth because costs are never quite equal.
TEST_CASE_METHOD(SplitFixture, "StepSplit, costs nearly equal, moves nothing", "[routes]")
{
  const auto before = mSplit.mWeights;
  for (int n = 0; n < 20; ++n) {
    Step(Millis(n % 2 == 0 ? 205 : 195), Millis(200));
  }
  CHECK(mSplit.mWeights == before);
}

// Guards against objects that all change their region at each step.
TEST_CASE_METHOD(SplitFixture,
                 "NextRegion, one step of the division, moves few objects",
                 "[routes]")
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

// Pattern "region lost": guards against requests bound for a region that has no server left.
TEST_CASE_METHOD(SplitFixture, "NextRegion, region without servers, is passed over", "[routes]")
{
  for (std::uint64_t n = 0; n < 100; ++n) {
    const auto region = NextRegion(mSplit, { { "attiki" } }, { "kriti" }, n * 0x9e3779b97f4a7c15U);
    CHECK(region == RegionId{ "attiki" });
  }
  CHECK_FALSE(NextRegion(mSplit, {}, { "kriti" }, 5));
}

} // namespace
} // namespace fighold::routes
