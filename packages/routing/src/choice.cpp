#include "fighold/routing/choice.hpp"

#include <algorithm>
#include <cmath>

namespace fighold::routing {
namespace {

/// Reciprocal of the weight of the newest latency in the moving average.
constexpr int kLatencyEwmaDivisor = 8;

struct ScoredServer
{
  const Candidate* mCandidate = nullptr;
  ServerState mState;
  double mCost = 0;
};

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// Expected time until an answer, divided by the number of slots. A server without a measured
/// latency counts as the fastest, so that each server is tried.
double
Cost(const Candidate& aCandidate, const ServerState& aState, Instant aNow)
{
  constexpr double kMinLatency = 1e-4;
  const double latency = std::max(Seconds(aState.mLatency), kMinLatency);
  const double progress = Seconds(aNow - aState.mSlowStartSince) / Seconds(kSlowStartWindow);
  const bool inSlowStart = aState.mSlowStartSince != Instant{} && progress < 1;
  const double factor =
    inSlowStart ? 1 + (kSlowStartCostFactor - 1) * (1 - std::max(progress, 0.0)) : 1;
  return (1 + EstimatedLoad(aState, aNow)) / std::max(aCandidate.mSlots, 1U) * latency * factor;
}

/// Deferred requests, which run long, leave one slot free for short requests.
bool
HasFreeSlot(const Candidate& aCandidate,
            const ServerState& aState,
            const ChoiceRequest& aRequest,
            Instant aNow)
{
  const std::uint32_t share = SlotsPerEntry(aCandidate.mSlots, aRequest.mSharingEntries);
  if (aRequest.mClass != RequestClass::Deferred || aCandidate.mSlots < 2) {
    return aState.mOutstanding < share;
  }
  return aState.mOutstanding < std::max(share, 2U) - 1 &&
         EstimatedLoad(aState, aNow) < aCandidate.mSlots - 1;
}

/// @return servers with a valid lease that the request has not been sent to yet
std::vector<ScoredServer>
EligibleServers(const std::vector<Candidate>& aCandidates,
                const ServerStates& aStates,
                const ChoiceRequest& aRequest,
                std::vector<Rejected>& aRejected,
                Instant aNow)
{
  std::vector<ScoredServer> live;
  for (const Candidate& it : aCandidates) {
    const auto found = aStates.find(it.mId);
    const ServerState state = found == aStates.end() ? ServerState{} : found->second;
    const std::string unavailable = ExclusionReason(state.mAvailability, state.mOutstanding, aNow);
    if (aNow >= state.mAliveUntil) {
      aRejected.push_back({ it.mId.mValue, "lease-expired" });
    } else if (!unavailable.empty()) {
      aRejected.push_back({ it.mId.mValue, unavailable });
    } else if (aRequest.mAlreadyTried.count(it.mId) > 0) {
      aRejected.push_back({ it.mId.mValue, "already-tried" });
    } else {
      live.push_back({ &it, state, Cost(it, state, aNow) });
    }
  }
  return live;
}

/// Removes ejected servers, up to the permitted number. Servers whose ejection ends last are
/// removed first, and at least one server remains.
void
RemoveEjected(std::vector<ScoredServer>& aServers,
              std::size_t aGroupSize,
              std::vector<Rejected>& aRejected,
              Instant aNow)
{
  std::stable_sort(
    aServers.begin(), aServers.end(), [](const ScoredServer& aLeft, const ScoredServer& aRight) {
      return aLeft.mState.mEjectedUntil > aRight.mState.mEjectedUntil;
    });
  std::size_t maxEjected =
    std::min(aGroupSize / kServersPerEjection, aServers.empty() ? 0 : aServers.size() - 1);
  while (maxEjected > 0 && aNow < aServers.front().mState.mEjectedUntil) {
    aRejected.push_back({ aServers.front().mCandidate->mId.mValue, "ejected" });
    aServers.erase(aServers.begin());
    --maxEjected;
  }
}

const ScoredServer&
BetterOfTwo(const std::vector<ScoredServer>& aServers,
            std::uint64_t aFirstDraw,
            std::uint64_t aSecondDraw)
{
  const std::size_t first = aFirstDraw % aServers.size();
  if (aServers.size() == 1) {
    return aServers[first];
  }
  const std::size_t second = (first + 1 + aSecondDraw % (aServers.size() - 1)) % aServers.size();
  return aServers[second].mCost < aServers[first].mCost ? aServers[second] : aServers[first];
}

} // namespace

std::uint32_t
SlotsPerEntry(std::uint32_t aSlots, std::uint32_t aEntries)
{
  return std::max(1U, aSlots * kSlotOvercommitPercent / 100 / std::max(aEntries, 1U));
}

double
EstimatedLoad(const ServerState& aState, Instant aNow)
{
  const double age = Seconds(aNow - aState.mReportedAt) / Seconds(kMaxReportAge);
  const double weight = aState.mReportedAt == Instant{} ? 0 : std::clamp(1 - age, 0.0, 1.0);
  const double own = aState.mOutstanding;
  return own + weight * std::max(aState.mReportedLoad - own, 0.0);
}

Choice
ChooseBackendServer(const std::vector<Candidate>& aCandidates,
                    const ServerStates& aStates,
                    const ChoiceRequest& aRequest,
                    std::uint64_t aFirstDraw,
                    std::uint64_t aSecondDraw,
                    Instant aNow)
{
  Choice choice;
  std::vector<ScoredServer> usable =
    EligibleServers(aCandidates, aStates, aRequest, choice.mRejected, aNow);
  RemoveEjected(usable, aCandidates.size(), choice.mRejected, aNow);
  if (usable.empty()) {
    choice.mReason = "no-usable-backend-server";
    return choice;
  }
  std::vector<ScoredServer> withFreeSlot;
  for (const ScoredServer& it : usable) {
    if (HasFreeSlot(*it.mCandidate, it.mState, aRequest, aNow)) {
      withFreeSlot.push_back(it);
    } else {
      choice.mRejected.push_back({ it.mCandidate->mId.mValue, "slots-used-up" });
    }
  }
  if (withFreeSlot.empty() && aRequest.mMayWait) {
    choice.mReason = kNoFreeSlot;
    return choice;
  }
  const std::vector<ScoredServer>& from = withFreeSlot.empty() ? usable : withFreeSlot;
  choice.mCandidate = *BetterOfTwo(from, aFirstDraw, aSecondDraw).mCandidate;
  choice.mReason = from.size() == 1 ? "only-candidate" : "least-outstanding-of-two";
  return choice;
}

ServerState
RecordResult(const ServerState& aState, DispatchOutcome aOutcome, Duration aLatency, Instant aNow)
{
  ServerState next = aState;
  if (aOutcome == DispatchOutcome::Refused) {
    return next;
  }
  // Without an answer, the time is only a lower bound of the latency. A request that could not be
  // sent ends at once and must not make the server look fast.
  const bool answered = aOutcome == DispatchOutcome::Answered;
  if (next.mLatency == Duration::zero()) {
    next.mLatency = answered ? aLatency : next.mLatency;
  } else if (answered || aLatency > next.mLatency) {
    next.mLatency += (aLatency - next.mLatency) / kLatencyEwmaDivisor;
  }
  if (aOutcome == DispatchOutcome::Answered) {
    next.mConsecutiveFailures = 0;
    next.mConsecutiveEjections = 0;
    return next;
  }
  ++next.mConsecutiveFailures;
  if (next.mConsecutiveFailures >= kConsecutiveFailuresToEject && aNow >= next.mEjectedUntil) {
    const Duration ejectionTime =
      kBaseEjectionTime * (1U << std::min(next.mConsecutiveEjections, 4U));
    next.mEjectedUntil = aNow + std::min<Duration>(ejectionTime, kMaxEjectionTime);
    ++next.mConsecutiveEjections;
    // A single failure after the ejection is enough for the next ejection.
    next.mConsecutiveFailures = kConsecutiveFailuresToEject - 1;
  }
  return next;
}

} // namespace fighold::routing
