#include "fighold/membership/change.hpp"

#include <algorithm>
#include <utility>

namespace fighold::membership {
namespace {

ChangeAnswer
AcceptedAnswer()
{
  ChangeAnswer answer;
  answer.mVerdict = Verdict::Accepted;
  return answer;
}

ChangeAnswer
RefusedAnswer(const std::string& aMessage)
{
  ChangeAnswer answer;
  answer.mMessage = aMessage;
  return answer;
}

ChangeAnswer
ConflictAnswer(const std::string& aMessage)
{
  ChangeAnswer answer;
  answer.mVerdict = Verdict::Conflict;
  answer.mMessage = aMessage;
  return answer;
}

/// Adapts the splits in use to a new plan. Existing services keep their split; new services start
/// at the plan's split, since none of their caches are warm yet.
void
UpdateShifts(Configuration& aNext)
{
  for (const auto& [service, matrix] : aNext.mPlan->mSplits) {
    aNext.mShifts.try_emplace(service, Shift{ 0, matrix });
  }
  for (auto it = aNext.mShifts.begin(); it != aNext.mShifts.end();) {
    it = aNext.mPlan->mServices.count(it->first) == 0 ? aNext.mShifts.erase(it) : std::next(it);
  }
  for (auto& [service, shift] : aNext.mShifts) {
    for (const auto& [origin, row] : aNext.mPlan->mSplits.at(service)) {
      shift.mInUse.try_emplace(origin, row);
    }
  }
}

ChangeAnswer
ApplyBody(const SubmitPlan& aChange, Configuration& aNext, Version aVersion)
{
  if (aChange.mBaseDigest != aNext.mPlanDigest) {
    return ConflictAnswer("the plan in use is not the one that this plan replaces");
  }
  if (aChange.mPlan->mNumber <= aNext.mPlan->mNumber) {
    return ConflictAnswer("the plan number must be greater than " +
                          std::to_string(aNext.mPlan->mNumber));
  }
  aNext.mPlan = aChange.mPlan;
  aNext.mPlanDigest = plan::Digest(*aChange.mPlan);
  UpdateShifts(aNext);
  aNext.mHistory.push_back({ aNext.mPlan->mNumber, aNext.mPlanDigest, aVersion, {} });
  if (aNext.mHistory.size() > kMaxHistory) {
    aNext.mHistory.erase(aNext.mHistory.begin());
  }
  return AcceptedAnswer();
}

ChangeAnswer
ApplyBody(const RegisterEntry& aChange, Configuration& aNext, Version aVersion)
{
  Entry entry = aChange.mEntry;
  const auto it = aNext.mEntries.find(aChange.mId);
  const bool sameIncarnation =
    it != aNext.mEntries.end() && it->second.mIncarnation == entry.mIncarnation;
  entry.mRegisteredAt = sameIncarnation ? it->second.mRegisteredAt : aVersion;
  entry.mLeaving = entry.mLeaving || (sameIncarnation && it->second.mLeaving);
  aNext.mEntries[aChange.mId] = entry;
  return AcceptedAnswer();
}

ChangeAnswer
ApplyBody(const RemoveEntry& aChange, Configuration& aNext, Version /*aVersion*/)
{
  const auto it = aNext.mEntries.find(aChange.mId);
  if (it == aNext.mEntries.end() || it->second.mIncarnation != aChange.mIncarnation) {
    return RefusedAnswer("no such entry incarnation");
  }
  aNext.mEntries.erase(it);
  return AcceptedAnswer();
}

ChangeAnswer
ApplyBody(const AnnounceBackendServer& aChange, Configuration& aNext, Version /*aVersion*/)
{
  const BackendServer& server = aChange.mServer;
  // Without a plan, the route set defines the services and may name this one later.
  if (aNext.mPlan->mNumber != 0 && (aNext.mPlan->mServices.count(server.mService) == 0 ||
                                    aNext.mPlan->mRegions.count(server.mRegion) == 0)) {
    return RefusedAnswer("the plan names no such service or region");
  }
  const auto it = aNext.mBackendServers.find(aChange.mId);
  if (HasDeparted(aNext, aChange.mId, server.mIncarnation)) {
    return RefusedAnswer("this incarnation announced its departure or was replaced");
  }
  if (it != aNext.mBackendServers.end() && it->second.mIncarnation != server.mIncarnation) {
    if (!it->second.mLeaving && it->second.mIncarnation != aChange.mReplaces) {
      return ConflictAnswer("another incarnation was announced since");
    }
    aNext.mDeparted[aChange.mId].insert(it->second.mIncarnation);
  }
  aNext.mBackendServers[aChange.mId] = server;
  return AcceptedAnswer();
}

ChangeAnswer
ApplyBody(const DepartBackendServer& aChange, Configuration& aNext, Version /*aVersion*/)
{
  // A departure may overtake its announcement, so it is kept even for an unknown incarnation.
  aNext.mDeparted[aChange.mId].insert(aChange.mIncarnation);
  const auto it = aNext.mBackendServers.find(aChange.mId);
  if (it != aNext.mBackendServers.end() && it->second.mIncarnation == aChange.mIncarnation) {
    it->second.mLeaving = true;
  }
  return AcceptedAnswer();
}

ChangeAnswer
ApplyBody(const WithdrawBackendServer& aChange, Configuration& aNext, Version aVersion)
{
  Incarnation& latest = aNext.mWithdrawn[aChange.mId];
  latest = std::max(latest, aChange.mLatest);
  const auto it = aNext.mBackendServers.find(aChange.mId);
  if (it != aNext.mBackendServers.end() && it->second.mIncarnation <= latest) {
    return ApplyBody(DepartBackendServer{ aChange.mId, it->second.mIncarnation }, aNext, aVersion);
  }
  return AcceptedAnswer();
}

ChangeAnswer
ApplyBody(const RemoveBackendServer& aChange, Configuration& aNext, Version /*aVersion*/)
{
  const auto it = aNext.mBackendServers.find(aChange.mId);
  if (it == aNext.mBackendServers.end() || it->second.mIncarnation != aChange.mIncarnation) {
    return RefusedAnswer("no such backend server incarnation");
  }
  aNext.mBackendServers.erase(it);
  return AcceptedAnswer();
}

ChangeAnswer
ApplyBody(const ForgetDeparted& aChange, Configuration& aNext, Version /*aVersion*/)
{
  if (!IsDepartureRecorded(aNext, aChange.mId, aChange.mIncarnation)) {
    return RefusedAnswer("no such departed incarnation");
  }
  const auto departed = aNext.mDeparted.find(aChange.mId);
  if (departed != aNext.mDeparted.end()) {
    departed->second.erase(aChange.mIncarnation);
    if (departed->second.empty()) {
      aNext.mDeparted.erase(departed);
    }
  }
  const auto withdrawn = aNext.mWithdrawn.find(aChange.mId);
  if (withdrawn != aNext.mWithdrawn.end() && withdrawn->second == aChange.mIncarnation) {
    aNext.mWithdrawn.erase(withdrawn);
  }
  return AcceptedAnswer();
}

template<typename T>
void
InsertOrErase(std::set<T>& aSet, const std::string& aName, bool aInsert)
{
  if (aInsert) {
    aSet.insert(T{ aName });
  } else {
    aSet.erase(T{ aName });
  }
}

ChangeAnswer
ApplyBody(const SetDrain& aChange, Configuration& aNext, Version /*aVersion*/)
{
  switch (aChange.mKind) {
    case DrainKind::BackendServer:
      InsertOrErase(aNext.mDrains.mBackendServers, aChange.mName, aChange.mDrained);
      break;
    case DrainKind::Entry:
      InsertOrErase(aNext.mDrains.mEntries, aChange.mName, aChange.mDrained);
      break;
    case DrainKind::Region:
      if (aNext.mPlan->mRegions.count(RegionId{ aChange.mName }) == 0) {
        return RefusedAnswer("the plan names no region \"" + aChange.mName + "\"");
      }
      InsertOrErase(aNext.mDrains.mRegions, aChange.mName, aChange.mDrained);
      break;
    case DrainKind::DataCentre:
      InsertOrErase(aNext.mDrains.mDataCentres, aChange.mName, aChange.mDrained);
      break;
  }
  return AcceptedAnswer();
}

ChangeAnswer
ApplyBody(const TakeShiftStep& aChange, Configuration& aNext, Version /*aVersion*/)
{
  const auto it = aNext.mShifts.find(aChange.mService);
  if (it == aNext.mShifts.end()) {
    return RefusedAnswer("no such service");
  }
  if (aChange.mShift.mStep != it->second.mStep + 1) {
    return ConflictAnswer("step " + std::to_string(it->second.mStep) + " was the last one");
  }
  it->second = aChange.mShift;
  return AcceptedAnswer();
}

/// Replaces the route set if the new one is valid and based on the one in use.
ChangeAnswer
ReplaceRoutes(std::uint64_t aBase,
              const SharedValue<routes::RouteSet>& aRoutes,
              Configuration& aNext)
{
  const std::uint64_t current = aNext.mRoutes->mNumber;
  const Findings findings = routes::CheckRouteSet(*aRoutes);
  if (!findings.empty()) {
    return RefusedAnswer(FormatFindings(findings));
  }
  if (aRoutes->mNumber <= aBase) {
    return RefusedAnswer("the number must be greater than that of the route set it builds on");
  }
  if (aBase != current) {
    return ConflictAnswer("route set " + std::to_string(current) + " is in use");
  }
  aNext.mRoutes = aRoutes;
  return AcceptedAnswer();
}

ChangeAnswer
ApplyBody(const SubmitRoutes& aChange, Configuration& aNext, Version /*aVersion*/)
{
  return ReplaceRoutes(aChange.mBase, aChange.mRoutes, aNext);
}

ChangeAnswer
ApplyBody(const PatchRoutes& aChange, Configuration& aNext, Version /*aVersion*/)
{
  // A patch can be checked only on the route set that it is based on. If another one is in use, the
  // answer is a conflict, and errors of the patch cannot be reported.
  if (aChange.mBase != aNext.mRoutes->mNumber) {
    return ConflictAnswer("route set " + std::to_string(aNext.mRoutes->mNumber) + " is in use");
  }
  return ReplaceRoutes(
    aChange.mBase, SharedValue(routes::PatchRouteSet(*aNext.mRoutes, *aChange.mPatch)), aNext);
}

/// @return the first kMaxStoredMessage bytes of a text at most, without a part of a character
std::string
Shortened(std::string aText)
{
  if (aText.size() <= kMaxStoredMessage) {
    return aText;
  }
  const auto continues = [&aText](std::size_t aAt) {
    return (static_cast<unsigned char>(aText[aAt]) & 0xC0U) == 0x80U;
  };
  std::size_t size = kMaxStoredMessage;
  while (size > 0 && continues(size)) {
    --size;
  }
  aText.resize(size);
  return aText;
}

void
StoreAnswer(Configuration& aNext, const ChangeId& aId, const ChangeAnswer& aAnswer)
{
  if (aId.mValue.empty()) {
    return;
  }
  ChangeAnswer& stored = aNext.mAnswers[aId];
  stored = aAnswer;
  stored.mMessage = Shortened(aAnswer.mMessage);
  if (aNext.mAnswers.size() <= kMaxAnswers) {
    return;
  }
  const auto oldest = std::min_element(
    aNext.mAnswers.begin(), aNext.mAnswers.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mVersion < aRight.second.mVersion;
    });
  aNext.mAnswers.erase(oldest);
}

/// @param aNext unchanged afterwards; its withdrawals, which entries do not see, are left out
/// meanwhile
/// @return true if the configurations differ in anything that entries see
bool
DifferForEntries(Configuration& aNext, const Configuration& aBefore)
{
  auto withdrawn = std::exchange(aNext.mWithdrawn, aBefore.mWithdrawn);
  const bool differ = aNext != aBefore;
  aNext.mWithdrawn = std::move(withdrawn);
  return differ;
}

} // namespace

