#include "fighold/claims/holder.hpp"

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
DropAnswer(Holder& aHolder, Record& aRecord)
{
  if (aRecord.mAnswer) {
    aHolder.mKeptBytes -= SizeOf(*aRecord.mAnswer);
    aRecord.mAnswer.reset();
  }
}

void
Touch(Holder& aHolder, const std::string& aKey, Record& aRecord, Instant aSince)
{
  aHolder.mByAge.erase({ aRecord.mSince, aKey });
  aRecord.mSince = aSince;
  aHolder.mByAge.insert({ aSince, aKey });
}

void
Forget(Holder& aHolder, Instant aNow)
{
  while (!aHolder.mByAge.empty() && aHolder.mByAge.begin()->first + kForgetAfter <= aNow) {
    const auto it = aHolder.mRecords.find(aHolder.mByAge.begin()->second);
    DropAnswer(aHolder, it->second);
    aHolder.mRecords.erase(it);
    aHolder.mByAge.erase(aHolder.mByAge.begin());
  }
}

void
KeepAnswer(Holder& aHolder, const std::string& aKey, Record& aRecord, const KeptAnswer& aAnswer)
{
  const std::size_t size = SizeOf(aAnswer);
  if (size > kMaxAnswerBytes || size > aHolder.mOptions.mMaxKeptBytes || aRecord.mAnswer) {
    return;
  }
  aRecord.mAnswer = aAnswer;
  aHolder.mKeptBytes += size;
  aHolder.mAnswerOrder.push_back(aKey);
  // A key may stand in the order after its record is gone; the order is bounded like the records.
  while (aHolder.mKeptBytes > aHolder.mOptions.mMaxKeptBytes ||
         aHolder.mAnswerOrder.size() > aHolder.mOptions.mMaxRecords) {
    const auto it = aHolder.mRecords.find(aHolder.mAnswerOrder.front());
    if (it != aHolder.mRecords.end()) {
      DropAnswer(aHolder, it->second);
    }
    aHolder.mAnswerOrder.pop_front();
  }
}

/// What a key with an owner or a block says to an ask of another attempt.
Reply
ReplyOfOther(const Record& aRecord, const Ask& aAsk)
{
  if (aRecord.mBlocked) {
    return { aAsk.mAttempt, Verdict::Abstained, {}, std::nullopt };
  }
  if (aRecord.mDigest != aAsk.mDigest) {
    return { aAsk.mAttempt, Verdict::Mismatch, *aRecord.mOwner, std::nullopt };
  }
  const Verdict verdict = aRecord.mAnswer ? Verdict::Answered : Verdict::Held;
  return { aAsk.mAttempt, verdict, *aRecord.mOwner, aRecord.mAnswer };
}

std::size_t
MajorityOf(const Holder& aHolder)
{
  return aHolder.mOptions.mHolders.size() / 2 + 1;
}

/// Two copies that name different owners: one of them may have been dispatched with this holder's
/// forgotten grant, so the key goes to nobody.
void
MergeCopy(Holder& aHolder, const CopiedRecord& aCopy, Instant aNow)
{
  const auto [it, added] = aHolder.mRecords.try_emplace(aCopy.mKey);
  Record& record = it->second;
  const Instant since = aNow - aCopy.mAge;
  if (added || (!record.mOwner && !record.mBlocked)) {
    record.mDigest = aCopy.mDigest;
    record.mOwner = aCopy.mOwner;
    record.mBlocked = !aCopy.mOwner;
    Touch(aHolder, aCopy.mKey, record, since);
    return;
  }
  if (record.mOwner != aCopy.mOwner) {
    record.mOwner.reset();
    record.mBlocked = true;
  }
  Touch(aHolder, aCopy.mKey, record, std::max(record.mSince, since));
}

} // namespace

Holder
MakeHolder(HolderOptions aOptions, bool aMayHaveGranted)
{
  Holder holder;
  holder.mOptions = std::move(aOptions);
  holder.mStage = aMayHaveGranted ? HolderStage::Waiting : HolderStage::Active;
  return holder;
}

void
Activate(Holder& aHolder)
{
  aHolder.mStage = HolderStage::Active;
}

