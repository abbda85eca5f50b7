#include "fighold/entry/decide.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

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

// Guards against a late grant or answer to an earlier process of the entry, which is taken for that
// to a renewal or change of the present one because numbers start anew.
TEST_CASE_METHOD(LeaseKeepingFixture,
                 "HandleGrant, grant for a renewal of an earlier process, is ignored",
                 "[entry]")
{
  std::vector<std::uint64_t> earlier;
  for (int n = 0; n < 16; ++n) {
    mNow += membership::kRenewInterval;
    earlier.push_back(Renew());
  }
  Options options = mState.mOptions;
  // Incarnations are random numbers of 63 bits.
  options.mEntry.mIncarnation = 0x1234'5678'9abc'def0;
  mState = MakeState(options, LoadCharts(FIGHOLD_CHARTS_DIR));
  Renew();
  for (const std::uint64_t it : earlier) {
    Grant(it);
    CHECK(mState.mStage == EntryStage::Starting);
  }
}

/// An entry beside five control processes, which it asks all at once.
struct WholeConfigurationFixture : LeaseKeepingFixture
{
  WholeConfigurationFixture()
  {
    mState.mOptions.mControls = { { "c1" }, { "c2" }, { "c3" }, { "c4" }, { "c5" } };
  }

  /// @return renewals sent by ticks within a time
  std::vector<std::pair<ControlId, membership::LeaseRenewal>> RenewalsWithin(Millis aLength)
  {
    std::vector<std::pair<ControlId, membership::LeaseRenewal>> renewals;
    for (const Instant end = mNow + aLength; mNow < end; mNow += Millis(10)) {
      if (mNow < NextTick(mState, mNow)) {
        continue;
      }
      for (const Effect& it : Step(mState, Tick{}, mNow)) {
        if (const auto* send = std::get_if<SendControl>(&it)) {
          renewals.emplace_back(send->mTo, std::get<membership::LeaseRenewal>(send->mBody));
        }
      }
    }
    return renewals;
  }

  static std::size_t CountWhole(
    const std::vector<std::pair<ControlId, membership::LeaseRenewal>>& aRenewals)
  {
    return static_cast<std::size_t>(std::count_if(
      aRenewals.begin(), aRenewals.end(), [](const auto& aIt) { return !aIt.second.mOmitWhole; }));
  }

  /// Answers a renewal without the configuration.
  void AnswerWithout(const ControlId& aFrom, std::uint64_t aRequestNumber)
  {
    membership::LeaseGrant grant;
    grant.mRequestNumber = aRequestNumber;
    grant.mLength = membership::kConfigurationLease;
    grant.mVersion = mConfiguration.mVersion;
    Step(mState, GrantReceived{ aFrom, grant }, mNow);
  }
};

// Guards against an entry that starts or fell behind and asks all control processes for the whole
// configuration, again and again: the copies fill its link, which delays the first.
TEST_CASE_METHOD(WholeConfigurationFixture,
                 "MaintainLease, entry without a configuration, asks one process for it at a time",
                 "[entry]")
{
  const auto first = RenewalsWithin(Millis(100));
  CHECK(first.size() == 5);
  CHECK(CountWhole(first) == 0);
  AnswerWithout({ "c3" }, first[2].second.mRequestNumber);
  AnswerWithout({ "c4" }, first[3].second.mRequestNumber);
  const auto asked = RenewalsWithin(Millis(1400));
  CHECK(CountWhole(asked) == 1);
  for (const auto& [control, renewal] : asked) {
    CHECK((renewal.mOmitWhole || control.mValue == "c3"));
  }
}

// Guards against an entry that waits without end for a configuration that was lost on its way.
TEST_CASE_METHOD(WholeConfigurationFixture,
                 "MaintainLease, whole configuration lost, asks for it again",
                 "[entry]")
{
  std::size_t whole = 0;
  for (int n = 0; n < 40; ++n) {
    const auto renewals = RenewalsWithin(Millis(100));
    whole += CountWhole(renewals);
    for (const auto& [control, renewal] : renewals) {
      if (renewal.mOmitWhole && control.mValue == "c2") {
        AnswerWithout(control, renewal.mRequestNumber);
      }
    }
  }
  CHECK(whole >= 2);
  CHECK(whole <= 3);
}

// Guards against an entry that renews without pause while hundreds of machines start, each of which
// makes a version.
TEST_CASE_METHOD(LeaseKeepingFixture,
                 "HandleGrant, a new version with each grant, renews ten times a second at most",
                 "[entry]")
{
  std::size_t renewals = 0;
  for (const Instant end = mNow + std::chrono::seconds(2); mNow < end; mNow += Millis(10)) {
    if (mNow < NextTick(mState, mNow)) {
      continue;
    }
    const std::uint64_t number = Renew();
    renewals += number != 0 ? 1 : 0;
    ++mConfiguration.mVersion;
    membership::LeaseGrant grant;
    grant.mRequestNumber = number;
    grant.mLength = membership::kConfigurationLease;
    grant.mVersion = mConfiguration.mVersion;
    grant.mConfiguration = SharedValue(mConfiguration);
    Step(mState, GrantReceived{ { "c1" }, grant }, mNow);
  }
  CHECK(renewals >= 10);
  CHECK(renewals <= 21);
}

} // namespace
} // namespace fighold::entry
