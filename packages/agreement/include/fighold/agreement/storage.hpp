#pragma once

#include "fighold/agreement/node.hpp"

#include <filesystem>
#include <functional>
#include <stdexcept>
#include <string>

/// Durable state of a control process: incarnation, log with term and vote, snapshot.
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

/// An open data folder.
struct Storage
{
  int mFile = -1; ///< log
  std::filesystem::path mFolder;
  FileOps mOps;
};

/// Opens a data folder, which is created when missing. A torn last record of the log is cut off.
/// @param aFolder data folder
/// @param aOps file operations
/// @param aNewIncarnation incarnation of the folder when it is new; not 0
/// @param aRecovered receives what the folder holds
/// @return open folder
/// @throws StorageError on a damaged record before the end, a missing file or a failed operation
Storage
OpenStorage(const std::filesystem::path& aFolder,
            FileOps aOps,
            Incarnation aNewIncarnation,
            RecoveredState& aRecovered);

/// Carries out a write and syncs it.
/// @throws StorageError when an operation fails
void
PerformWrite(Storage& aStorage, const Write& aWrite);

/// Closes the log.
void
CloseStorage(Storage& aStorage);

} // namespace fighold::agreement
