#include "forward_log.hpp"

namespace fighold::entry {
namespace {

std::string
MemoryName(routes::Memory aMemory)
{
  switch (aMemory) {
    case routes::Memory::Known:
      return "known";
    case routes::Memory::New:
      return "new";
    case routes::Memory::Unknown:
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
  record.mSubject = forward.mRequest.mCallerId;
  record.mService = forward.mService.mValue;
  record.mReason = aReason;
  record.mFields = { { "route", forward.mRoute->mName },
                     { "routes", std::to_string(aScope.mState.mRoutes.mSet->mNumber) },
                     { "version", std::to_string(aScope.mState.mConfiguration->mVersion) },
                     { "age_ms", MillisText(aScope.mNow - aScope.mState.mLastGrant) },
                     { "elapsed_ms", MillisText(aScope.mNow - forward.mArrived) },
                     { "waited_before_ms", MillisText(forward.mWaitedBefore) },
                     { "left_ms", MillisText(forward.mDeadline - aScope.mNow) },
                     { "sends", std::to_string(forward.mSends) } };
  return record;
}

void
AddPlacement(const ForwardScope& aScope, DecisionRecord& aRecord)
{
  if (!aScope.mPlacement.mServer) {
    return;
  }
  const routes::Server& server = *aScope.mPlacement.mServer;
  const auto known = aScope.mState.mLoads.find(server.mId);
  const routes::ServerLoad load =
    known == aScope.mState.mLoads.end() ? routes::ServerLoad{} : known->second;
  const std::vector<Field> fields{
    { "server", server.mId.mValue },
    { "region", server.mRegion.mValue },
    { "data_centre", server.mDataCentre.mValue },
    { "object", aScope.mForward.mRequest.mAffinityKey },
    { "memory", MemoryName(aScope.mPlacement.mMemory) },
    { "wait_ms", MillisText(aScope.mPlacement.mWait) },
    { "expected_ms", MillisText(aScope.mPlacement.mExpected + aScope.mOnTheWay) },
    { "work_known", aScope.mPlacement.mWorkKnown ? "yes" : "no" },
    { "busy", std::to_string(static_cast<int>(aScope.mPlacement.mBusy)) },
    { "own", std::to_string(load.mOwn) },
    { "foreign", std::to_string(static_cast<int>(load.mForeign)) },
    { "report_age_ms", MillisText(aScope.mNow - load.mReportedAt) },
  };
  aRecord.mFields.insert(aRecord.mFields.end(), fields.begin(), fields.end());
}

void
LogPlacement(ForwardScope& aScope, const std::string& aKind)
{
  DecisionRecord record = RecordOf(aScope, aKind, aScope.mPlacement.mReason);
  record.mChoice = aScope.mPlacement.mServer->mId.mValue;
  AddPlacement(aScope, record);
  aScope.mEffects.emplace_back(LogRecord{ std::move(record) });
}

void
LogHealth(ForwardScope& aScope, const routes::ServerLoad& aBefore, const routes::ServerLoad& aAfter)
{
  const bool ejected = aAfter.mEjections > aBefore.mEjections;
  const bool back = aBefore.mEjections > 0 && aAfter.mEjections == 0;
  if (!ejected && !back) {
    return;
  }
  const Forward& forward = aScope.mForward;
  DecisionRecord record{
    "server", forward.mServer.mId.mValue, forward.mService.mValue, "", "", {}
  };
  record.mChoice = ejected ? "ejected" : "regained";
  record.mReason = ejected ? aScope.mDone.mResult.mError : "answered";
  record.mFields = { { "request", forward.mRequest.mCallerId },
                     { "ejections", std::to_string(aAfter.mEjections) } };
  aScope.mEffects.emplace_back(LogRecord{ std::move(record) });
}

} // namespace fighold::entry
