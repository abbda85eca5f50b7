#include "fighold/agreement/storage.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>

namespace fighold::agreement {
namespace {

struct StorageFixture
{
  std::filesystem::path mFolder;

  StorageFixture()
  {
    std::string name = (std::filesystem::temp_directory_path() / "fighold-storage-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    mFolder = name;
  }
  ~StorageFixture() { std::filesystem::remove_all(mFolder); }
  StorageFixture(const StorageFixture&) = delete;
  StorageFixture& operator=(const StorageFixture&) = delete;

  void Append(const std::vector<LogEntry>& aEntries) const
  {
    std::vector<LogEntry> known;
    LogFile log = OpenLog(mFolder, PosixFileOps(), known);
    AppendLog(log, aEntries);
    CloseLog(log);
  }

  std::vector<LogEntry> Read() const
  {
    std::vector<LogEntry> entries;
    LogFile log = OpenLog(mFolder, PosixFileOps(), entries);
    CloseLog(log);
    return entries;
  }

  void ChangeByte(std::size_t aAt) const
  {
    std::fstream file(mFolder / "log", std::ios::binary | std::ios::in | std::ios::out);
    file.seekg(static_cast<std::streamoff>(aAt));
    const int byte = file.get();
    file.seekp(static_cast<std::streamoff>(aAt));
    file.put(static_cast<char>(byte ^ 0x40));
  }
};

TEST_CASE_METHOD(StorageFixture,
                 "OpenLog, after appends, reads the entries in order",
                 "[agreement]")
{
  Append({ { 1, 1, "a" }, { 2, 1, "b" } });
  Append({ { 3, 2, "c" } });
  CHECK(Read() == std::vector<LogEntry>{ { 1, 1, "a" }, { 2, 1, "b" }, { 3, 2, "c" } });
}

TEST_CASE_METHOD(StorageFixture,
                 "OpenLog, entry written again, replaces those from its index on",
                 "[agreement]")
{
  Append({ { 1, 1, "a" }, { 2, 1, "b" }, { 3, 1, "c" } });
  Append({ { 2, 2, "x" } });
  CHECK(Read() == std::vector<LogEntry>{ { 1, 1, "a" }, { 2, 2, "x" } });
}

// Guards against a crash in the middle of a write that makes the whole log unreadable.
TEST_CASE_METHOD(StorageFixture,
                 "OpenLog, last record torn at any byte, keeps the records before it",
                 "[agreement]")
{
  Append({ { 1, 1, "a" } });
  const auto first = std::filesystem::file_size(mFolder / "log");
  Append({ { 2, 1, "bb" } });
  const auto whole = std::filesystem::file_size(mFolder / "log");
  for (auto n = whole - 1; n > first; --n) {
    std::filesystem::resize_file(mFolder / "log", n);
    CHECK(Read().size() == 1);
    Append({ { 2, 1, "bb" } });
  }
}

// Guards against entries that are silently lost when the disk returns other bytes than were
// written.
TEST_CASE_METHOD(StorageFixture, "OpenLog, damaged record before the end, refuses", "[agreement]")
{
  Append({ { 1, 1, "a" }, { 2, 1, "b" } });
  ChangeByte(20);
  CHECK_THROWS_AS(Read(), StorageError);
}

// Guards against going on after a sync that failed.
TEST_CASE_METHOD(StorageFixture, "AppendLog, sync fails, throws", "[agreement]")
{
  FileOps ops = PosixFileOps();
  std::vector<LogEntry> known;
  LogFile log = OpenLog(mFolder, ops, known);
  log.mOps.mSync = [](int) { throw StorageError("no space"); };
  CHECK_THROWS_AS(AppendLog(log, { { 1, 1, "a" } }), StorageError);
  CloseLog(log);
}

} // namespace
} // namespace fighold::agreement
