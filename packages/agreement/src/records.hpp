#pragma once

#include "fighold/agreement/node.hpp"

#include <string>
#include <vector>

/// Record format of the files in a data folder.
///
/// A record consists of the length of the body (4 bytes), the checksum of length and body (8
/// bytes), and the body. The checksum is seeded with the record's offset in the file; otherwise a
/// payload that contains the bytes of a record could be mistaken for one. Numbers are little
/// endian.
namespace fighold::agreement::detail {

/// Appends a record to the contents of a file.
/// @param aOut receives the record
/// @param aOffset offset in the file of the first byte of `aOut`
void
AppendRecord(std::string& aOut, std::size_t aOffset, std::string_view aBody);

/// Bodies of the valid records at the start of a file.
struct ParsedRecords
{
  std::vector<std::string_view> mBodies;
  std::size_t mValidSize = 0; ///< total size of the valid records in bytes
};

/// @param aBytes contents of the file; must outlive the result
/// @param aName file name for error messages
/// @throws StorageError if a valid record follows invalid bytes, because these are then not the
/// remains of an interrupted write
ParsedRecords
ParseRecords(std::string_view aBytes, const std::string& aName);

std::string
EncodeEntry(const LogEntry& aEntry);

std::string
EncodeTermVote(const TermVote& aTermVote);

std::string
EncodeSnapshot(const Snapshot& aSnapshot);

/// Applies a log record to the recovered state.
/// @return false if the body is malformed or out of order
bool
ReplayLogRecord(std::string_view aBody, RecoveredState& aRecovered);

/// @return snapshot, or nothing if the body is malformed
std::optional<Snapshot>
DecodeSnapshot(std::string_view aBody);

} // namespace fighold::agreement::detail
