#include "fighold/claims/replica.hpp"

#include <algorithm>

namespace fighold::claims {
namespace {

/// Time after which a holder forgets a key. The dispatch may follow the grant by kValidity.
constexpr Millis kForgetAfter = WithClockAllowance(kRetention + kValidity);

constexpr Millis kCopyAskInterval{ 500 };
constexpr std::size_t kPageRecords = 256;

/// Attempts remembered as released for one key; more are forgotten, which only delays a resend.
constexpr std::size_t kMaxReleased = 8;

void
DropAnswer(Replica& aReplica, ClaimRecord& aRecord)
{
  if (aRecord.mResponse) {
    aReplica.mResponseBytes -= SizeOf(*aRecord.mResponse);
    aRecord.mResponse.reset();
  }
}

void
Touch(Replica& aReplica, const std::string& aKey, ClaimRecord& aRecord, Instant aSince)
{
  aReplica.mByAge.erase({ aRecord.mUpdatedAt, aKey });
  aRecord.mUpdatedAt = aSince;
  aReplica.mByAge.insert({ aSince, aKey });
}

void
Forget(Replica& aReplica, Instant aNow)
{
  while (!aReplica.mByAge.empty() && aReplica.mByAge.begin()->first + kForgetAfter <= aNow) {
    const auto it = aReplica.mRecords.find(aReplica.mByAge.begin()->second);
    DropAnswer(aReplica, it->second);
    aReplica.mRecords.erase(it);
    aReplica.mByAge.erase(aReplica.mByAge.begin());
  }
}

void
KeepAnswer(Replica& aReplica,
           const std::string& aKey,
           ClaimRecord& aRecord,
           const StoredResponse& aAnswer)
{
  const std::size_t size = SizeOf(aAnswer);
  if (size > kMaxStoredResponseBytes || size > aReplica.mOptions.mMaxResponseBytes ||
      aRecord.mResponse) {
    return;
  }
  aRecord.mResponse = aAnswer;
  aReplica.mResponseBytes += size;
  aReplica.mResponseOrder.push_back(aKey);
  // A key may stand in the order after its record is gone; the order is bounded like the records.
  while (aReplica.mResponseBytes > aReplica.mOptions.mMaxResponseBytes ||
         aReplica.mResponseOrder.size() > aReplica.mOptions.mMaxRecords) {
    const auto it = aReplica.mRecords.find(aReplica.mResponseOrder.front());
    if (it != aReplica.mRecords.end()) {
      DropAnswer(aReplica, it->second);
    }
    aReplica.mResponseOrder.pop_front();
  }
}

/// What a key with an owner or a block says to an ask of another attempt.
ClaimReply
ReplyOfOther(const ClaimRecord& aRecord, const ClaimRequest& aRequest)
{
  if (aRecord.mBlocked) {
    return { aRequest.mAttempt, ReplyCode::Abstained, {}, std::nullopt };
  }
  if (aRecord.mDigest != aRequest.mDigest) {
    return { aRequest.mAttempt, ReplyCode::Mismatch, *aRecord.mOwner, std::nullopt };
  }
  const ReplyCode verdict = aRecord.mResponse ? ReplyCode::Answered : ReplyCode::Held;
  return { aRequest.mAttempt, verdict, *aRecord.mOwner, aRecord.mResponse };
}

std::size_t
MajorityOf(const Replica& aReplica)
{
  return aReplica.mOptions.mReplicas.size() / 2 + 1;
}

/// Two copies that name different owners: one of them may have been dispatched with this holder's
/// forgotten grant, so the key goes to nobody.
void
MergeCopy(Replica& aReplica, const CopiedClaim& aCopy, Instant aNow)
{
  const auto [it, added] = aReplica.mRecords.try_emplace(aCopy.mKey);
  ClaimRecord& record = it->second;
  const Instant since = aNow - aCopy.mAge;
  if (added || (!record.mOwner && !record.mBlocked)) {
    record.mDigest = aCopy.mDigest;
    record.mOwner = aCopy.mOwner;
    record.mBlocked = !aCopy.mOwner;
    Touch(aReplica, aCopy.mKey, record, since);
    return;
  }
  if (record.mOwner != aCopy.mOwner) {
    record.mOwner.reset();
    record.mBlocked = true;
  }
  Touch(aReplica, aCopy.mKey, record, std::max(record.mUpdatedAt, since));
}

} // namespace

Replica
MakeReplica(ReplicaOptions aOptions, bool aMayHaveGranted)
{
  Replica replica;
  replica.mOptions = std::move(aOptions);
  replica.mStage = aMayHaveGranted ? ReplicaStage::Waiting : ReplicaStage::Active;
  return replica;
}

void
Activate(Replica& aReplica)
{
  aReplica.mStage = ReplicaStage::Active;
}

ClaimReply
ProcessRequest(Replica& aReplica, const ClaimRequest& aRequest, Instant aNow)
{
  const auto reply = [&aRequest](ReplyCode aVerdict) {
    return ClaimReply{ aRequest.mAttempt, aVerdict, {}, std::nullopt };
  };
  if (aReplica.mStage != ReplicaStage::Active) {
    return reply(ReplyCode::Abstained);
  }
  Forget(aReplica, aNow);
  auto it = aReplica.mRecords.find(aRequest.mKey);
  if (it == aReplica.mRecords.end()) {
    if (aReplica.mRecords.size() >= aReplica.mOptions.mMaxRecords) {
      return reply(ReplyCode::Full);
    }
    it = aReplica.mRecords.emplace(aRequest.mKey, ClaimRecord{}).first;
    Touch(aReplica, aRequest.mKey, it->second, aNow);
  }
  ClaimRecord& record = it->second;
  if (record.mReleased.count(aRequest.mAttempt) > 0) {
    return reply(ReplyCode::Released);
  }
  if (record.mOwner == aRequest.mAttempt) {
    return reply(ReplyCode::Granted);
  }
  if (record.mOwner || record.mBlocked) {
    return ReplyOfOther(record, aRequest);
  }
  record.mOwner = aRequest.mAttempt;
  record.mDigest = aRequest.mDigest;
  Touch(aReplica, aRequest.mKey, record, aNow);
  return reply(ReplyCode::Granted);
}

void
RecordResult(Replica& aReplica, const AttemptResult& aResult, Instant aNow)
{
  const auto it = aReplica.mRecords.find(aResult.mKey);
  if (it == aReplica.mRecords.end()) {
    return;
  }
  ClaimRecord& record = it->second;
  if (aResult.mReleased && record.mReleased.size() < kMaxReleased) {
    record.mReleased.insert(aResult.mAttempt);
  }
  if (record.mOwner != aResult.mAttempt) {
    return;
  }
  if (aResult.mReleased) {
    record.mOwner.reset();
    return;
  }
  Touch(aReplica, aResult.mKey, record, aNow);
  if (aResult.mResponse) {
    KeepAnswer(aReplica, aResult.mKey, record, *aResult.mResponse);
  }
}

std::vector<std::pair<ControlId, CopyRequest>>
TickReplica(Replica& aReplica, Instant aNow)
{
  Forget(aReplica, aNow);
  std::vector<std::pair<ControlId, CopyRequest>> requests;
  if (aReplica.mStage == ReplicaStage::Active) {
    return requests;
  }
  if (!aReplica.mStartedAt) {
    aReplica.mStartedAt = aNow;
  }
  if (aNow >= *aReplica.mStartedAt + kForgetAfter) {
    aReplica.mStage = ReplicaStage::Active;
    return requests;
  }
  if (aNow < *aReplica.mStartedAt + WithClockAllowance(kValidity) ||
      aNow < aReplica.mNextCopyRequest) {
    return requests;
  }
  aReplica.mStage = ReplicaStage::Copying;
  aReplica.mNextCopyRequest = aNow + kCopyAskInterval;
  for (const ControlId& it : aReplica.mOptions.mReplicas) {
    if (it != aReplica.mOptions.mSelf && !aReplica.mCopies[it].mDone) {
      requests.emplace_back(
        it, CopyRequest{ aReplica.mOptions.mStartId, aReplica.mCopies[it].mAfterKey });
    }
  }
  return requests;
}

std::optional<CopyPage>
MakeCopyPage(const Replica& aReplica, const CopyRequest& aRequest, Instant aNow)
{
  if (aReplica.mStage != ReplicaStage::Active) {
    return std::nullopt;
  }
  CopyPage page{ aRequest.mStartId, aRequest.mAfterKey, false, {} };
  auto it = aReplica.mRecords.upper_bound(aRequest.mAfterKey);
  for (; it != aReplica.mRecords.end() && page.mRecords.size() < kPageRecords; ++it) {
    const ClaimRecord& record = it->second;
    if (record.mOwner || record.mBlocked) {
      const auto age = std::chrono::duration_cast<Millis>(aNow - record.mUpdatedAt);
      page.mRecords.push_back({ it->first, record.mDigest, record.mOwner, age });
    }
  }
  page.mIsLast = it == aReplica.mRecords.end();
  return page;
}

std::optional<CopyRequest>
ApplyCopyPage(Replica& aReplica, const ControlId& aFrom, const CopyPage& aPage, Instant aNow)
{
  const auto& replicas = aReplica.mOptions.mReplicas;
  if (std::find(replicas.begin(), replicas.end(), aFrom) == replicas.end()) {
    return std::nullopt;
  }
  // A page asked for by an earlier start of this process is too old to be relied on.
  if (aReplica.mStage != ReplicaStage::Copying || aPage.mStartId != aReplica.mOptions.mStartId) {
    return std::nullopt;
  }
  CopyProgress& copy = aReplica.mCopies[aFrom];
  if (copy.mDone || aPage.mAfterKey != copy.mAfterKey) {
    return std::nullopt;
  }
  for (const CopiedClaim& it : aPage.mRecords) {
    MergeCopy(aReplica, it, aNow);
  }
  copy.mDone = aPage.mIsLast || aPage.mRecords.empty();
  if (!copy.mDone) {
    copy.mAfterKey = aPage.mRecords.back().mKey;
    return CopyRequest{ aPage.mStartId, copy.mAfterKey };
  }
  const auto done = std::count_if(aReplica.mCopies.begin(),
                                  aReplica.mCopies.end(),
                                  [](const auto& aItem) { return aItem.second.mDone; });
  if (static_cast<std::size_t>(done) >= MajorityOf(aReplica)) {
    aReplica.mStage = ReplicaStage::Active;
    aReplica.mCopies.clear();
  }
  return std::nullopt;
}

} // namespace fighold::claims
