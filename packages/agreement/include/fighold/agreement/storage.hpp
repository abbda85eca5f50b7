#pragma once

#include "fighold/agreement/node.hpp"

#include <filesystem>
#include <functional>
#include <stdexcept>
#include <string>

/// Persistent state of a control process: its incarnation, the log with term and vote, and the
/// snapshot.
namespace fighold::agreement {

/// A write or sync failed, or a file is damaged. The process must stop, because the contents of the
/// file are then unknown.
class StorageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// File operations used by the storage; tests replace them to make a write or sync fail.
struct FileOps
{
  std::function<void(int aFile, const std::string& aBytes)>
    mWrite;                             ///< writes all bytes or throws StorageError
  std::function<void(int aFile)> mSync; ///< returns once synced or throws StorageError
};

/// @return operations based on POSIX calls
FileOps
PosixFileOps();

/// An open data folder.
struct Storage
{
  int mFile = -1; ///< descriptor of the log file
  std::filesystem::path mFolder;
  FileOps mOps;
};

/// Opens a data folder and creates it if it does not exist. An incomplete last record of the log is
/// truncated, and a log that a crash left behind its snapshot is replaced.
/// @param aFolder data folder
/// @param aOps file operations
/// @param aNewIncarnation incarnation to store if the folder is new; not 0
/// @param aRecovered receives the contents of the folder
/// @return open folder
/// @throws StorageError if a record before the last one is damaged, a file is missing or an
/// operation fails
Storage
OpenStorage(const std::filesystem::path& aFolder,
            FileOps aOps,
            Incarnation aNewIncarnation,
            RecoveredState& aRecovered);

/// Performs a write and syncs it.
/// @throws StorageError if an operation fails
void
PerformWrite(Storage& aStorage, const Write& aWrite);

/// Closes the log file.
void
CloseStorage(Storage& aStorage);

} // namespace fighold::agreement
