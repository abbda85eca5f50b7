#include "fighold/agreement/storage.hpp"

#include "bytes.hpp"
#include "records.hpp"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace fighold::agreement {
namespace {

constexpr const char* kIncarnationFile = "incarnation";
constexpr const char* kSnapshotFile = "snapshot";
constexpr const char* kLogFile = "log";

[[noreturn]] void
ThrowErrno(const std::string& aMessage)
{
  throw StorageError(aMessage + ": " + std::strerror(errno));
}

/// Owns a file descriptor and closes it.
struct OpenFile
{
  int mFile;

  OpenFile(const std::filesystem::path& aPath, int aFlags)
    : mFile(::open(aPath.c_str(), aFlags | O_CLOEXEC, 0600))
  {
    if (mFile < 0) {
      ThrowErrno("cannot open " + aPath.string());
    }
  }
  ~OpenFile()
  {
    if (mFile >= 0) {
      ::close(mFile);
    }
  }
  OpenFile(const OpenFile&) = delete;
  OpenFile& operator=(const OpenFile&) = delete;

  int Release() { return std::exchange(mFile, -1); }
};

std::optional<std::string>
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  // With the capacity set first, the text is not copied while it grows.
  std::string bytes;
  bytes.reserve(std::filesystem::file_size(aPath));
  bytes.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  if (file.bad()) {
    ThrowErrno("cannot read " + aPath.string());
  }
  return bytes;
}

void
SyncFolder(const Storage& aStorage)
{
  const OpenFile folder(aStorage.mFolder, O_RDONLY | O_DIRECTORY);
  aStorage.mOps.mSync(folder.mFile);
}

/// Replaces a file atomically: after a crash it has either the old or the new contents.
/// @return the new file, open for appending
int
ReplaceFile(const Storage& aStorage, const char* aName, const std::string& aBytes)
{
  const std::filesystem::path path = aStorage.mFolder / aName;
  const std::filesystem::path temporary = path.string() + ".new";
  OpenFile file(temporary, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
  aStorage.mOps.mWrite(file.mFile, aBytes);
  aStorage.mOps.mSync(file.mFile);
  if (::rename(temporary.c_str(), path.c_str()) != 0) {
    ThrowErrno("cannot rename " + temporary.string());
  }
  SyncFolder(aStorage);
  return file.Release();
}

/// @return body of the single record of a file that is always replaced atomically
std::string_view
SingleRecordBody(std::string_view aBytes, const std::filesystem::path& aPath)
{
  const detail::ParsedRecords records = detail::ParseRecords(aBytes, aPath.string());
  if (records.mBodies.size() != 1 || records.mValidSize != aBytes.size()) {
    throw StorageError(aPath.string() + ": damaged");
  }
  return records.mBodies.front();
}

Incarnation
ReadIncarnation(const Storage& aStorage, Incarnation aNewIncarnation)
{
  const std::filesystem::path path = aStorage.mFolder / kIncarnationFile;
  if (const auto bytes = ReadFile(path)) {
    detail::Reader in{ SingleRecordBody(*bytes, path) };
    return in.Number<std::uint64_t>();
  }
  if (std::filesystem::exists(aStorage.mFolder / kLogFile) ||
      std::filesystem::exists(aStorage.mFolder / kSnapshotFile)) {
    throw StorageError(path.string() + ": missing, although the folder holds a log");
  }
  std::string body;
  detail::PutNumber(body, aNewIncarnation);
  std::string bytes;
  detail::AppendRecord(bytes, 0, body);
  ::close(ReplaceFile(aStorage, kIncarnationFile, bytes));
  return aNewIncarnation;
}

/// Drops entries covered by the snapshot, or the complete log if it conflicts with the snapshot.
/// @return true if entries were dropped
bool
TrimLog(RecoveredState& aRecovered, const std::string& aName)
{
  const Snapshot& snapshot = *aRecovered.mSnapshot;
  std::vector<LogEntry>& log = aRecovered.mLog;
  if (log.empty()) {
    return false;
  }
  if (log.front().mIndex > snapshot.mIndex + 1) {
    throw StorageError(aName + ": entries before " + std::to_string(log.front().mIndex) +
                       " are missing");
  }
  const std::size_t covered = snapshot.mIndex + 1 - log.front().mIndex;
  // A crash after the snapshot was replaced and before the log was leaves an older log.
  if (covered > log.size() || (covered > 0 && log[covered - 1].mTerm != snapshot.mTerm)) {
    log.clear();
    return true;
  }
  log.erase(log.begin(), log.begin() + static_cast<std::ptrdiff_t>(covered));
  return covered > 0;
}

void
ReadSnapshot(const Storage& aStorage, RecoveredState& aRecovered)
{
  const std::filesystem::path path = aStorage.mFolder / kSnapshotFile;
  if (const auto bytes = ReadFile(path)) {
    auto snapshot = detail::DecodeSnapshot(SingleRecordBody(*bytes, path));
    if (!snapshot) {
      throw StorageError(path.string() + ": malformed");
    }
    aRecovered.mSnapshot = SharedValue(std::move(*snapshot));
  }
}

/// What was read of the log file.
struct LogFile
{
  std::size_t mValidSize = 0; ///< total size of the valid records in bytes
  std::size_t mSize = 0;      ///< in bytes
  bool mTrimmed = false;      ///< it holds entries that the snapshot covers or contradicts
};

LogFile
ReadLog(const Storage& aStorage, RecoveredState& aRecovered)
{
  const std::filesystem::path path = aStorage.mFolder / kLogFile;
  const std::string bytes = ReadFile(path).value_or("");
  const detail::ParsedRecords records = detail::ParseRecords(bytes, path.string());
  for (const std::string_view it : records.mBodies) {
    if (!detail::ReplayLogRecord(it, aRecovered)) {
      throw StorageError(path.string() + ": malformed record or record out of order");
    }
  }
  return { records.mValidSize, bytes.size(), TrimLog(aRecovered, path.string()) };
}

std::string
EncodeLogRecords(const Write& aWrite, std::size_t aOffset)
{
  std::string bytes;
  if (aWrite.mTermVote) {
    detail::AppendRecord(bytes, aOffset, detail::EncodeTermVote(*aWrite.mTermVote));
  }
  for (const LogEntry& it : aWrite.mEntries) {
    detail::AppendRecord(bytes, aOffset, detail::EncodeEntry(it));
  }
  return bytes;
}

} // namespace

