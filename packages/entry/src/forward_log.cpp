#include "forward_log.hpp"

#include "attempt_log.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

std::string
CacheStateName(routes::CacheState aCacheState)
{
  switch (aCacheState) {
    case routes::CacheState::Cached:
      return "known";
    case routes::CacheState::Uncached:
      return "new";
    case routes::CacheState::Unknown:
      break;
  }
  return "unknown";
}

/// @return whole milliseconds as text
std::string
MillisText(Duration aTime)
{
  return std::to_string(std::chrono::duration_cast<Millis>(aTime).count());
}

} // namespace

DecisionRecord
RecordOf(const ForwardScope& aScope, const std::string& aKind, const std::string& aReason)
{
  const Forward& forward = aScope.mForward;
  DecisionRecord record;
  record.mKind = aKind;
  record.mSubject = forward.mRequest.mCallerRequestId;
  record.mService = forward.mService.mValue;
  record.mReason = aReason;
  record.mFields = { { "route", forward.mRoute->mName },
                     { "routes", std::to_string(aScope.mState.mRoutes.mSet->mNumber) },
                     { "version", std::to_string(aScope.mState.mConfiguration->mVersion) },
                     { "age_ms", MillisText(aScope.mNow - aScope.mState.mLastGrant) },
                     { "elapsed_ms", MillisText(aScope.mNow - forward.mArrived) },
                     { "waited_before_ms", MillisText(forward.mPriorWait) },
                     { "left_ms", MillisText(forward.mDeadline - aScope.mNow) },
                     { "sends", std::to_string(forward.mDispatchCount) } };
  return record;
}

void
AddPlacement(const ForwardScope& aScope, DecisionRecord& aRecord)
{
  if (!aScope.mPlacement.mServer) {
    return;
  }
  const routes::Server& server = *aScope.mPlacement.mServer;
  const auto known = aScope.mState.mServerLoads.find(server.mId);
  const routes::ServerLoad load =
    known == aScope.mState.mServerLoads.end() ? routes::ServerLoad{} : known->second;
  const std::vector<Field> fields{
    { "server", server.mId.mValue },
    { "region", server.mRegion.mValue },
    { "data_centre", server.mDataCentre.mValue },
    { "object", aScope.mForward.mRequest.mAffinityKey },
    { "memory", CacheStateName(aScope.mPlacement.mCacheState) },
    { "wait_ms", MillisText(aScope.mPlacement.mWait) },
    { "expected_ms", MillisText(aScope.mPlacement.mExpectedTime + aScope.mRoundTripTime) },
    { "work_known", aScope.mPlacement.mProcessingTimeKnown ? "yes" : "no" },
    { "busy", std::to_string(static_cast<int>(aScope.mPlacement.mEstimatedInFlight)) },
    { "own", std::to_string(load.mOwnRequests) },
    { "foreign", std::to_string(static_cast<int>(load.mOtherRequests)) },
    { "report_age_ms", MillisText(aScope.mNow - load.mReportedAt) },
    { "heartbeat_age_ms", MillisText(aScope.mNow - load.mHeartbeatAt) },
    { "cold_ms", MillisText(std::max(Duration{}, load.mColdUntil - aScope.mNow)) },
  };
  aRecord.mFields.insert(aRecord.mFields.end(), fields.begin(), fields.end());
}

void
AddAttempt(const ForwardScope& aScope, DecisionRecord& aRecord)
{
  const DispatchDone& done = aScope.mDone;
  if (done.mDispatchId != 0 && IsNotable(done)) {
    const auto fields = AttemptFields(done);
    aRecord.mFields.insert(aRecord.mFields.end(), fields.begin(), fields.end());
  } else if (!done.mResult.mError.empty()) {
    aRecord.mFields.push_back({ "error", done.mResult.mError });
  }
}

void
LogPlacement(ForwardScope& aScope, const std::string& aKind)
{
  DecisionRecord record = RecordOf(aScope, aKind, aScope.mPlacement.mReason);
  record.mChoice = aScope.mPlacement.mServer->mId.mValue;
  AddPlacement(aScope, record);
  AddAttempt(aScope, record);
  aScope.mEffects.emplace_back(LogRecord{ std::move(record) });
}

void
LogEjection(ForwardScope& aScope,
            const routes::ServerLoad& aBefore,
            const routes::ServerLoad& aAfter)
{
  const bool ejected = aAfter.mConsecutiveEjections > aBefore.mConsecutiveEjections;
  const bool recovered = aBefore.mConsecutiveEjections > 0 && aAfter.mConsecutiveEjections == 0;
  if (!ejected && !recovered) {
    return;
  }
  const Forward& forward = aScope.mForward;
  DecisionRecord record{
    "server", forward.mServer.mId.mValue, forward.mService.mValue, "", "", {}
  };
  record.mChoice = ejected ? "ejected" : "regained";
  record.mReason = ejected ? aScope.mDone.mResult.mError : "answered";
  record.mFields = { { "request", forward.mRequest.mCallerRequestId },
                     { "ejections", std::to_string(aAfter.mConsecutiveEjections) } };
  aScope.mEffects.emplace_back(LogRecord{ std::move(record) });
}

void
LogRate(ForwardScope& aScope, const routes::ServerLoad& aBefore, const routes::ServerLoad& aAfter)
{
  const bool unreadable = aScope.mDone.mReport.mUnreadableRate;
  if (aBefore.mNamedPerSecond == aAfter.mNamedPerSecond && !unreadable) {
    return;
  }
  const Forward& forward = aScope.mForward;
  DecisionRecord record{ "server", forward.mServer.mId.mValue, forward.mService.mValue,
                         "",       "named-in-answer",          {} };
  record.mChoice = aAfter.mNamedPerSecond ? "rate-limited" : "rate-unlimited";
  if (unreadable) {
    record.mReason = "unreadable-rate-limit";
  }
  record.mFields = { { "request", forward.mRequest.mCallerRequestId },
                     { "per_second", std::to_string(aAfter.mNamedPerSecond.value_or(0)) },
                     { "per_second_before", std::to_string(aBefore.mNamedPerSecond.value_or(0)) } };
  aScope.mEffects.emplace_back(LogRecord{ std::move(record) });
}

} // namespace fighold::entry
