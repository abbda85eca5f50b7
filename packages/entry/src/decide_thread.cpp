#include "fighold/entry/decide.hpp"
#include "gauges.hpp"
#include "threads.hpp"

#include <stdexcept>

namespace fighold::entry {
namespace {

/// Carries out the effects of the decisions.
struct Performer
{
  Channels& mChannels;
  State& mState;
  const std::function<void()>& mOnStopped;

  void Perform(std::vector<Effect> aEffects)
  {
    for (Effect& it : aEffects) {
      std::visit([this](auto& aEffect) { Do(aEffect); }, it);
    }
  }

  void Do(Reply& aReply)
  {
    if (const auto* answer = std::get_if<CallerAnswer>(&aReply.mAnswer)) {
      ObserveAnswer(mChannels.mMetrics, mState, *answer);
    } else if (const auto* forwarded = std::get_if<ForwardAnswer>(&aReply.mAnswer)) {
      ObserveForward(mChannels.mMetrics, *forwarded);
    }
    if (!mChannels.mReplies.TryPush(FrontCommand(std::move(aReply)))) {
      throw std::logic_error("the ring of replies is full");
    }
  }

  void Do(Dispatch& aDispatch)
  {
    const DispatchDone unsent{ aDispatch.mId,
                               aDispatch.mDispatchId,
                               { net::ExchangeStage::NotSent, {}, "dispatch-ring-full" } };
    if (!mChannels.mDispatches.TryPush(BackendCommand(std::move(aDispatch)))) {
      Perform(Step(mState, unsent, std::chrono::steady_clock::now()));
    }
  }

  void Do(CancelDispatch& aCancel)
  {
    // Without room the request runs on and its result is ignored.
    if (!mChannels.mDispatches.TryPush(BackendCommand(aCancel))) {
      mChannels.mMetrics.Count("cancellations_dropped_total");
    }
  }

  void Do(SendControl& aSend)
  {
    wire::Body body =
      std::visit([](auto& aBody) { return wire::Body(std::move(aBody)); }, aSend.mBody);
    if (!mChannels.mControlOut.TryPush(wire::Outbound{ aSend.mTo.mValue, std::move(body) })) {
      mChannels.mMetrics.Count("control_out_full_total");
    }
  }

  void Do(const SetCallerLimits& aLimits)
  {
    if (!mChannels.mReplies.TryPush(FrontCommand(aLimits))) {
      throw std::logic_error("the ring of replies is full");
    }
  }

  void Do(const LogRecord& aRecord) { telemetry::LogDecision(mChannels.mLog, aRecord.mRecord); }

  void Do(const Stopped& /*aStopped*/) { mOnStopped(); }
};

} // namespace

void
DecideThread(Channels& aChannels, State aState, const std::function<void()>& aOnStopped)
{
  Performer performer{ aChannels, aState, aOnStopped };
  Instant nextTick = std::chrono::steady_clock::now();
  while (!aChannels.mInbox.Finished()) {
    auto event = aChannels.mInbox.PopUntil(nextTick);
    const Instant now = std::chrono::steady_clock::now();
    if (event) {
      performer.Perform(Step(aState, std::move(*event), now));
    }
    if (now >= nextTick) {
      performer.Perform(Step(aState, Tick{}, now));
      SetGauges(aChannels.mMetrics, aState, now);
      nextTick = NextTick(aState, now);
    }
    // An event may have started a claim whose asks are due for repetition before the next tick.
    nextTick = std::min(nextTick, claims::NextClientTick(aState.mClaimClient).value_or(nextTick));
  }
}

} // namespace fighold::entry
