#include "fighold/routing/route.hpp"

#include <algorithm>

namespace fighold::routing {
namespace {

RouteDecision
NotRouted(RouteDecision aDecision, const std::string& aReason)
{
  aDecision.mRecord.mReason = aReason;
  return aDecision;
}

} // namespace

std::uint32_t
CountSharingEntries(const membership::Configuration& aConfiguration, const RegionId& aRegion)
{
  const auto count =
    std::count_if(aConfiguration.mEntries.begin(),
                  aConfiguration.mEntries.end(),
                  [&](const auto& aItem) { return aItem.second.mRegion == aRegion; });
  return static_cast<std::uint32_t>(count > 0 ? static_cast<std::size_t>(count)
                                              : aConfiguration.mEntries.size());
}

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
      const RoutingTable& aTable,
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
  const bool pinned = aRequest.mPinnedRegion && row->second.count(*aRequest.mPinnedRegion) > 0;
  decision.mRegion = pinned ? *aRequest.mPinnedRegion : ChooseRegion(row->second, aDraws.mRegion);
  const auto group = aTable.mGroups.find(GroupKey{ aRequest.mService, decision.mRegion });
  if (group == aTable.mGroups.end()) {
    return NotRouted(decision, "no-backend-server-in-region");
  }
  const auto& services = aConfiguration.mPlan->mServices;
  const auto service = services.find(aRequest.mService);
  const ChoiceRequest request{ service == services.end() ? RequestClass::Standard
                                                         : service->second.mClass,
                               aRequest.mAlreadyTried,
                               CountSharingEntries(aConfiguration, decision.mRegion),
                               aRequest.mMayWait };
  Choice choice = ChooseBackendServer(
    group->second, aStates, request, aDraws.mFirstServer, aDraws.mSecondServer, aNow);
  decision.mRecord.mRejected = std::move(choice.mRejected);
  decision.mCandidate = std::move(choice.mCandidate);
  decision.mRecord.mReason = choice.mReason;
  decision.mRecord.mChoice = decision.mCandidate ? decision.mCandidate->mId.mValue : "";
  return decision;
}

} // namespace fighold::routing