ApplyResult
Apply(const Configuration& aConfiguration, const Change& aChange, Version aVersion)
{
  Configuration next = aConfiguration;
  const auto stored = next.mAnswers.find(aChange.mId);
  if (stored != next.mAnswers.end()) {
    const ChangeAnswer answer = stored->second;
    return { SharedValue<Configuration>(std::move(next)), answer };
  }
  ChangeAnswer answer =
    std::visit([&](const auto& aBody) { return ApplyBody(aBody, next, aVersion); }, aChange.mBody);
  if (DifferForEntries(next, aConfiguration)) {
    next.mVersion = aVersion;
    if (!next.mHistory.empty() && next.mHistory.back().mVersion == aVersion) {
      next.mHistory.back().mChange = aChange.mId;
    }
  }
  answer.mVersion = next.mVersion;
  answer.mPlanNumber = next.mPlan->mNumber;
  answer.mPlanDigest = next.mPlanDigest;
  StoreAnswer(next, aChange.mId, answer);
  return { SharedValue<Configuration>(std::move(next)), answer };
}

std::optional<ChangeAnswer>
AnswerIfUnchanged(const Configuration& aConfiguration, const Change& aChange)
{
  if (!aChange.mId.mValue.empty()) {
    return std::nullopt;
  }
  const ApplyResult applied = Apply(aConfiguration, aChange, aConfiguration.mVersion + 1);
  return *applied.mConfiguration == aConfiguration ? std::optional<ChangeAnswer>(applied.mAnswer)
                                                   : std::nullopt;
}

} // namespace fighold::membership
