#include "fighold/control/decide.hpp"

#include "fighold/control/wire_codec.hpp"
#include "fighold/plan/sheet.hpp"
#include "fighold/wire/codec.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
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
  std::vector<DecisionRecord> mRecords; ///< as logged
  std::vector<AnswerCall> mAnswers;
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
    mState = std::make_unique<State>(
      MakeState(agreement::MakeNode(options, mDisk), WireCodec(), LoadCharts(FIGHOLD_CHARTS_DIR)));
  }

  void HandleEvent(const Event& aEvent)
  {
    std::uint64_t stored = 0;
    for (const Effect& it : Step(*mState, aEvent, mNow)) {
      if (const auto* store = std::get_if<Store>(&it)) {
        Write(store->mWrite);
        stored = store->mWrite.mWrite;
      } else if (const auto* record = std::get_if<LogRecord>(&it)) {
        mRecords.push_back(record->mRecord);
      } else if (const auto* answer = std::get_if<AnswerCall>(&it)) {
        mAnswers.push_back(*answer);
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

  /// Adds a record behind the last one, as a leader would that does not check what it appends.
  void AppendToDisk(const std::string& aPayload)
  {
    const agreement::LogEntry& last = mDisk.mLog.back();
    mDisk.mLog.push_back({ last.mIndex + 1, last.mTerm, aPayload });
  }

  /// @return change with an identifier that is no UTF-8
  static membership::Change UnreadableChange()
  {
    membership::BackendServer server;
    server.mIncarnation = 1;
    return { {}, membership::AnnounceBackendServer{ { "i-\xFF\xFE" }, server, 0 } };
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
  std::vector<std::string> roles;
  for (const DecisionRecord& it : mRecords) {
    if (it.mKind == "role") {
      roles.push_back(it.mChoice);
    }
  }
  CHECK(roles == std::vector<std::string>{ "follower", "pre_candidate", "candidate", "leader" });
}

// Guards against a group that cannot start any more because of one committed record that nobody can
// read: it must go on with all other records, old and new.
TEST_CASE_METHOD(DecideFixture,
                 "Step, malformed record in the log, skips it and applies the others",
                 "[control]")
{
  Run(40);
  Drain(1);
  AppendToDisk(wire::EncodeChange(UnreadableChange()));
  Start();
  Run(40);
  REQUIRE(agreement::IsLeader(mState->mNode));
  Drain(2);
  CHECK(mState->mConfiguration->mDrains.mEntries ==
        std::set<EntryId>{ { "drain-1" }, { "drain-2" } });
  CHECK(mState->mConfiguration->mBackendServers.empty());
  const auto skipped = std::count_if(mRecords.begin(), mRecords.end(), [](const auto& aRecord) {
    return aRecord.mKind == "log-record" && aRecord.mChoice == "skipped";
  });
  CHECK(skipped == 1);
  CHECK(mState->mSkippedRecords == 1);
}

// Guards against a process that goes on with a state other than that of the rest of the group: it
// must stop at a record of a kind that only later versions know.
TEST_CASE_METHOD(DecideFixture,
                 "Step, record of an unknown kind in the log, stops with its index",
                 "[control]")
{
  Run(40);
  Drain(1);
  AppendToDisk("\xA2\x06\x01x"); // field 100
  Start();
  CHECK_THROWS_AS(Run(40), RecordError);
}

// Guards against a leader that commits a record which no process can read back, and against a
// caller who waits for the decision in vain.
TEST_CASE_METHOD(DecideFixture,
                 "Step, change that cannot be read back, is refused at once and not appended",
                 "[control]")
{
  Run(40);
  const std::size_t size = mDisk.mLog.size();
  ServerHeartbeat heartbeat;
  heartbeat.mId = 7;
  heartbeat.mServerId = std::get<membership::AnnounceBackendServer>(UnreadableChange().mBody).mId;
  heartbeat.mServer.mIncarnation = 1;
  heartbeat.mServer.mService = { "offers" };
  HandleEvent(heartbeat);
  ChangeCall call{ 8, UnreadableChange() };
  call.mChange.mId = { "c" };
  HandleEvent(call);
  REQUIRE(mAnswers.size() == 2);
  const auto server = std::get<ServerAnswer>(mAnswers[0].mAnswer);
  CHECK((server.mDecided && !server.mAccepted));
  const auto change = std::get<ChangeCallAnswer>(mAnswers[1].mAnswer);
  CHECK((change.mDecided && change.mAnswer.mVerdict == membership::Verdict::Refused));
  Run(10);
  CHECK(mDisk.mLog.size() == size);
  CHECK(mAnswers.size() == 2);
  CHECK(mState->mUnreadableChanges == 2);
}

// Guards against a plan that is committed although its sheet cannot be parsed back: its record is
// well-formed but ends every process, at each start.
TEST_CASE_METHOD(DecideFixture,
                 "Step, change whose record is well-formed but gives no change, is refused at once",
                 "[control]")
{
  Run(40);
  const std::size_t size = mDisk.mLog.size();
  mState->mCodec.mDecode = [](const std::string&) { return std::nullopt; };
  Drain(1);
  REQUIRE(mAnswers.size() == 1);
  const auto change = std::get<ChangeCallAnswer>(mAnswers[0].mAnswer);
  CHECK((change.mDecided && change.mAnswer.mVerdict == membership::Verdict::Refused));
  Run(10);
  CHECK(mDisk.mLog.size() == size);
}

// Guards against a record that versions read in different ways: earlier ones check both occurrences
// of a text, this one only the last.
TEST_CASE_METHOD(DecideFixture,
                 "Step, forwarded record with a member twice, is not appended",
                 "[control]")
{
  Run(40);
  const auto forward = [this](const std::string& aPayload) {
    const std::size_t size = mDisk.mLog.size();
    HandleEvent(ControlMessage{ { "c2" },
                                agreement::Message{ 9,
                                                    mState->mNode.mMembership.mGroup,
                                                    agreement::ForwardedProposal{ aPayload } } });
    return mDisk.mLog.size() - size;
  };
  const std::string record = wire::EncodeChange(
    { { "d" }, membership::SetDrain{ membership::DrainKind::Entry, "e1", true } });
  CHECK(forward("\x0A\x01\xFF" + record) == 0);
  CHECK(forward(record) == 1);
}

} // namespace
} // namespace fighold::control
