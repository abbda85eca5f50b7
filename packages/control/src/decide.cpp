#include "fighold/control/decide.hpp"

#include "calls.hpp"
#include "leases.hpp"

namespace fighold::control {
namespace {

void
ApplyCommitted(Context& aContext, const agreement::LogEntry& aEntry)
{
  State& state = aContext.mState;
  const auto change = state.mCodec.mDecode(aEntry.mPayload);
  if (!change) {
    throw std::runtime_error("log entry " + std::to_string(aEntry.mIndex) + " holds no change");
  }
  const membership::Applied applied =
    membership::Apply(*state.mConfiguration, *change, aEntry.mIndex);
  state.mConfiguration = applied.mConfiguration;
  const auto [first, last] = state.mAsks.equal_range(aEntry.mPayload);
  for (auto it = first; it != last; ++it) {
    aContext.mEffects.emplace_back(
      SendEntry{ it->second.mFrom, membership::ChangeDone{ it->second.mAsk, applied.mAnswer } });
  }
  state.mAsks.erase(first, last);
  if (!change->mId.mValue.empty()) {
    OnApplied(aContext, *change, applied.mAnswer);
  }
}

void
HandleAsk(Context& aContext, const EntryId& aFrom, const membership::ChangeAsk& aAsk)
{
  const std::string payload = aContext.mState.mCodec.mEncode(aAsk.mChange);
  auto& asks = aContext.mState.mAsks;
  const auto [first, last] = asks.equal_range(payload);
  const bool waiting = std::any_of(first, last, [&](const auto& aItem) {
    return aItem.second.mFrom == aFrom && aItem.second.mAsk == aAsk.mAsk;
  });
  if (!waiting) {
    asks.emplace(payload, PendingAsk{ aFrom, aAsk.mAsk });
  }
  Agree(aContext, agreement::Propose{ payload });
}

void
Handle(const ChangeCall& aCall, Context& aContext)
{
  StartCall(aContext, aCall);
}

void
Handle(const StatusCall& aCall, Context& aContext)
{
  AnswerStatus(aContext, aCall);
}

void
Handle(const FromEntry& aMessage, Context& aContext)
{
  if (const auto* renew = std::get_if<membership::Renew>(&aMessage.mBody)) {
    HandleRenew(aContext, aMessage.mFrom, *renew);
  } else {
    HandleAsk(aContext, aMessage.mFrom, std::get<membership::ChangeAsk>(aMessage.mBody));
  }
}

void
Handle(const FromControl& aMessage, Context& aContext)
{
  if (const auto* message = std::get_if<agreement::Message>(&aMessage.mBody)) {
    Agree(aContext, agreement::Received{ aMessage.mFrom, *message });
  } else if (const auto* renew = std::get_if<membership::ControlRenew>(&aMessage.mBody)) {
    HandleControlRenew(aContext, aMessage.mFrom, *renew);
  } else {
    HandleControlGrant(aContext, std::get<membership::ControlGrant>(aMessage.mBody));
  }
}

void
Handle(const Stored& aStored, Context& aContext)
{
  Agree(aContext, agreement::Stored{ aStored.mWrite });
}

void
Handle(const Tick& /*aTick*/, Context& aContext)
{
  Agree(aContext, agreement::Tick{});
  TickLeases(aContext);
  TickCalls(aContext);
}

} // namespace

void
Agree(Context& aContext, const agreement::Event& aEvent)
{
  for (agreement::Effect& it : agreement::Step(aContext.mState.mNode, aEvent, aContext.mNow)) {
    if (auto* send = std::get_if<agreement::Send>(&it)) {
      aContext.mEffects.emplace_back(SendControl{ send->mTo, std::move(send->mMessage) });
    } else if (auto* write = std::get_if<agreement::Write>(&it)) {
      aContext.mEffects.emplace_back(Store{ std::move(*write) });
    } else {
      ApplyCommitted(aContext, std::get<agreement::Commit>(it).mEntry);
    }
  }
}

void
Propose(Context& aContext, const membership::Change& aChange)
{
  Agree(aContext, agreement::Propose{ aContext.mState.mCodec.mEncode(aChange) });
}

State
MakeState(agreement::Node aNode, Codec aCodec, chart::BoundChart<CallScope> aChart)
{
  State state;
  state.mNode = std::move(aNode);
  state.mCodec = std::move(aCodec);
  state.mCallChart = std::move(aChart);
  return state;
}

std::vector<Effect>
Step(State& aState, Event aEvent, Instant aNow)
{
  Context context{ aState, aNow, {} };
  std::visit([&](const auto& aBody) { Handle(aBody, context); }, aEvent);
  return std::move(context.mEffects);
}

Instant
NextTick(const State& aState, Instant aNow)
{
  if (!aState.mCalls.empty()) {
    return aNow + kTickInterval;
  }
  const Instant timer = agreement::NextTimer(aState.mNode);
  return agreement::IsLeader(aState.mNode) ? timer : std::min(timer, aState.mNextRenew);
}

chart::BoundChart<CallScope>
LoadCallChart(const std::filesystem::path& aFolder)
{
  return chart::LoadBound(aFolder / "plan_change.scxml", CallRegistry());
}

} // namespace fighold::control
