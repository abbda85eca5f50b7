#pragma once

#include "fighold/agreement/message.hpp"

#include <filesystem>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

/// Durable log of a control process.
namespace fighold::agreement {

/// A write or sync failed, or the files are damaged; the process must stop, since nothing is known
/// of the file then.
class StorageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// File operations that storage needs; tests replace them to make a write or a sync fail.
struct FileOps
{
  std::function<void(int aFile, const std::string& aBytes)>
    mWrite;                             ///< writes all bytes or throws StorageError
  std::function<void(int aFile)> mSync; ///< returns once synced or throws StorageError
};

/// @return operations on real files
FileOps
PosixFileOps();

/// An open log.
struct LogFile
{
  int mFile = -1;
  std::filesystem::path mPath;
  FileOps mOps;
};

/// Opens the log of a data folder, which is created when missing. A torn last record is cut off.
/// @param aFolder data folder
/// @param aOps file operations
/// @param aEntries receives the entries
/// @return open log
/// @throws StorageError on a damaged record before the end or a failed operation
LogFile
OpenLog(const std::filesystem::path& aFolder, FileOps aOps, std::vector<LogEntry>& aEntries);

/// Appends entries and syncs. An entry with a known index replaces all entries from that index on.
/// @throws StorageError when the operation fails
void
AppendLog(const LogFile& aLog, const std::vector<LogEntry>& aEntries);

/// Closes the file.
void
CloseLog(LogFile& aLog);

} // namespace fighold::agreement
