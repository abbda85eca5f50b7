#include "fighold/routing/choice.hpp"

#include <algorithm>
#include <cmath>

namespace fighold::routing {
namespace {

/// Weight of the newest latency in the decayed mean, as a divisor.
constexpr int kLatencyDecay = 8;

struct Usable
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

/// Expected time until an answer, for each slot. Servers without a latency yet are taken as the
/// fastest, so that each is tried.
double
Cost(const Candidate& aCandidate, const ServerState& aState, Instant aNow)
{
  constexpr double kLeastLatency = 1e-4;
  const double latency = std::max(Seconds(aState.mLatency), kLeastLatency);
  const double cold = Seconds(aNow - aState.mSlowStartSince) / Seconds(kSlowStartWindow);
  const bool ramps = aState.mSlowStartSince != Instant{} && cold < 1;
  const double factor = ramps ? 1 + (kSlowStartCostFactor - 1) * (1 - std::max(cold, 0.0)) : 1;
  return (1 + EstimatedLoad(aState, aNow)) / std::max(aCandidate.mSlots, 1U) * latency * factor;
}

/// Long requests leave one slot free for short ones.
bool
HasFreeSlot(const Candidate& aCandidate,
            const ServerState& aState,
            const ChoiceRequest& aRequest,
            Instant aNow)
{
  const std::uint32_t share = SlotShare(aCandidate.mSlots, aRequest.mSharingEntries);
  if (aRequest.mClass != RequestClass::Deferred || aCandidate.mSlots < 2) {
    return aState.mOutstanding < share;
  }
  return aState.mOutstanding < std::max(share, 2U) - 1 &&
         EstimatedLoad(aState, aNow) < aCandidate.mSlots - 1;
}

std::vector<Usable>
Living(const std::vector<Candidate>& aCandidates,
       const ServerStates& aStates,
       const ChoiceRequest& aRequest,
       std::vector<Rejected>& aRejected,
       Instant aNow)
{
  std::vector<Usable> living;
  for (const Candidate& it : aCandidates) {
    const auto found = aStates.find(it.mId);
    const ServerState state = found == aStates.end() ? ServerState{} : found->second;
    if (aNow >= state.mAliveUntil) {
      aRejected.push_back({ it.mId.mValue, "lease-expired" });
    } else if (aRequest.mAlreadyTried.count(it.mId) > 0) {
      aRejected.push_back({ it.mId.mValue, "already-tried" });
    } else {
      living.push_back({ &it, state, Cost(it, state, aNow) });
    }
  }
  return living;
}

/// Takes out ejected servers, those with the longest ejections first, up to the permitted part.
void
TakeOutEjected(std::vector<Usable>& aUsable,
               std::size_t aGroupSize,
               std::vector<Rejected>& aRejected,
               Instant aNow)
{
  std::stable_sort(aUsable.begin(), aUsable.end(), [](const Usable& aLeft, const Usable& aRight) {
    return aLeft.mState.mEjectedUntil > aRight.mState.mEjectedUntil;
  });
  std::size_t most =
    std::min(aGroupSize / kServersPerEjection, aUsable.empty() ? 0 : aUsable.size() - 1);
  while (most > 0 && aNow < aUsable.front().mState.mEjectedUntil) {
    aRejected.push_back({ aUsable.front().mCandidate->mId.mValue, "ejected" });
    aUsable.erase(aUsable.begin());
    --most;
  }
}

const Usable&
BetterOfTwo(const std::vector<Usable>& aUsable, std::uint64_t aFirst, std::uint64_t aSecond)
{
  const std::size_t first = aFirst % aUsable.size();
  if (aUsable.size() == 1) {
    return aUsable[first];
  }
  const std::size_t second = (first + 1 + aSecond % (aUsable.size() - 1)) % aUsable.size();
  return aUsable[second].mCost < aUsable[first].mCost ? aUsable[second] : aUsable[first];
}

} // namespace

std::uint32_t
SlotShare(std::uint32_t aSlots, std::uint32_t aEntries)
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
                    std::uint64_t aFirst,
                    std::uint64_t aSecond,
                    Instant aNow)
{
  Choice choice;
  std::vector<Usable> usable = Living(aCandidates, aStates, aRequest, choice.mRejected, aNow);
  TakeOutEjected(usable, aCandidates.size(), choice.mRejected, aNow);
  if (usable.empty()) {
    choice.mReason = "no-usable-backend-server";
    return choice;
  }
  std::vector<Usable> open;
  for (const Usable& it : usable) {
    if (HasFreeSlot(*it.mCandidate, it.mState, aRequest, aNow)) {
      open.push_back(it);
    } else {
      choice.mRejected.push_back({ it.mCandidate->mId.mValue, "slots-used-up" });
    }
  }
  if (open.empty() && aRequest.mMayWait) {
    choice.mReason = kNoFreeSlot;
    return choice;
  }
  const std::vector<Usable>& from = open.empty() ? usable : open;
  choice.mCandidate = *BetterOfTwo(from, aFirst, aSecond).mCandidate;
  choice.mReason = from.size() == 1 ? "only-candidate" : "least-outstanding-of-two";
  return choice;
}

ServerState
RecordResult(const ServerState& aState, DispatchOutcome aResult, Duration aLatency, Instant aNow)
{
  ServerState next = aState;
  if (aResult == DispatchOutcome::Refused) {
    return next;
  }
  // A request without an answer shows only a lower bound. One that could not be sent ends at once
  // and must not make the server look fast.
  const bool answered = aResult == DispatchOutcome::Answered;
  if (next.mLatency == Duration::zero()) {
    next.mLatency = answered ? aLatency : next.mLatency;
  } else if (answered || aLatency > next.mLatency) {
    next.mLatency += (aLatency - next.mLatency) / kLatencyDecay;
  }
  if (aResult == DispatchOutcome::Answered) {
    next.mConsecutiveFailures = 0;
    next.mConsecutiveEjections = 0;
    return next;
  }
  ++next.mConsecutiveFailures;
  if (next.mConsecutiveFailures >= kEjectionThreshold && aNow >= next.mEjectedUntil) {
    const Duration time = kBaseEjectionTime * (1U << std::min(next.mConsecutiveEjections, 4U));
    next.mEjectedUntil = aNow + std::min<Duration>(time, kMaxEjectionTime);
    ++next.mConsecutiveEjections;
    // One more failure after the ejection is enough for the next one.
    next.mConsecutiveFailures = kEjectionThreshold - 1;
  }
  return next;
}

} // namespace fighold::routing
