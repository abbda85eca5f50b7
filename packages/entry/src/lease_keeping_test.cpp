#include "fighold/entry/decide.hpp"

#include <catch2/catch.hpp>

namespace fighold::entry {
namespace {

struct LeaseKeepingFixture
{
  Instant mNow{ std::chrono::hours(1) };
  State mState;
  membership::Configuration mConfiguration;

  LeaseKeepingFixture()
  {
    Options options;
    options.mId = { "e1" };
    options.mEntry = membership::Entry{ 7, { "127.0.0.1", 80 }, { "attiki" }, { "attiki-a" }, 0 };
    options.mControls = { { "c1" } };
    mConfiguration.mVersion = 3;
    mConfiguration.mEntries[options.mId] = options.mEntry;
    mState = MakeState(options, LoadCharts(FIGHOLD_CHARTS_DIR));
  }

  /// @return request number of the renewal sent by this tick
  std::uint64_t Renew()
  {
    for (const Effect& it : Step(mState, Tick{}, mNow)) {
      if (const auto* send = std::get_if<SendControl>(&it)) {
        return std::get<membership::LeaseRenewal>(send->mBody).mRequestNumber;
      }
    }
    return 0;
  }

  void Grant(std::uint64_t aRequestNumber)
  {
    Step(
      mState,
      GrantReceived{
        { "c1" },
        { aRequestNumber, membership::kConfigurationLease, 3, SharedValue(mConfiguration), {} } },
      mNow);
  }
};

// Guards against a delayed start: the entry discarded the numbers of its first renewals at once and
// ignored their grants.
TEST_CASE_METHOD(LeaseKeepingFixture,
                 "HandleGrant, first grant after the start, is accepted",
                 "[entry]")
{
  Grant(Renew());
  CHECK(mState.mStage == EntryStage::Serving);
}

TEST_CASE_METHOD(LeaseKeepingFixture,
                 "HandleGrant, grant for a renewal that is too old, is ignored",
                 "[entry]")
{
  const std::uint64_t first = Renew();
  for (int n = 0; n < 16; ++n) {
    mNow += membership::kRenewInterval;
    Renew();
  }
  Grant(first);
  CHECK(mState.mStage == EntryStage::Starting);
}

} // namespace
} // namespace fighold::entry
