#pragma once

#include "fighold/agreement/node.hpp"

#include <string>
#include <vector>

/// Records of the files of a data folder.
///
/// A record is the length of the body (4 bytes), the checksum of length and body (8), and the body.
/// The checksum is seeded with the record's place in the file, so that a payload that happens to
/// contain a record is not taken for one. Numbers are little endian.
namespace fighold::agreement::detail {

/// Appends a record to the bytes of a file.
/// @param aOut receives the record
/// @param aOffset place in the file of the first byte of `aOut`
void
AppendRecord(std::string& aOut, std::size_t aOffset, std::string_view aBody);

/// Bodies of a file, up to the first byte that begins no whole record.
struct ParsedRecords
{
  std::vector<std::string_view> mBodies;
  std::size_t mValidSize = 0; ///< bytes of whole records
};

/// @param aBytes file; must outlive the result
/// @param aName name of the file for errors
/// @throws StorageError when a whole record follows bytes that are none, because then those are not
/// the rest of an interrupted write
ParsedRecords
ParseRecords(std::string_view aBytes, const std::string& aName);

std::string
EncodeEntry(const LogEntry& aEntry);

std::string
EncodeTermVote(const TermVote& aTermVote);

std::string
EncodeSnapshot(const Snapshot& aSnapshot);

/// Takes a record of the log over into what was recovered.
/// @return false when the body is malformed or out of order
bool
ReplayLogRecord(std::string_view aBody, RecoveredState& aRecovered);

/// @return snapshot, or nothing when the body is malformed
std::optional<Snapshot>
DecodeSnapshot(std::string_view aBody);

} // namespace fighold::agreement::detail
