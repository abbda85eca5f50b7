#include "fighold/control/decide.hpp"
#include "threads.hpp"

#include <stdexcept>

namespace fighold::control {
namespace {

/// Carries out the effects of the decisions.
struct Performer
{
  Wiring& mWiring;

  void Perform(std::vector<Effect> aEffects)
  {
    for (Effect& it : aEffects) {
      std::visit([this](auto& aEffect) { Do(aEffect); }, it);
    }
  }

  void Do(AnswerCall& aAnswer)
  {
    if (!mWiring.mAnswers.TryPush(std::move(aAnswer))) {
      throw std::logic_error("the ring of answers is full");
    }
  }

  void Do(SendControl& aSend)
  {
    wire::Body body =
      std::visit([](auto& aBody) { return wire::Body(std::move(aBody)); }, aSend.mBody);
    Send(aSend.mTo.mValue, std::move(body));
  }

  void Do(SendEntry& aSend)
  {
    wire::Body body =
      std::visit([](auto& aBody) { return wire::Body(std::move(aBody)); }, aSend.mBody);
    Send(aSend.mTo.mValue, std::move(body));
  }

  void Do(Store& aStore)
  {
    if (!mWiring.mWrites.TryPush(std::move(aStore.mWrite))) {
      throw std::logic_error("the ring of writes is full");
    }
  }

  void Do(const LogRecord& aRecord) { telemetry::LogDecision(mWiring.mLog, aRecord.mRecord); }

  void Send(const std::string& aTo, wire::Body aBody)
  {
    if (!mWiring.mMessagesOut.TryPush(wire::Outbound{ aTo, std::move(aBody) })) {
      mWiring.mMetrics.Count("messages_out_full_total");
    }
  }
};

} // namespace

void
DecideThread(Wiring& aWiring, State aState)
{
  Performer performer{ aWiring };
  Instant lastTick = std::chrono::steady_clock::now();
  while (!aWiring.mInbox.Finished()) {
    // A call that arrives shortens the wait, so the time is computed anew after each event.
    const Instant nextTick = NextTick(aState, lastTick);
    auto event = aWiring.mInbox.PopUntil(nextTick);
    const Instant now = std::chrono::steady_clock::now();
    if (event) {
      performer.Perform(Step(aState, std::move(*event), now));
    }
    if (now >= nextTick) {
      performer.Perform(Step(aState, Tick{}, now));
      lastTick = now;
    }
  }
}

} // namespace fighold::control
