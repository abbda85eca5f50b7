#include "fighold/routes/rate_limit.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace fighold::routes {
namespace {

/// A number of entries in two regions.
struct RateLimitFixture
{
  SharingEntries mEntries;

  void StartEntries(std::size_t aCount)
  {
    mEntries = {};
    for (std::size_t n = 0; n < aCount; ++n) {
      const EntryId id{ "entry-" + std::to_string(n) };
      mEntries.mAll.push_back(id);
      mEntries.mByRegion[{ n % 3 == 0 ? "leith" : "bordeaux" }].push_back(id);
    }
  }
};

// Guards against entries that together exceed the rate of a cold server in any second, whatever
// load each of them sees.
TEST_CASE_METHOD(RateLimitFixture,
                 "ComputeRateShare, any number of entries, stay below the rate plus a small burst",
                 "[routes]")
{
  for (const std::size_t count : { 1, 2, 8, 11, 70, 79 }) {
    StartEntries(count);
    for (const double rate : { 1.0, 3.0, 3.8, 5.7, 20.0 }) {
      double perSecond = 0;
      std::size_t senders = 0;
      for (const EntryId& it : mEntries.mAll) {
        const RateShare share = ComputeRateShare({ "s1" }, mEntries.mAll, it, rate, 5);
        if (share.mIsSender) {
          ++senders;
          perSecond += 1000.0 / static_cast<double>(share.mMinInterval.count());
        }
      }
      INFO(count << " entries, " << rate << "/s");
      CHECK(senders >= 1);
      CHECK(perSecond <= rate + 0.01);
      // All senders may start in the same second.
      CHECK(static_cast<double>(senders) + perSecond <= rate * 1.5 + 5);
    }
  }
}

// Guards against entries that together send a server which may be cold more than a cold one
// tolerates within a second, and against a division that leaves much of it unused.
TEST_CASE_METHOD(RateLimitFixture,
                 "DivideColdBurst, any rate and number of entries, stays below the burst",
                 "[routes]")
{
  for (const double rate : { 0.5, 1.0, 3.0, 3.8, 5.7, 20.0 }) {
    for (const double slack : { 0.0, 1.0, 5.0, 8.0 }) {
      for (const std::size_t entries : { 1, 2, 8, 11, 79 }) {
        const ColdLimits limits{ rate, 1.5, slack, Millis(2500) };
        const ColdShares shares = DivideColdBurst(limits, entries);
        INFO(rate << "/s, slack " << slack << ", " << entries << " entries");
        const auto sum = static_cast<double>(shares.mSenders * shares.mPerSecond);
        CHECK(shares.mSenders <= entries);
        CHECK(sum <= std::max(1.0, rate * 1.5 + slack - 1));
        // Entries that know that it is cold send at the rate, at most one request more each.
        CHECK(static_cast<double>(shares.mSenders) <= std::max(1.0, rate * 0.5 + slack));
        if (slack == 5) {
          CHECK(sum >= 0.6 * (rate * 1.5 + slack - 1));
        }
      }
    }
  }
}

// Guards against entries that together send a server which turns cold after a health answer more
// than it tolerates, and against regions whose entries can use none of their servers.
TEST_CASE_METHOD(RateLimitFixture,
                 "HealthAnswerAllowance, any number of entries, sums to at most the burst",
                 "[routes]")
{
  for (const std::size_t count : { 1, 2, 8, 11, 12, 13, 70, 195 }) {
    StartEntries(count);
    for (const double rate : { 0.5, 3.8, 5.7, 20.0 }) {
      const ColdLimits limits{ rate, 1.5, 5, Millis(2500) };
      std::size_t sum = 0;
      std::map<RegionId, std::size_t> byRegion;
      for (const auto& [region, entries] : mEntries.mByRegion) {
        for (const EntryId& it : entries) {
          mEntries.mThis = it;
          const std::size_t allowance =
            HealthAnswerAllowance({ "s1" }, { "leith" }, mEntries, limits);
          sum += allowance;
          byRegion[region] += allowance;
        }
      }
      INFO(count << " entries, " << rate << "/s");
      const double tolerated = std::max(1.0, rate * 1.5 + 5 - 1);
      CHECK(static_cast<double>(sum) <= tolerated);
      CHECK(static_cast<double>(sum) >= std::min(static_cast<double>(count), tolerated - 1));
      if (count > 70) {
        CHECK(byRegion[{ "leith" }] > byRegion[{ "bordeaux" }]);
        CHECK(byRegion[{ "bordeaux" }] > 0);
      }
    }
  }
}

// Guards against entries that together send a server more than half as much again as it takes, and
// against a rate that nobody uses.
TEST_CASE_METHOD(RateLimitFixture,
                 "ComputeNamedRateShare, entries with many requests, keep to the rate",
                 "[routes]")
{
  constexpr std::int64_t kWindowMs = 4000;
  constexpr std::int64_t kEndMs = 120'000;
  for (const std::size_t count : { 1, 2, 8, 11, 70, 300 }) {
    StartEntries(count);
    for (const double rate : { 0.1, 0.5, 1.0, 3.8, 20.0 }) {
      std::vector<std::int64_t> sent;
      for (const EntryId& it : mEntries.mAll) {
        mEntries.mThis = it;
        const RateShare share = ComputeNamedRateShare({ "s1" }, { "leith" }, mEntries, rate);
        REQUIRE(share.mIsSender);
        for (auto ms = share.mFirstDelay.count(); ms < kEndMs; ms += share.mMinInterval.count()) {
          sent.push_back(ms);
        }
      }
      std::sort(sent.begin(), sent.end());
      std::ptrdiff_t most = 0;
      for (auto it = sent.begin(); it != sent.end(); ++it) {
        most = std::max(most, std::lower_bound(it, sent.end(), *it + kWindowMs) - it);
      }
      INFO(count << " entries, " << rate << "/s");
      CHECK(static_cast<double>(most) <= 1.5 * rate * 4 + 5);
      CHECK(static_cast<double>(sent.size()) >= 0.9 * rate * 120);
    }
  }
}

} // namespace
} // namespace fighold::routes
