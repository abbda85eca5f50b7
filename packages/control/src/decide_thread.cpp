#include "fighold/control/decide.hpp"
#include "threads.hpp"

#include <stdexcept>

namespace fighold::control {
namespace {

/// Executes the effects of the decisions.
struct EffectExecutor
{
  Channels& mChannels;
  const State& mState;

  void ExecuteAll(std::vector<Effect> aEffects)
  {
    for (Effect& it : aEffects) {
      std::visit([this](auto& aEffect) { Execute(aEffect); }, it);
    }
  }

  void Execute(AnswerCall& aAnswer)
  {
    if (!mChannels.mAnswers.TryPush(std::move(aAnswer))) {
      throw std::logic_error("the answer ring is full");
    }
  }

  void Execute(SendControl& aSend)
  {
    wire::Body body =
      std::visit([](auto& aBody) { return wire::Body(std::move(aBody)); }, aSend.mBody);
    Send(aSend.mTo.mValue, std::move(body));
  }

  void Execute(SendEntry& aSend)
  {
    if (auto* grant = std::get_if<membership::LeaseGrant>(&aSend.mBody)) {
      *grant = membership::WithIndexedLeases(std::move(*grant), *mState.mConfiguration);
    }
    wire::Body body =
      std::visit([](auto& aBody) { return wire::Body(std::move(aBody)); }, aSend.mBody);
    Send(aSend.mTo.mValue, std::move(body));
  }

  void Execute(Store& aStore)
  {
    if (!mChannels.mWrites.TryPush(std::move(aStore.mWrite))) {
      throw std::logic_error("the write ring is full");
    }
  }

  void Execute(const LogRecord& aRecord)
  {
    telemetry::LogDecision(mChannels.mLog, aRecord.mRecord);
  }

  void Send(const std::string& aTo, wire::Body aBody)
  {
    if (!mChannels.mMessagesOut.TryPush(wire::Outbound{ aTo, std::move(aBody) })) {
      mChannels.mMetrics.Count("messages_out_full_total");
    }
  }
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

void
ReportRecords(Channels& aChannels, const State& aState)
{
  aChannels.mMetrics.Set("log_records_skipped", static_cast<double>(aState.mSkippedRecords));
  aChannels.mMetrics.Set("changes_unreadable", static_cast<double>(aState.mUnreadableChanges));
}

/// Handles events until the inbox is closed and empty.
/// @throws RecordError if a committed record or a snapshot cannot be used
void
HandleEvents(Channels& aChannels, State& aState)
{
  EffectExecutor executor{ aChannels, aState };
  Instant lastTick = std::chrono::steady_clock::now();
  wire::TrafficReport traffic;
  while (!aChannels.mInbox.Finished()) {
    // An event may start a call, which needs an earlier tick, so the time is computed again.
    const Instant nextTick = NextTick(aState, lastTick);
    auto event = aChannels.mInbox.PopUntil(nextTick);
    const Instant now = std::chrono::steady_clock::now();
    if (event) {
      executor.ExecuteAll(Step(aState, std::move(*event), now));
    }
    if (now >= nextTick) {
      executor.ExecuteAll(Step(aState, Tick{}, now));
      lastTick = now;
      ReportTraffic(aChannels, aState.mNode.mOptions.mSelf.mValue, traffic, now);
      ReportRecords(aChannels, aState);
    }
  }
}

} // namespace

void
DecideThread(Channels& aChannels,
             State aState,
             const std::function<void(const std::string&)>& aOnFatal)
{
  try {
    HandleEvents(aChannels, aState);
  } catch (const RecordError& error) {
    aOnFatal(error.what());
  }
}

} // namespace fighold::control
