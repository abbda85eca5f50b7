// Random schedules, one per seed, of clients and replicas with a faulty network, replica restarts
// and suspended entries.

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

struct QueuedMessage
{
  std::string mFrom;
  std::string mTo;
  Message mBody;
};

/// History of one request.
struct RequestTrace
{
  std::string mKey;
  int mDispatches = 0;
  bool mReportedNotRun = false;
};

/// An entry: its claim client, its requests, and the end of its suspension.
struct EntryNode
{
  Client mClient;
  Instant mSuspendedUntil{};
  std::map<std::uint64_t, Instant>
    mGranted; ///< end of validity of requests granted and not yet dispatched
  std::map<std::uint64_t, Instant> mRunning; ///< dispatch time of requests without a response yet
};

/// A simulated deployment in one thread. Each step performs one random action and advances the
/// clock.
struct Deployment
{
  std::mt19937_64 mRandom;
  std::vector<ControlId> mIds;
  std::map<std::string, Replica> mReplicas;
  std::map<std::string, EntryNode> mEntries;
  std::vector<QueuedMessage> mNetwork;
  std::map<std::pair<std::string, std::uint64_t>, RequestTrace> mRequests;
  std::uint64_t mNextNumber = 1;
  std::uint64_t mStarts = 1;
  Instant mNow{ Millis(10'000'000) };
  int mReplayed = 0;
  int mRestarts = 0;

  Deployment(std::uint64_t aSeed, std::size_t aReplicaCount, std::size_t aEntryCount)
    : mRandom(aSeed)
  {
    for (std::size_t n = 1; n <= aReplicaCount; ++n) {
      mIds.push_back({ "c" + std::to_string(n) });
    }
    for (const ControlId& it : mIds) {
      mReplicas[it.mValue] = MakeReplica({ it, mIds }, false);
    }
    for (std::size_t n = 1; n <= aEntryCount; ++n) {
      const std::string id = "e" + std::to_string(n);
      mEntries[id].mClient.mOptions = { { id }, 1, mIds };
    }
  }

  std::uint64_t RandomBelow(std::uint64_t aBound) { return mRandom() % aBound; }

  void Enqueue(const std::string& aFrom, const std::string& aTo, Message aBody)
  {
    mNetwork.push_back({ aFrom, aTo, std::move(aBody) });
  }

  void RunClient(const std::string& aId, const ClientEvent& aEvent)
  {
    EntryNode& entry = mEntries[aId];
    for (ClientEffect& it : Step(entry.mClient, aEvent, mNow)) {
      if (auto* send = std::get_if<Send>(&it)) {
        std::visit([&](auto& aBody) { Enqueue(aId, send->mTo.mValue, std::move(aBody)); },
                   send->mBody);
        continue;
      }
      const ClaimDecided& decided = std::get<ClaimDecided>(it);
      RequestTrace& request = mRequests[{ aId, decided.mNumber }];
      if (decided.mOutcome == ClaimOutcome::Granted) {
        entry.mGranted[decided.mNumber] = decided.mValidUntil;
      } else if (decided.mOutcome == ClaimOutcome::Undecided ||
                 decided.mOutcome == ClaimOutcome::Mismatch) {
        request.mReportedNotRun = true;
      }
      mReplayed += decided.mOutcome == ClaimOutcome::Replay ? 1 : 0;
    }
  }

  void Deliver(const QueuedMessage& aMessage)
  {
    if (const auto replica = mReplicas.find(aMessage.mTo); replica != mReplicas.end()) {
      DeliverToReplica(replica->second, aMessage);
    } else if (mEntries[aMessage.mTo].mSuspendedUntil <= mNow) {
      RunClient(aMessage.mTo,
                ReplyReceived{ { aMessage.mFrom }, std::get<ClaimReply>(aMessage.mBody) });
    } else {
      mNetwork.push_back(aMessage); // waits in the socket buffer of the suspended entry
    }
  }

  void DeliverToReplica(Replica& aReplica, const QueuedMessage& aMessage)
  {
    if (const auto* request = std::get_if<ClaimRequest>(&aMessage.mBody)) {
      Enqueue(aMessage.mTo, aMessage.mFrom, ProcessRequest(aReplica, *request, mNow));
    } else if (const auto* result = std::get_if<AttemptResult>(&aMessage.mBody)) {
      RecordResult(aReplica, *result, mNow);
    } else if (const auto* copyRequest = std::get_if<CopyRequest>(&aMessage.mBody)) {
      if (auto page = MakeCopyPage(aReplica, *copyRequest, mNow)) {
        Enqueue(aMessage.mTo, aMessage.mFrom, std::move(*page));
      }
    } else if (const auto* page = std::get_if<CopyPage>(&aMessage.mBody)) {
      if (auto next = ApplyCopyPage(aReplica, { aMessage.mFrom }, *page, mNow)) {
        Enqueue(aMessage.mTo, aMessage.mFrom, *next);
      }
    }
  }

