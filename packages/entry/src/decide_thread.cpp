#include "fighold/entry/decide.hpp"
#include "gauges.hpp"
#include "threads.hpp"

#include <stdexcept>

namespace fighold::entry {
namespace {

/// Carries out the effects of the decisions.
struct Performer
{
  Wiring& mWiring;
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
      ObserveAnswer(mWiring.mMetrics, mState, *answer);
    } else if (const auto* forwarded = std::get_if<ForwardAnswer>(&aReply.mAnswer)) {
      ObserveForward(mWiring.mMetrics, *forwarded);
    }
    if (!mWiring.mReplies.TryPush(FrontOrder(std::move(aReply)))) {
      throw std::logic_error("the ring of replies is full");
    }
  }

  void Do(Dispatch& aDispatch)
  {
    const DispatchDone unsent{ aDispatch.mId,
                               aDispatch.mDispatch,
                               { net::ExchangeStage::NotSent, {}, "dispatch-ring-full" } };
    if (!mWiring.mDispatches.TryPush(BackendOrder(std::move(aDispatch)))) {
      Perform(Step(mState, unsent, std::chrono::steady_clock::now()));
    }
  }

  void Do(CancelDispatch& aCancel)
  {
    // Without room the request runs on and its result is ignored.
    if (!mWiring.mDispatches.TryPush(BackendOrder(aCancel))) {
      mWiring.mMetrics.Count("cancellations_dropped_total");
    }
  }

  void Do(SendControl& aSend)
  {
    wire::Body body =
      std::visit([](auto& aBody) { return wire::Body(std::move(aBody)); }, aSend.mBody);
    if (!mWiring.mControlOut.TryPush(wire::Outbound{ aSend.mTo.mValue, std::move(body) })) {
      mWiring.mMetrics.Count("control_out_full_total");
    }
  }

  void Do(const SetCallerLimits& aLimits)
  {
    if (!mWiring.mReplies.TryPush(FrontOrder(aLimits))) {
      throw std::logic_error("the ring of replies is full");
    }
  }

  void Do(const LogRecord& aRecord) { telemetry::LogDecision(mWiring.mLog, aRecord.mRecord); }

  void Do(const Stopped& /*aStopped*/) { mOnStopped(); }
};

} // namespace

void
DecideThread(Wiring& aWiring, State aState, const std::function<void()>& aOnStopped)
{
  Performer performer{ aWiring, aState, aOnStopped };
  Instant nextTick = std::chrono::steady_clock::now();
  while (!aWiring.mInbox.Finished()) {
    auto event = aWiring.mInbox.PopUntil(nextTick);
    const Instant now = std::chrono::steady_clock::now();
    if (event) {
      performer.Perform(Step(aState, std::move(*event), now));
    }
    if (now >= nextTick) {
      performer.Perform(Step(aState, Tick{}, now));
      SetGauges(aWiring.mMetrics, aState, now);
      nextTick = NextTick(aState, now);
    }
    // An event may have started a claim whose asks are due for repetition before the next tick.
    nextTick = std::min(nextTick, claims::NextClientTick(aState.mAsker).value_or(nextTick));
  }
}

} // namespace fighold::entry
