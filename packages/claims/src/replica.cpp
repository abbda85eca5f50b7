#include "fighold/claims/replica.hpp"

#include <algorithm>

namespace fighold::claims {
namespace {

/// Time after which a claim is removed. The dispatch may follow the grant by up to kValidity.
constexpr Millis kRecordLifetime = WithClockAllowance(kRetention + kValidity);

constexpr Millis kCopyRequestInterval{ 500 };
constexpr std::size_t kMaxPageRecords = 256;

/// Released attempts remembered for one key. Further ones are not remembered, which only delays a
/// retry.
constexpr std::size_t kMaxReleasedAttempts = 8;

void
DropResponse(Replica& aReplica, ClaimRecord& aRecord)
{
  if (aRecord.mResponse) {
    aReplica.mResponseBytes -= SizeOf(*aRecord.mResponse);
    aRecord.mResponse.reset();
  }
}

void
SetUpdatedAt(Replica& aReplica, const std::string& aKey, ClaimRecord& aRecord, Instant aUpdatedAt)
{
  aReplica.mByAge.erase({ aRecord.mUpdatedAt, aKey });
  aRecord.mUpdatedAt = aUpdatedAt;
  aReplica.mByAge.insert({ aUpdatedAt, aKey });
}

void
RemoveExpired(Replica& aReplica, Instant aNow)
{
  while (!aReplica.mByAge.empty() && aReplica.mByAge.begin()->first + kRecordLifetime <= aNow) {
    const auto it = aReplica.mRecords.find(aReplica.mByAge.begin()->second);
    DropResponse(aReplica, it->second);
    aReplica.mRecords.erase(it);
    aReplica.mByAge.erase(aReplica.mByAge.begin());
  }
}

void
StoreResponse(Replica& aReplica,
              const std::string& aKey,
              ClaimRecord& aRecord,
              const StoredResponse& aResponse)
{
  const std::size_t size = SizeOf(aResponse);
  if (size > kMaxStoredResponseBytes || size > aReplica.mOptions.mMaxResponseBytes ||
      aRecord.mResponse) {
    return;
  }
  aRecord.mResponse = aResponse;
  aReplica.mResponseBytes += size;
  aReplica.mResponseOrder.push_back(aKey);
  // mResponseOrder may name keys whose record has been removed, so its length is limited as well.
  while (aReplica.mResponseBytes > aReplica.mOptions.mMaxResponseBytes ||
         aReplica.mResponseOrder.size() > aReplica.mOptions.mMaxRecords) {
    const auto it = aReplica.mRecords.find(aReplica.mResponseOrder.front());
    if (it != aReplica.mRecords.end()) {
      DropResponse(aReplica, it->second);
    }
    aReplica.mResponseOrder.pop_front();
  }
}

/// @return reply to an attempt that requests a key which is blocked or owned by another attempt
ClaimReply
ReplyForUnavailableKey(const ClaimRecord& aRecord, const ClaimRequest& aRequest)
{
  if (aRecord.mBlocked) {
    return { aRequest.mAttempt, ReplyCode::Abstained, {}, std::nullopt };
  }
  if (aRecord.mDigest != aRequest.mDigest) {
    return { aRequest.mAttempt, ReplyCode::Mismatch, *aRecord.mOwner, std::nullopt };
  }
  const ReplyCode code = aRecord.mResponse ? ReplyCode::Answered : ReplyCode::Held;
  return { aRequest.mAttempt, code, *aRecord.mOwner, aRecord.mResponse };
}

std::size_t
MajorityOf(const Replica& aReplica)
{
  return aReplica.mOptions.mReplicas.size() / 2 + 1;
}

/// Merges a copied claim. If two copies name different owners, either may have been dispatched with
/// this replica's forgotten grant, so the key is blocked.
void
MergeCopiedClaim(Replica& aReplica, const CopiedClaim& aClaim, Instant aNow)
{
  const auto [it, added] = aReplica.mRecords.try_emplace(aClaim.mKey);
  ClaimRecord& record = it->second;
  const Instant updatedAt = aNow - aClaim.mAge;
  if (added || (!record.mOwner && !record.mBlocked)) {
    record.mDigest = aClaim.mDigest;
    record.mOwner = aClaim.mOwner;
    record.mBlocked = !aClaim.mOwner;
    SetUpdatedAt(aReplica, aClaim.mKey, record, updatedAt);
    return;
  }
  if (record.mOwner != aClaim.mOwner) {
    record.mOwner.reset();
    record.mBlocked = true;
  }
  SetUpdatedAt(aReplica, aClaim.mKey, record, std::max(record.mUpdatedAt, updatedAt));
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
  const auto reply = [&aRequest](ReplyCode aCode) {
    return ClaimReply{ aRequest.mAttempt, aCode, {}, std::nullopt };
  };
  if (aReplica.mStage != ReplicaStage::Active) {
    return reply(ReplyCode::Abstained);
  }
  RemoveExpired(aReplica, aNow);
  auto it = aReplica.mRecords.find(aRequest.mKey);
  if (it == aReplica.mRecords.end()) {
    if (aReplica.mRecords.size() >= aReplica.mOptions.mMaxRecords) {
      return reply(ReplyCode::Full);
    }
    it = aReplica.mRecords.emplace(aRequest.mKey, ClaimRecord{}).first;
    SetUpdatedAt(aReplica, aRequest.mKey, it->second, aNow);
  }
  ClaimRecord& record = it->second;
  if (record.mReleased.count(aRequest.mAttempt) > 0) {
    return reply(ReplyCode::Released);
  }
  if (record.mOwner == aRequest.mAttempt) {
    return reply(ReplyCode::Granted);
  }
  if (record.mOwner || record.mBlocked) {
    return ReplyForUnavailableKey(record, aRequest);
  }
  record.mOwner = aRequest.mAttempt;
  record.mDigest = aRequest.mDigest;
  SetUpdatedAt(aReplica, aRequest.mKey, record, aNow);
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
  if (aResult.mReleased && record.mReleased.size() < kMaxReleasedAttempts) {
    record.mReleased.insert(aResult.mAttempt);
  }
  if (record.mOwner != aResult.mAttempt) {
    return;
  }
  if (aResult.mReleased) {
    record.mOwner.reset();
    return;
  }
  SetUpdatedAt(aReplica, aResult.mKey, record, aNow);
  if (aResult.mResponse) {
    StoreResponse(aReplica, aResult.mKey, record, *aResult.mResponse);
  }
}

std::vector<std::pair<ControlId, CopyRequest>>
TickReplica(Replica& aReplica, Instant aNow)
{
  RemoveExpired(aReplica, aNow);
  std::vector<std::pair<ControlId, CopyRequest>> requests;
  if (aReplica.mStage == ReplicaStage::Active) {
    return requests;
  }
  if (!aReplica.mStartedAt) {
    aReplica.mStartedAt = aNow;
  }
  if (aNow >= *aReplica.mStartedAt + kRecordLifetime) {
    aReplica.mStage = ReplicaStage::Active;
    return requests;
  }
  if (aNow < *aReplica.mStartedAt + WithClockAllowance(kValidity) ||
      aNow < aReplica.mNextCopyRequest) {
    return requests;
  }
  aReplica.mStage = ReplicaStage::Copying;
  aReplica.mNextCopyRequest = aNow + kCopyRequestInterval;
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
  for (; it != aReplica.mRecords.end() && page.mRecords.size() < kMaxPageRecords; ++it) {
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
  // A page that an earlier start of this process requested may lack later grants.
  if (aReplica.mStage != ReplicaStage::Copying || aPage.mStartId != aReplica.mOptions.mStartId) {
    return std::nullopt;
  }
  CopyProgress& progress = aReplica.mCopies[aFrom];
  if (progress.mDone || aPage.mAfterKey != progress.mAfterKey) {
    return std::nullopt;
  }
  for (const CopiedClaim& it : aPage.mRecords) {
    MergeCopiedClaim(aReplica, it, aNow);
  }
  progress.mDone = aPage.mIsLast || aPage.mRecords.empty();
  if (!progress.mDone) {
    progress.mAfterKey = aPage.mRecords.back().mKey;
    return CopyRequest{ aPage.mStartId, progress.mAfterKey };
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