  /// Delivers a random message, which reorders messages; 5% are lost and 5% are duplicated.
  void DeliverOne()
  {
    if (mNetwork.empty()) {
      return;
    }
    const std::size_t index = RandomBelow(mNetwork.size());
    const QueuedMessage message = mNetwork[index];
    const std::uint64_t fate = RandomBelow(20);
    if (fate != 0) {
      mNetwork.erase(mNetwork.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (fate != 1) {
      Deliver(message);
    }
  }

  /// Starts a request of a caller, often with a key that was used before.
  void BeginRequest(const std::string& aId)
  {
    const std::uint64_t number = mNextNumber++;
    const std::string key = "k" + std::to_string(RandomBelow(kKeys));
    const std::string digest = RandomBelow(30) == 0 ? "other" : "same";
    mRequests[{ aId, number }].mKey = key;
    RunClient(aId, StartClaim{ number, key, digest, mNow + Millis(RandomBelow(3000)) });
  }

  /// Dispatches a granted request unless its claim has expired.
  void Dispatch(const std::string& aId)
  {
    EntryNode& entry = mEntries[aId];
    if (entry.mGranted.empty()) {
      return;
    }
    const auto [number, validUntil] = *entry.mGranted.begin();
    entry.mGranted.erase(entry.mGranted.begin());
    if (mNow < validUntil) {
      ++mRequests[{ aId, number }].mDispatches;
      entry.mRunning[number] = mNow;
    } else {
      mRequests[{ aId, number }].mReportedNotRun = true;
      RunClient(aId, RequestEnded{ number, false, std::nullopt });
    }
  }

  void EndRequest(const std::string& aId)
  {
    EntryNode& entry = mEntries[aId];
    if (entry.mRunning.empty()) {
      return;
    }
    const std::uint64_t number = entry.mRunning.begin()->first;
    entry.mRunning.erase(entry.mRunning.begin());
    const auto response =
      RandomBelow(2) == 0 ? std::optional(StoredResponse{ 200, {}, "whole" }) : std::nullopt;
    RunClient(aId, RequestEnded{ number, true, response });
  }

  void Restart(const ControlId& aId)
  {
    ++mRestarts;
    mReplicas[aId.mValue] = MakeReplica({ aId, mIds, mStarts++ }, true);
  }

  void RunEntryAction(const std::string& aId)
  {
    EntryNode& entry = mEntries[aId];
    if (entry.mSuspendedUntil > mNow) {
      return;
    }
    switch (RandomBelow(6)) {
      case 0:
        BeginRequest(aId);
        break;
      case 1:
        Dispatch(aId);
        break;
      case 2:
        EndRequest(aId);
        break;
      case 3:
        if (RandomBelow(10) == 0) {
          entry.mSuspendedUntil = mNow + Millis(RandomBelow(40'000));
        }
        break;
      default:
        RunClient(aId, ClientTick{});
    }
  }

  void TickOneReplica(const ControlId& aId)
  {
    for (auto& [to, request] : TickReplica(mReplicas[aId.mValue], mNow)) {
      Enqueue(aId.mValue, to.mValue, request);
    }
  }

  void StepOnce()
  {
    const std::uint64_t action = RandomBelow(100);
    if (action < 55) {
      DeliverOne();
    } else if (action < 85) {
      RunEntryAction("e" + std::to_string(1 + RandomBelow(mEntries.size())));
    } else if (action < 99) {
      TickOneReplica(mIds[RandomBelow(mIds.size())]);
    } else {
      Restart(mIds[RandomBelow(mIds.size())]);
    }
    mNow += RandomBelow(60) == 0 ? Millis(RandomBelow(6000)) : Millis(RandomBelow(20));
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
  int mReplayed = 0;

  void Check(const Deployment& aDeployment, std::uint64_t aSeed)
  {
    INFO("seed " << aSeed);
    for (int n = 0; n < kKeys; ++n) {
      const int count = aDeployment.DispatchesOf("k" + std::to_string(n));
      REQUIRE(count <= 1);
      mDispatched += count;
    }
    for (const auto& [id, request] : aDeployment.mRequests) {
      REQUIRE((!request.mReportedNotRun || request.mDispatches == 0));
    }
    mReplayed += aDeployment.mReplayed;
  }

  void RunSchedules(std::size_t aReplicaCount, std::size_t aEntryCount)
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Deployment deployment(seed, aReplicaCount, aEntryCount);
      // A schedule is far shorter than the retention, so each key may be dispatched once in it.
      for (int n = 0; n < kSteps; ++n) {
        deployment.StepOnce();
      }
      Check(deployment, seed);
    }
  }
};

// Guards against a second dispatch for a key and against reporting a dispatched request as "not
// run" when messages are lost, delayed, duplicated or reordered, replicas restart and entries
// are suspended.
TEST_CASE_METHOD(ScheduleFixture,
                 "Claims, three replicas and random schedules, dispatch a key at most once",
                 "[claims]")
{
  RunSchedules(3, 3);
  // A protocol that grants nothing would pass the other checks.
  CHECK(mDispatched > static_cast<int>(kSeeds));
  CHECK(mReplayed > 0);
}

TEST_CASE_METHOD(ScheduleFixture,
                 "Claims, five replicas and random schedules, dispatch a key at most once",
                 "[claims]")
{
  RunSchedules(5, 2);
  CHECK(mDispatched > static_cast<int>(kSeeds));
}

} // namespace
} // namespace fighold::claims
