#pragma once

#include "attempt_plan.hpp"
#include "faulty_server.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <vector>

/// Test double: a backend server that writes its refusals once more at any later place on their
/// connection. What it does with an attempt depends on the seed and the attempt only.
namespace fighold::testing {

/// What the server says in its answers, in one dialect.
struct ServerDialect
{
  std::string mIdHeader;
  /// Header lines of the outcome, and of what the server states of itself, which differs from
  /// attempt to attempt.
  std::function<std::string(const AttemptPlan&, std::uint64_t aAttempt)> mHeaders;
};

/// Names the attempt, which neither the entry nor a real server knows.
constexpr const char* kAttemptHeader = "Attempt";

/// Answers to earlier requests in front of its own one that a client passes over.
constexpr unsigned kMostPassedOver = 4;

/// What became of an attempt at the server.
struct AttemptRecord
{
  unsigned mCopiesInFront = 0;
  bool mRan = false;
  bool mMayBeLost = false; ///< the client need not find an answer in what was written
  /// Without identifier, and not the first one on its connection: the answer is not believed if
  /// another one, such as a copy, follows at once.
  bool mIsUnnamedAgain = false;

  friend auto operator<=>(const AttemptRecord&, const AttemptRecord&) = default;
};

class CopyingServer
{
public:
  CopyingServer(std::uint64_t aSeed, ServerDialect aDialect, int aShare)
    : mSeed(aSeed)
    , mDialect(std::move(aDialect))
    , mShare(aShare)
  {
  }

  Endpoint Address() const { return mServer.Address(); }

  /// Writes the copy of a refusal on each open connection that had one.
  /// @param aInPart the end of the copy follows in front of the next answer
  void CopyOnAll(std::uint64_t aAttempt, bool aInPart)
  {
    mServer.ForEachOpen([&](FaultyConnection& aConnection) {
      const std::lock_guard lock(mMutex);
      KeptConnection& kept = mKept[aConnection.Number()];
      if (kept.mIsEnded || kept.mRefusals.empty()) {
        return;
      }
      std::string text = TakeCopies(kept, aAttempt, 1);
      kept.mRest = text.substr(aInPart ? text.size() / 2 : text.size());
      text.resize(text.size() - kept.mRest.size());
      aConnection.Write(text);
    });
  }

  /// @return what became of an attempt, or nothing if the server has not read it
  std::optional<AttemptRecord> RecordOf(std::uint64_t aAttempt)
  {
    const std::lock_guard lock(mMutex);
    const auto it = mRecords.find(aAttempt);
    return it == mRecords.end() ? std::nullopt : std::optional(it->second);
  }

  /// @return true if copies in front of the next answer of a connection may hide it from a client
  /// that has sent a request with this method
  bool HasConfusingCopies(const std::string& aMethod)
  {
    const std::lock_guard lock(mMutex);
    return std::any_of(mKept.begin(), mKept.end(), [&aMethod](const auto& aItem) {
      return IsConfusing(aItem.second, aMethod);
    });
  }

  /// @return rules that the client has broken, as texts
  std::vector<std::string> Faults()
  {
    const std::lock_guard lock(mMutex);
    return mFaults;
  }

private:
  struct Refusal
  {
    std::string mText;
    bool mHasBody = false;
  };

  /// A request as the server reads it.
  struct Arrival
  {
    std::string mId;
    std::string mMethod;
    std::uint64_t mAttempt = 0;
    AttemptPlan mPlan;
  };

  /// One connection as the server knows it.
  struct KeptConnection
  {
    std::set<std::string> mIds;
    std::vector<Refusal> mRefusals;
    std::string mRest;         ///< end of a copy whose start is written
    unsigned mCopies = 0;      ///< since the last answer
    bool mHasBodies = false;   ///< one of these states a body
    bool mCarriedHead = false; ///< a request with HEAD was read
    bool mIsEnded = false;     ///< nothing more is written
  };

  /// Whether the body that a copy states follows depends on the method of its request, which the
  /// client does not know where the connection has carried HEAD.
  static bool IsConfusing(const KeptConnection& aKept, const std::string& aMethod)
  {
    return aKept.mCopies > kMostPassedOver ||
           (aKept.mHasBodies && (aKept.mCarriedHead || aMethod == "HEAD"));
  }

  /// @return copies of refusals of the connection, behind the end of one that was written in part
  static std::string TakeCopies(KeptConnection& aKept, std::uint64_t aAttempt, unsigned aCount)
  {
    std::string text = std::move(aKept.mRest);
    aKept.mRest.clear();
    for (unsigned n = 0; n < aCount && !aKept.mRefusals.empty(); ++n) {
      // Mostly one of the last refusals: a second attempt follows soon.
      const std::size_t back =
        (aAttempt * 7 + n) % std::min<std::size_t>(4, aKept.mRefusals.size());
      const Refusal& refusal = aKept.mRefusals.at(aKept.mRefusals.size() - 1 - back);
      text += refusal.mText;
      ++aKept.mCopies;
      aKept.mHasBodies = aKept.mHasBodies || refusal.mHasBody;
    }
    return text;
  }

  Arrival ArrivalOn(const FaultyConnection& aConnection) const
  {
    Arrival arrival;
    arrival.mId = aConnection.Header(mDialect.mIdHeader);
    arrival.mMethod = aConnection.Head().substr(0, aConnection.Head().find(' '));
    arrival.mAttempt = std::stoull(aConnection.Header(kAttemptHeader));
    arrival.mPlan = PlanOf(mSeed, arrival.mAttempt);
    // Nothing tells the copy of a refusal without an identifier from other answers.
    if (arrival.mId.empty() && arrival.mPlan.mKind == AnswerKind::Refuse) {
      arrival.mPlan.mKind = AnswerKind::Run;
      arrival.mPlan.mStatus = 200;
    }
    return arrival;
  }

