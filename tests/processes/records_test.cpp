#include "cluster.hpp"

#include "fighold/agreement/storage.hpp"
#include "fighold/wire/codec.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <csignal>

namespace fighold::testing {
namespace {

/// More entries than the agreement keeps before it takes a snapshot.
constexpr int kEntriesForSnapshot = 1100;

/// A record that the front accepted and no process can read: its identifier is not UTF-8.
std::string
UnreadablePayload()
{
  membership::AnnounceBackendServer announce;
  announce.mId = { "i-\xFF\xFE" };
  announce.mServer.mIncarnation = 1;
  announce.mServer.mService = { "vardia" };
  announce.mServer.mRegion = { "attiki" };
  announce.mServer.mDataCentre = { "attiki-a" };
  announce.mServer.mAddress = { "127.0.0.1", 8080 };
  announce.mServer.mSlots = 1;
  return wire::EncodeChange({ {}, announce });
}

/// Three control processes and an entry, stopped with an unreadable record on all disks.
struct RecordsFixture
{
  static constexpr std::array kControls{ 1, 2, 3 };

  Cluster mCluster;
  std::array<std::size_t, 4> mStarts{}; ///< size of each output at the last start

  RecordsFixture()
  {
    StartControls();
    mCluster.StartEntry(1, "attiki");
    REQUIRE(Submit(1));
    REQUIRE(ShowPlan(1));
    REQUIRE(Cluster::Eventually([this] { return mCluster.IsReady(1); }));
  }

  static std::string Name(int aControl) { return "c" + std::to_string(aControl); }

  void StartControl(int aControl)
  {
    mStarts.at(static_cast<std::size_t>(aControl)) = mCluster.Output(Name(aControl)).size();
    mCluster.StartControl(aControl);
  }

  void StartControls()
  {
    for (const int it : kControls) {
      StartControl(it);
    }
  }

  /// Kills a control process that must not have ended by itself.
  void KillRunning(int aControl)
  {
    mCluster.Signal(Name(aControl), SIGKILL);
    CHECK(mCluster.WaitForExit(Name(aControl)) == 128 + SIGKILL);
  }

  void KillControls()
  {
    for (const int it : kControls) {
      KillRunning(it);
    }
  }

  /// @return what a process has logged since its last start
  std::string Log(int aControl) const
  {
    return mCluster.Output(Name(aControl)).substr(mStarts.at(static_cast<std::size_t>(aControl)));
  }

  /// @return true when a process has logged a line with both texts since its last start
  bool HasLine(int aControl, const std::string& aFirst, const std::string& aSecond) const
  {
    const std::string log = Log(aControl);
    for (std::size_t at = log.find(aFirst); at != std::string::npos;
         at = log.find(aFirst, at + 1)) {
      const std::size_t second = log.find(aSecond, at);
      if (second != std::string::npos && second < log.find('\n', at)) {
        return true;
      }
    }
    return false;
  }

  bool HasSkipped(int aControl) const
  {
    return HasLine(aControl, "decision=log-record", "choice=skipped");
  }

  bool Submit(int aNumber)
  {
    const std::string sheet = mCluster.WriteSheet("sheet.csv", TestSheet(aNumber));
    return Cluster::Eventually([&] {
      return mCluster.Ctl({ 1, 2, 3 }, { "plan", "submit", sheet }).mCode == 0;
    });
  }

  /// Waits until all control processes show a plan number.
  bool ShowPlan(int aNumber) const
  {
    const std::string mark = "plan " + std::to_string(aNumber) + ",";
    return std::all_of(kControls.begin(), kControls.end(), [&](int aControl) {
      return Cluster::Eventually([&] {
        return mCluster.Ctl({ aControl }, { "status" }).mOutput.find(mark) != std::string::npos;
      });
    });
  }

  /// @return contents of the data folder of a stopped process
  agreement::RecoveredState Recover(int aControl) const
  {
    agreement::RecoveredState recovered;
    agreement::Storage storage =
      agreement::OpenStorage(mCluster.Data(aControl), agreement::PosixFileOps(), 1, recovered);
    agreement::CloseStorage(storage);
    return recovered;
  }