Reply
Decide(Holder& aHolder, const Ask& aAsk, Instant aNow)
{
  const auto reply = [&aAsk](Verdict aVerdict) {
    return Reply{ aAsk.mAttempt, aVerdict, {}, std::nullopt };
  };
  if (aHolder.mStage != HolderStage::Active) {
    return reply(Verdict::Abstained);
  }
  Forget(aHolder, aNow);
  auto it = aHolder.mRecords.find(aAsk.mKey);
  if (it == aHolder.mRecords.end()) {
    if (aHolder.mRecords.size() >= aHolder.mOptions.mMaxRecords) {
      return reply(Verdict::Full);
    }
    it = aHolder.mRecords.emplace(aAsk.mKey, Record{}).first;
    Touch(aHolder, aAsk.mKey, it->second, aNow);
  }
  Record& record = it->second;
  if (record.mReleased.count(aAsk.mAttempt) > 0) {
    return reply(Verdict::Withdrawn);
  }
  if (record.mOwner == aAsk.mAttempt) {
    return reply(Verdict::Granted);
  }
  if (record.mOwner || record.mBlocked) {
    return ReplyOfOther(record, aAsk);
  }
  record.mOwner = aAsk.mAttempt;
  record.mDigest = aAsk.mDigest;
  Touch(aHolder, aAsk.mKey, record, aNow);
  return reply(Verdict::Granted);
}

void
NoteResult(Holder& aHolder, const Result& aResult, Instant aNow)
{
  const auto it = aHolder.mRecords.find(aResult.mKey);
  if (it == aHolder.mRecords.end()) {
    return;
  }
  Record& record = it->second;
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
  Touch(aHolder, aResult.mKey, record, aNow);
  if (aResult.mAnswer) {
    KeepAnswer(aHolder, aResult.mKey, record, *aResult.mAnswer);
  }
}

std::vector<std::pair<ControlId, CopyAsk>>
TickHolder(Holder& aHolder, Instant aNow)
{
  Forget(aHolder, aNow);
  std::vector<std::pair<ControlId, CopyAsk>> asks;
  if (aHolder.mStage == HolderStage::Active) {
    return asks;
  }
  if (!aHolder.mStartedAt) {
    aHolder.mStartedAt = aNow;
  }
  if (aNow >= *aHolder.mStartedAt + kForgetAfter) {
    aHolder.mStage = HolderStage::Active;
    return asks;
  }
  if (aNow < *aHolder.mStartedAt + WithClockAllowance(kValidity) || aNow < aHolder.mNextCopyAsk) {
    return asks;
  }
  aHolder.mStage = HolderStage::Copying;
  aHolder.mNextCopyAsk = aNow + kCopyAskInterval;
  for (const ControlId& it : aHolder.mOptions.mHolders) {
    if (it != aHolder.mOptions.mSelf && !aHolder.mCopies[it].mDone) {
      asks.emplace_back(it, CopyAsk{ aHolder.mOptions.mStart, aHolder.mCopies[it].mAfter });
    }
  }
  return asks;
}

std::optional<CopyPage>
MakePage(const Holder& aHolder, const CopyAsk& aAsk, Instant aNow)
{
  if (aHolder.mStage != HolderStage::Active) {
    return std::nullopt;
  }
  CopyPage page{ aAsk.mStart, aAsk.mAfter, false, {} };
  auto it = aHolder.mRecords.upper_bound(aAsk.mAfter);
  for (; it != aHolder.mRecords.end() && page.mRecords.size() < kPageRecords; ++it) {
    const Record& record = it->second;
    if (record.mOwner || record.mBlocked) {
      const auto age = std::chrono::duration_cast<Millis>(aNow - record.mSince);
      page.mRecords.push_back({ it->first, record.mDigest, record.mOwner, age });
    }
  }
  page.mLast = it == aHolder.mRecords.end();
  return page;
}

std::optional<CopyAsk>
TakePage(Holder& aHolder, const ControlId& aFrom, const CopyPage& aPage, Instant aNow)
{
  const auto& holders = aHolder.mOptions.mHolders;
  if (std::find(holders.begin(), holders.end(), aFrom) == holders.end()) {
    return std::nullopt;
  }
  // A page asked for by an earlier start of this process is too old to be relied on.
  if (aHolder.mStage != HolderStage::Copying || aPage.mStart != aHolder.mOptions.mStart) {
    return std::nullopt;
  }
  CopyProgress& copy = aHolder.mCopies[aFrom];
  if (copy.mDone || aPage.mAfter != copy.mAfter) {
    return std::nullopt;
  }
  for (const CopiedRecord& it : aPage.mRecords) {
    MergeCopy(aHolder, it, aNow);
  }
  copy.mDone = aPage.mLast || aPage.mRecords.empty();
  if (!copy.mDone) {
    copy.mAfter = aPage.mRecords.back().mKey;
    return CopyAsk{ aPage.mStart, copy.mAfter };
  }
  const auto done = std::count_if(aHolder.mCopies.begin(),
                                  aHolder.mCopies.end(),
                                  [](const auto& aItem) { return aItem.second.mDone; });
  if (static_cast<std::size_t>(done) >= MajorityOf(aHolder)) {
    aHolder.mStage = HolderStage::Active;
    aHolder.mCopies.clear();
  }
  return std::nullopt;
}

} // namespace fighold::claims
