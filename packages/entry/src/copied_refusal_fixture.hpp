#pragma once

#include "backend_fixture.hpp"
#include "copying_server.hpp"
#include "environment.hpp"

#include <map>
#include <random>

/// The backend thread in front of a server that copies its refusals, in any dialect.
namespace fighold::entry {

/// One attempt as the server answers it.
struct PlannedAnswer
{
  std::uint64_t mAttempt = 0;
  testing::AttemptPlan mPlan;
  bool mHasId = false; ///< false: a health request in a dialect that names none

  friend auto operator<=>(const PlannedAnswer&, const PlannedAnswer&) = default;
};

/// What the test has to know of a dialect.
struct CopyDialect
{
  BackendCodec mCodec;
  testing::ServerDialect mServer;
  /// What the entry may learn about the server from the answer to an attempt.
  std::function<routes::ServerReport(const PlannedAnswer&)> mReport;
  bool mHasHealthIds = false; ///< health requests have identifiers
};

/// What a run has tried. Each of it must have occurred, so that a run that holds says something.
struct CopyCounts
{
  std::size_t mAttempts = 0;
  std::size_t mRefused = 0;
  std::size_t mRun = 0;
  std::size_t mLost = 0;
  std::size_t mNotSent = 0;
  std::size_t mCancelled = 0;
  std::size_t mCopiesInFront = 0; ///< written by the server in front of an answer
  std::size_t mPassedOver = 0;    ///< of which the entry says that it has passed them over
  std::size_t mSentAgain = 0;     ///< attempts with the identifier of an earlier one
  std::size_t mSideBySide = 0;    ///< while an attempt with the same identifier is under way

  friend auto operator<=>(const CopyCounts&, const CopyCounts&) = default;
};

/// An attempt that was handed to the backend thread.
struct SentAttempt
{
  std::string mRequestId;
  std::string mMethod;
  std::string mTrace;
  bool mMayFindNone = false; ///< as many attempts as connections are under way already

  friend auto operator<=>(const SentAttempt&, const SentAttempt&) = default;
};

/// One seed: attempts in an order that only the seed determines, with a few of them under way at
/// once. The time limits of attempts that are answered are so long that no verdict depends on the
/// speed of the machine.
struct CopiedRefusalFixture
{
  std::uint64_t mSeed;
  CopyDialect mDialect;
  CopyCounts& mCounts;
  std::mt19937_64 mRandom{ mSeed };
  std::uint32_t mShare = std::array{ 1U, 2U, 8U }.at(mSeed % 3);
  testing::CopyingServer mServer{ mSeed, mDialect.mServer, static_cast<int>(mShare) };
  BackendFixture mBackend{ {}, WithCopies(mDialect.mCodec) };
  std::vector<std::pair<RequestId, std::string>> mRequests; ///< of all attempts
  std::map<std::uint64_t, SentAttempt> mOpen;
  std::map<std::uint64_t, SentAttempt> mReportedNotRun;

  CopiedRefusalFixture(std::uint64_t aSeed, CopyDialect aDialect, CopyCounts& aCounts)
    : mSeed(aSeed)
    , mDialect(std::move(aDialect))
    , mCounts(aCounts)
  {
  }

  std::uint64_t Draw(std::uint64_t aBelow) { return mRandom() % aBelow; }

  /// @return the codec, in whose functions the server writes copies: they are called before a
  /// connection is chosen, between that and the write, and when an answer was read
  BackendCodec WithCopies(const BackendCodec& aCodec)
  {
    using testing::CopyBeforeRequest;
    const auto pause = [this](const Dispatch& aDispatch) {
      if (testing::PlanOf(mSeed, aDispatch.mDispatchId).mStopsEntry) {
        Sleep(2);
      }
    };
    BackendCodec codec = aCodec;
    codec.mRequestId = [this, pause, aCodec](const Dispatch& aDispatch) {
      const auto plan = testing::PlanOf(mSeed, aDispatch.mDispatchId);
      if (plan.mCopyBefore == CopyBeforeRequest::BeforeTaken) {
        mServer.CopyOnAll(aDispatch.mDispatchId, false);
      }
      pause(aDispatch);
      return aCodec.mRequestId(aDispatch);
    };
    codec.mEncode = [this, pause, aCodec](const Dispatch& aDispatch, Millis aLeft) {
      const auto plan = testing::PlanOf(mSeed, aDispatch.mDispatchId);
      if (plan.mCopyBefore == CopyBeforeRequest::AfterTaken ||
          plan.mCopyBefore == CopyBeforeRequest::AfterTakenPart) {
        mServer.CopyOnAll(aDispatch.mDispatchId,
                          plan.mCopyBefore == CopyBeforeRequest::AfterTakenPart);
      }
      pause(aDispatch);
      return aCodec.mEncode(aDispatch, aLeft);
    };
    codec.mMatchesDispatch = [pause, aCodec](const Dispatch& aDispatch,
                                             const net::HttpResponse& aResponse) {
      pause(aDispatch);
      return aCodec.mMatchesDispatch(aDispatch, aResponse);
    };
    return codec;
  }

