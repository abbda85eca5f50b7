#include "entry_group_fixture.hpp"

namespace fighold::entry {
namespace {

/// A request that runs at a server which is not heard any more.
struct SilentServerFixture : EntryGroupFixture
{
  std::size_t mDispatches = 0;
  std::size_t mCancelled = 0;
  std::size_t mReplies = 0;

  void Count(const std::vector<Effect>& aEffects)
  {
    for (const Effect& it : aEffects) {
      const auto* dispatch = std::get_if<Dispatch>(&it);
      const bool isRequest = dispatch != nullptr && dispatch->mPayload->mTarget != "/health";
      mDispatches += isRequest ? 1 : 0;
      mCancelled += std::holds_alternative<CancelDispatch>(it) ? 1 : 0;
      mReplies += std::holds_alternative<Reply>(it) ? 1 : 0;
    }
  }

  /// Lets time pass in which the entry gets grants, but no server renews its lease.
  void WaitWithoutHeartbeats(Millis aLength)
  {
    const Instant end = mNow + aLength;
    for (; mNow < end; mNow += Millis(100)) {
      State& entry = mEntries.front();
      entry.mNextRenew = mNow;
      Count(Step(entry, Tick{}, mNow));
      membership::LeaseGrant grant;
      grant.mRequestNumber = entry.mRenewalsSent.rbegin()->first;
      grant.mLength = membership::kConfigurationLease;
      grant.mVersion = mConfiguration.mVersion;
      Count(Step(entry, GrantReceived{ { "c1" }, grant }, mNow));
    }
  }
};

// Guards against a request that runs at a server being started again elsewhere or given up, because
// the server is silent for longer than its lease.
TEST_CASE_METHOD(SilentServerFixture,
                 "Forward, server silent beyond its lease, waits for the answer of its request",
                 "[entry]")
{
  StartEntries({ "attiki" });
  ForwardRequest request;
  request.mId = 1;
  net::HttpRequest payload;
  payload.mTarget = "/1";
  payload.mHost = "desk.example";
  request.mPayload = SharedValue(payload);
  const auto effects = Step(mEntries.front(), request, mNow);
  Count(effects);
  REQUIRE(mDispatches == 1);
  WaitWithoutHeartbeats(kLease + Millis(1500));
  CHECK(mDispatches == 1);
  CHECK(mCancelled == 0);
  CHECK(mReplies == 0);
  DispatchDone done;
  for (const Effect& it : effects) {
    if (const auto* dispatch = std::get_if<Dispatch>(&it)) {
      done.mId = dispatch->mId;
      done.mDispatchId = dispatch->mDispatchId;
    }
  }
  done.mResult.mStage = net::ExchangeStage::Answered;
  done.mResult.mResponse.mStatus = 200;
  Count(Step(mEntries.front(), done, mNow));
  CHECK(mReplies == 1);
  // New requests leave the server alone, since its lease has ended.
  request.mId = 2;
  Count(Step(mEntries.front(), request, mNow));
  CHECK(mDispatches == 1);
}

} // namespace
} // namespace fighold::entry
