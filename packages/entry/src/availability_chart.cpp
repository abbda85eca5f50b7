#include "availability_chart.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

/// Number of incarnations beyond which those that are not in the configuration are forgotten.
constexpr std::size_t kMaxAvailabilities = 4096;

/// Bounds of the random time that is added to a pause, so that entries that paused together do not
/// return together: a part of the pause, and a maximum.
constexpr int kPauseSpreadDivisor = 4;
constexpr Millis kMaxPauseSpread{ 1000 };

/// Bounds the number of servers that the connections remember. No dispatch waits longer for a
/// connection.
constexpr Millis kMaxHold{ 60'000 };

/// Requests of this entry at a server at a time from which on it has resumed after a pause.
constexpr std::uint32_t kResumedRequests = 4;

bool
PauseEnded(const AvailabilityScope& aScope)
{
  return aScope.mNow >= aScope.mAvailability.mPausedUntil;
}

bool
TakesEnough(const AvailabilityScope& aScope)
{
  return aScope.mAvailability.mMaxRequests >= kResumedRequests;
}

/// A shorter pause does not end a longer one that was asked for before.
void
BeginPause(AvailabilityScope& aScope)
{
  const Millis pause = std::min(aScope.mPause, kMaxPause);
  const Millis spread = std::min(pause / kPauseSpreadDivisor, kMaxPauseSpread);
  const Millis added(aScope.mRandom % static_cast<std::uint64_t>(spread.count() + 1));
  Availability& availability = aScope.mAvailability;
  availability.mPausedUntil = std::max(availability.mPausedUntil, aScope.mNow + pause + added);
  availability.mMaxRequests = 1;
}

void
AllowMore(AvailabilityScope& aScope)
{
  aScope.mAvailability.mMaxRequests *= 2;
}

void
RemoveLimit(AvailabilityScope& aScope)
{
  aScope.mAvailability.mMaxRequests = Availability::kUnlimited;
}

std::string
NameOf(AvailabilityState aState)
{
  switch (aState) {
    case AvailabilityState::Available:
      return "available";
    case AvailabilityState::Paused:
      return "paused";
    case AvailabilityState::Resuming:
      return "resuming";
    case AvailabilityState::Leaving:
      break;
  }
  return "leaving";
}

void
LogAvailability(const DispatchDone& aDone,
                const Availability& aBefore,
                const Availability& aAfter,
                std::vector<Effect>& aEffects,
                Instant aNow)
{
  const bool unreadable = aDone.mReport.mUnreadableAvailability;
  const bool changed =
    aBefore.mState != aAfter.mState || aBefore.mPausedUntil != aAfter.mPausedUntil;
  if (!changed && !unreadable) {
    return;
  }
  DecisionRecord record{ "server", aDone.mServer.mId.mValue, "", "", "said-in-answer", {} };
  record.mChoice = NameOf(aAfter.mState);
  if (unreadable) {
    record.mReason = "unreadable-availability";
  }
  const auto left = std::max(Duration{}, aAfter.mPausedUntil - aNow);
  record.mFields = { { "request", std::to_string(aDone.mId) },
                     { "incarnation", std::to_string(aDone.mServer.mIncarnation) },
                     { "pause_ms", std::to_string(std::chrono::ceil<Millis>(left).count()) } };
  aEffects.emplace_back(LogRecord{ std::move(record) });
}

bool
IsReplaced(const membership::Configuration& aConfiguration, const ServerKey& aKey)
{
  const auto it = aConfiguration.mBackendServers.find(aKey.mId);
  return it != aConfiguration.mBackendServers.end() && it->second.mIncarnation > aKey.mIncarnation;
}

/// Makes what was heard from the listed incarnation of a server part of the choices.
void
ApplyAvailability(State& aState, const ServerKey& aKey, const Availability& aAvailability)
{
  const auto& servers = aState.mConfiguration->mBackendServers;
  const auto server = servers.find(aKey.mId);
  if (server == servers.end() || server->second.mIncarnation != aKey.mIncarnation) {
    return;
  }
  aState.mServers[aKey.mId].mAvailability = aAvailability;
  const auto load = aState.mServerLoads.find(aKey.mId);
  if (load != aState.mServerLoads.end() && load->second.mIncarnation == aKey.mIncarnation) {
    load->second.mAvailability = aAvailability;
  }
}

void
ForgetReplacedServers(State& aState)
{
  const bool full = aState.mAvailabilities.size() > kMaxAvailabilities;
  const auto& servers = aState.mConfiguration->mBackendServers;
  for (auto it = aState.mAvailabilities.begin(); it != aState.mAvailabilities.end();) {
    const bool forget =
      IsReplaced(*aState.mConfiguration, it->first) || (full && servers.count(it->first.mId) == 0);
    it = forget ? aState.mAvailabilities.erase(it) : std::next(it);
  }
}

/// Requests that wait for a connection were decided before the server spoke.
void
HoldDispatches(const ServerKey& aKey,
               const Availability& aAvailability,
               std::vector<Effect>& aEffects,
               Instant aNow)
{
  if (aAvailability.mState == AvailabilityState::Leaving) {
    aEffects.emplace_back(HoldServer{ aKey, aNow + kMaxHold });
  } else if (IsPaused(aAvailability, aNow)) {
    const Instant until = std::min<Instant>(aAvailability.mPausedUntil, aNow + kMaxHold);
    aEffects.emplace_back(HoldServer{ aKey, until });
  }
}

} // namespace

chart::Registry<AvailabilityScope>
AvailabilityRegistry()
{
  return {
    { "available", "paused", "resuming", "leaving" },
    { "said_leaving", "said_pause", "answered" },
    { { "pause_ended", PauseEnded }, { "takes_enough", TakesEnough } },
    { { "begin_pause", BeginPause }, { "allow_more", AllowMore }, { "remove_limit", RemoveLimit } }
  };
}

void
RecordAvailability(State& aState,
                   const DispatchDone& aDone,
                   std::vector<Effect>& aEffects,
                   Instant aNow)
{
  if (aDone.mResult.mStage != net::ExchangeStage::Answered || aDone.mServer.mId.mValue.empty()) {
    return;
  }
  const AvailabilityStatement& said = aDone.mReport.mAvailability;
  const auto known = aState.mAvailabilities.find(aDone.mServer);
  const Availability before =
    known == aState.mAvailabilities.end() ? Availability{} : known->second;
  Availability after = before;
  const auto fire = [&](AvailabilityEvent aEvent) {
    AvailabilityScope scope{ after, said.mPause.value_or(Millis(0)), NextRandom(aState), aNow };
    after.mState = chart::Fire(aState.mCharts.mAvailability, after.mState, aEvent, scope).mState;
  };
  if (said.mPause) {
    fire(AvailabilityEvent::SaidPause);
  } else if (known != aState.mAvailabilities.end()) {
    fire(AvailabilityEvent::Answered);
  }
  if (said.mLeaving) {
    fire(AvailabilityEvent::SaidLeaving);
  }
  LogAvailability(aDone, before, after, aEffects, aNow);
  if (after != before) {
    aState.mAvailabilities[aDone.mServer] = after;
    ApplyAvailability(aState, aDone.mServer, after);
    HoldDispatches(aDone.mServer, after, aEffects, aNow);
  }
}

void
ApplyAvailabilities(State& aState)
{
  ForgetReplacedServers(aState);
  for (auto& [id, server] : aState.mServers) {
    server.mAvailability = {};
  }
  for (const auto& [key, availability] : aState.mAvailabilities) {
    ApplyAvailability(aState, key, availability);
  }
}

} // namespace fighold::entry
