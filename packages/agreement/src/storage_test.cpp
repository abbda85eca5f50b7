#include "fighold/agreement/storage.hpp"
#include "folder_fixture.hpp"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <fstream>

namespace fighold::agreement {
namespace {

struct StorageFixture : testing::FolderFixture
{

  void Append(const std::vector<LogEntry>& aEntries) const
  {
    WriteAndClose({ 1, {}, {}, aEntries });
  }

  void WriteAndClose(const Write& aWrite) const
  {
    RecoveredState recovered;
    Storage storage = OpenStorage(mFolder, PosixFileOps(), 7, recovered);
    PerformWrite(storage, aWrite);
    CloseStorage(storage);
  }

  RecoveredState Recover(Incarnation aNewIncarnation = 8) const
  {
    RecoveredState recovered;
    Storage storage = OpenStorage(mFolder, PosixFileOps(), aNewIncarnation, recovered);
    CloseStorage(storage);
    return recovered;
  }

  std::uintmax_t LogSize() const { return std::filesystem::file_size(mFolder / "log"); }

  void ChangeByte(const char* aName, std::size_t aAt) const
  {
    std::fstream file(mFolder / aName, std::ios::binary | std::ios::in | std::ios::out);
    file.seekg(static_cast<std::streamoff>(aAt));
    const int byte = file.get();
    file.seekp(static_cast<std::streamoff>(aAt));
    file.put(static_cast<char>(byte ^ 0x40));
  }
};

TEST_CASE_METHOD(StorageFixture,
                 "OpenStorage, after appends, reads entries in order",
                 "[agreement]")
{
  Append({ { 1, 1, "a" }, { 2, 1, "", EntryKind::Empty } });
  Append({ { 3, 2, "c" } });
  CHECK(Recover().mLog ==
        std::vector<LogEntry>{ { 1, 1, "a" }, { 2, 1, "", EntryKind::Empty }, { 3, 2, "c" } });
}

TEST_CASE_METHOD(StorageFixture,
                 "OpenStorage, entry rewritten, replaces the log from its index on",
                 "[agreement]")
{
  Append({ { 1, 1, "a" }, { 2, 1, "b" }, { 3, 1, "c" } });
  Append({ { 2, 2, "x" } });
  CHECK(Recover().mLog == std::vector<LogEntry>{ { 1, 1, "a" }, { 2, 2, "x" } });
}

// Guards against a second vote in a term after a restart.
TEST_CASE_METHOD(StorageFixture, "OpenStorage, after votes, reads the latest one", "[agreement]")
{
  WriteAndClose({ 1, TermVote{ 3, Member{ { "c1" }, 11 } }, {}, {} });
  CHECK(Recover().mTermVote == TermVote{ 3, Member{ { "c1" }, 11 } });
  WriteAndClose({ 1, TermVote{ 4, std::nullopt }, {}, {} });
  CHECK(Recover().mTermVote == TermVote{ 4, std::nullopt });
}

// Guards against a VM with a new disk that is mistaken for the member it was before.
TEST_CASE_METHOD(StorageFixture,
                 "OpenStorage, folder lost, uses the new incarnation, otherwise keeps its own",
                 "[agreement]")
{
  CHECK(Recover(7).mIncarnation == 7);
  CHECK(Recover(8).mIncarnation == 7);
  std::filesystem::remove_all(mFolder);
  CHECK(Recover(9).mIncarnation == 9);
}

// Guards against a member whose data folder lost files but that still counts towards a quorum.
TEST_CASE_METHOD(StorageFixture, "OpenStorage, incarnation missing, throws", "[agreement]")
{
  Append({ { 1, 1, "a" } });
  std::filesystem::remove(mFolder / "incarnation");
  CHECK_THROWS_AS(Recover(), StorageError);
}

// Guards against a crash during a write that makes the complete log unreadable.
TEST_CASE_METHOD(StorageFixture,
                 "OpenStorage, last record truncated at any byte, keeps the records before it",
                 "[agreement]")
{
  Append({ { 1, 1, "a" } });
  const auto first = LogSize();
  Append({ { 2, 1, "bb" } });
  const auto whole = LogSize();
  for (auto n = whole - 1; n > first; --n) {
    std::filesystem::resize_file(mFolder / "log", n);
    CHECK(Recover().mLog.size() == 1);
    CHECK(LogSize() == first);
    Append({ { 2, 1, "bb" } });
  }
}

// Guards against silent loss of entries when the disk returns corrupted bytes in the length, the
// checksum or the body of a record.
TEST_CASE_METHOD(StorageFixture,
                 "OpenStorage, any byte before the last record damaged, throws",
                 "[agreement]")
{
  Append({ { 1, 1, "a" }, { 2, 1, "b" } });
  const auto last = LogSize();
  Append({ { 3, 1, "c" } });
  for (std::size_t n = 0; n < last; ++n) {
    ChangeByte("log", n);
    CAPTURE(n);
    CHECK_THROWS_AS(Recover(), StorageError);
    ChangeByte("log", n);
  }
  CHECK(Recover().mLog.size() == 3);
}

TEST_CASE_METHOD(StorageFixture,
                 "OpenStorage, any byte of snapshot or incarnation damaged, throws",
                 "[agreement]")
{
  WriteAndClose(
    { 1, TermVote{ 1, {} }, SharedValue(Snapshot{ 2, 1, { 5, { { { "c1" }, 7 } } }, "s" }), {} });
  for (const char* name : { "snapshot", "incarnation" }) {
    for (std::size_t n = 0; n < std::filesystem::file_size(mFolder / name); ++n) {
      ChangeByte(name, n);
      CAPTURE(name, n);
      CHECK_THROWS_AS(Recover(), StorageError);
      ChangeByte(name, n);
    }
  }
}

TEST_CASE_METHOD(StorageFixture,
                 "OpenStorage, after a snapshot, reads it and the entries after it",
                 "[agreement]")
{
  const Snapshot snapshot{ 2, 1, { 5, { { { "c1" }, 7 } } }, std::string("state\0x", 7) };
  Append({ { 1, 1, "a" }, { 2, 1, "b" }, { 3, 1, "c" } });
  WriteAndClose({ 1, TermVote{ 4, {} }, SharedValue(snapshot), { { 3, 1, "c" } } });
  Append({ { 4, 4, "d" } });
  const RecoveredState recovered = Recover();
  CHECK(*recovered.mSnapshot == snapshot);
  CHECK(recovered.mTermVote.mTerm == 4);
  CHECK(recovered.mLog == std::vector<LogEntry>{ { 3, 1, "c" }, { 4, 4, "d" } });
}

// Guards against a crash after the snapshot was replaced and before the log was.
TEST_CASE_METHOD(StorageFixture,
                 "OpenStorage, snapshot newer than the log, drops covered entries",
                 "[agreement]")
{
  struct Row
  {
    Term mTerm;
    Index mIndex;
    std::size_t mExpectedSize;
  };
  for (const Row& row : { Row{ 1, 2, 1 }, Row{ 1, 3, 0 }, Row{ 1, 9, 0 }, Row{ 5, 2, 0 } }) {
    std::filesystem::remove_all(mFolder);
    Append({ { 1, 1, "a" }, { 2, 1, "b" }, { 3, 1, "c" } });
    std::filesystem::copy(mFolder / "log", mFolder / "old");
    WriteAndClose({ 1, {}, SharedValue(Snapshot{ row.mIndex, row.mTerm, {}, "s" }), {} });
    std::filesystem::rename(mFolder / "old", mFolder / "log");
    CAPTURE(row.mTerm, row.mIndex);
    CHECK(Recover().mLog.size() == row.mExpectedSize);
  }
}

// Guards against a missing snapshot whose entries have been removed from the log.
TEST_CASE_METHOD(StorageFixture, "OpenStorage, snapshot missing, throws", "[agreement]")
{
  WriteAndClose({ 1, {}, SharedValue(Snapshot{ 2, 1, {}, "s" }), { { 3, 1, "c" } } });
  std::filesystem::remove(mFolder / "snapshot");
  CHECK_THROWS_AS(Recover(), StorageError);
}

// Guards against continuing after a failed operation.
TEST_CASE_METHOD(StorageFixture, "PerformWrite, write or sync fails, throws", "[agreement]")
{
  RecoveredState recovered;
  Storage storage = OpenStorage(mFolder, PosixFileOps(), 7, recovered);
  const Write entries{ 1, {}, {}, { { 1, 1, "a" } } };
  const Write snapshot{ 1, {}, SharedValue(Snapshot{ 2, 1, {}, "s" }), {} };
  for (const Write& it : { entries, snapshot }) {
    storage.mOps = PosixFileOps();
    storage.mOps.mSync = [](int) { throw StorageError("no space"); };
    CHECK_THROWS_AS(PerformWrite(storage, it), StorageError);
    storage.mOps = PosixFileOps();
    storage.mOps.mWrite = [](int aFile, const std::string& aBytes) {
      PosixFileOps().mWrite(aFile, aBytes.substr(0, aBytes.size() / 2));
      throw StorageError("no space");
    };
    CHECK_THROWS_AS(PerformWrite(storage, it), StorageError);
  }
  CloseStorage(storage);
}

// Guards against a partially written record that makes the next start fail or passes for a complete
// one.
TEST_CASE_METHOD(StorageFixture, "OpenStorage, after a partial write, truncates it", "[agreement]")
{
  Append({ { 1, 1, "a" } });
  RecoveredState recovered;
  Storage storage = OpenStorage(mFolder, PosixFileOps(), 7, recovered);
  storage.mOps.mWrite = [](int aFile, const std::string& aBytes) {
    PosixFileOps().mWrite(aFile, aBytes.substr(0, aBytes.size() - 1));
    throw StorageError("no space");
  };
  CHECK_THROWS_AS(PerformWrite(storage, { 1, {}, {}, { { 2, 1, "b" } } }), StorageError);
  CloseStorage(storage);
  CHECK(Recover().mLog == std::vector<LogEntry>{ { 1, 1, "a" } });
}

// Guards against a control process that ends at each start, because it appended entries behind a
// log that ended before its snapshot (review/9).
TEST_CASE_METHOD(StorageFixture,
                 "OpenStorage, log older than the snapshot and appended to, reads the new entries",
                 "[agreement]")
{
  Append({ { 1, 1, "a" } });
  std::filesystem::copy(mFolder / "log", mFolder / "old");
  WriteAndClose({ 1, {}, SharedValue(Snapshot{ 9, 2, {}, "s" }), {} });
  std::filesystem::rename(mFolder / "old", mFolder / "log");
  Append({ { 10, 2, "b" } });
  CHECK(Recover().mLog == std::vector<LogEntry>{ { 10, 2, "b" } });
  Append({ { 11, 2, "c" } });
  CHECK(Recover().mLog.size() == 2);
}

// Guards against acknowledged entries that vanish at the second start, because they were appended
// behind a log that the snapshot contradicts.
TEST_CASE_METHOD(
  StorageFixture,
  "OpenStorage, log in conflict with the snapshot and appended to, keeps new entries",
  "[agreement]")
{
  Append({ { 1, 1, "a" }, { 2, 1, "b" }, { 3, 1, "c" } });
  std::filesystem::copy(mFolder / "log", mFolder / "old");
  WriteAndClose({ 1, {}, SharedValue(Snapshot{ 2, 5, {}, "s" }), {} });
  std::filesystem::rename(mFolder / "old", mFolder / "log");
  Append({ { 3, 5, "d" } });
  CHECK(Recover().mLog == std::vector<LogEntry>{ { 3, 5, "d" } });
}

// Guards against a data folder of an earlier version that stays unreadable after an upgrade.
TEST_CASE_METHOD(StorageFixture,
                 "OpenStorage, gap up to the snapshot left by an earlier version, is read",
                 "[agreement]")
{
  Append({ { 1, 1, "a" } });
  std::filesystem::copy(mFolder / "log", mFolder / "old");
  WriteAndClose({ 1, {}, SharedValue(Snapshot{ 9, 2, {}, "s" }), {} });
  std::filesystem::rename(mFolder / "old", mFolder / "log");
  // Written without OpenStorage(), which would replace the log first.
  Storage storage{ ::open((mFolder / "log").c_str(), O_WRONLY | O_APPEND),
                   mFolder,
                   PosixFileOps() };
  PerformWrite(storage, { 1, {}, {}, { { 10, 2, "b" } } });
  CloseStorage(storage);
  CHECK(Recover().mLog == std::vector<LogEntry>{ { 10, 2, "b" } });
  CHECK(Recover().mLog == std::vector<LogEntry>{ { 10, 2, "b" } });
}

} // namespace
} // namespace fighold::agreement