  /// Chooses the request of the next attempt: mostly one that was sent before.
  /// @return its number and its identifier
  std::pair<RequestId, std::string> ChooseRequest()
  {
    const auto kind = Draw(100);
    if (kind < 8) {
      return { 0, "" };
    }
    if (kind < 45 || mRequests.empty()) {
      const RequestId id = mRequests.size() + 1;
      return { id, "k" + std::to_string(id) };
    }
    // The last one is a second attempt or a caller that repeats at once.
    return mRequests.at(
      mRequests.size() - 1 -
      (kind < 75 ? Draw(std::min<std::size_t>(4, mRequests.size())) : Draw(mRequests.size())));
  }

  Dispatch MakeAttempt()
  {
    const auto [number, id] = ChooseRequest();
    const bool isSilent =
      testing::PlanOf(mSeed, mBackend.mNext).mKind == testing::AnswerKind::Silence;
    Dispatch dispatch = isSilent ? mBackend.MakeDispatch(mServer.Address(), Millis(40), Millis(20))
                                 : mBackend.MakeDispatch(mServer.Address(), kTimeout, kTimeout);
    dispatch.mId = number;
    dispatch.mCallerRequestId = id;
    dispatch.mServer.mId = { "i-" + std::to_string(Draw(2)) };
    dispatch.mServer.mIncarnation = 1 + Draw(2);
    dispatch.mConnectionShare = mShare;
    net::HttpRequest request;
    request.mMethod = Draw(4) == 0 ? "HEAD" : "GET";
    request.mHeaders = { { testing::kAttemptHeader, std::to_string(dispatch.mDispatchId) } };
    if (!id.empty()) {
      request.mHeaders.push_back({ mDialect.mServer.mIdHeader, id });
    }
    dispatch.mPayload = SharedValue(request);
    return dispatch;
  }

  void Send()
  {
    const Dispatch dispatch = MakeAttempt();
    const std::string& id = dispatch.mCallerRequestId;
    SentAttempt sent{ id, dispatch.mPayload->mMethod, "", mOpen.size() >= mShare };
    sent.mTrace = "seed " + std::to_string(mSeed) + " share " + std::to_string(mShare) +
                  " attempt " + std::to_string(dispatch.mDispatchId) + " of \"" + id + "\" to " +
                  dispatch.mServer.mId.mValue + " " + sent.mMethod;
    ++mCounts.mAttempts;
    if (dispatch.mId != 0) {
      const std::pair request{ dispatch.mId, id };
      const bool isAgain =
        std::find(mRequests.begin(), mRequests.end(), request) != mRequests.end();
      mCounts.mSentAgain += isAgain ? 1 : 0;
      mRequests.push_back(request);
      mCounts.mSideBySide += std::any_of(mOpen.begin(), mOpen.end(), [&id](const auto& aItem) {
        return aItem.second.mRequestId == id;
      });
    }
    mOpen.emplace(dispatch.mDispatchId, sent);
    mBackend.Push(dispatch);
    if (Draw(25) == 0) {
      REQUIRE(mBackend.mChannels.mDispatches.TryPush(
        BackendCommand(CancelDispatch{ dispatch.mDispatchId })));
      mOpen.erase(dispatch.mDispatchId);
      ++mCounts.mCancelled;
    }
  }

  /// Checks an answer that the entry takes for that of an attempt.
  void CheckAnswered(const DispatchDone& aDone, const SentAttempt& aSent)
  {
    const auto attempt = net::FindHeader(aDone.mResult.mResponse.mHeaders, testing::kAttemptHeader);
    CHECK(attempt == std::to_string(aDone.mDispatchId));
    const auto record = mServer.RecordOf(aDone.mDispatchId);
    CHECK(record);
    if (!record) {
      return;
    }
    const bool hasId = !aSent.mRequestId.empty() || mDialect.mHasHealthIds;
    CHECK(aDone.mMeaning == (!hasId         ? AnswerMeaning::Unusable
                             : record->mRan ? AnswerMeaning::Result
                                            : AnswerMeaning::NotRun));
    CHECK(
      aDone.mReport ==
      mDialect.mReport({ aDone.mDispatchId, testing::PlanOf(mSeed, aDone.mDispatchId), hasId }));
    // A copy that is read with the wrong length may hide others.
    CHECK((record->mMayBeLost || aDone.mResult.mPassedOver == record->mCopiesInFront));
    mCounts.mRefused += aDone.mMeaning == AnswerMeaning::NotRun ? 1 : 0;
    mCounts.mRun += aDone.mMeaning == AnswerMeaning::Result ? 1 : 0;
  }