  std::string AnswerOf(const Arrival& aArrival) const
  {
    const AttemptPlan& plan = aArrival.mPlan;
    const bool isHead = aArrival.mMethod == "HEAD";
    const std::string body(plan.mBodySize, 'b');
    std::string text = "HTTP/1.1 " + std::to_string(plan.mStatus) + " Any\r\n" + kAttemptHeader +
                       ": " + std::to_string(aArrival.mAttempt) + "\r\n";
    text += aArrival.mId.empty() ? "" : mDialect.mIdHeader + ": " + aArrival.mId + "\r\n";
    text += mDialect.mHeaders(plan, aArrival.mAttempt);
    text += plan.mCloses ? "Connection: close\r\n" : "";
    if (plan.mBody != BodyForm::Chunks) {
      return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
             (isHead ? "" : body);
    }
    std::ostringstream size;
    size << std::hex << body.size();
    return text + "Transfer-Encoding: chunked\r\n\r\n" +
           (isHead ? "" : size.str() + "\r\n" + body + "\r\n0\r\n\r\n");
  }

  bool WriteAll(FaultyConnection& aConnection, const std::string& aText, bool aInPieces) const
  {
    const std::size_t step = aInPieces ? aText.size() / 3 + 1 : aText.size();
    bool isOpen = true;
    for (std::size_t n = 0; n < aText.size() && isOpen; n += step) {
      isOpen = aConnection.Write(aText.substr(n, step));
      if (aInPieces) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
    }
    return isOpen;
  }

  void CheckShare()
  {
    int open = 0;
    mServer.ForEachOpen(
      [&open](FaultyConnection& aConnection) { open += aConnection.IsClosedByClient() ? 0 : 1; });
    if (open > mShare) {
      const std::lock_guard lock(mMutex);
      mFaults.push_back(std::to_string(open) + " connections at once");
    }
  }

  /// Notes what becomes of an attempt, and the rules that it breaks. The copies in front of its
  /// answer are known.
  void Record(const Arrival& aArrival, KeptConnection& aKept, int aNumber)
  {
    const AnswerKind kind = aArrival.mPlan.mKind;
    const std::string where = " came twice on connection " + std::to_string(aNumber);
    const bool isFirst = aKept.mIds.insert(aArrival.mId).second;
    if (!aArrival.mId.empty() && !isFirst) {
      mFaults.push_back("identifier " + aArrival.mId + where);
    }
    AttemptRecord record;
    record.mCopiesInFront = aKept.mCopies;
    record.mIsUnnamedAgain = aArrival.mId.empty() && !isFirst;
    record.mRan = kind != AnswerKind::Refuse;
    record.mMayBeLost = kind == AnswerKind::Silence || kind == AnswerKind::Cut ||
                        IsConfusing(aKept, aArrival.mMethod);
    if (!mRecords.emplace(aArrival.mAttempt, record).second) {
      mFaults.push_back("attempt " + std::to_string(aArrival.mAttempt) + where);
    }
    aKept.mIsEnded = record.mMayBeLost || aArrival.mPlan.mCloses;
    aKept.mCopies = 0;
    aKept.mHasBodies = false;
    aKept.mCarriedHead = aKept.mCarriedHead || aArrival.mMethod == "HEAD";
  }

  /// @return the answer as far as it is written
  std::string Answer(const Arrival& aArrival, KeptConnection& aKept) const
  {
    const AttemptPlan& plan = aArrival.mPlan;
    std::string text = AnswerOf(aArrival);
    if (plan.mKind == AnswerKind::Refuse) {
      aKept.mRefusals.push_back({ text, plan.mBody != BodyForm::Empty });
    } else if (plan.mKind == AnswerKind::Silence) {
      text.clear();
    } else if (plan.mKind == AnswerKind::Cut) {
      text.resize(text.size() / 2);
    }
    return text;
  }

  bool HandleRequest(FaultyConnection& aConnection)
  {
    CheckShare();
    const Arrival arrival = ArrivalOn(aConnection);
    const AttemptPlan& plan = arrival.mPlan;
    const OwnCopy ownCopy = plan.mKind == AnswerKind::Refuse ? plan.mOwnCopy : OwnCopy::None;
    std::unique_lock lock(mMutex);
    KeptConnection& kept = mKept[aConnection.Number()];
    std::string text = TakeCopies(kept, arrival.mAttempt, plan.mCopies);
    Record(arrival, kept, aConnection.Number());
    text += Answer(arrival, kept);
    if (ownCopy == OwnCopy::WithAnswer) {
      text += TakeCopies(kept, 0, 1);
    }
    bool isOpen = WriteAll(aConnection, text, plan.mIsInPieces) && !kept.mIsEnded;
    if (isOpen && ownCopy == OwnCopy::AfterAnswer) {
      isOpen = WriteAll(aConnection, TakeCopies(kept, 0, 1), plan.mIsInPieces);
    }
    lock.unlock();
    if (plan.mKind == AnswerKind::Silence) {
      aConnection.ReadRequest(); // returns when the client gives the connection up
    }
    return isOpen;
  }

  std::uint64_t mSeed;
  ServerDialect mDialect;
  int mShare;
  std::mutex mMutex; ///< of all below, and of writes
  std::map<int, KeptConnection> mKept;
  std::map<std::uint64_t, AttemptRecord> mRecords;
  std::vector<std::string> mFaults;
  FaultyServer mServer{ [this](FaultyConnection& aConnection, int) {
    return HandleRequest(aConnection);
  } };
};

} // namespace fighold::testing
