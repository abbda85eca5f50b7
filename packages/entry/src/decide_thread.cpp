#include "fighold/entry/decide.hpp"
#include "gauges.hpp"
#include "threads.hpp"

#include <optional>
#include <stdexcept>

namespace fighold::entry {
namespace {

/// Executes the effects returned by Step().
struct EffectExecutor
{
  Channels& mChannels;
  State& mState;
  const std::function<void()>& mOnStopped;
  std::optional<SetCallerLimits> mLimits{}; ///< not handed to the front yet

  void ExecuteAll(std::vector<Effect> aEffects)
  {
    for (Effect& it : aEffects) {
      std::visit([this](auto& aEffect) { Execute(aEffect); }, it);
    }
  }

  void Execute(Reply& aReply)
  {
    if (const auto* answer = std::get_if<CallerAnswer>(&aReply.mAnswer)) {
      ObserveAnswer(mChannels.mMetrics, mState, *answer);
    } else if (const auto* forwarded = std::get_if<ForwardAnswer>(&aReply.mAnswer)) {
      ObserveForward(mChannels.mMetrics, *forwarded);
    }
    if (!mChannels.mReplies.TryPush(FrontCommand(std::move(aReply)))) {
      throw std::logic_error("the reply ring is full");
    }
  }

  void Execute(Dispatch& aDispatch)
  {
    const DispatchDone unsent{ aDispatch.mId,
                               aDispatch.mDispatchId,
                               { net::ExchangeStage::NotSent, {}, "dispatch-ring-full" } };
    if (!mChannels.mDispatches.TryPush(BackendCommand(std::move(aDispatch)))) {
      ExecuteAll(Step(mState, unsent, std::chrono::steady_clock::now()));
    }
  }

  void Execute(CancelDispatch& aCancel)
  {
    // If the ring is full, the dispatch continues and its result is ignored.
    if (!mChannels.mDispatches.TryPush(BackendCommand(aCancel))) {
      mChannels.mMetrics.Count("cancellations_dropped_total");
    }
  }

  void Execute(const HoldServer& aHold)
  {
    // If the ring is full, the dispatches in it are sent although the server wants none.
    if (!mChannels.mDispatches.TryPush(BackendCommand(aHold))) {
      mChannels.mMetrics.Count("holds_dropped_total");
    }
  }

  void Execute(SendControl& aSend)
  {
    wire::Body body =
      std::visit([](auto& aBody) { return wire::Body(std::move(aBody)); }, aSend.mBody);
    if (!mChannels.mControlOut.TryPush(wire::Outbound{ aSend.mTo.mValue, std::move(body) })) {
      mChannels.mMetrics.Count("control_out_full_total");
    }
  }

  void Execute(const SetCallerLimits& aLimits)
  {
    mLimits = aLimits;
    SendLimits();
  }

  /// Hands the latest limits to the front, unless the slots of the ring that do not belong to
  /// replies are in use.
  void SendLimits()
  {
    if (mLimits && mChannels.mReplies.TryPush(FrontCommand(*mLimits), kMaxPendingReplies)) {
      mLimits.reset();
    }
  }

  void Execute(const LogRecord& aRecord)
  {
    telemetry::LogDecision(mChannels.mLog, aRecord.mRecord);
  }

  void Execute(const Stopped& /*aStopped*/) { mOnStopped(); }
};

/// Sets the gauges of the traffic and logs it, when a report is due.
void
ReportTraffic(Channels& aChannels,
              const std::string& aId,
              wire::TrafficReport& aReport,
              Instant aNow)
{
  const wire::Traffic traffic = aChannels.mTraffic.Read();
  if (const auto record = wire::ReportTraffic(aId, traffic, aReport, aNow)) {
    telemetry::LogDecision(aChannels.mLog, *record);
    for (const wire::TrafficGauge& it : wire::GaugesOf(traffic)) {
      aChannels.mMetrics.Set(it.mName, it.mValue, it.mLabels);
    }
  }
}

} // namespace

void
DecideThread(Channels& aChannels, State aState, const std::function<void()>& aOnStopped)
{
  EffectExecutor executor{ aChannels, aState, aOnStopped };
  Instant nextTick = std::chrono::steady_clock::now();
  wire::TrafficReport traffic;
  while (!aChannels.mInbox.Finished()) {
    auto event = aChannels.mInbox.PopUntil(nextTick);
    const Instant now = std::chrono::steady_clock::now();
    if (event) {
      executor.ExecuteAll(Step(aState, std::move(*event), now));
    }
    executor.SendLimits();
    if (now >= nextTick) {
      executor.ExecuteAll(Step(aState, Tick{}, now));
      SetGauges(aChannels.mMetrics, aState, now);
      ReportTraffic(aChannels, aState.mOptions.mId.mValue, traffic, now);
      nextTick = NextTick(aState, now);
    }
    // An event may have started a claim whose messages must be resent before the planned tick.
    nextTick = std::min(nextTick, claims::NextClientTick(aState.mClaimClient).value_or(nextTick));
  }
}

} // namespace fighold::entry