  void CheckDone(const DispatchDone& aDone, const SentAttempt& aSent)
  {
    using net::ExchangeStage;
    // Asked first, since the server forgets the copies when it reads the request behind them.
    const bool mayHideAnswer = mServer.HasConfusingCopies(aSent.mMethod);
    const auto record = mServer.RecordOf(aDone.mDispatchId);
    const bool isSilent =
      testing::PlanOf(mSeed, aDone.mDispatchId).mKind == testing::AnswerKind::Silence;
    INFO(aSent.mTrace << " on connection " << aDone.mExchange.mConnection << "/"
                      << aDone.mExchange.mOrdinal << ", "
                      << (!record        ? "not read by the server"
                          : record->mRan ? "ran"
                                         : "refused")
                      << ", status " << aDone.mResult.mResponse.mStatus << ", passed over "
                      << aDone.mResult.mPassedOver << ", error \"" << aDone.mResult.mError << "\"");
    if (aDone.mResult.mStage == ExchangeStage::Answered) {
      CheckAnswered(aDone, aSent);
    } else if (aDone.mResult.mStage == ExchangeStage::NoAnswer) {
      // A request that is given up may be lost before the server reads it.
      const bool mayBeLost =
        record ? record->mMayBeLost || record->mIsUnnamedAgain : isSilent || mayHideAnswer;
      CHECK(mayBeLost);
      ++mCounts.mLost;
    } else {
      CHECK((aSent.mMayFindNone || isSilent));
      CHECK_FALSE(record);
      ++mCounts.mNotSent;
    }
    const bool isPromise =
      aDone.mResult.mStage == ExchangeStage::NotSent ||
      (aDone.mResult.mStage == ExchangeStage::Answered && aDone.mMeaning == AnswerMeaning::NotRun);
    if (isPromise) {
      mReportedNotRun.emplace(aDone.mDispatchId, aSent);
    }
    mCounts.mCopiesInFront += record ? record->mCopiesInFront : 0;
    mCounts.mPassedOver += aDone.mResult.mPassedOver;
  }

  /// Waits for the result of an attempt; one of a cancelled attempt may come before it.
  void Receive()
  {
    const std::size_t before = mOpen.size();
    while (mOpen.size() == before) {
      const DispatchDone done = mBackend.Pop();
      const auto it = mOpen.find(done.mDispatchId);
      if (it != mOpen.end()) {
        CheckDone(done, it->second);
        mOpen.erase(it);
      }
    }
  }

  void Run(int aAttempts)
  {
    for (int n = 0; n < aAttempts; ++n) {
      // One more than the share now and then, so that an attempt finds no connection.
      const std::size_t window = 1 + Draw(mShare) + (Draw(8) == 0 ? 1 : 0);
      while (mOpen.size() >= window) {
        Receive();
      }
      Send();
    }
    while (!mOpen.empty()) {
      Receive();
    }
    // The server may have read a request after its attempt had ended.
    for (const auto& [attempt, sent] : mReportedNotRun) {
      const auto record = mServer.RecordOf(attempt);
      INFO(sent.mTrace << " was reported as not run");
      CHECK_FALSE((record && record->mRan));
    }
    for (const std::string& it : mServer.Faults()) {
      INFO("seed " << mSeed << " share " << mShare);
      FAIL_CHECK(it);
    }
  }
};

/// Runs seeds, FIGHOLD_SEED and FIGHOLD_RUNS if they are set, and checks that they tried something.
inline void
RunCopiedRefusals(const CopyDialect& aDialect)
{
  const std::uint64_t first = testing::FromEnvironment("FIGHOLD_SEED", 1);
  const std::uint64_t runs = testing::FromEnvironment("FIGHOLD_RUNS", 12);
  CopyCounts counts;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    CopiedRefusalFixture(seed, aDialect, counts).Run(200);
  }
  const std::string text =
    "attempts " + std::to_string(counts.mAttempts) + ", refused " +
    std::to_string(counts.mRefused) + ", run " + std::to_string(counts.mRun) + ", lost " +
    std::to_string(counts.mLost) + ", not sent " + std::to_string(counts.mNotSent) +
    ", cancelled " + std::to_string(counts.mCancelled) + ", copies in front " +
    std::to_string(counts.mCopiesInFront) + ", passed over " + std::to_string(counts.mPassedOver) +
    ", sent again " + std::to_string(counts.mSentAgain) + ", side by side " +
    std::to_string(counts.mSideBySide);
  if (runs > 50) {
    WARN(text);
  }
  INFO(text);
  CHECK(counts.mRefused > counts.mAttempts / 4);
  CHECK(counts.mRun > counts.mAttempts / 5);
  CHECK(counts.mLost > 0);
  CHECK(counts.mPassedOver > counts.mAttempts / 10);
  CHECK(counts.mSentAgain > counts.mAttempts / 3);
}

} // namespace fighold::entry
