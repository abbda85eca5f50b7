// Seeded schedules of askers and holders with a faulty network, restarts and freezes.

#include "fighold/claims/client.hpp"
#include "fighold/claims/replica.hpp"

#include <catch2/catch.hpp>

#include <random>

namespace fighold::claims {
namespace {

constexpr std::uint64_t kSeeds = 400;
constexpr int kSteps = 1500;
constexpr int kKeys = 3;

using Message = std::variant<ClaimRequest, ClaimReply, AttemptResult, CopyRequest, CopyPage>;

struct InTransit
{
  std::string mFrom;
  std::string mTo;
  Message mBody;
};

/// What became of one request.
struct RequestTrace
{
  std::string mKey;
  int mDispatches = 0;
  bool mToldNotRun = false;
};

/// An entry: its asker, the requests that may be dispatched, and whether it is frozen.
struct EntryNode
{
  Client mAsker;
  Instant mFrozenUntil{};
  std::map<std::uint64_t, Instant>
    mReady; ///< granted and not dispatched: number to end of validity
  std::map<std::uint64_t, Instant> mRunning; ///< dispatched and not answered
};

/// A deployment in one thread. One step does one random thing, then time passes.
struct Deployment
{
  std::mt19937_64 mRandom;
  std::vector<ControlId> mIds;
  std::map<std::string, Replica> mReplicas;
  std::map<std::string, EntryNode> mEntries;
  std::vector<InTransit> mNetwork;
  std::map<std::pair<std::string, std::uint64_t>, RequestTrace> mRequests;
  std::uint64_t mNextNumber = 1;
  std::uint64_t mStarts = 1;
  Instant mNow{ Millis(10'000'000) };
  int mKeptAnswers = 0;
  int mRestarts = 0;

  Deployment(std::uint64_t aSeed, std::size_t aHolders, std::size_t aEntries)
    : mRandom(aSeed)
  {
    for (std::size_t n = 1; n <= aHolders; ++n) {
      mIds.push_back({ "c" + std::to_string(n) });
    }
    for (const ControlId& it : mIds) {
      mReplicas[it.mValue] = MakeReplica({ it, mIds }, false);
    }
    for (std::size_t n = 1; n <= aEntries; ++n) {
      const std::string id = "e" + std::to_string(n);
      mEntries[id].mAsker.mOptions = { { id }, 1, mIds };
    }
  }

  std::uint64_t Draw(std::uint64_t aBound) { return mRandom() % aBound; }

  void Post(const std::string& aFrom, const std::string& aTo, Message aBody)
  {
    mNetwork.push_back({ aFrom, aTo, std::move(aBody) });
  }

  void RunAsker(const std::string& aId, const ClientEvent& aEvent)
  {
    EntryNode& entry = mEntries[aId];
    for (ClientEffect& it : Step(entry.mAsker, aEvent, mNow)) {
      if (auto* send = std::get_if<Send>(&it)) {
        std::visit([&](auto& aBody) { Post(aId, send->mTo.mValue, std::move(aBody)); },
                   send->mBody);
        continue;
      }
      const ClaimDecided& judged = std::get<ClaimDecided>(it);
      RequestTrace& request = mRequests[{ aId, judged.mNumber }];
      if (judged.mOutcome == ClaimOutcome::Granted) {
        entry.mReady[judged.mNumber] = judged.mValidUntil;
      } else if (judged.mOutcome == ClaimOutcome::Undecided ||
                 judged.mOutcome == ClaimOutcome::Mismatch) {
        request.mToldNotRun = true;
      }
      mKeptAnswers += judged.mOutcome == ClaimOutcome::Replay ? 1 : 0;
    }
  }

  void Deliver(const InTransit& aMessage)
  {
    if (const auto replica = mReplicas.find(aMessage.mTo); replica != mReplicas.end()) {
      DeliverToHolder(replica->second, aMessage);
    } else if (mEntries[aMessage.mTo].mFrozenUntil <= mNow) {
      RunAsker(aMessage.mTo,
               ReplyReceived{ { aMessage.mFrom }, std::get<ClaimReply>(aMessage.mBody) });
    } else {
      mNetwork.push_back(aMessage); // waits in the socket of the frozen entry
    }
  }

  void DeliverToHolder(Replica& aHolder, const InTransit& aMessage)
  {
    if (const auto* ask = std::get_if<ClaimRequest>(&aMessage.mBody)) {
      Post(aMessage.mTo, aMessage.mFrom, ProcessRequest(aHolder, *ask, mNow));
    } else if (const auto* result = std::get_if<AttemptResult>(&aMessage.mBody)) {
      RecordResult(aHolder, *result, mNow);
    } else if (const auto* copyRequest = std::get_if<CopyRequest>(&aMessage.mBody)) {
      if (auto page = MakeCopyPage(aHolder, *copyRequest, mNow)) {
        Post(aMessage.mTo, aMessage.mFrom, std::move(*page));
      }
    } else if (const auto* page = std::get_if<CopyPage>(&aMessage.mBody)) {
      if (auto next = ApplyCopyPage(aHolder, { aMessage.mFrom }, *page, mNow)) {
        Post(aMessage.mTo, aMessage.mFrom, *next);
      }
    }
  }

