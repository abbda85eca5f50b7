#include "entry_group_fixture.hpp"
#include "environment.hpp"

#include <random>

namespace fighold::entry {
namespace {

/// Entries whose servers pause together.
struct PauseGroupFixture : EntryGroupFixture
{
  static bool Granted(std::size_t /*aEntry*/) { return true; }
};

// Guards against requests that all return in the moment in which a pause ends.
TEST_CASE_METHOD(PauseGroupFixture,
                 "Forward, all servers pause together, requests come back spread over time",
                 "[entry]")
{
  StartEntries(kEightEntries);
  Run(std::chrono::seconds(2), Granted);
  for (std::size_t n = 0; n < mEntries.size(); ++n) {
    for (const auto& [id, server] : mConfiguration.mBackendServers) {
      DispatchDone done;
      done.mServer = { id, server.mIncarnation };
      done.mResult.mStage = net::ExchangeStage::Answered;
      done.mReport.mAvailability.mPause = std::chrono::seconds(4);
      Collect(n, Step(mEntries[n], done, mNow));
    }
  }
  const Instant begin = mNow;
  mSent.clear();
  Run(std::chrono::seconds(10), Granted);
  std::map<int, std::size_t> sentIn; // in each quarter of a second of the pause and after it
  for (const auto& [id, times] : mSent) {
    for (const Instant it : times) {
      CHECK(it >= begin + std::chrono::seconds(4));
      ++sentIn[static_cast<int>((it - begin) / Millis(250))];
    }
  }
  // 50 requests arrive in each quarter of a second.
  CHECK(sentIn[16] > 0);
  CHECK(sentIn[16] <= 25);
  CHECK(sentIn[30] >= 45);
}

/// Entries and servers that say anything at any moment.
struct RandomStatementFixture : EntryGroupFixture
{
  /// What an entry has heard of an incarnation.
  struct Heard
  {
    bool mLeaves = false;
    Instant mPausedUntil{};
  };

  std::mt19937_64 mRandomSource;
  std::map<std::pair<std::size_t, ServerKey>, Heard> mHeard;
  std::size_t mDispatches = 0;

  explicit RandomStatementFixture(std::uint64_t aSeed)
    : mRandomSource(aSeed)
  {
    StartEntries({ "attiki", "makedonia", "kriti" });
  }

  bool Chance(unsigned aOneIn) { return mRandomSource() % aOneIn == 0; }

  AvailabilityStatement RandomStatement()
  {
    AvailabilityStatement said;
    said.mLeaving = Chance(60);
    if (Chance(30)) {
      said.mPause = Millis(1 + mRandomSource() % 6000);
    }
    return said;
  }

  /// Ends a dispatch in any way, if its time has come.
  void EndDispatch(std::size_t aEntry, const Dispatch& aDispatch)
  {
    DispatchDone done;
    done.mId = aDispatch.mId;
    done.mDispatchId = aDispatch.mDispatchId;
    done.mServer = { aDispatch.mServer.mId, aDispatch.mServer.mIncarnation };
    const auto kind = mRandomSource() % 10;
    done.mResult.mStage = kind == 0   ? net::ExchangeStage::NotSent
                          : kind == 1 ? net::ExchangeStage::NoAnswer
                                      : net::ExchangeStage::Answered;
    done.mMeaning = kind == 2   ? AnswerMeaning::NotRun
                    : kind == 3 ? AnswerMeaning::Unusable
                                : AnswerMeaning::Result;
    if (done.mResult.mStage == net::ExchangeStage::Answered) {
      done.mReport.mAvailability = RandomStatement();
      Heard& heard = mHeard[{ aEntry, done.mServer }];
      heard.mLeaves = heard.mLeaves || done.mReport.mAvailability.mLeaving;
      heard.mPausedUntil =
        std::max(heard.mPausedUntil, mNow + done.mReport.mAvailability.mPause.value_or(Millis(0)));
    }
    Handle(aEntry, done);
  }

  /// Checks each dispatch against what the entry has heard, and keeps it until it ends.
  void Handle(std::size_t aEntry, const Event& aEvent)
  {
    for (const Effect& it : Step(mEntries[aEntry], aEvent, mNow)) {
      const auto* dispatch = std::get_if<Dispatch>(&it);
      if (dispatch == nullptr) {
        continue;
      }
      ++mDispatches;
      const Heard& heard =
        mHeard[{ aEntry, { dispatch->mServer.mId, dispatch->mServer.mIncarnation } }];
      CHECK_FALSE(heard.mLeaves);
      CHECK(mNow >= heard.mPausedUntil);
      mOpen.emplace_back(aEntry, *dispatch);
    }
  }

  /// A change of the configuration: a server starts again, vanishes, or comes back as it was.
  void ChangeServers()
  {
    const auto n = mRandomSource() % 12;
    const BackendServerId id{ "s" + std::to_string(n) };
    const auto listed = mConfiguration.mBackendServers.find(id);
    if (listed == mConfiguration.mBackendServers.end()) {
      mConfiguration.mBackendServers[id] = mRemoved.at(id);
    } else if (Chance(2)) {
      listed->second.mIncarnation += 1;
    } else {
      mRemoved[id] = listed->second;
      mConfiguration.mBackendServers.erase(listed);
    }
    ++mConfiguration.mVersion;
  }

  void StepRandomly()
  {
    mNow += Millis(mRandomSource() % 20);
    const std::size_t entry = mRandomSource() % mEntries.size();
    if (Chance(100)) {
      ChangeServers();
    }
    if (Chance(25)) {
      Grant(mEntries[entry], {});
    }
    if (Chance(10)) {
      Handle(entry, Tick{});
    }
    if (!mOpen.empty() && Chance(2)) {
      const std::size_t n = mRandomSource() % mOpen.size();
      const auto [sender, dispatch] = mOpen[n];
      mOpen.erase(mOpen.begin() + static_cast<std::ptrdiff_t>(n));
      EndDispatch(sender, dispatch);
    } else {
      ForwardRequest request;
      request.mId = mNextId++;
      request.mAffinityKey = Chance(2) ? std::to_string(mRandomSource() % 20) : "";
      net::HttpRequest payload;
      payload.mTarget = "/1";
      payload.mHost = "desk.example";
      request.mPayload = SharedValue(payload);
      Handle(entry, request);
      if (Chance(20)) {
        Handle(entry, CallerGone{ request.mId, "closed" });
      }
    }
  }

  std::vector<std::pair<std::size_t, Dispatch>> mOpen;
  std::map<BackendServerId, membership::BackendServer> mRemoved;
};

// Guards against any way to a server that wants no requests: first and second attempts, objects,
// health requests, changes of the configuration, entries that are cut off, late answers.
TEST_CASE("Forward, servers say anything at any moment, get nothing that they do not want",
          "[entry]")
{
  const std::uint64_t first = testing::FromEnvironment("FIGHOLD_SEED", 1);
  const std::uint64_t runs = testing::FromEnvironment("FIGHOLD_RUNS", 20);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    INFO("seed " << seed);
    RandomStatementFixture fixture(seed);
    for (int n = 0; n < 3000; ++n) {
      fixture.StepRandomly();
    }
    CHECK(fixture.mDispatches > 500);
  }
}

} // namespace
} // namespace fighold::entry
