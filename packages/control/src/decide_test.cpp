#include "fighold/control/decide.hpp"

#include "fighold/plan/sheet.hpp"
#include "fighold/wire/codec.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>

namespace fighold::control {
namespace {

/// A group of a single control process with storage in memory.
struct DecideFixture
{
  static constexpr std::uint64_t kSnapshotInterval = 5;

  agreement::RecoveredState mDisk;
  std::unique_ptr<State> mState;
  std::vector<std::string> mRoles; ///< roles, as logged
  Instant mNow{ std::chrono::hours(1) };

  DecideFixture()
  {
    mDisk.mIncarnation = 4;
    Start();
  }

  void Start()
  {
    agreement::Options options;
    options.mSelf = { "c1" };
    options.mConfigured = { { "c1" } };
    options.mSnapshotInterval = kSnapshotInterval;
    options.mChart = agreement::LoadRoleChart(FIGHOLD_CHARTS_DIR);
    const Codec codec{ wire::EncodeChange,
                       [](const std::string& aBytes) { return wire::DecodeChange(aBytes); },
                       wire::EncodeConfiguration,
                       [](const std::string& aBytes) {
                         return wire::DecodeConfiguration(aBytes);
                       } };
    mState = std::make_unique<State>(
      MakeState(agreement::MakeNode(options, mDisk), codec, LoadCharts(FIGHOLD_CHARTS_DIR)));
  }

  void HandleEvent(const Event& aEvent)
  {
    std::uint64_t stored = 0;
    for (const Effect& it : Step(*mState, aEvent, mNow)) {
      if (const auto* store = std::get_if<Store>(&it)) {
        Write(store->mWrite);
        stored = store->mWrite.mWrite;
      } else if (const auto* record = std::get_if<LogRecord>(&it)) {
        if (record->mRecord.mKind == "role") {
          mRoles.push_back(record->mRecord.mChoice);
        }
      }
    }
    if (stored != 0) {
      HandleEvent(Stored{ stored });
    }
  }

  void Write(const agreement::Write& aWrite)
  {
    mDisk.mTermVote = aWrite.mTermVote.value_or(mDisk.mTermVote);
    if (aWrite.mSnapshot) {
      mDisk.mSnapshot = *aWrite.mSnapshot;
      mDisk.mLog.clear();
    }
    mDisk.mLog.insert(mDisk.mLog.end(), aWrite.mEntries.begin(), aWrite.mEntries.end());
  }

  void Run(int aTicks)
  {
    for (int n = 0; n < aTicks; ++n) {
      mNow += kTickInterval;
      HandleEvent(Tick{});
    }
  }

  void Drain(int aNumber)
  {
    const std::string id = "drain-" + std::to_string(aNumber);
    HandleEvent(
      ChangeCall{ static_cast<CallId>(aNumber),
                  membership::Change{
                    { id }, membership::SetDrain{ membership::DrainKind::Entry, id, true } } });
  }
};

// Guards against a restart that loses state held only by the snapshot, or applies it twice.
TEST_CASE_METHOD(DecideFixture,
                 "MakeState, after snapshots, restores the configuration and replays the log",
                 "[control]")
{
  Run(40);
  REQUIRE(agreement::IsLeader(mState->mNode));
  for (int n = 1; n <= 12; ++n) {
    Drain(n);
  }
  const membership::Configuration before = *mState->mConfiguration;
  CHECK(before.mAnswers.size() == 12);
  CHECK(before.mDrains.mEntries.size() == 12);
  const agreement::Index snapshot = mDisk.mSnapshot->mIndex;
  REQUIRE(snapshot > 0);
  CHECK(mDisk.mLog.size() < kSnapshotInterval);

  Start();
  CHECK(mState->mConfiguration->mVersion <= snapshot);
  CHECK(mState->mConfiguration->mVersion > 0);
  Run(40);
  CHECK(*mState->mConfiguration == before);
}

// Guards against role changes that are not logged.
TEST_CASE_METHOD(DecideFixture, "Step, roles change, logs each of them", "[control]")
{
  Run(40);
  CHECK(mRoles == std::vector<std::string>{ "follower", "pre_candidate", "candidate", "leader" });
}

} // namespace
} // namespace fighold::control