  /// Delivers a random message, so that messages are reordered; some are lost, some doubled.
  void DeliverOne()
  {
    if (mNetwork.empty()) {
      return;
    }
    const std::size_t index = Draw(mNetwork.size());
    const InTransit message = mNetwork[index];
    const std::uint64_t fate = Draw(20);
    if (fate != 0) {
      mNetwork.erase(mNetwork.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (fate != 1) {
      Deliver(message);
    }
  }

  /// A caller sends a request, often with a key that was used before.
  void BeginRequest(const std::string& aId)
  {
    const std::uint64_t number = mNextNumber++;
    const std::string key = "k" + std::to_string(Draw(kKeys));
    const std::string digest = Draw(30) == 0 ? "other" : "same";
    mRequests[{ aId, number }].mKey = key;
    RunAsker(aId, StartClaim{ number, key, digest, mNow + Millis(Draw(3000)) });
  }

  /// The entry dispatches what was granted, unless its claim is too old by now.
  void Dispatch(const std::string& aId)
  {
    EntryNode& entry = mEntries[aId];
    if (entry.mReady.empty()) {
      return;
    }
    const auto [number, validUntil] = *entry.mReady.begin();
    entry.mReady.erase(entry.mReady.begin());
    if (mNow < validUntil) {
      ++mRequests[{ aId, number }].mDispatches;
      entry.mRunning[number] = mNow;
    } else {
      mRequests[{ aId, number }].mToldNotRun = true;
      RunAsker(aId, RequestEnded{ number, false, std::nullopt });
    }
  }

  void End(const std::string& aId)
  {
    EntryNode& entry = mEntries[aId];
    if (entry.mRunning.empty()) {
      return;
    }
    const std::uint64_t number = entry.mRunning.begin()->first;
    entry.mRunning.erase(entry.mRunning.begin());
    const auto answer =
      Draw(2) == 0 ? std::optional(StoredResponse{ 200, {}, "whole" }) : std::nullopt;
    RunAsker(aId, RequestEnded{ number, true, answer });
  }

  void Restart(const ControlId& aId)
  {
    ++mRestarts;
    mReplicas[aId.mValue] = MakeReplica({ aId, mIds, mStarts++ }, true);
  }

  void ActInEntry(const std::string& aId)
  {
    EntryNode& entry = mEntries[aId];
    if (entry.mFrozenUntil > mNow) {
      return;
    }
    switch (Draw(6)) {
      case 0:
        BeginRequest(aId);
        break;
      case 1:
        Dispatch(aId);
        break;
      case 2:
        End(aId);
        break;
      case 3:
        if (Draw(10) == 0) {
          entry.mFrozenUntil = mNow + Millis(Draw(40'000));
        }
        break;
      default:
        RunAsker(aId, ClientTick{});
    }
  }

  void TickOne(const ControlId& aId)
  {
    for (auto& [to, ask] : TickReplica(mReplicas[aId.mValue], mNow)) {
      Post(aId.mValue, to.mValue, ask);
    }
  }

  void StepOnce()
  {
    const std::uint64_t action = Draw(100);
    if (action < 55) {
      DeliverOne();
    } else if (action < 85) {
      ActInEntry("e" + std::to_string(1 + Draw(mEntries.size())));
    } else if (action < 99) {
      TickOne(mIds[Draw(mIds.size())]);
    } else {
      Restart(mIds[Draw(mIds.size())]);
    }
    mNow += Draw(60) == 0 ? Millis(Draw(6000)) : Millis(Draw(20));
  }

  int DispatchesOf(const std::string& aKey) const
  {
    int count = 0;
    for (const auto& [id, request] : mRequests) {
      count += request.mKey == aKey ? request.mDispatches : 0;
    }
    return count;
  }
};

struct ScheduleFixture
{
  int mDispatched = 0;
  int mKept = 0;

  void Check(const Deployment& aDeployment, std::uint64_t aSeed)
  {
    INFO("seed " << aSeed);
    for (int n = 0; n < kKeys; ++n) {
      const int count = aDeployment.DispatchesOf("k" + std::to_string(n));
      REQUIRE(count <= 1);
      mDispatched += count;
    }
    for (const auto& [id, request] : aDeployment.mRequests) {
      REQUIRE((!request.mToldNotRun || request.mDispatches == 0));
    }
    mKept += aDeployment.mKeptAnswers;
  }

  void RunSchedules(std::size_t aHolders, std::size_t aEntries)
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Deployment deployment(seed, aHolders, aEntries);
      // Schedules are far shorter than the retention, so a key may be dispatched once in each.
      for (int n = 0; n < kSteps; ++n) {
        deployment.StepOnce();
      }
      Check(deployment, seed);
    }
  }
};

// Guards against a second dispatch for a key, and against "not run" for a request that was
// dispatched, whatever is lost, late, doubled, reordered, restarted or frozen.
TEST_CASE_METHOD(ScheduleFixture,
                 "Claims, three holders and random schedules, dispatch a key at most once",
                 "[claims]")
{
  RunSchedules(3, 3);
  // A protocol that grants nothing would pass the checks above.
  CHECK(mDispatched > static_cast<int>(kSeeds));
  CHECK(mKept > 0);
}

TEST_CASE_METHOD(ScheduleFixture,
                 "Claims, five holders and random schedules, dispatch a key at most once",
                 "[claims]")
{
  RunSchedules(5, 2);
  CHECK(mDispatched > static_cast<int>(kSeeds));
}

} // namespace
} // namespace fighold::claims
