#include "fighold/agreement/storage.hpp"

#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace fighold::agreement {
namespace {

/// Record: length of the body (4 bytes), checksum of the body (8), body: index (8), term (8),
/// payload. Little endian.
constexpr std::size_t kHeaderSize = 12;
constexpr std::size_t kFixedBody = 16;

[[noreturn]] void
Fail(const std::string& aWhat)
{
  throw StorageError(aWhat + ": " + std::strerror(errno));
}

template<typename T>
void
PutNumber(std::string& aOut, T aNumber)
{
  for (std::size_t n = 0; n < sizeof(T); ++n) {
    aOut += static_cast<char>((aNumber >> (8 * n)) & 0xffU);
  }
}

template<typename T>
T
GetNumber(const std::string& aBytes, std::size_t aAt)
{
  T number = 0;
  for (std::size_t n = 0; n < sizeof(T); ++n) {
    number |= static_cast<T>(static_cast<unsigned char>(aBytes[aAt + n])) << (8 * n);
  }
  return number;
}

std::string
Encode(const LogEntry& aEntry)
{
  std::string body;
  PutNumber(body, aEntry.mIndex);
  PutNumber(body, aEntry.mTerm);
  body += aEntry.mPayload;
  std::string out;
  PutNumber(out, static_cast<std::uint32_t>(body.size()));
  PutNumber(out, static_cast<std::uint64_t>(XXH3_64bits(body.data(), body.size())));
  return out + body;
}

/// Reads records from the start.
/// @return number of bytes of whole records
std::size_t
Decode(const std::string& aBytes, const std::string& aName, std::vector<LogEntry>& aEntries)
{
  std::size_t at = 0;
  while (aBytes.size() - at >= kHeaderSize) {
    const auto size = GetNumber<std::uint32_t>(aBytes, at);
    const auto checksum = GetNumber<std::uint64_t>(aBytes, at + 4);
    const std::size_t end = at + kHeaderSize + size;
    if (size < kFixedBody || end > aBytes.size()) {
      break;
    }
    const std::string body = aBytes.substr(at + kHeaderSize, size);
    if (XXH3_64bits(body.data(), body.size()) != checksum) {
      if (end == aBytes.size()) {
        break;
      }
      throw StorageError(aName + ": damaged record at byte " + std::to_string(at));
    }
    LogEntry entry{ GetNumber<std::uint64_t>(body, 0),
                    GetNumber<std::uint64_t>(body, 8),
                    body.substr(kFixedBody) };
    if (entry.mIndex == 0 || entry.mIndex > aEntries.size() + 1) {
      throw StorageError(aName + ": record out of order at byte " + std::to_string(at));
    }
    aEntries.resize(entry.mIndex - 1);
    aEntries.push_back(std::move(entry));
    at = end;
  }
  return at;
}

void
SyncFolder(const std::filesystem::path& aFolder)
{
  const int folder = ::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0 || ::fsync(folder) != 0) {
    Fail("cannot sync the folder " + aFolder.string());
  }
  ::close(folder);
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
        Fail("cannot write the log");
      }
      done += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
  };
  ops.mSync = [](int aFile) {
    if (::fdatasync(aFile) != 0) {
      Fail("cannot sync the log");
    }
  };
  return ops;
}

LogFile
OpenLog(const std::filesystem::path& aFolder, FileOps aOps, std::vector<LogEntry>& aEntries)
{
  std::filesystem::create_directories(aFolder);
  LogFile log{ -1, aFolder / "log", std::move(aOps) };
  std::string bytes;
  if (std::ifstream file(log.mPath, std::ios::binary); file) {
    bytes.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  const std::size_t whole = Decode(bytes, log.mPath.string(), aEntries);
  log.mFile = ::open(log.mPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log.mFile < 0) {
    Fail("cannot open " + log.mPath.string());
  }
  if (whole < bytes.size() && ::ftruncate(log.mFile, static_cast<off_t>(whole)) != 0) {
    Fail("cannot cut the torn record off " + log.mPath.string());
  }
  log.mOps.mSync(log.mFile);
  SyncFolder(aFolder);
  return log;
}

void
AppendLog(const LogFile& aLog, const std::vector<LogEntry>& aEntries)
{
  std::string bytes;
  for (const LogEntry& it : aEntries) {
    bytes += Encode(it);
  }
  aLog.mOps.mWrite(aLog.mFile, bytes);
  aLog.mOps.mSync(aLog.mFile);
}

void
CloseLog(LogFile& aLog)
{
  if (aLog.mFile >= 0) {
    ::close(aLog.mFile);
    aLog.mFile = -1;
  }
}

} // namespace fighold::agreement
