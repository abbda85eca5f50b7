#include "shares.hpp"

namespace fighold::control {
namespace {

bool
MayAllocate(const Context& aContext)
{
  return agreement::IsLeader(aContext.mState.mNode) &&
         MayGrantSince(aContext.mState, aContext.mNow).has_value();
}

std::set<routing::ShareHolder>
RegisteredHolders(const State& aState)
{
  std::set<routing::ShareHolder> holders;
  for (const auto& [id, entry] : aState.mConfiguration->mEntries) {
    holders.insert({ id, entry.mIncarnation });
  }
  return holders;
}

/// @return reports received within the lease; erases older ones
std::map<routing::ShareHolder, routing::DemandReport>
CurrentDemands(ShareAllocation& aShares, Instant aNow)
{
  std::map<routing::ShareHolder, routing::DemandReport> demands;
  for (auto it = aShares.mReports.begin(); it != aShares.mReports.end();) {
    if (aNow >= it->second.second + routing::kShareLease) {
      it = aShares.mReports.erase(it);
      continue;
    }
    demands[it->first] = it->second.first;
    ++it;
  }
  return demands;
}

} // namespace

void
UpdateLimits(Context& aContext)
{
  const membership::Configuration& configuration = *aContext.mState.mConfiguration;
  ShareAllocation& shares = aContext.mState.mShares;
  const std::size_t entries = configuration.mEntries.size();
  if (configuration.mPlan->mNumber == 0 ||
      (shares.mPlanDigest == configuration.mPlanDigest && shares.mEntryCount == entries)) {
    return;
  }
  shares.mPlanDigest = configuration.mPlanDigest;
  shares.mEntryCount = entries;
  routing::SetLimits(shares.mAllocator, *configuration.mPlan, entries, aContext.mNow);
}

void
TickShares(Context& aContext)
{
  UpdateLimits(aContext);
  ShareAllocation& shares = aContext.mState.mShares;
  const std::uint64_t term = aContext.mState.mNode.mTermVote.mTerm;
  if (!MayAllocate(aContext) || shares.mTerm == term) {
    return;
  }
  shares.mTerm = term;
  shares.mReports.clear();
  // If no plan was accepted before this term, no earlier leader can have granted shares.
  const bool noEarlierGrants =
    aContext.mState.mConfiguration->mPlan->mNumber == 0 || shares.mFirstPlanTerm == term;
  routing::StartAllocating(shares.mAllocator, term, noEarlierGrants, aContext.mNow);
}

void
HandleShareReport(Context& aContext, const EntryId& aFrom, const routing::ShareReport& aReport)
{
  ShareAllocation& shares = aContext.mState.mShares;
  const bool leads = MayAllocate(aContext) && shares.mTerm == aContext.mState.mNode.mTermVote.mTerm;
  if (!leads || aReport.mHolder.mId != aFrom || shares.mPlanDigest.empty()) {
    return;
  }
  const auto known = shares.mReports.find(aReport.mHolder);
  if (known != shares.mReports.end() &&
      known->second.first.mReportNumber > aReport.mDemand.mReportNumber) {
    return;
  }
  shares.mReports[aReport.mHolder] = { aReport.mDemand, aContext.mNow };
  const auto grants = routing::Allocate(shares.mAllocator,
                                        RegisteredHolders(aContext.mState),
                                        CurrentDemands(shares, aContext.mNow),
                                        aContext.mNow);
  const auto grant = grants.find(aReport.mHolder);
  if (grant != grants.end()) {
    aContext.mEffects.emplace_back(
      SendEntry{ aFrom, routing::ShareAnswer{ aReport.mRequestNumber, grant->second } });
  }
}

} // namespace fighold::control