FileOps
PosixFileOps()
{
  FileOps ops;
  ops.mWrite = [](int aFile, const std::string& aBytes) {
    std::size_t done = 0;
    while (done < aBytes.size()) {
      const ssize_t n = ::write(aFile, aBytes.data() + done, aBytes.size() - done);
      if (n < 0 && errno != EINTR) {
        ThrowErrno("cannot write to the data folder");
      }
      done += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
  };
  ops.mSync = [](int aFile) {
    if (::fsync(aFile) != 0) {
      ThrowErrno("cannot sync the data folder");
    }
  };
  return ops;
}

Storage
OpenStorage(const std::filesystem::path& aFolder,
            FileOps aOps,
            Incarnation aNewIncarnation,
            RecoveredState& aRecovered)
{
  std::filesystem::create_directories(aFolder);
  Storage storage{ -1, aFolder, std::move(aOps) };
  aRecovered.mIncarnation = ReadIncarnation(storage, aNewIncarnation);
  ReadSnapshot(storage, aRecovered);
  const LogFile log = ReadLog(storage, aRecovered);
  if (log.mTrimmed) {
    // Entries that are appended behind those of an older log would leave a gap, or belong to a log
    // that the snapshot contradicts.
    const Write rest{ 0, aRecovered.mTermVote, std::nullopt, aRecovered.mLog };
    storage.mFile = ReplaceFile(storage, kLogFile, EncodeLogRecords(rest, 0));
    return storage;
  }
  OpenFile file(aFolder / kLogFile, O_WRONLY | O_CREAT | O_APPEND);
  if (log.mValidSize < log.mSize &&
      ::ftruncate(file.mFile, static_cast<off_t>(log.mValidSize)) != 0) {
    ThrowErrno("cannot truncate the incomplete last record of the log");
  }
  // The contents may not have been synced before the crash, but count as synced from now on.
  storage.mOps.mSync(file.mFile);
  SyncFolder(storage);
  storage.mFile = file.Release();
  return storage;
}

void
PerformWrite(Storage& aStorage, const Write& aWrite)
{
  if (aWrite.mSnapshot) {
    std::string snapshot;
    detail::AppendRecord(snapshot, 0, detail::EncodeSnapshot(**aWrite.mSnapshot));
    ::close(ReplaceFile(aStorage, kSnapshotFile, snapshot));
    const int file = ReplaceFile(aStorage, kLogFile, EncodeLogRecords(aWrite, 0));
    CloseStorage(aStorage);
    aStorage.mFile = file;
    return;
  }
  const off_t offset = ::lseek(aStorage.mFile, 0, SEEK_END);
  if (offset < 0) {
    ThrowErrno("cannot find the end of the log");
  }
  aStorage.mOps.mWrite(aStorage.mFile, EncodeLogRecords(aWrite, static_cast<std::size_t>(offset)));
  aStorage.mOps.mSync(aStorage.mFile);
}

void
CloseStorage(Storage& aStorage)
{
  if (aStorage.mFile >= 0) {
    ::close(aStorage.mFile);
    aStorage.mFile = -1;
  }
}

} // namespace fighold::agreement
