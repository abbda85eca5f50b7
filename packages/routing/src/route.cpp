#include "fighold/routing/route.hpp"

namespace fighold::routing {
namespace {

/// A candidate with its state, or the reason why it cannot be chosen.
struct Weighed
{
  const Candidate* mCandidate = nullptr;
  ServerState mState;
};

std::optional<std::string>
ReasonAgainst(const Candidate& aCandidate,
              const ServerState& aState,
              const RouteRequest& aRequest,
              Instant aNow)
{
  if (aNow >= aState.mAliveUntil) {
    return "lease-expired";
  }
  if (aRequest.mAlreadyTried.count(aCandidate.mId) > 0) {
    return "already-tried";
  }
  return std::nullopt;
}

/// Fewer outstanding requests for each slot first; with equal counts the lower latency.
bool
Better(const Weighed& aLeft, const Weighed& aRight)
{
  const auto left = std::uint64_t{ aLeft.mState.mOutstanding } * aRight.mCandidate->mSlots;
  const auto right = std::uint64_t{ aRight.mState.mOutstanding } * aLeft.mCandidate->mSlots;
  if (left != right) {
    return left < right;
  }
  return aLeft.mState.mLatency < aRight.mState.mLatency;
}

const Weighed&
BetterOfTwo(const std::vector<Weighed>& aUsable, const Draws& aDraws)
{
  const std::size_t first = aDraws.mFirst % aUsable.size();
  if (aUsable.size() == 1) {
    return aUsable[first];
  }
  const std::size_t second = (first + 1 + aDraws.mSecond % (aUsable.size() - 1)) % aUsable.size();
  return Better(aUsable[second], aUsable[first]) ? aUsable[second] : aUsable[first];
}

RouteDecision
NotRouted(RouteDecision aDecision, const std::string& aReason)
{
  aDecision.mRecord.mReason = aReason;
  return aDecision;
}

} // namespace

RegionId
ChooseRegion(const plan::SplitRow& aRow, std::uint64_t aDraw)
{
  std::uint64_t rest = aDraw % plan::kWhole;
  for (const auto& [region, part] : aRow) {
    if (rest < part) {
      return region;
    }
    rest -= part;
  }
  return aRow.rbegin()->first;
}

RouteDecision
Route(const membership::Configuration& aConfiguration,
      const Table& aTable,
      const ServerStates& aStates,
      const RouteRequest& aRequest,
      const Draws& aDraws,
      Instant aNow)
{
  RouteDecision decision;
  decision.mRecord.mKind = "route";
  decision.mRecord.mSubject = std::to_string(aRequest.mId);
  decision.mRecord.mService = aRequest.mService.mValue;
  const auto shift = aConfiguration.mShifts.find(aRequest.mService);
  if (shift == aConfiguration.mShifts.end()) {
    return NotRouted(decision, "unknown-service");
  }
  const auto row = shift->second.mInUse.find(aRequest.mOrigin);
  if (row == shift->second.mInUse.end()) {
    return NotRouted(decision, "unknown-origin");
  }
  decision.mRegion = ChooseRegion(row->second, aDraws.mRegion);
  const auto group = aTable.mGroups.find(GroupKey{ aRequest.mService, decision.mRegion });
  if (group == aTable.mGroups.end()) {
    return NotRouted(decision, "no-backend-server-in-region");
  }
  std::vector<Weighed> usable;
  for (const Candidate& it : group->second) {
    const auto state = aStates.find(it.mId);
    const ServerState known = state == aStates.end() ? ServerState{} : state->second;
    if (const auto reason = ReasonAgainst(it, known, aRequest, aNow)) {
      decision.mRecord.mRejected.push_back({ it.mId.mValue, *reason });
    } else {
      usable.push_back({ &it, known });
    }
  }
  if (usable.empty()) {
    return NotRouted(decision, "no-usable-backend-server");
  }
  decision.mCandidate = *BetterOfTwo(usable, aDraws).mCandidate;
  decision.mRecord.mChoice = decision.mCandidate->mId.mValue;
  decision.mRecord.mReason = usable.size() == 1 ? "only-candidate" : "least-outstanding-of-two";
  return decision;
}

} // namespace fighold::routing
