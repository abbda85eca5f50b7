#include "directory.hpp"

#include <algorithm>

namespace fighold::control {
namespace {

/// Maximum wait of a read for a majority; the client tries another process after a second.
constexpr Millis kReadTimeout{ 900 };

void
AnswerRead(Context& aContext, CallId aId, bool aCurrent)
{
  const State& state = aContext.mState;
  RoutesAnswer answer;
  answer.mCurrent = aCurrent;
  if (aCurrent) {
    answer.mRoutes = state.mConfiguration->mRoutes;
  } else if (!agreement::IsLeader(state.mNode)) {
    answer.mLeader = agreement::Leader(state.mNode);
  }
  DecisionRecord record{ "routes_read", std::to_string(aId), "", "", "", {} };
  record.mChoice = aCurrent ? "routes-" + std::to_string(answer.mRoutes->mNumber) : "";
  record.mReason = aCurrent ? "confirmed-by-majority" : "not-leading";
  aContext.mEffects.emplace_back(LogRecord{ std::move(record) });
  aContext.mEffects.emplace_back(AnswerCall{ aId, std::move(answer) });
}

/// @return 0: same data centre as the caller, 1: same region, 2: elsewhere
int
Distance(const membership::Entry& aEntry, const DirectoryCall& aCall)
{
  if (aEntry.mDataCentre == aCall.mDataCentre) {
    return 0;
  }
  return aEntry.mRegion == aCall.mRegion ? 1 : 2;
}

} // namespace

void
AnswerDirectory(Context& aContext, const DirectoryCall& aCall)
{
  const State& state = aContext.mState;
  std::vector<std::pair<int, Endpoint>> entries;
  for (const auto& [id, entry] : state.mConfiguration->mEntries) {
    if (!IsDrained(*state.mConfiguration, id)) {
      entries.emplace_back(Distance(entry, aCall), entry.mAddress);
    }
  }
  std::sort(entries.begin(), entries.end());
  // All entries of the region are returned, so that the caller has another one if one fails.
  const bool hasNearby = !entries.empty() && entries.front().first < 2;
  DirectoryAnswer answer;
  answer.mTimeToLive = state.mOptions.mDirectoryTimeToLive;
  for (const auto& [distance, address] : entries) {
    if (!hasNearby || distance < 2) {
      answer.mEntries.push_back(address);
    }
  }
  aContext.mEffects.emplace_back(AnswerCall{ aCall.mId, std::move(answer) });
}

void
ReadRoutes(Context& aContext, const RoutesCall& aCall)
{
  if (!agreement::IsLeader(aContext.mState.mNode)) {
    AnswerRead(aContext, aCall.mId, false);
    return;
  }
  aContext.mState.mPendingReads.push_back({ aCall.mId, aContext.mNow });
}

void
AnswerReads(Context& aContext)
{
  State& state = aContext.mState;
  const Instant confirmed = agreement::QuorumConfirmedAt(state.mNode);
  std::vector<PendingRead> waiting;
  for (const PendingRead& it : state.mPendingReads) {
    if (agreement::IsLeader(state.mNode) && confirmed >= it.mArrived) {
      AnswerRead(aContext, it.mId, true);
    } else if (!agreement::IsLeader(state.mNode) || aContext.mNow >= it.mArrived + kReadTimeout) {
      AnswerRead(aContext, it.mId, false);
    } else {
      waiting.push_back(it);
    }
  }
  state.mPendingReads = std::move(waiting);
}

} // namespace fighold::control