  /// Gives all stopped processes the same log: the most recent of theirs, the unreadable record and
  /// some empty entries. With the record on all disks, the next leader commits it.
  /// @return index of the record
  agreement::Index AppendUnreadableRecord(int aEmptyEntries)
  {
    agreement::Write write;
    agreement::Term term = 0;
    const auto recent = [](const std::vector<agreement::LogEntry>& aLog) {
      return std::pair(aLog.back().mTerm, aLog.back().mIndex);
    };
    for (const int it : kControls) {
      const agreement::RecoveredState recovered = Recover(it);
      REQUIRE(recovered.mSnapshot->mIndex == 0);
      REQUIRE_FALSE(recovered.mLog.empty());
      term = std::max(term, recovered.mTermVote.mTerm);
      if (write.mEntries.empty() || recent(recovered.mLog) > recent(write.mEntries)) {
        write.mEntries = recovered.mLog;
      }
    }
    agreement::Index index = write.mEntries.back().mIndex;
    write.mEntries.push_back({ ++index, term, UnreadablePayload(), agreement::EntryKind::Change });
    const agreement::Index unreadable = index;
    for (int n = 0; n < aEmptyEntries; ++n) {
      write.mEntries.push_back({ ++index, term, "", agreement::EntryKind::Empty });
    }
    for (const int it : kControls) {
      agreement::RecoveredState recovered;
      agreement::Storage storage =
        agreement::OpenStorage(mCluster.Data(it), agreement::PosixFileOps(), 1, recovered);
      write.mTermVote = recovered.mTermVote;
      write.mTermVote->mTerm = std::max(write.mTermVote->mTerm, term);
      if (write.mTermVote->mTerm != recovered.mTermVote.mTerm) {
        write.mTermVote->mVotedFor = {};
      }
      agreement::PerformWrite(storage, write);
      agreement::CloseStorage(storage);
    }
    return unreadable;
  }

  /// Starts a control process without what it had on its disk, and waits until it is a voter.
  bool Rejoin(int aControl)
  {
    KillRunning(aControl);
    std::filesystem::remove_all(mCluster.Data(aControl));
    StartControl(aControl);
    return Cluster::Eventually(
      [&] { return Log(aControl).find("choice=follower") != std::string::npos; });
  }

  /// Ends all control processes with SIGTERM.
  /// @return true when each of them was running and ended in order
  bool StopInOrder()
  {
    std::vector<int> codes;
    for (const int it : kControls) {
      mCluster.Signal(Name(it), SIGTERM);
      codes.push_back(mCluster.WaitForExit(Name(it)));
    }
    return codes == std::vector<int>{ 0, 0, 0 };
  }
};

// Guards against a committed record that no process can read and that ends each process at each
// start, and a new process that joins them.
TEST_CASE_METHOD(RecordsFixture,
                 "Control, unreadable record in the log of all, skip it and go on",
                 "[processes]")
{
  KillControls();
  AppendUnreadableRecord(0);
  StartControls();
  CHECK(ShowPlan(1));
  for (const int it : kControls) {
    CHECK(Cluster::Eventually([&] { return HasSkipped(it); }));
  }
  CHECK(Submit(2));
  CHECK(ShowPlan(2));
  REQUIRE(Rejoin(3));
  CHECK(Cluster::Eventually([this] { return HasSkipped(3); }));
  CHECK(ShowPlan(2));
  CHECK(Submit(3));
  CHECK(ShowPlan(3));
  CHECK(StopInOrder());
}

// Guards against a snapshot that keeps something of a record that was skipped, or whose readers
// differ from those of the record.
TEST_CASE_METHOD(RecordsFixture,
                 "Control, unreadable record in the part that a snapshot covers, go on without it",
                 "[processes]")
{
  KillControls();
  const agreement::Index unreadable = AppendUnreadableRecord(kEntriesForSnapshot);
  StartControls();
  for (const int it : kControls) {
    CHECK(Cluster::Eventually([&] { return HasSkipped(it); }));
    CHECK(
      Cluster::Eventually([&] { return std::filesystem::exists(mCluster.Data(it) / "snapshot"); }));
  }
  CHECK(ShowPlan(1));
  CHECK(Submit(2));
  CHECK(ShowPlan(2));
  KillControls();
  StartControls();
  CHECK(ShowPlan(2));
  REQUIRE(Rejoin(3));
  CHECK(ShowPlan(2));
  CHECK(Submit(3));
  CHECK(ShowPlan(3));
  for (const int it : kControls) {
    CHECK_FALSE(HasSkipped(it));
  }
  CHECK(StopInOrder());
  for (const int it : kControls) {
    CHECK(Recover(it).mSnapshot->mIndex > unreadable);
  }
}

} // namespace
} // namespace fighold::testing
